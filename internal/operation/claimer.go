package operation

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Claimer runs operations at most once. Each sidecar of a plain service has one
// Claimer.
//
// An operation executes at most once per key, however long the process is
// paused between any two steps, for these reasons:
//
//   - Run calls execute at most once, and only after it has seen its own
//     random attempt token in a claimed record: as the content of its
//     conditional write that succeeded, or by reading the record. No other
//     process writes this token, so each claim belongs to one Run.
//   - Only the Run that holds a claim ends it. Other processes neither take
//     over nor expire a claim, so a paused Run still holds its claim when it
//     resumes. It releases the claim only with proof that no byte was sent, and
//     never claims again afterwards. Hence no second token claims a record
//     after the holder of the first one may have executed.
//   - A claim can't overwrite a cancelled ID, a body or a final state, because
//     the transition is checked on the content whose version is the condition
//     of the write. A delayed write fails its condition.
//   - A record is only removed when its key has been refused for RemovalMargin.
//     Key.CheckTime is called again after the claim is confirmed: if the key is
//     still accepted, no removal preceded the claim. If it isn't, the record
//     may have replaced a removed one, and the claim isn't used.
type Claimer struct {
	store Store
	opts  Options
	// active counts the calls of Run and their background writes in progress.
	active sync.WaitGroup
}

// NewClaimer returns a Claimer that uses store.
func NewClaimer(store Store, opts Options) *Claimer {
	return &Claimer{store: store, opts: opts.withDefaults()}
}

// Wait returns nil when every Run has ended and has recorded its outcome or
// stopped trying to, or ctx.Err() if ctx ends first. No Run may start after Wait
// is called.
func (c *Claimer) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// claim holds a record as it was last read or written, with its version. In a
// claim that acquire returns, the record holds the confirmed claim of the caller's
// token.
type claim struct {
	recordStore
	rec     Record
	version uint64
}

// Run claims the operation, calls execute at most once, and records the
// outcome. The deadline is that of ctx, or Options.Deadline.
//
// execute returns the upstream's complete response, or an error. An error that
// wraps ErrNotSent proves that no byte was sent; any other error leaves the
// record claimed. The context of execute has the deadline, but isn't cancelled
// when the caller disconnects, because the operation may have run by then.
//
// The outcomes are: completed or failed with a response, from this execution
// or from the record; not-run if this Run didn't and will not execute, and was
// refused or didn't wait for another attempt's claim; unknown otherwise.
// Not-run applies to this Run only: another dispatch of the same request ID may
// run.
//
// Run returns when its outcome is recorded, after the first failed attempt to
// record it, or when ctx ends. Retries continue in the background until
// Options.GracePeriod after the deadline; see Wait.
func (c *Claimer) Run(ctx context.Context, r Request, execute func(context.Context) (Response, error)) Result {
	c.active.Add(1)
	defer c.active.Done()
	ctx, cancel := c.opts.withDeadline(ctx)
	defer cancel()
	if err := r.Validate(); err != nil {
		return notRunResult(err)
	}
	if err := r.Key.CheckTime(c.opts.Now()); err != nil {
		return notRunResult(err)
	}
	token, err := c.opts.Token()
	if err != nil {
		return notRunResult(err)
	}
	held, result := c.acquire(ctx, r, token)
	if result != nil {
		return *result
	}
	// The process may have been paused since the first check.
	if err := r.Key.CheckTime(c.opts.Now()); err != nil {
		c.endClaim(ctx, *held, c.releaseTransition(token))
		return notRunResult(err)
	}
	if deadlinePassed(ctx) {
		c.endClaim(ctx, *held, c.releaseTransition(token))
		return notRunResult(ErrDeadline)
	}
	return c.executeClaimed(ctx, *held, token, execute)
}

// deadlinePassed reports whether ctx has ended or its deadline has passed. It also
// compares the clock, because the timer of ctx fires late after the process was
// paused.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// executeClaimed executes the operation under a confirmed claim and records the
// outcome.
func (c *Claimer) executeClaimed(ctx context.Context, held claim, token Token, execute func(context.Context) (Response, error)) Result {
	deadline, _ := ctx.Deadline()
	execCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	resp, err := execute(execCtx)
	if errors.Is(err, ErrNotSent) {
		c.endClaim(ctx, held, c.releaseTransition(token))
		return notRunResult(err)
	}
	if err == nil && !resp.valid() {
		err = ErrInvalidResponse
	}
	if err != nil {
		return unknownResult(err)
	}
	c.endClaim(ctx, held, func(rec Record) (Record, error) {
		return rec.Complete(token, resp, c.opts.Now())
	})
	return Result{Outcome: resp.Outcome(), Response: resp}
}

