// Package feed follows a set of records in the platform's store by a list and
// watches, through outages of the store and gaps in its history.
package feed

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryExpired is returned by a watch whose start the store no longer
// holds.
var ErrHistoryExpired = errors.New("feed: history is gone")

// Source reads the records of one kind.
type Source[R any] interface {
	// List returns all records and the store's revision. The answer is not
	// older than the call.
	List(ctx context.Context) ([]R, uint64, error)
	// Watch waits for changes after a revision, for wait at most. It returns
	// ErrHistoryGone if the store doesn't know them any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]R, uint64, error)
}

// Handler gets what a feed reads. Its methods are called by one goroutine.
type Handler[R any] interface {
	// Replace gets a complete list. afterOutage is true if the store did not
	// answer before.
	Replace(records []R, revision uint64, afterOutage bool)
	// Update gets changes; it may get none.
	Update(records []R, revision uint64)
	// SourceFailed is called at the first failure after a success, SourceRecovered at the
	// next success.
	SourceFailed(err error)
	SourceRecovered()
}

const (
	// WatchTimeoutMargin is how much longer than its wait a watch may take before its
	// connection counts as silent.
	WatchTimeoutMargin = 600 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failure.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// eventPause is the time between a watch that brought changes and the
	// next one: changes come in series, and each watch is a call.
	eventPause = 150 * time.Millisecond
	// outageAfter is how long the store has to be away for an absence to
	// count as an outage.
	outageAfter = time.Second
)

// Feed follows one source.
type Feed[R any] struct {
	source  Source[R]
	handler Handler[R]
	wait    time.Duration

	revision uint64
	lost     bool
	lostAt   time.Time
	pause    time.Duration
}

// New returns a feed whose watches wait for changes as long as wait.
func New[R any](source Source[R], handler Handler[R], wait time.Duration) *Feed[R] {
	return &Feed[R]{source: source, handler: handler, wait: wait, pause: retryMin}
}

// Run follows the source until ctx ends.
func (f *Feed[R]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.fail(ctx, err)
		}
	}
}

func (f *Feed[R]) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Feed[R]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	outage := f.lost && time.Since(f.lostAt) > outageAfter
	f.succeed()
	f.revision = revision
	f.handler.Replace(records, revision, outage)
	return nil
}

func (f *Feed[R]) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+WatchTimeoutMargin)
	defer cancel()
	records, revision, err := f.source.Watch(ctx, f.revision, f.wait)
	if errors.Is(err, ErrHistoryExpired) {
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if f.lost {
		// What lapsed during an outage may be back soon; only a list tells
		// what is missing.
		f.revision = 0
		return nil
	}
	f.revision = max(f.revision, revision)
	f.handler.Update(records, revision)
	if len(records) > 0 {
		sleep(ctx, eventPause)
	}
	return nil
}

func (f *Feed[R]) succeed() {
	f.pause = retryMin
	if f.lost {
		f.lost = false
		f.handler.SourceRecovered()
	}
}

// fail notes a failure and waits before the next try.
func (f *Feed[R]) fail(ctx context.Context, err error) {
	if !f.lost {
		f.lost, f.lostAt = true, time.Now()
		f.handler.SourceFailed(err)
	}
	f.revision = 0
	sleep(ctx, f.pause)
	f.pause = min(2*f.pause, retryMax)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
