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

// Options configures a Holder. Zero values select the defaults.
type Options struct {
	// Duration is how long the lease lasts after a write. Default 10 s, at
	// most 1 h.
	Duration time.Duration
	// StoreTimeout bounds one store call. Default 2 s.
	StoreTimeout time.Duration
	// Now returns the current time, which must be monotonic. Default time.Now.
	Now func() time.Time
	// HolderID identifies the Holder in the store. Default: a random text.
	HolderID string
}

// Holder acquires, renews and releases the lease of one group for one process.
// It is safe for concurrent use. Calls of AcquireOrRenew and Release exclude
// each other.
type Holder struct {
	store         Store
	key           string
	opts          Options
	encodedRecord []byte

	// storeMu serializes AcquireOrRenew and Release, including their store calls.
	storeMu sync.Mutex

	// mu guards the fields below. It is not held during store calls.
	mu sync.Mutex
	// fencing is the fencing token of the lease that this Holder holds until
	// validUntil, or 0 if it holds none.
	fencing    uint64
	validUntil time.Time
	// observedVersion is the version found by the last read that did not find
	// this Holder's own lease, or 0 if there was no lease. observedAt is when
	// that version was first read.
	observedVersion uint64
	observedAt      time.Time
	// unresolvedSince is when the oldest write with an unknown outcome was sent,
	// or zero if there is none.
	unresolvedSince time.Time
	// usedVersion is the highest version that this Holder has held or tried to
	// release. The Holder never holds the lease under this version again: a read
	// of the version doesn't show when it was written, and a delayed release may
	// still replace it.
	usedVersion uint64
	// era is the highest known era of the store, eraKnown is false before the first
	// answer. eraSince is when the latest rise was learned, or zero.
	era      uint64
	eraKnown bool
	eraSince time.Time
	// claimUntil is when the lease expires that this Holder held when the era rose, or
	// zero. The store may have lost the lease, but no other process holds it.
	claimUntil time.Time
}

// NewHolder returns a Holder for the lease of group. owner is the id of the
// instance.
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
	if opts.HolderID == "" {
		opts.HolderID = rand.Text()
	}
	value, err := json.Marshal(record{owner, opts.HolderID, opts.Duration.Milliseconds()})
	if err != nil || len(value) > maxValueBytes || group == "" {
		return nil, eris.Wrap(errInvalid, "lease: group or owner")
	}
	return &Holder{store: store, key: Key(group), opts: opts, encodedRecord: value}, nil
}

// Check returns the fencing token for an order that is sent at now, or
// ErrNotHeld. It must be called directly before each order with the current
// time. If the process is paused between Check and the order until another
// process takes over, the token is outdated and the sidecar rejects the order.
func (h *Holder) Check(now time.Time) (fencing uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencing == 0 || !now.Before(h.validUntil) {
		return 0, ErrNotHeld
	}
	return h.fencing, nil
}

// Run acquires and renews the lease until ctx ends and then releases it. While
// another process holds the lease, Run repeats its attempts to acquire it. If
// report is not nil, it is called with the result of each attempt.
func (h *Holder) Run(ctx context.Context, report func(error)) {
	// An interval of a third of the duration leaves time for two more attempts
	// before the lease expires.
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

// AcquireOrRenew makes one attempt to acquire or renew the lease. It returns nil
// if the lease was written, ErrHeld if another process holds it, or an error of
// the store. After an error of the store, a lease that is held remains valid
// until it expires.
func (h *Holder) AcquireOrRenew(ctx context.Context) error {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	if fencing, err := h.Check(h.opts.Now()); err == nil {
		// The version of a lease that is held is its fencing token. renew reads
		// the lease if this version is uncertain or outdated.
		return h.renew(ctx, fencing)
	}
	rec, version, err := h.read(ctx)
	switch {
	case err != nil:
		return err
	case h.Claims():
	case h.wrote(rec):
		h.confirmHeld(version)
	default:
		h.invalidate()
		if !h.canAcquire(rec, version) {
			return ErrHeld
		}
	}
	return h.acquire(ctx, version)
}

// renew renews a lease that is held. If the outcome of an earlier write is
// unknown, or if the write conflicts or finds no lease, it reads the lease and writes
// with the version that it read.
func (h *Holder) renew(ctx context.Context, version uint64) error {
	h.mu.Lock()
	uncertain := !h.unresolvedSince.IsZero()
	h.mu.Unlock()
	if !uncertain {
		err := h.acquire(ctx, version)
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) {
			return err
		}
	}
	rec, current, err := h.read(ctx)
	switch {
	case err != nil:
		return err
	case h.Claims():
	case h.wrote(rec):
		h.confirmHeld(current)
	default:
		h.invalidate()
		return ErrHeld
	}
	return h.acquire(ctx, current)
}

// Release releases the lease, so that another process can acquire it at once.
// Check fails from the start of the call, even if the release can't be written.
func (h *Holder) Release(ctx context.Context) error {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	h.invalidate()
	rec, version, err := h.read(ctx)
	if err != nil || rec.HolderID != h.opts.HolderID {
		return err
	}
	value, err := json.Marshal(record{DurationMillis: rec.DurationMillis})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.usedVersion = max(h.usedVersion, version)
	h.mu.Unlock()
	_, err = h.write(ctx, value, version)
	return err
}

