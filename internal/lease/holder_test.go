package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeStore is a Store with one object. Each call runs interrupt before and
// after it takes effect, as if the process was paused there; an error of the
// first run is the error of the call. A write that fails with ErrOutcomeUnknown
// is applied, delayed or lost if unknownWriteOutcome returns 0, 1 or 2.
type fakeStore struct {
	value               []byte
	version             uint64
	interrupt           func() error
	unknownWriteOutcome func() int
	delayedWrites       []func()
	interruptsDisabled  bool
}

func (s *fakeStore) Get(context.Context, string) ([]byte, uint64, error) {
	if s.interrupt() != nil {
		return nil, 0, ErrUnavailable
	}
	value, version := s.value, s.version
	s.interrupt()
	if version == 0 {
		return nil, 0, ErrNotFound
	}
	return value, version, nil
}

func (s *fakeStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, value, 0)
}

func (s *fakeStore) Update(_ context.Context, _ string, value []byte, version uint64) (uint64, error) {
	apply := func() (uint64, error) {
		if s.version != version {
			return 0, ErrConflict
		}
		s.value, s.version = value, s.version+1
		return s.version, nil
	}
	switch err := s.interrupt(); err {
	case nil:
	case ErrOutcomeUnknown:
		switch s.unknownWriteOutcome() {
		case 0:
			_, _ = apply()
		case 1:
			s.delayedWrites = append(s.delayedWrites, func() { _, _ = apply() })
		}
		return 0, err
	default:
		return 0, err
	}
	written, err := apply()
	s.interrupt()
	return written, err
}

// Guards against two processes that hold a lease at the same time, a fencing
// token that two holders share, and a sidecar that accepts an order of a former
// holder after an order of its successor. Holders are paused beyond the expiry
// of their leases before and after each store call takes effect, and between
// Check and the order.
func TestTwoHolders(t *testing.T) {
	successfulChecks := 0
	run := func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		advance := func() { now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second) }
		store := &fakeStore{unknownWriteOutcome: func() int { return rapid.IntRange(0, 2).Draw(rt, "outcome of write") }}
		applyDelayedWrite := func() {
			if len(store.delayedWrites) > 0 {
				store.delayedWrites[0]()
				store.delayedWrites = store.delayedWrites[1:]
			}
		}
		holders, inStep := make([]*Holder, 2), make([]bool, 2)
		step := func(i int) {
			if inStep[i] {
				return
			}
			inStep[i] = true
			defer func() { inStep[i] = false }()
			if rapid.IntRange(0, 9).Draw(rt, "release") == 0 {
				_ = holders[i].Release(rt.Context())
				_, err := holders[i].Check(now)
				assert.ErrorIs(rt, err, ErrNotHeld)
				return
			}
			_ = holders[i].AcquireOrRenew(rt.Context())
		}
		store.interrupt = func() error {
			if store.interruptsDisabled {
				return nil
			}
			switch rapid.IntRange(0, 9).Draw(rt, "interrupt") {
			case 0:
				return ErrOutcomeUnknown
			case 1:
				return ErrUnavailable
			case 2, 3:
				for range rapid.IntRange(1, 3).Draw(rt, "pause") {
					applyDelayedWrite()
					step(0)
					step(1)
					advance()
				}
			}
			return nil
		}
		for i := range holders {
			var err error
			holders[i], err = NewHolder(store, "group", "", Options{HolderID: []string{"a", "b"}[i], Now: func() time.Time { return now }})
			assert.NilError(rt, err)
		}
		highestFencing := uint64(0) // highest token that the sidecar has seen
		lastHolder := -1            // holder of the last accepted order, -1 for none
		holderOfFencing := map[uint64]int{}
		type order struct {
			holder  int
			fencing uint64
		}
		var pendingOrders []order
		rt.Repeat(map[string]func(*rapid.T){
			"step":       func(rt *rapid.T) { step(rapid.IntRange(0, 1).Draw(rt, "holder")) },
			"advance":    func(*rapid.T) { advance() },
			"late write": func(*rapid.T) { applyDelayedWrite() },
			"check": func(rt *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(rt, "holder")
				if fencing, err := holders[i].Check(now); err == nil {
					successfulChecks++
					pendingOrders = append(pendingOrders, order{i, fencing})
				}
			},
			"order": func(rt *rapid.T) {
				if len(pendingOrders) == 0 {
					return
				}
				k := rapid.IntRange(0, len(pendingOrders)-1).Draw(rt, "order")
				o := pendingOrders[k]
				if o.fencing < highestFencing {
					return
				}
				assert.Assert(rt, o.fencing > highestFencing || lastHolder < 0 || lastHolder == o.holder)
				highestFencing, lastHolder = o.fencing, o.holder
			},
			"sidecar restarts": func(rt *rapid.T) {
				store.interruptsDisabled = true
				current, err := CurrentFencing(rt.Context(), store, "group")
				store.interruptsDisabled = false
				assert.NilError(rt, err)
				assert.Assert(rt, current >= highestFencing)
				highestFencing, lastHolder = current, -1
			},
			"": func(rt *rapid.T) {
				held := 0
				for i, h := range holders {
					fencing, err := h.Check(now)
					if err != nil {
						continue
					}
					held++
					assert.Assert(rt, holderOfFencing[fencing] == 0 || holderOfFencing[fencing] == i+1, "fencing token %d has two holders", fencing)
					holderOfFencing[fencing] = i + 1
				}
				assert.Assert(rt, held <= 1, "both hold the lease")
			},
		})
	}
	// Violations require a rare order of pauses, so the property is checked more
	// often than by default.
	for range 30 {
		rapid.Check(t, run)
	}
	assert.Assert(t, successfulChecks > 0, "no lease was ever held")
}

