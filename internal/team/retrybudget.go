package team

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RetryBurst is the number of retries in a team's budget at the start, and
	// the maximum that the budget can hold. It permits retries to a team with
	// few requests and bounds the burst of retries after a long time without
	// failures.
	RetryBurst = 10.0
	// BackoffBase is the maximum delay before the first retry. The maximum
	// doubles with each further retry up to BackoffMax.
	BackoffBase = 20 * time.Millisecond
	// BackoffMax is the maximum delay before any retry.
	BackoffMax = time.Second
)

var (
	// ErrRetryBudget is returned if a team's retry budget is exhausted.
	ErrRetryBudget = errors.New("team: retry budget exhausted")
	// ErrNoTimeForRetry is returned if a retry would start at or after the
	// deadline.
	ErrNoTimeForRetry = errors.New("team: no time left for a retry")
)

// RetryBudgets limits the retries of each team to a fraction of its requests.
// Each team has a budget of retries, which works like a token bucket: a request
// adds the fraction to the budget, and a retry takes 1 from it. Without the
// limit, retries multiply the load when upstreams fail. RetryBudgets is safe for
// concurrent use.
type RetryBudgets struct {
	// mu guards retriesLeft.
	mu sync.Mutex
	// retriesLeft holds the budget of each team that has made a request or retry.
	retriesLeft map[string]float64
}

// NewRetryBudgets returns budgets in which each team starts with RetryBurst
// retries.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{retriesLeft: make(map[string]float64)}
}

// RecordRequest adds fraction to a team's budget for the first attempt of a
// request. It clamps fraction, such as the RetryBudget of a profile, to the range
// 0 to 1.
func (b *RetryBudgets) RecordRequest(team string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retriesLeft[team] = min(b.available(team)+min(max(fraction, 0), 1), RetryBurst)
}

// TakeRetry takes one retry from a team's budget and returns the delay before the
// retry. attempt is 1 for the first retry. It returns ErrNoTimeForRetry if the
// delay would reach the deadline, and ErrRetryBudget if the budget is exhausted;
// in both cases, no retry is taken.
func (b *RetryBudgets) TakeRetry(now, deadline time.Time, rng *rand.Rand, team string, attempt int) (time.Duration, error) {
	delay := Backoff(rng, attempt)
	if !now.Add(delay).Before(deadline) {
		return 0, ErrNoTimeForRetry
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.available(team)
	if remaining < 1 {
		return 0, ErrRetryBudget
	}
	b.retriesLeft[team] = remaining - 1
	return delay, nil
}

// Available returns a team's budget, which may be fractional. A retry needs at
// least 1.
func (b *RetryBudgets) Available(team string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(team)
}

func (b *RetryBudgets) available(team string) float64 {
	if remaining, ok := b.retriesLeft[team]; ok {
		return remaining
	}
	return RetryBurst
}

// Backoff returns the delay before a retry. The delay is random between half of a
// maximum and the maximum, which doubles with each attempt from BackoffBase up to
// BackoffMax. attempt is 1 for the first retry.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	maxDelay := BackoffBase
	for ; attempt > 1 && maxDelay < BackoffMax; attempt-- {
		maxDelay *= 2
	}
	maxDelay = min(maxDelay, BackoffMax)
	return maxDelay/2 + time.Duration(rng.Int64N(int64(maxDelay/2)+1))
}
