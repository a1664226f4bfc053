package team

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveLevel finds the max-min fair level by bisection.
func naiveLevel(s LoadSnapshot, target time.Duration) float64 {
	budget := max((target-s.BaseDelay).Seconds(), 0) * s.TokensPerSecond
	low, high := 0.0, 1e6
	for range 200 {
		middle, sum := (low+high)/2, 0.0
		for _, l := range s.Teams {
			sum += min(l.Tokens, middle*l.Weight)
		}
		if sum < budget {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Guards against refusing a team below its share, refusing a team while one
// further above its share is admitted, and refusing without overload.
func TestAdmissionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := LoadSnapshot{TokensPerSecond: rapid.Float64Range(10, 5000).Draw(t, "rate"),
			BaseDelay: time.Duration(rapid.IntRange(0, 100).Draw(t, "fixed")) * time.Millisecond}
		total, weights := 0.0, 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			l := Load{fmt.Sprint(i), rapid.Float64Range(0.2, 5).Draw(t, "weight"), math.Exp2(rapid.Float64Range(0, 11).Draw(t, "tokens"))}
			s.Teams = append(s.Teams, l)
			total, weights = total+l.Tokens, weights+l.Weight
		}
		d := AdmissionRequest{Cost: 1, FirstToken: time.Duration(rapid.IntRange(1, 1000).Draw(t, "target")) * time.Millisecond, Remaining: 2 * time.Hour}
		level := naiveLevel(s, d.FirstToken)
		if total > s.TokensPerSecond*(d.FirstToken-s.BaseDelay).Seconds() {
			a := NewAdmission()
			a.Update(s)
			assert.Assert(t, math.Abs(a.level(d.FirstToken)-level) <= 1e-6*(level+1), "%f, want %f", a.level(d.FirstToken), level)
		}
		lowestRefused, highestAdmitted := math.Inf(1), 0.0
		for _, l := range s.Teams {
			a := NewAdmission()
			a.Update(s)
			d.Team = l.Team
			over := l.Tokens / l.Weight
			wait, err := a.Admit(d)
			var refused *RefusedError
			if !errors.As(err, &refused) {
				assert.NilError(t, err)
				if wait > d.FirstToken && l.Tokens >= total*l.Weight/weights {
					highestAdmitted = max(highestAdmitted, over)
					assert.Assert(t, over <= level*(1+1e-6))
				}
				continue
			}
			assert.Assert(t, errors.Is(err, ErrRefused) && refused.Reason == RefusedOverload)
			assert.Assert(t, wait > d.FirstToken && refused.RetryAfter >= MinRetryAfter)
			assert.Assert(t, l.Tokens >= total*l.Weight/weights*(1-1e-9), "below its share")
			lowestRefused = min(lowestRefused, over)
		}
		assert.Assert(t, highestAdmitted <= lowestRefused)
	})
}

// Guards against a team below its share being refused during an overload, and
// against admitting what can't meet its deadline.
func TestAdmissionSmallTeam(t *testing.T) {
	a := NewAdmission()
	a.Update(LoadSnapshot{TokensPerSecond: 1000, BaseDelay: 50 * time.Millisecond, Teams: []Load{{"large", 1, 10000}, {"small", 1, 300}}})
	tests := []struct {
		team      string
		remaining time.Duration
		reason    RefusalReason
	}{
		{"small", time.Minute, ""},
		{"small", 100 * time.Millisecond, RefusedDeadline},
		{"large", time.Minute, RefusedOverload},
		{"new", time.Minute, ""},
	}
	for _, tt := range tests {
		_, err := a.Admit(AdmissionRequest{Team: tt.team, Cost: 100, FirstToken: 470 * time.Millisecond, Remaining: tt.remaining})
		var refused *RefusedError
		if errors.As(err, &refused) {
			assert.Equal(t, refused.Reason, tt.reason)
		} else {
			assert.Equal(t, tt.reason, RefusalReason(""), tt.team)
		}
	}
}

// Guards against an entry that admits without limit between two updates.
func TestAdmissionCountsOwnAdmissions(t *testing.T) {
	a := NewAdmission()
	a.Update(LoadSnapshot{TokensPerSecond: 1000})
	admitted := 0
	for range 100 {
		if _, err := a.Admit(AdmissionRequest{Team: "t", Cost: 100, FirstToken: time.Second, Remaining: time.Minute}); err == nil {
			admitted++
		}
	}
	// Ten requests fill the target; the eleventh finds a wait equal to it.
	assert.Equal(t, admitted, 11)
}

// Guards against refusing a long prompt although nothing waits: its own length
// is not a queue.
func TestAdmissionOfALongPromptOnAnIdleModel(t *testing.T) {
	a := NewAdmission()
	a.Update(LoadSnapshot{TokensPerSecond: 100, Teams: []Load{{"t", 1, 1}}})
	_, err := a.Admit(AdmissionRequest{Team: "t", Cost: 8000, FirstToken: 470 * time.Millisecond, Remaining: time.Minute})
	assert.NilError(t, err)
}

// Guards against more retries than the fraction of requests, and delays that
// reach the deadline or exceed the maximum.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "operations") {
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("t", fraction)
				requests++
				continue
			}
			left := time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond
			delay, err := b.TakeRetry(epoch, epoch.Add(left), rng, "t", rapid.IntRange(1, 100).Draw(t, "attempt"))
			if err == nil {
				retries++
				assert.Assert(t, delay < left && delay <= BackoffMax && delay >= BackoffBase/2)
			}
			assert.Assert(t, float64(retries) <= RetryReserve+fraction*float64(requests)+1e-9)
		}
	})
}
