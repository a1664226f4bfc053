package operation

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// sweepPageSize is the number of records in one list call. A list contains the
// values, so a page of the largest records takes 16 × 512 KB = 8 MB of memory.
const sweepPageSize = 16

// StoredRecord is one object that SweepStore.List returns. Value is an encoded
// Record.
type StoredRecord struct {
	Key     string
	Version uint64
	Value   []byte
}

// SweepStore lists and removes records.
type SweepStore interface {
	// List returns up to limit objects with the prefix whose keys sort after the
	// key after, in key order, and whether there are more.
	List(ctx context.Context, prefix, after string, limit int) (page []StoredRecord, more bool, err error)
	// Delete removes the object if it has the version. Otherwise it returns
	// ErrConflict or ErrNotFound.
	Delete(ctx context.Context, key string, version uint64) error
}

// SweeperOptions configures a Sweeper. Zero fields mean the defaults.
type SweeperOptions struct {
	// Now is the wall clock. Default time.Now.
	Now func() time.Time
	// CallsPerMinute limits the store calls. Default 60: a process uses at most
	// one of the several hundred writes per second that the store serves.
	CallsPerMinute int
	// StoreTimeout bounds one store call. Default 2 s.
	StoreTimeout time.Duration
	// Interval is the time between the starts of two passes. Default 1 h.
	Interval time.Duration
}

// Sweeper removes the records of UUIDv7 idempotency keys when they are Removable.
// Any number of processes may run a Sweeper, because each removal is conditional on the version.
type Sweeper struct {
	store   SweepStore
	opts    SweeperOptions
	limiter *rate.Limiter
}

// NewSweeper returns a Sweeper that uses store.
func NewSweeper(store SweepStore, opts SweeperOptions) *Sweeper {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.CallsPerMinute <= 0 {
		opts.CallsPerMinute = 60
	}
	if opts.StoreTimeout <= 0 {
		opts.StoreTimeout = 2 * time.Second
	}
	if opts.Interval <= 0 {
		opts.Interval = time.Hour
	}
	limit := rate.Limit(float64(opts.CallsPerMinute) / 60)
	return &Sweeper{store: store, opts: opts, limiter: rate.NewLimiter(limit, 1)}
}

// Run makes a pass at every interval until ctx ends. A failed pass isn't retried
// before the next interval. report, if not nil, is called after each pass.
func (s *Sweeper) Run(ctx context.Context, report func(removed int, err error)) {
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		removed, err := s.Sweep(ctx)
		if report != nil && ctx.Err() == nil {
			report(removed, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sweep makes one pass and returns the number of records it removed. A record
// that can't be decoded or removed is kept for a later pass.
func (s *Sweeper) Sweep(ctx context.Context) (removed int, err error) {
	for after, more := "", true; more; {
		var page []StoredRecord
		err := s.callStore(ctx, func(ctx context.Context) (err error) {
			page, more, err = s.store.List(ctx, KeyPrefix, after, sweepPageSize)
			return err
		})
		if err != nil {
			return removed, eris.Wrap(err, "operation: list records")
		}
		for _, stored := range page {
			after = stored.Key
			rec, err := Decode(stored.Value)
			if err != nil || !rec.Removable(s.opts.Now()) {
				continue
			}
			err = s.callStore(ctx, func(ctx context.Context) error {
				return s.store.Delete(ctx, stored.Key, stored.Version)
			})
			if err == nil {
				removed++
			}
		}
		more = more && len(page) > 0
	}
	return removed, nil
}

// callStore waits for the rate limiter and makes one store call.
func (s *Sweeper) callStore(ctx context.Context, f func(context.Context) error) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	return f(ctx)
}
