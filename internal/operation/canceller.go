package operation

import (
	"context"
	"errors"
)

// Canceller obtains the right to answer not-run. An entry has one.
type Canceller struct {
	store Store
	opts  Options
}

// NewCanceller returns a Canceller on store.
func NewCanceller(store Store, opts Options) *Canceller {
	return &Canceller{store: store, opts: opts.withDefaults()}
}

// Cancel prevents the request id of r from ever running. The outcome is
//
//   - not-run if the request id is in the record's cancelled list, or if the
//     key is bound to another operation or body (ErrBodyMismatch);
//   - completed or failed with the recorded response if the operation ran;
//   - unknown otherwise. While another attempt holds the claim, Cancel waits
//     for its outcome until ctx ends; without a deadline in ctx,
//     Options.Deadline applies.
//
// Not-run holds at any later time: the list only grows, no claim passes a
// listed id, and an id is never added to a claimed record, so the id neither
// holds a claim nor will. A mismatch is as lasting, because the first claim
// binds the key for good. The one way to lose these facts is the removal of
// the record. The key's age is therefore checked after the proof was obtained:
// a key that is still in use then has had no record removed, and when the
// record is removed, every sidecar refuses the key, also in a claim that was
// under way (see Claimer).
func (c *Canceller) Cancel(ctx context.Context, r Request) Result {
	if err := r.Validate(); err != nil {
		return unknownResult(err)
	}
	if err := r.Key.CheckAge(c.opts.Now()); errors.Is(err, ErrKeyExpired) {
		return unknownResult(err)
	}
	ctx, cancel := c.opts.withDeadline(ctx)
	defer cancel()
	res := c.cancel(ctx, r)
	if err := r.Key.CheckAge(c.opts.Now()); errors.Is(err, ErrKeyExpired) && !res.Replayed {
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
