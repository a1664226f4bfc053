package operation

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Errors of a Store. Any other error of a write is treated as ErrOutcomeUnknown.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("operation: object not found")
	// ErrConflict means that the condition of a write was not met. The write was
	// not applied.
	ErrConflict = errors.New("operation: version conflict")
	// ErrUnavailable means that the store is unreachable. A write was certainly
	// not applied and never will be.
	ErrUnavailable = errors.New("operation: store is unavailable")
	// ErrOutcomeUnknown means that a write may have been applied, or may be
	// applied later if the network delays it.
	ErrOutcomeUnknown = errors.New("operation: outcome of the write is unknown")
)

// Errors in a Result.
var (
	// ErrNotSent is wrapped by errors of an execute function that has proof that
	// no byte was sent to the upstream.
	ErrNotSent = errors.New("operation: no byte was sent to the upstream")
	// ErrNoOutcome means that another attempt claimed the operation and recorded
	// no outcome before the deadline.
	ErrNoOutcome = errors.New("operation: no outcome was recorded before the deadline")
	// ErrClaimUnconfirmed means that the attempt couldn't determine whether its
	// claim was applied, and therefore didn't execute the operation.
	ErrClaimUnconfirmed = errors.New("operation: claim could not be confirmed")
	// ErrDeadline means that the deadline passed before the operation was run.
	ErrDeadline = errors.New("operation: deadline passed before the call")
)

// Store holds records. Implementations return when ctx ends. Versions are greater
// than 0 and are never reused for a key, not even after a removal.
type Store interface {
	// Get returns ErrNotFound if there is no object.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Create returns ErrConflict if the object exists.
	Create(ctx context.Context, key string, value []byte) (version uint64, err error)
	// Update returns ErrConflict unless the object has the version, and
	// ErrNotFound or ErrConflict if there is no object.
	Update(ctx context.Context, key string, value []byte, version uint64) (newVersion uint64, err error)
}

// Options configures a Claimer or Canceller. Zero fields mean the defaults.
type Options struct {
	// Now is the wall clock. Default time.Now.
	Now func() time.Time
	// Token returns a new attempt token. Default: a random one from crypto/rand.
	Token func() (Token, error)
	// Jitter returns a random number in [0, 1) that varies the delay between
	// retries.
	// Default rand.Float64 of math/rand/v2.
	Jitter func() float64
	// Deadline bounds a call whose context has no deadline. Default 10 s, the
	// default deadline of a service's operation.
	Deadline time.Duration
	// StoreTimeout bounds one store call. Default 2 s.
	StoreTimeout time.Duration
	// PollMin and PollMax bound the delay between retries, such as reads of a
	// record that another attempt has claimed. Defaults 20 ms and 500 ms: an
	// operation usually ends within tens of milliseconds, and the store serves
	// a limited number of reads.
	PollMin, PollMax time.Duration
	// GracePeriod is how long after the deadline a Claimer still tries to record
	// an outcome. Default 30 s.
	GracePeriod time.Duration
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Token == nil {
		o.Token = func() (Token, error) { return NewToken(nil) }
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	setDefault(&o.Deadline, 10*time.Second)
	setDefault(&o.StoreTimeout, 2*time.Second)
	setDefault(&o.PollMin, 20*time.Millisecond)
	setDefault(&o.PollMax, 500*time.Millisecond)
	setDefault(&o.GracePeriod, 30*time.Second)
	return o
}

// withDeadline adds Options.Deadline to ctx if it has no deadline.
func (o Options) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, o.Deadline)
}

// Result is the result of Claimer.Run or Canceller.Cancel.
type Result struct {
	Outcome request.Outcome
	// Response is set if Outcome is completed or failed.
	Response Response
	// Replayed is true if Response was read from the record.
	Replayed bool
	// Err is the reason if Outcome is not-run or unknown, else nil.
	Err error
}

func notRunResult(err error) Result  { return Result{Outcome: request.OutcomeNotRun, Err: err} }
func unknownResult(err error) Result { return Result{Outcome: request.OutcomeUnknown, Err: err} }

func recordedResult(rec Record) Result {
	return Result{Outcome: rec.Response.Outcome(), Response: *rec.Response, Replayed: true}
}

// recordStore reads and writes one record. Each store call has a timeout.
type recordStore struct {
	store Store
	opts  Options
	path  string
}

// read returns the record and its version, or the zero Record and version 0 if
// there is none. Its error is ErrInvalidRecord or an error of the store.
func (r recordStore) read(ctx context.Context) (Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.StoreTimeout)
	defer cancel()
	value, version, err := r.store.Get(ctx, r.path)
	if errors.Is(err, ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, eris.Wrap(err, "operation: read record")
	}
	rec, err := Decode(value)
	return rec, version, err
}

// write creates the record if version is 0, else updates it. Its error is nil,
// ErrConflict, ErrUnavailable, ErrInvalidRecord or ErrOutcomeUnknown.
func (r recordStore) write(ctx context.Context, rec Record, version uint64) (uint64, error) {
	value, err := Encode(rec)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.StoreTimeout)
	defer cancel()
	var newVersion uint64
	if version == 0 {
		newVersion, err = r.store.Create(ctx, r.path, value)
	} else {
		newVersion, err = r.store.Update(ctx, r.path, value, version)
	}
	switch {
	case err == nil:
		return newVersion, nil
	case errors.Is(err, ErrOutcomeUnknown):
		return 0, ErrOutcomeUnknown
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		return 0, ErrConflict
	case errors.Is(err, ErrUnavailable):
		return 0, ErrUnavailable
	}
	return 0, eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// backoff is an exponential backoff. Each delay is drawn from the upper half of
// next, which doubles up to limit.
type backoff struct {
	next, limit time.Duration
	jitter      func() float64
}

func (o Options) backoff() *backoff {
	return &backoff{next: o.PollMin, limit: o.PollMax, jitter: o.Jitter}
}

// wait waits for the next delay. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	d := b.next/2 + time.Duration(b.jitter()*float64(b.next/2))
	b.next = min(2*b.next, b.limit)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
