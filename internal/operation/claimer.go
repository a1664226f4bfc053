package operation

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Claimer runs operations at most once. A sidecar has one.
//
// At most one execution holds for each key, however long the process is
// stopped between any two steps, for these reasons:
//
//   - Run calls execute at most once, and only after it has seen its own
//     random attempt token in a claimed record: as the accepted content of its
//     conditional write, or by reading the record. Nobody else writes that
//     token, so one claim belongs to one Run.
//   - Only the Run that holds a claim ends it. Others neither take over nor
//     expire a claim, so the claim still stands when a stopped Run goes on. It
//     releases the claim only with proof that no byte was sent, and never
//     claims again afterwards. Hence no record is claimed by a second token
//     after the first one may have executed.
//   - A claim can't replace a cancelled id, a body or a final state, because
//     the transition is checked on the content whose version the conditional
//     write names. A write that arrives late fails its condition.
//   - A record is only removed when its key has been refused for RemovalMargin.
//     The age is checked again after the claim is confirmed: if the key is
//     still in use then, no removal preceded the claim. If it isn't, the claim
//     may be on a record that replaced a removed one, and isn't used.
type Claimer struct {
	store Store
	opts  Options
	// active counts calls of Run and the writes that outlive them.
	active sync.WaitGroup
}

// NewClaimer returns a Claimer on store.
func NewClaimer(store Store, opts Options) *Claimer {
	return &Claimer{store: store, opts: opts.withDefaults()}
}

// Wait returns nil when every Run has ended and its outcome is recorded or
// given up, or the error of ctx. No Run may start after Wait is called.
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

// claim is a confirmed claim.
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
// record claimed. The context of execute has the deadline, but doesn't end
// when the caller leaves, because the operation may have run by then.
//
// The outcomes are: completed or failed with a response, from this execution
// or from the record; not-run if this Run did not and will not execute and the
// rules refused it or it didn't wait for another attempt's claim; unknown
// otherwise. Not-run covers this Run only: another dispatch of the same
// request id may run.
//
// Run returns when its outcome is recorded, after the first failed attempt to
// record it, or when ctx ends. Further attempts go on in the background for
// Options.Grace past the deadline; see Wait.
func (c *Claimer) Run(ctx context.Context, r Request, execute func(context.Context) (Response, error)) Result {
	c.active.Add(1)
	defer c.active.Done()
	ctx, cancel := c.opts.withDeadline(ctx)
	defer cancel()
	if err := r.Validate(); err != nil {
		return notRunResult(err)
	}
	if err := r.Key.CheckAge(c.opts.Now()); err != nil {
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
	// The process may have been stopped since the first check.
	if err := r.Key.CheckAge(c.opts.Now()); err != nil {
		c.endClaim(ctx, *held, c.releaseTransition(token))
		return notRunResult(err)
	}
	if deadlinePassed(ctx) {
		c.endClaim(ctx, *held, c.releaseTransition(token))
		return notRunResult(ErrDeadline)
	}
	return c.executeClaimed(ctx, *held, token, execute)
}

// deadlinePassed also compares the clock, because the timer of ctx fires late in a
// process that was stopped.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// executeClaimed executes under a confirmed claim.
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

// acquire claims the operation for token, or returns the Result without an
// execution. It first tries to create the record, so that an operation without
// contention costs one store call.
func (c *Claimer) acquire(ctx context.Context, r Request, token Token) (*claim, *Result) {
	held := claim{recordStore: recordStore{c.store, c.opts, r.Key.Path()}}
	delay := c.opts.backoff()
	// pending: a claim that was conditional on held.version may take effect.
	// contended: another attempt may hold the claim.
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
			// Provably not run: only this Run knows the token, and it returns
			// without executing, whether or not the claim takes effect.
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
				// A new version defeats a write that named the old one.
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

// endTransition computes the end of a claim.
type endTransition func(Record) (Record, error)

func (c *Claimer) releaseTransition(token Token) endTransition {
	return func(rec Record) (Record, error) { return rec.Release(token, c.opts.Now()) }
}

// endClaim records the end of a claim. It returns after the first attempt or
// when ctx ends, and retries in the background. No retry can overwrite
// another's write: end fails unless the record is still held by its token.
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

// releaseUnconfirmed prevents an unconfirmed claim from leaving a claimed record that
// nobody runs, which every later request with the key would wait for in vain.
// It releases the claim if it took effect, else changes the version that a
// delayed write of the claim would name.
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

// runInBackground runs f with a context that ends Options.Grace after the later of
// the deadline and now, and doesn't end when the caller leaves.
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
