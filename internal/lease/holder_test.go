package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeStore holds one object. interrupt runs before and after a call takes
// effect, as if the process was paused there, and returns the call's error;
// a write with ErrOutcomeUnknown is applied, lost or delayed at random.
type fakeStore struct {
	value     []byte
	version   uint64
	interrupt func() error
	fate      func() int
	delayed   []func()
	quiet     bool
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
		switch s.fate() {
		case 0:
			_, _ = apply()
		case 1:
			s.delayed = append(s.delayed, func() { _, _ = apply() })
		}
		return 0, err
	default:
		return 0, err
	}
	written, err := apply()
	s.interrupt()
	return written, err
}

// Guards against two processes that hold a lease at once, a fencing number of
// two holders, and an order of a former holder that a sidecar accepts after an
// order of its successor. Holders are paused inside and after each store call
// and between Check and the order, past their leases.
func TestTwoHolders(t *testing.T) {
	taken := 0
	run := func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		advance := func() { now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second) }
		store := &fakeStore{fate: func() int { return rapid.IntRange(0, 2).Draw(rt, "fate") }}
		late := func() {
			if len(store.delayed) > 0 {
				store.delayed[0]()
				store.delayed = store.delayed[1:]
			}
		}
		holders, busy := make([]*Holder, 2), make([]bool, 2)
		step := func(i int) {
			if busy[i] {
				return
			}
			busy[i] = true
			defer func() { busy[i] = false }()
			if rapid.IntRange(0, 9).Draw(rt, "release") == 0 {
				_ = holders[i].Release(rt.Context())
				_, err := holders[i].Check(now)
				assert.ErrorIs(rt, err, ErrNotHeld)
				return
			}
			_ = holders[i].AcquireOrRenew(rt.Context())
		}
		store.interrupt = func() error {
			if store.quiet {
				return nil
			}
			switch rapid.IntRange(0, 9).Draw(rt, "interrupt") {
			case 0:
				return ErrOutcomeUnknown
			case 1:
				return ErrUnavailable
			case 2, 3:
				for range rapid.IntRange(1, 3).Draw(rt, "pause") {
					late()
					step(0)
					step(1)
					advance()
				}
			}
			return nil
		}
		for i := range holders {
			var err error
			holders[i], err = NewHolder(store, "group", "", Options{Token: []string{"a", "b"}[i], Now: func() time.Time { return now }})
			assert.NilError(rt, err)
		}
		floor := uint64(0) // of the sidecar
		last := -1         // holder of the last accepted order
		owner := map[uint64]int{}
		type order struct {
			holder  int
			fencing uint64
		}
		var paused []order
		rt.Repeat(map[string]func(*rapid.T){
			"step":       func(rt *rapid.T) { step(rapid.IntRange(0, 1).Draw(rt, "holder")) },
			"advance":    func(*rapid.T) { advance() },
			"late write": func(*rapid.T) { late() },
			"check": func(rt *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(rt, "holder")
				if fencing, err := holders[i].Check(now); err == nil {
					taken++
					paused = append(paused, order{i, fencing})
				}
			},
			"order": func(rt *rapid.T) {
				if len(paused) == 0 {
					return
				}
				k := rapid.IntRange(0, len(paused)-1).Draw(rt, "order")
				o := paused[k]
				if o.fencing < floor {
					return
				}
				assert.Assert(rt, o.fencing > floor || last < 0 || last == o.holder)
				floor, last = o.fencing, o.holder
			},
			"sidecar restarts": func(rt *rapid.T) {
				store.quiet = true
				current, err := CurrentFencing(rt.Context(), store, "group")
				store.quiet = false
				assert.NilError(rt, err)
				assert.Assert(rt, current >= floor)
				floor, last = current, -1
			},
			"": func(rt *rapid.T) {
				held := 0
				for i, h := range holders {
					fencing, err := h.Check(now)
					if err != nil {
						continue
					}
					held++
					assert.Assert(rt, owner[fencing] == 0 || owner[fencing] == i+1, "number %d has two holders", fencing)
					owner[fencing] = i + 1
				}
				assert.Assert(rt, held <= 1, "both hold the lease")
			},
		})
	}
	// A lease is lost through a rare order of pauses, hence more runs than the
	// default.
	for range 30 {
		rapid.Check(t, run)
	}
	assert.Assert(t, taken > 0, "no lease was ever held")
}

// Guards against a holder that trusts its lease after a pause, and against a
// takeover before the duration has passed by the taker's own clock.
func TestTakeover(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := Options{Now: func() time.Time { return now }}
	store := &fakeStore{interrupt: func() error { return nil }}
	a, err := NewHolder(store, "group", "a", clock)
	assert.NilError(t, err)
	b, err := NewHolder(store, "group", "b", clock)
	assert.NilError(t, err)
	assert.NilError(t, a.AcquireOrRenew(t.Context()))
	first, err := a.Check(now.Add(9 * time.Second))
	assert.NilError(t, err)

	// a is paused from here on.
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

// Guards against a lease that expires although its holder runs, and against a
// planned stop after which others wait for the expiry.
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
		rec, err := decode(store.value)
		assert.NilError(t, err)
		assert.Equal(t, rec.Token, "")
	})
}

// Guards against a lease that is held again on the strength of a read after it
// was given up: the read version is older than the latest unresolved write, so
// the lease would count from too late a time. Found by TestTwoHolders.
func TestSpentVersionIsNotHeldAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fail := []error{}
	fate := 0
	store := &fakeStore{fate: func() int { return fate }}
	store.interrupt = func() error {
		if len(fail) == 0 {
			return nil
		}
		err := fail[0]
		fail = fail[1:]
		return err
	}
	h, err := NewHolder(store, "group", "", Options{Token: "a", Now: func() time.Time { return now }})
	assert.NilError(t, err)
	step := func(wantErr error, errs ...error) {
		t.Helper()
		fail = errs
		err := h.AcquireOrRenew(t.Context())
		if wantErr != nil {
			assert.ErrorIs(t, err, wantErr)
		}
	}
	step(ErrOutcomeUnknown, nil, nil, ErrOutcomeUnknown) // applied, answer lost
	step(ErrUnavailable, nil, nil, ErrUnavailable)       // confirms version 1
	_, err = h.Check(now)
	assert.NilError(t, err)
	giveUp := func() {
		fail = []error{ErrUnavailable}
		assert.ErrorIs(t, h.Release(t.Context()), ErrUnavailable)
	}
	giveUp()
	now = now.Add(6 * time.Second)
	fate = 2 // the write is lost
	step(ErrOutcomeUnknown, nil, nil, ErrOutcomeUnknown)
	giveUp()
	step(ErrUnavailable, nil, nil, ErrUnavailable)
	_, err = h.Check(now)
	assert.ErrorIs(t, err, ErrNotHeld)
}
