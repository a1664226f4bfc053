package operation

import (
	"context"
	"errors"
)

// Canceller cancels requests, so that an entry may report them as not-run. Each
// entry has one Canceller.
type Canceller struct {
	store Store
	opts  Options
}

// NewCanceller returns a Canceller that uses store.
func NewCanceller(store Store, opts Options) *Canceller {
	return &Canceller{store: store, opts: opts.withDefaults()}
}

// Cancel prevents the request ID of r from ever running. The outcome is
//
//   - not-run if the request ID is in the record's cancelled list, or if the
//     key is bound to another operation or body (ErrBodyMismatch);
//   - completed or failed with the recorded response if the operation ran;
//   - unknown otherwise. While another attempt holds the claim, Cancel waits
//     for its outcome until ctx ends; without a deadline in ctx,
//     Options.Deadline applies.
//
// Not-run is permanent. The cancelled list only grows, an ID on it is never
// claimed, and an ID is never added to a claimed record, so a cancelled ID
// neither holds a claim nor ever will. A mismatch is permanent as well, because
// the first claim binds the key to its operation and body. Only the removal of
// the record would invalidate these facts. Cancel therefore calls Key.CheckTime
// after it has read or written the record: if the key is not expired, its record
// was not removed before. Once the record may be removed, every sidecar
// refuses the key, even in a claim that is in progress (see Claimer).
func (c *Canceller) Cancel(ctx context.Context, r Request) Result {
	if err := r.Validate(); err != nil {
		return unknownResult(err)
	}
	if err := r.Key.CheckTime(c.opts.Now()); errors.Is(err, ErrKeyExpired) {
		return unknownResult(err)
	}
	ctx, cancel := c.opts.withDeadline(ctx)
	defer cancel()
	res := c.cancel(ctx, r)
	if err := r.Key.CheckTime(c.opts.Now()); errors.Is(err, ErrKeyExpired) && !res.Replayed {
		return unknownResult(err)
	}
	return res
}

func (c *Canceller) cancel(ctx context.Context, r Request) Result {
	rs := recordStore{c.store, c.opts, r.Key.Path()}
	var lastErr error = ErrUnavailable
	for delay := c.opts.backoff(); ; {
		rec, version, err := rs.read(ctx)
		switch {
		case err == nil:
			next, err := rec.Cancel(r)
			switch {
			case errors.Is(err, ErrFinal):
				return recordedResult(rec)
			case errors.Is(err, ErrBodyMismatch):
				return notRunResult(err)
			case errors.Is(err, ErrClaimed):
				lastErr = ErrNoOutcome
			case err != nil:
				return unknownResult(err)
			case rec.IsCancelled(r.RequestID):
				return notRunResult(ErrRequestCancelled)
			default:
				if _, lastErr = rs.write(ctx, next, version); lastErr == nil {
					return notRunResult(ErrRequestCancelled)
				}
			}
		case errors.Is(err, ErrInvalidRecord):
			return unknownResult(err)
		default:
			lastErr = err
		}
		if !delay.wait(ctx) {
			return unknownResult(lastErr)
		}
	}
}
