package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options configures a Holder. Zero fields take the defaults.
type Options struct {
	// Duration is how long the lease lasts after a write. Default 10 s, at
	// most 1 h.
	Duration time.Duration
	// StoreTimeout bounds one store call. Default 2 s.
	StoreTimeout time.Duration
	// Now is the clock; its readings must be monotonic. Default time.Now.
	Now func() time.Time
	// Token identifies this Holder. Default: random.
	Token string
}

// Holder acquires, renews and releases the lease of one group for one process.
// Its methods may be called concurrently; Step and Release take turns.
type Holder struct {
	store Store
	path  string
	opts  Options
	value []byte

	// turn is held during store calls, mu only for access to the fields.
	turn sync.Mutex

	mu sync.Mutex
	// fencing and validUntil describe the lease if it is held.
	fencing    uint64
	validUntil time.Time
	// seen is the version of the last read, 0 for none, and seenAt the time
	// when it was first read.
	seen   uint64
	seenAt time.Time
	// unresolved is the start of the oldest write whose outcome is unknown.
	unresolved time.Time
	// spent is the highest version that this Holder has held or tried to
	// release. A read of that version says nothing about when it was written,
	// and a late release may still replace it, so the lease is not held under
	// it again.
	spent uint64
}

// NewHolder returns a Holder of group for the instance owner.
func NewHolder(store Store, group, owner string, opts Options) (*Holder, error) {
	if opts.Duration <= 0 {
		opts.Duration = 10 * time.Second
	}
	opts.Duration = max(min(opts.Duration, maxDuration), time.Millisecond)
	if opts.StoreTimeout <= 0 {
		opts.StoreTimeout = 2 * time.Second
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Token == "" {
		opts.Token = rand.Text()
	}
	value, err := json.Marshal(record{owner, opts.Token, opts.Duration.Milliseconds()})
	if err != nil || len(value) > maxValueBytes || group == "" {
		return nil, eris.Wrap(errInvalid, "lease: group or owner")
	}
	return &Holder{store: store, path: Key(group), opts: opts, value: value}, nil
}

// Check returns the fencing number for an order sent at now, or ErrNotHeld. It
// must be called directly before each order, with a fresh reading of the
// clock. A process that is stopped after Check sends an outdated number, which
// the sidecar rejects.
func (h *Holder) Check(now time.Time) (fencing uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencing == 0 || !now.Before(h.validUntil) {
		return 0, ErrNotHeld
	}
	return h.fencing, nil
}

// Run keeps the lease until ctx ends and then releases it. While another
// process holds it, Run waits for its expiry. report, if not nil, gets the
// result of each step.
func (h *Holder) Run(ctx context.Context, report func(error)) {
	// A third leaves time for two more attempts before the lease expires.
	tick := time.NewTicker(h.opts.Duration / 3)
	defer tick.Stop()
	for ctx.Err() == nil {
		err := h.AcquireOrRenew(ctx)
		if report != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	_ = h.Release(context.WithoutCancel(ctx))
}

// AcquireOrRenew makes one attempt to acquire or renew the lease. It returns nil if the
// lease was written, ErrHeld, or an error of the store. After an error a lease
// that was held stays valid until its time ends.
func (h *Holder) AcquireOrRenew(ctx context.Context) error {
	h.turn.Lock()
	defer h.turn.Unlock()
	if fencing, err := h.Check(h.opts.Now()); err == nil {
		// While the lease is held, its version is known. A conflict means that
		// it is not; the next step reads it.
		return h.renew(ctx, fencing)
	}
	rec, version, err := h.read(ctx)
	if err != nil {
		return err
	}
	if rec.Token == h.opts.Token {
		h.confirm(version)
	} else if h.forget(); !h.mayTake(rec, version) {
		return ErrHeld
	}
	return h.take(ctx, version)
}

// renew writes a lease that is held. After a write whose outcome is unknown
// the version is not known either.
func (h *Holder) renew(ctx context.Context, version uint64) error {
	h.mu.Lock()
	uncertain := !h.unresolved.IsZero()
	h.mu.Unlock()
	if !uncertain {
		err := h.take(ctx, version)
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	rec, current, err := h.read(ctx)
	if err != nil {
		return err
	}
	if rec.Token != h.opts.Token {
		h.forget()
		return ErrHeld
	}
	h.confirm(current)
	return h.take(ctx, current)
}

// Release gives the lease up, so that another process can take it at once.
// Check fails from the start of the call, also if the write fails.
func (h *Holder) Release(ctx context.Context) error {
	h.turn.Lock()
	defer h.turn.Unlock()
	h.forget()
	rec, version, err := h.read(ctx)
	if err != nil || rec.Token != h.opts.Token {
		return err
	}
	value, err := json.Marshal(record{DurationMillis: rec.DurationMillis})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.spent = max(h.spent, version)
	h.mu.Unlock()
	_, err = h.write(ctx, value, version)
	return err
}

// read returns the stored lease, or version 0. A value that is not a lease
// reads as one of an unknown holder with this Holder's duration.
func (h *Holder) read(ctx context.Context) (record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	value, version, err := h.store.Get(ctx, h.path)
	if errors.Is(err, ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, eris.Wrap(err, "lease: read")
	}
	rec, err := decode(value)
	if err != nil {
		rec = record{Token: "invalid", DurationMillis: h.opts.Duration.Milliseconds()}
	}
	return rec, version, nil
}

// write makes a conditional write and returns its version.
func (h *Holder) write(ctx context.Context, value []byte, version uint64) (written uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	if version == 0 {
		written, err = h.store.Create(ctx, h.path, value)
	} else {
		written, err = h.store.Update(ctx, h.path, value, version)
	}
	if err != nil {
		return 0, eris.Wrap(err, "lease: write")
	}
	return written, nil
}

// take writes the lease and holds it from the time at which the write was
// sent: others count from a later moment, after it was applied.
func (h *Holder) take(ctx context.Context, version uint64) error {
	sent := h.opts.Now()
	written, err := h.write(ctx, h.value, version)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.fencing, h.validUntil, h.unresolved = written, sent.Add(h.opts.Duration), time.Time{}
		h.spent = written
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound), errors.Is(err, ErrUnavailable):
		// Not applied.
	case h.unresolved.IsZero():
		h.unresolved = sent
	}
	return err
}

// confirm takes note of a read that found this Holder's token. A new version
// is that of an unresolved write; the lease counts from the oldest of them.
func (h *Holder) confirm(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.spent {
		h.fencing, h.validUntil = version, h.unresolved.Add(h.opts.Duration)
		h.unresolved, h.spent = time.Time{}, version
	}
}

// forget ends the lease locally.
func (h *Holder) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fencing, h.validUntil = 0, time.Time{}
}

// mayTake reports whether the lease is absent, released, or unchanged for its
// duration by this process's clock. A tenth is added for clocks that run at
// different rates.
func (h *Holder) mayTake(rec record, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if version != h.seen {
		h.seen, h.seenAt = version, now
	}
	return rec.Token == "" || now.Sub(h.seenAt) >= rec.duration()*11/10
}
