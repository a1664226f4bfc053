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
	// MinRetryAfter and MaxRetryAfter bound the RetryAfter of a RefusedError.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// shareTolerance keeps rounding errors from classifying a team that is
	// exactly at its share, such as the only active team, as below its share.
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

// RefusedError is returned for a request that admission control refused. The
// request has not been run.
type RefusedError struct {
	Team   string
	Reason RefusalReason
	// Wait is the estimated time to the first token.
	Wait time.Duration
	// Load is the team's load and Share its weighted share of the total load,
	// in tokens.
	Load, Share float64
	// RetryAfter is the time after which a retry is likely to be admitted.
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

// LoadSnapshot is the load on the upstreams of one model as reported by the
// sidecars.
type LoadSnapshot struct {
	Teams []Load
	// TokensPerSecond is the rate at which the upstreams process the load. If it
	// is 0, the rate is unknown and the load is ignored: requests are refused
	// only if BaseDelay alone exceeds their targets.
	TokensPerSecond float64
	// BaseDelay is the time to the first token if no work is queued.
	BaseDelay time.Duration
}

// AdmissionRequest describes one request for admission control.
type AdmissionRequest struct {
	Team string
	// Weight is the team's weight. It is used if the team has no known load.
	Weight float64
	// Cost is the length of the prompt in tokens.
	Cost int
	// FirstToken is the profile's target time to the first token.
	FirstToken time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Admission is the admission control of an entry for one model. Sidecars serve
// teams by weighted fair queueing, so the wait of a request is estimated as the
// time to process its team's load at the team's weighted share of the rate, and
// at most the time to process the total load. If the wait exceeds the target,
// the tokens that can be processed within the target are divided between the
// teams by max-min fairness, and the request is refused if its team exceeds its
// part. Teams furthest above their share are refused first, and more teams are
// refused as the overload grows. It is safe for concurrent use.
type Admission struct {
	// mu guards all fields.
	mu sync.Mutex
	// rate is in tokens per second.
	rate      float64
	baseDelay time.Duration
	teams     map[string]*teamLoad
	// sortedLoads holds the loads of the last update in ascending order of
	// tokens per weight. tokenSums and weightSums are its prefix sums.
	sortedLoads           []Load
	tokenSums, weightSums []float64
	// totalTokens and totalWeight include the requests admitted since the last
	// update and their teams.
	totalTokens, totalWeight float64
}

type teamLoad struct {
	weight, tokens float64
}

// NewAdmission returns an Admission without load.
func NewAdmission() *Admission {
	return &Admission{teams: make(map[string]*teamLoad)}
}

// Update replaces the load by a snapshot. It takes O(n log n) time for n teams
// and is called once per heartbeat interval.
func (a *Admission) Update(s LoadSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rate, a.baseDelay = s.TokensPerSecond, s.BaseDelay
	a.teams = make(map[string]*teamLoad, len(s.Teams))
	a.totalTokens, a.totalWeight = 0, 0
	a.sortedLoads = a.sortedLoads[:0]
	for _, l := range s.Teams {
		l.Weight = normalizeWeight(l.Weight)
		if l.Tokens <= 0 {
			continue
		}
		a.teams[l.Team] = &teamLoad{l.Weight, l.Tokens}
		a.totalTokens += l.Tokens
		a.totalWeight += l.Weight
		a.sortedLoads = append(a.sortedLoads, l)
	}
	slices.SortFunc(a.sortedLoads, func(x, y Load) int { return cmp.Compare(x.Tokens/x.Weight, y.Tokens/y.Weight) })
	a.tokenSums = append(a.tokenSums[:0], 0)
	a.weightSums = append(a.weightSums[:0], 0)
	for i, l := range a.sortedLoads {
		a.tokenSums = append(a.tokenSums, a.tokenSums[i]+l.Tokens)
		a.weightSums = append(a.weightSums, a.weightSums[i]+l.Weight)
	}
}

// Admit admits or refuses a request. It returns the estimated time to the first
// token, and a *RefusedError if the request is refused. The cost of an admitted
// request counts as load until the next update. Admit takes O(log n) time for n
// teams.
func (a *Admission) Admit(r AdmissionRequest) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cost := float64(max(r.Cost, 1))
	t, known := a.teams[r.Team]
	if !known {
		t = &teamLoad{weight: normalizeWeight(r.Weight)}
	}
	totalWeight := a.totalWeight
	if !known {
		totalWeight += t.weight
	}
	wait := a.estimateWait(t, totalWeight)
	share := a.totalTokens * t.weight / totalWeight
	refuse := func(reason RefusalReason, limit time.Duration) (time.Duration, error) {
		retryAfter := min(max(wait-limit, MinRetryAfter), MaxRetryAfter)
		return wait, &RefusedError{Team: r.Team, Reason: reason, Wait: wait, Load: t.tokens, Share: share, RetryAfter: retryAfter}
	}
	if wait > r.Remaining {
		return refuse(RefusedDeadline, r.Remaining)
	}
	if wait > r.FirstToken && t.tokens >= share*(1-shareTolerance) && t.tokens > a.fairLevel(r.FirstToken)*t.weight {
		return refuse(RefusedOverload, r.FirstToken)
	}
	if !known {
		a.teams[r.Team] = t
		a.totalWeight = totalWeight
	}
	t.tokens += cost
	a.totalTokens += cost
	return wait, nil
}

// estimateWait estimates the time to the first token of one more request of a
// team. It excludes the cost of the request itself: the rate is that of mixed
// work, and an idle upstream prefills a single prompt many times faster.
func (a *Admission) estimateWait(t *teamLoad, totalWeight float64) time.Duration {
	if a.rate <= 0 {
		return a.baseDelay
	}
	tokensAhead := min(t.tokens*totalWeight/t.weight, a.totalTokens)
	// The limit of one hour keeps the conversion within the range of a Duration.
	return a.baseDelay + time.Duration(min(tokensAhead/a.rate, time.Hour.Seconds())*float64(time.Second))
}

// fairLevel returns the max-min fair limit on the tokens per weight of each
// team: with every load capped at this limit, the sum of the loads equals the
// number of tokens that the upstreams process within the target.
func (a *Admission) fairLevel(target time.Duration) float64 {
	n := len(a.sortedLoads)
	budget := max((target-a.baseDelay).Seconds(), 0) * a.rate
	// i is the first load at whose tokens per weight the capped sum reaches the
	// budget. Loads before i are not capped.
	i := sort.Search(n, func(i int) bool {
		l := a.sortedLoads[i]
		return a.tokenSums[i]+l.Tokens/l.Weight*(a.weightSums[n]-a.weightSums[i]) >= budget
	})
	if i == n {
		// The loads of the last update are within the budget. The excess was
		// admitted since then.
		if n == 0 {
			return 0
		}
		return budget / a.weightSums[n]
	}
	return (budget - a.tokenSums[i]) / (a.weightSums[n] - a.weightSums[i])
}
