package team

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RetryReserve is the number of retries a team starts with and can save
	// up. It lets a team with few requests retry, and bounds the burst of
	// retries after a long time without failures.
	RetryReserve = 10.0
	// BackoffBase is the longest delay before the first retry; it doubles with
	// each further retry up to BackoffMax.
	BackoffBase = 20 * time.Millisecond
	BackoffMax  = time.Second
)

var (
	// ErrRetryBudget is returned if a team has used up its retries.
	ErrRetryBudget = errors.New("team: retry budget exhausted")
	// ErrRetryDeadline is returned if a retry would start at or after the
	// deadline.
	ErrRetryDeadline = errors.New("team: no time left for a retry")
)

// RetryBudget limits each team's retries to a fraction of its requests: a
// token bucket that each request fills by the fraction and each retry empties
// by one. Without it, retries multiply the load when upstreams fail. It is safe
// for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	buckets map[string]float64
}

// NewRetryBudget returns a budget in which each team holds RetryReserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{buckets: make(map[string]float64)}
}

// RecordRequest records a first attempt. fraction is the profile's RetryBudget.
func (b *RetryBudget) RecordRequest(team string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buckets[team] = min(b.available(team)+min(max(fraction, 0), 1), RetryReserve)
}

// TakeRetry takes one retry from the budget and returns the delay before it.
// attempt is 1 for the first retry. It returns ErrRetryDeadline if the delay
// would reach the deadline, and ErrRetryBudget if the budget is exhausted;
// neither uses up budget.
func (b *RetryBudget) TakeRetry(now, deadline time.Time, rng *rand.Rand, team string, attempt int) (time.Duration, error) {
	delay := Backoff(rng, attempt)
	if !now.Add(delay).Before(deadline) {
		return 0, ErrRetryDeadline
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.available(team)
	if left < 1 {
		return 0, ErrRetryBudget
	}
	b.buckets[team] = left - 1
	return delay, nil
}

// Available returns the retries that a team has left.
func (b *RetryBudget) Available(team string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(team)
}

func (b *RetryBudget) available(team string) float64 {
	if left, ok := b.buckets[team]; ok {
		return left
	}
	return RetryReserve
}

// Backoff returns a random delay before a retry: between half the exponential
// delay and the whole. attempt is 1 for the first retry.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	longest := BackoffBase
	for ; attempt > 1 && longest < BackoffMax; attempt-- {
		longest *= 2
	}
	longest = min(longest, BackoffMax)
	return longest/2 + time.Duration(rng.Int64N(int64(longest/2)+1))
}