// acquire claims the operation for token. If it can't, it returns the Result that
// Run returns without executing. It first tries to create the record, so that a
// claim without contention takes one store call.
func (c *Claimer) acquire(ctx context.Context, r Request, token Token) (*claim, *Result) {
	held := claim{recordStore: recordStore{c.store, c.opts, r.Key.Path()}}
	delay := c.opts.backoff()
	// pending is true while a write of the claim that is conditional on
	// held.version has an unknown outcome and may still be applied. contended is
	// true while another attempt may hold the claim.
	pending, contended := false, false
	refuse := func(res Result) (*claim, *Result) {
		if pending {
			c.releaseUnconfirmed(ctx, r, token, held)
		}
		return nil, &res
	}
	timedOut := func() (*claim, *Result) {
		switch {
		case contended:
			return refuse(unknownResult(ErrNoOutcome))
		case pending:
			// The operation is certain not to run: only this Run knows the
			// token, and it returns without executing, whether or not the claim
			// is applied.
			return refuse(notRunResult(ErrClaimUnconfirmed))
		}
		return refuse(notRunResult(ErrDeadline))
	}
	for {
		next, err := held.rec.Claim(r, token, c.opts.Now())
		switch {
		case errors.Is(err, ErrFinal):
			res := recordedResult(held.rec)
			return nil, &res
		case errors.Is(err, ErrClaimed):
			contended = true
			if !delay.wait(ctx) {
				return timedOut()
			}
		case err != nil:
			return refuse(notRunResult(err))
		default:
			contended = false
			if deadlinePassed(ctx) {
				return timedOut()
			}
			version, err := held.write(ctx, next, held.version)
			switch {
			case err == nil:
				held.rec, held.version = next, version
				return &held, nil
			case errors.Is(err, ErrConflict):
				contended = true
			case errors.Is(err, ErrUnavailable) && !pending, errors.Is(err, ErrInvalidRecord):
				return refuse(notRunResult(err))
			default:
				pending = pending || !errors.Is(err, ErrUnavailable)
				if !delay.wait(ctx) {
					return timedOut()
				}
			}
		}
		for {
			rec, version, err := held.read(ctx)
			if err == nil {
				// A delayed write fails if the version has changed.
				pending = pending && version == held.version
				held.rec, held.version = rec, version
				break
			}
			if errors.Is(err, ErrInvalidRecord) {
				return refuse(unknownResult(err))
			}
			if !delay.wait(ctx) {
				return timedOut()
			}
		}
		if held.rec.HeldBy(token) {
			return &held, nil
		}
	}
}

// endTransition returns the record with the claim ended by an outcome or a
// release.
type endTransition func(Record) (Record, error)

func (c *Claimer) releaseTransition(token Token) endTransition {
	return func(rec Record) (Record, error) { return rec.Release(token, c.opts.Now()) }
}

// endClaim records the end of a claim. It returns after the first attempt or
// when ctx ends, and retries in the background. A retry can't overwrite another
// process's write: end fails unless its token still holds the claim.
func (c *Claimer) endClaim(ctx context.Context, held claim, end endTransition) {
	firstAttempt := make(chan struct{})
	c.runInBackground(ctx, func(ctx context.Context) {
		signalFirstAttempt := sync.OnceFunc(func() { close(firstAttempt) })
		defer signalFirstAttempt()
		for delay := c.opts.backoff(); ; {
			next, err := end(held.rec)
			if err != nil {
				return
			}
			_, err = held.write(ctx, next, held.version)
			if err == nil || errors.Is(err, ErrInvalidRecord) {
				return
			}
			signalFirstAttempt()
			for {
				if !delay.wait(ctx) {
					return
				}
				rec, version, err := held.read(ctx)
				if errors.Is(err, ErrInvalidRecord) {
					return
				}
				if err == nil {
					held.rec, held.version = rec, version
					break
				}
			}
		}
	})
	select {
	case <-firstAttempt:
	case <-ctx.Done():
	}
}

// releaseUnconfirmed prevents an unconfirmed claim from leaving a claimed record
// that no process executes: every later request with the key would wait for its
// outcome until the deadline. It releases the claim if it was applied; otherwise
// it changes the record's version, so that a delayed write of the claim fails.
func (c *Claimer) releaseUnconfirmed(ctx context.Context, r Request, token Token, held claim) {
	c.runInBackground(ctx, func(ctx context.Context) {
		expectedVersion := held.version
		for delay := c.opts.backoff(); delay.wait(ctx); {
			rec, version, err := held.read(ctx)
			if errors.Is(err, ErrInvalidRecord) {
				return
			}
			if err != nil {
				continue
			}
			if version != expectedVersion && !rec.HeldBy(token) {
				return
			}
			if rec.State == StateAbsent {
				if rec, err = rec.Claim(r, token, c.opts.Now()); err != nil {
					return
				}
			}
			if rec.HeldBy(token) {
				if rec, err = rec.Release(token, c.opts.Now()); err != nil {
					return
				}
			}
			if _, err = held.write(ctx, rec, version); err == nil {
				return
			}
		}
	})
}

// runInBackground runs f in a goroutine that Wait waits for. The context of f ends
// Options.GracePeriod after the later of the deadline and now, and isn't
// cancelled when the caller disconnects.
func (c *Claimer) runInBackground(ctx context.Context, f func(context.Context)) {
	latest := time.Now()
	if deadline, ok := ctx.Deadline(); ok && deadline.After(latest) {
		latest = deadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), latest.Add(c.opts.GracePeriod))
	c.active.Go(func() {
		defer cancel()
		f(ctx)
	})
}