// read returns the stored lease and its version, or version 0 if there is none.
// A value that is not a valid lease is returned as the lease of an unknown
// holder with this Holder's duration.
func (h *Holder) read(ctx context.Context) (record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	value, version, err := h.store.Get(ctx, h.key)
	if err == nil || errors.Is(err, ErrNotFound) {
		h.ObserveEra(eraOf(version))
	}
	if errors.Is(err, ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, eris.Wrap(err, "lease: read")
	}
	rec, err := decodeRecord(value)
	if err != nil {
		rec = record{HolderID: "invalid", DurationMillis: h.opts.Duration.Milliseconds()}
	}
	return rec, version, nil
}

// write writes the value if the stored version equals version, where 0 means
// that no value is stored. It returns the new version.
func (h *Holder) write(ctx context.Context, value []byte, version uint64) (written uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.StoreTimeout)
	defer cancel()
	if version == 0 {
		written, err = h.store.Create(ctx, h.key, value)
	} else {
		written, err = h.store.Update(ctx, h.key, value, version)
	}
	if err != nil {
		return 0, eris.Wrap(err, "lease: write")
	}
	return written, nil
}

// acquire writes the lease. If the write succeeds, the lease is valid for its
// duration from the time at which the write was sent. Other processes measure
// the duration from a later time, at which they read the lease.
func (h *Holder) acquire(ctx context.Context, version uint64) error {
	sent := h.opts.Now()
	written, err := h.write(ctx, h.encodedRecord, version)
	h.mu.Lock()
	defer h.mu.Unlock()
	// A write may be applied after the lease has expired and another process has held it.
	answered := h.opts.Now()
	held := answered.Before(h.validUntil) || answered.Before(h.claimUntil)
	switch {
	case err == nil && eraOf(written) < h.era:
		// The store was restored after the write, which may be lost.
		h.claimUntil = sent.Add(h.opts.Duration)
		return ErrConflict
	case err == nil && eraOf(written) > h.era && !held:
		// The store was restored after the read. The holder of the former era may still
		// use the lease.
		h.learnEra(eraOf(written))
		return ErrConflict
	case err == nil:
		h.learnEra(eraOf(written))
		h.fencing, h.validUntil, h.unresolvedSince = written, sent.Add(h.opts.Duration), time.Time{}
		h.usedVersion, h.claimUntil = written, time.Time{}
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound), errors.Is(err, ErrUnavailable):
		// The write was not applied.
	case h.unresolvedSince.IsZero():
		h.unresolvedSince = sent
	}
	return err
}

// confirmHeld handles a read that found this Holder's ID. A version above
// usedVersion was written by one of the writes with an unknown outcome. The
// lease is then held, and its duration is measured from the oldest of these
// writes.
func (h *Holder) confirmHeld(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.usedVersion {
		h.fencing, h.validUntil = version, h.unresolvedSince.Add(h.opts.Duration)
		h.unresolvedSince, h.usedVersion = time.Time{}, version
	}
}

// invalidate makes Check fail until the lease is acquired again. It makes no
// store call.
func (h *Holder) invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fencing, h.validUntil, h.claimUntil = 0, time.Time{}, time.Time{}
}

// ObserveEra records an era of the store. If it is newer than the known one, Check fails
// until the lease is written in that era. A Holder that held the lease may do so at once;
// others wait until that lease has expired.
func (h *Holder) ObserveEra(era uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learnEra(era)
}

// learnEra does the work of ObserveEra. The caller holds mu.
func (h *Holder) learnEra(era uint64) {
	if h.eraKnown && era <= h.era {
		return
	}
	if h.eraKnown {
		h.eraSince = h.opts.Now()
		if h.validUntil.After(h.claimUntil) {
			h.claimUntil = h.validUntil
		}
		h.fencing, h.validUntil, h.unresolvedSince = 0, time.Time{}, time.Time{}
	}
	h.era, h.eraKnown = era, true
}

// Claims reports whether this Holder held the lease when the store was restored, and the
// lease has not expired since.
func (h *Holder) Claims() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opts.Now().Before(h.claimUntil)
}

// wrote reports whether a stored lease was written by this Holder in the present era. In the
// copy from which a store was restored, this Holder's lease may be one that another process
// has taken over since.
func (h *Holder) wrote(rec record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return rec.HolderID == h.opts.HolderID && (eraOf(h.usedVersion) == h.era || !h.unresolvedSince.IsZero())
}

// canAcquire reports whether the lease is absent, released or expired. It is
// expired if its version hasn't changed for its duration by the clock of this
// process. A tenth of the duration is added, because clocks may run at different
// rates. After a restore of the store, the lease can't be acquired for the same time,
// because its holder may use it although the store has lost it.
func (h *Holder) canAcquire(rec record, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if version != h.observedVersion {
		h.observedVersion, h.observedAt = version, now
	}
	if !h.eraSince.IsZero() && now.Sub(h.eraSince) < max(rec.duration(), h.opts.Duration)*11/10 {
		return false
	}
	return rec.HolderID == "" || now.Sub(h.observedAt) >= rec.duration()*11/10
}
