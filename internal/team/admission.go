package team

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// MinRetryAfter and MaxRetryAfter bound the hint of a refusal.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// shareTolerance keeps rounding from placing a team that is exactly at its
	// share, such as the only active team, below it.
	shareTolerance = 1e-9
)

// ErrRefused is the error that every RefusedError wraps.
var ErrRefused = errors.New("team: request refused by admission control")

// RefusalReason says why admission control refused a request.
type RefusalReason string

const (
	// RefusedOverload means the first token would be late and the team is
	// above its weighted share.
	RefusedOverload RefusalReason = "overload"
	// RefusedDeadline means the first token would arrive after the deadline.
	RefusedDeadline RefusalReason = "deadline"
)

// RefusedError is a refusal. The request has not been run.
type RefusedError struct {
	Team   string
	Reason RefusalReason
	// Wait is the estimated time to the first token.
	Wait time.Duration
	// Load is the team's load and Share its weighted share of the total load,
	// in tokens.
	Load, Share float64
	// RetryAfter is when a retry is likely to be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s: estimated wait %v, team %q has %.0f tokens in progress, its share is %.0f, retry after %v",
		ErrRefused, e.Reason, e.Wait, e.Team, e.Load, e.Share, e.RetryAfter)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Load is the load of one team on the upstreams of one model.
type Load struct {
	Team   string
	Weight float64
	// Tokens is the cost of the team's queued and running work.
	Tokens float64
}

// LoadSnapshot is the load on the upstreams of one model as the sidecars
// reported it.
type LoadSnapshot struct {
	Teams []Load
	// TokensPerSecond is the rate at which the upstreams work off the load. 0
	// means that it isn't known; every request is then admitted.
	TokensPerSecond float64
	// BaseDelay is the time to the first token without any queue.
	BaseDelay time.Duration
}

// AdmissionRequest is one request that asks for admission.
type AdmissionRequest struct {
	Team string
	// Weight is used if the snapshot doesn't hold the team.
	Weight float64
	// Cost is in tokens: the prompt's length.
	Cost int
	// FirstToken is the profile's target time to the first token.
	FirstToken time.Duration
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
}

// Admission is the admission control of an entry for one model. The sidecars
// serve teams by weighted fair queueing, so a team waits for its own load at
// its weighted share of the rate, and for the total load at most. If that
// exceeds the target, the target's budget of tokens is divided between the
// teams by max-min fairness and a request of a team that is over its part
// is refused: the team furthest above its share is refused first,
// further teams as the overload grows. It is safe for concurrent use.
type Admission struct {
	mu    sync.Mutex
	rate  float64
	fixed time.Duration
	teams map[string]*teamLoad
	// sorted holds the loads by tokens per weight; tokensTo and weightsTo are
	// prefix sums over it.
	sorted              []Load
	tokensTo, weightsTo []float64
	// total includes what was admitted since the last update.
	total, weights float64
}

type teamLoad struct {
	weight, tokens float64
}

// NewAdmission returns an admission control without load.
func NewAdmission() *Admission {
	return &Admission{teams: make(map[string]*teamLoad)}
}

// Update installs a snapshot. It is O(teams log teams) and runs once per
// heartbeat interval.
func (a *Admission) Update(s LoadSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rate, a.fixed = s.TokensPerSecond, s.BaseDelay
	a.teams = make(map[string]*teamLoad, len(s.Teams))
	a.total, a.weights = 0, 0
	a.sorted = a.sorted[:0]
	for _, l := range s.Teams {
		l.Weight = validWeight(l.Weight)
		if l.Tokens <= 0 {
			continue
		}
		a.teams[l.Team] = &teamLoad{l.Weight, l.Tokens}
		a.total += l.Tokens
		a.weights += l.Weight
		a.sorted = append(a.sorted, l)
	}
	slices.SortFunc(a.sorted, func(x, y Load) int { return cmp.Compare(x.Tokens/x.Weight, y.Tokens/y.Weight) })
	a.tokensTo = append(a.tokensTo[:0], 0)
	a.weightsTo = append(a.weightsTo[:0], 0)
	for i, l := range a.sorted {
		a.tokensTo = append(a.tokensTo, a.tokensTo[i]+l.Tokens)
		a.weightsTo = append(a.weightsTo, a.weightsTo[i]+l.Weight)
	}
}

// Admit decides about a request. It returns the estimated time to the first
// token, and a *RefusedError if the request is refused. An admitted request
// counts as load until the next update. It is O(log teams).
func (a *Admission) Admit(d AdmissionRequest) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cost := float64(max(d.Cost, 1))
	t, known := a.teams[d.Team]
	if !known {
		t = &teamLoad{weight: validWeight(d.Weight)}
	}
	weights := a.weights
	if !known {
		weights += t.weight
	}
	wait := a.wait(t, weights)
	share := a.total * t.weight / weights
	refuse := func(reason RefusalReason, limit time.Duration) (time.Duration, error) {
		after := min(max(wait-limit, MinRetryAfter), MaxRetryAfter)
		return wait, &RefusedError{Team: d.Team, Reason: reason, Wait: wait, Load: t.tokens, Share: share, RetryAfter: after}
	}
	if wait > d.Remaining {
		return refuse(RefusedDeadline, d.Remaining)
	}
	if wait > d.FirstToken && t.tokens >= share*(1-shareTolerance) && t.tokens > a.level(d.FirstToken)*t.weight {
		return refuse(RefusedOverload, d.FirstToken)
	}
	if !known {
		a.teams[d.Team] = t
		a.weights = weights
	}
	t.tokens += cost
	a.total += cost
	return wait, nil
}

// wait estimates the time to the first token of one more request of a team. The
// request's own cost is left out: the rate is that of mixed work, and a prompt
// alone on an idle upstream is prefilled many times faster.
func (a *Admission) wait(t *teamLoad, weights float64) time.Duration {
	if a.rate <= 0 {
		return a.fixed
	}
	ahead := min(t.tokens*weights/t.weight, a.total)
	// The cap keeps the conversion to a Duration within its range.
	return a.fixed + time.Duration(min(ahead/a.rate, time.Hour.Seconds())*float64(time.Second))
}

// level returns the tokens per weight up to which each team may fill the
// budget of a target: the level at which the capped loads add up to what the
// upstreams work off within the target.
func (a *Admission) level(target time.Duration) float64 {
	n := len(a.sorted)
	budget := max((target-a.fixed).Seconds(), 0) * a.rate
	// The loads below index i fit whole if every later load is capped at the
	// level of load i.
	i := sort.Search(n, func(i int) bool {
		l := a.sorted[i]
		return a.tokensTo[i]+l.Tokens/l.Weight*(a.weightsTo[n]-a.weightsTo[i]) >= budget
	})
	if i == n {
		// The reported loads fit; the excess was admitted since the update.
		if n == 0 {
			return 0
		}
		return budget / a.weightsTo[n]
	}
	return (budget - a.tokensTo[i]) / (a.weightsTo[n] - a.weightsTo[i])
}
