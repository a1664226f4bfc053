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

// naiveFairLevel is the reference for Admission.fairLevel. It finds the level by
// bisection.
func naiveFairLevel(s LoadSnapshot, target time.Duration) float64 {
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

// Guards against refusing a team below its share, refusing a team while a team
// further above its share is admitted, and refusing requests without overload.
func TestAdmissionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := LoadSnapshot{TokensPerSecond: rapid.Float64Range(10, 5000).Draw(t, "rate"),
			BaseDelay: time.Duration(rapid.IntRange(0, 100).Draw(t, "base delay")) * time.Millisecond}
		total, weights := 0.0, 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			l := Load{fmt.Sprint(i), rapid.Float64Range(0.2, 5).Draw(t, "weight"), math.Exp2(rapid.Float64Range(0, 11).Draw(t, "tokens"))}
			s.Teams = append(s.Teams, l)
			total, weights = total+l.Tokens, weights+l.Weight
		}
		r := AdmissionRequest{Cost: 1, FirstToken: time.Duration(rapid.IntRange(1, 1000).Draw(t, "target")) * time.Millisecond, Remaining: 2 * time.Hour}
		level := naiveFairLevel(s, r.FirstToken)
		if total > s.TokensPerSecond*(r.FirstToken-s.BaseDelay).Seconds() {
			a := NewAdmission()
			a.Update(s)
			assert.Assert(t, math.Abs(a.fairLevel(r.FirstToken)-level) <= 1e-6*(level+1), "%f, want %f", a.fairLevel(r.FirstToken), level)
		}
		lowestRefused, highestAdmitted := math.Inf(1), 0.0
		for _, l := range s.Teams {
			a := NewAdmission()
			a.Update(s)
			r.Team = l.Team
			tokensPerWeight := l.Tokens / l.Weight
			wait, err := a.Admit(r)
			var refused *RefusedError
			if !errors.As(err, &refused) {
				assert.NilError(t, err)
				if wait > r.FirstToken && l.Tokens >= total*l.Weight/weights {
					highestAdmitted = max(highestAdmitted, tokensPerWeight)
					assert.Assert(t, tokensPerWeight <= level*(1+1e-6))
				}
				continue
			}
			assert.Assert(t, errors.Is(err, ErrRefused) && refused.Reason == RefusedOverload)
			assert.Assert(t, wait > r.FirstToken && refused.RetryAfter >= MinRetryAfter)
			assert.Assert(t, l.Tokens >= total*l.Weight/weights*(1-1e-9), "below its share")
			lowestRefused = min(lowestRefused, tokensPerWeight)
		}
		assert.Assert(t, highestAdmitted <= lowestRefused)
	})
}

// Guards against refusing a team below its share during an overload, and against
// admitting a request that can't meet its deadline.
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

// Guards against an entry that admits an unlimited number of requests between
// two updates.
func TestAdmissionCountsOwnAdmissions(t *testing.T) {
	a := NewAdmission()
	a.Update(LoadSnapshot{TokensPerSecond: 1000})
	admitted := 0
	for range 100 {
		if _, err := a.Admit(AdmissionRequest{Team: "t", Cost: 100, FirstToken: time.Second, Remaining: time.Minute}); err == nil {
			admitted++
		}
	}
	// The load of ten requests makes the wait equal to the target, which still
	// admits the eleventh.
	assert.Equal(t, admitted, 11)
}

// Guards against refusing a long prompt on an idle model because its own length
// is counted as waiting work.
func TestAdmissionOfALongPromptOnAnIdleModel(t *testing.T) {
	a := NewAdmission()
	a.Update(LoadSnapshot{TokensPerSecond: 100, Teams: []Load{{"t", 1, 1}}})
	_, err := a.Admit(AdmissionRequest{Team: "t", Cost: 8000, FirstToken: 470 * time.Millisecond, Remaining: time.Minute})
	assert.NilError(t, err)
}

// Guards against more retries than RetryBurst plus the configured fraction of
// requests, and against delays that reach the deadline or exceed the maximum.
func TestRetryBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudgets()
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
			assert.Assert(t, float64(retries) <= RetryBurst+fraction*float64(requests)+1e-9)
		}
	})
}