// Guards against a holder that uses its expired lease after a pause, and against
// a takeover before the lease has expired by the clock of the new holder.
func TestTakeover(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	options := Options{Now: func() time.Time { return now }}
	store := &fakeStore{interrupt: func() error { return nil }}
	a, err := NewHolder(store, "group", "a", options)
	assert.NilError(t, err)
	b, err := NewHolder(store, "group", "b", options)
	assert.NilError(t, err)
	assert.NilError(t, a.AcquireOrRenew(t.Context()))
	first, err := a.Check(now.Add(9 * time.Second))
	assert.NilError(t, err)

	// From here on, a is paused.
	now = now.Add(9 * time.Second)
	assert.ErrorIs(t, b.AcquireOrRenew(t.Context()), ErrHeld)
	now = now.Add(10 * time.Second)
	assert.ErrorIs(t, b.AcquireOrRenew(t.Context()), ErrHeld)
	now = now.Add(time.Second)
	assert.NilError(t, b.AcquireOrRenew(t.Context()))
	_, err = a.Check(now)
	assert.ErrorIs(t, err, ErrNotHeld)
	current, err := CurrentFencing(t.Context(), store, "group")
	assert.NilError(t, err)
	second, err := b.Check(now)
	assert.NilError(t, err)
	assert.Assert(t, second == current && first < second)

	assert.ErrorIs(t, a.AcquireOrRenew(t.Context()), ErrHeld)
	assert.NilError(t, b.Release(t.Context()))
	assert.NilError(t, a.AcquireOrRenew(t.Context()))
}

// Guards against a lease that expires while its holder runs, and against a
// planned stop that doesn't release the lease, so that other processes wait for
// its expiry.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{interrupt: func() error { return nil }}
		h, err := NewHolder(store, "group", "a", Options{})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		go h.Run(ctx, func(err error) { assert.Check(t, err) })
		for range 100 {
			time.Sleep(time.Second)
			synctest.Wait()
			_, err := h.Check(time.Now())
			assert.NilError(t, err)
		}
		stop()
		synctest.Wait()
		rec, err := decodeRecord(store.value)
		assert.NilError(t, err)
		assert.Equal(t, rec.HolderID, "")
	})
}

// Guards against a Holder that releases its lease, reads the version that it
// held before, and holds the lease again. That version is older than the latest
// write with an unknown outcome, so the lease would be valid for too long. Found
// by TestTwoHolders.
func TestUsedVersionIsNotHeldAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	pendingErrs := []error{}
	outcome := 0
	store := &fakeStore{unknownWriteOutcome: func() int { return outcome }}
	store.interrupt = func() error {
		if len(pendingErrs) == 0 {
			return nil
		}
		err := pendingErrs[0]
		pendingErrs = pendingErrs[1:]
		return err
	}
	h, err := NewHolder(store, "group", "", Options{HolderID: "a", Now: func() time.Time { return now }})
	assert.NilError(t, err)
	acquireOrRenew := func(wantErr error, errs ...error) {
		t.Helper()
		pendingErrs = errs
		err := h.AcquireOrRenew(t.Context())
		if wantErr != nil {
			assert.ErrorIs(t, err, wantErr)
		}
	}
	acquireOrRenew(ErrOutcomeUnknown, nil, nil, ErrOutcomeUnknown) // applied, response lost
	acquireOrRenew(ErrUnavailable, nil, nil, ErrUnavailable)       // confirms version 1
	_, err = h.Check(now)
	assert.NilError(t, err)
	failRelease := func() {
		pendingErrs = []error{ErrUnavailable}
		assert.ErrorIs(t, h.Release(t.Context()), ErrUnavailable)
	}
	failRelease()
	now = now.Add(6 * time.Second)
	outcome = 2 // the write is lost
	acquireOrRenew(ErrOutcomeUnknown, nil, nil, ErrOutcomeUnknown)
	failRelease()
	acquireOrRenew(ErrUnavailable, nil, nil, ErrUnavailable)
	_, err = h.Check(now)
	assert.ErrorIs(t, err, ErrNotHeld)
}
