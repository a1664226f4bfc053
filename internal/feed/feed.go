// Package feed follows a set of records in the platform's store. It lists the
// records and then watches for changes, and recovers from outages of the store
// and gaps in its history.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// ErrHistoryExpired is returned by a watch that starts at a revision which the
// store no longer holds.
var ErrHistoryExpired = errors.New("feed: history is gone")

// Batch is the result of one call to a source.
type Batch[R any] struct {
	// Records holds all records after a list, and the changed ones after a watch.
	Records []R
	// Revision is the revision of the store up to which the caller now knows all
	// changes.
	Revision revision.Revision
	// LatestChange is the highest revision of a record in the batch, or the start of the
	// store's era.
	LatestChange revision.Revision
	// ConfirmedAt is a time at which the store had no change after Revision. It is
	// zero if the source could not confirm that.
	ConfirmedAt time.Time
	// Relays is the number of gateways that passed the batch on, 0 if it came from the
	// store.
	Relays int
	// Rejected holds the entries of the store that can't be used. Only a batch that came
	// from the store has them.
	Rejected []Rejection
}

// Rejection is an entry of the store that can't be used, because another writer left it
// there.
type Rejection struct {
	// Name is empty if it can't be read.
	Name string
	Err  error
}

// Source reads the records of one kind.
type Source[R any] interface {
	// List returns all records.
	List(ctx context.Context) (Batch[R], error)
	// Watch waits for changes after a revision, for at most wait. It returns
	// ErrHistoryExpired if the source no longer holds the changes after that
	// revision.
	Watch(ctx context.Context, after revision.Revision, wait time.Duration) (Batch[R], error)
}

// Handler receives what a feed reads. A feed calls its methods from a single
// goroutine.
type Handler[R any] interface {
	// Replace receives a complete list. afterOutage is true if the list follows
	// an outage of the store, or its restore from a copy: both lose records whose
	// writers write them again.
	Replace(b Batch[R], afterOutage bool)
	// Update receives changes, possibly none.
	Update(b Batch[R])
	// SourceFailed is called at the first failure after a success,
	// SourceRecovered at the next successful list.
	SourceFailed(err error)
	SourceRecovered()
}

const (
	// WatchTimeoutMargin is the time beyond its wait after which a watch is
	// aborted because its connection is considered dead.
	WatchTimeoutMargin = 600 * time.Millisecond
	// listTimeout bounds a list call.
	listTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay of a retry after a
	// failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// minOutage is the minimum time without a successful list for which the
	// failures count as an outage.
	minOutage = time.Second
)

// Options configure a feed.
type Options struct {
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Pause is the pause after a watch that returned changes. Changes come in bursts,
	// and without the pause each change would cost a call.
	Pause time.Duration
}

// Feed follows one source.
type Feed[R any] struct {
	source  Source[R]
	handler Handler[R]
	options Options

	revision revision.Revision
	// listed is true after the first list, era the highest era that was listed.
	listed bool
	era    uint64
	// failing is true from a failure until the next successful list;
	// failingSince is when it began.
	failing      bool
	failingSince time.Time
	retryDelay   time.Duration
}

// New returns a feed.
func New[R any](source Source[R], handler Handler[R], o Options) *Feed[R] {
	return &Feed[R]{source: source, handler: handler, options: o, retryDelay: minRetryDelay}
}

// Run follows the source until ctx ends.
func (f *Feed[R]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.listOrWatch(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(ctx, err)
		}
	}
}

// listOrWatch makes one call to the source. It lists if the feed has no
// revision to watch from.
func (f *Feed[R]) listOrWatch(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Feed[R]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	b, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	outage := f.failing && time.Since(f.failingSince) > minOutage || f.listed && b.Revision.Era() > f.era
	f.recordSuccess()
	f.revision, f.listed, f.era = b.Revision, true, max(f.era, b.Revision.Era())
	f.handler.Replace(b, outage)
	return nil
}

func (f *Feed[R]) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+WatchTimeoutMargin)
	defer cancel()
	b, err := f.source.Watch(ctx, f.revision, f.options.Wait)
	if errors.Is(err, ErrHistoryExpired) {
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if f.failing {
		// Records may have expired during the outage and be restored soon after
		// it. Only a list shows which records are missing.
		f.revision = 0
		return nil
	}
	if b.Revision.Era() > f.revision.Era() {
		f.revision = 0 // changes before b are missing
		return nil
	}
	f.revision = max(f.revision, b.Revision)
	f.handler.Update(b)
	if len(b.Records) > 0 {
		process.Sleep(ctx, f.options.Pause)
	}
	return nil
}

func (f *Feed[R]) recordSuccess() {
	f.retryDelay = minRetryDelay
	if f.failing {
		f.failing = false
		f.handler.SourceRecovered()
	}
}

// recordFailure records a failure, makes the feed list again and waits before
// the retry.
func (f *Feed[R]) recordFailure(ctx context.Context, err error) {
	if !f.failing {
		f.failing, f.failingSince = true, time.Now()
		f.handler.SourceFailed(err)
	}
	f.revision = 0
	process.Sleep(ctx, f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}
