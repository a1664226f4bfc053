package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// restoredStore is a Store with one object that can be restored from a copy. Numbers are
// given out again, also by changes of other objects. around runs before and after each call,
// and may act for other holders, advance the clock and restore the store. If its first run
// returns true for a write, the write has an unknown outcome, but is applied.
type restoredStore struct {
	content
	era    uint64
	copied content
	around func() bool
}

// content is what a copy of the store holds. version is 0 without an object.
type content struct {
	value          []byte
	version, count uint64
}

func (s *restoredStore) restore() { s.content, s.era = s.copied, s.era+1 }

func (s *restoredStore) token(number uint64) uint64 { return uint64(revision.New(s.era, number)) }

func (s *restoredStore) Get(context.Context, string) ([]byte, uint64, error) {
	s.around()
	value, version, token := s.value, s.version, s.token(s.version)
	s.around()
	if version == 0 {
		return nil, token, ErrNotFound
	}
	return value, token, nil
}

func (s *restoredStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, value, 0)
}

func (s *restoredStore) Update(_ context.Context, _ string, value []byte, version uint64) (uint64, error) {
	lost := s.around()
	if s.version != revision.Revision(version).Number() {
		return 0, ErrConflict
	}
	s.count++
	s.value, s.version = value, s.count
	token := s.token(s.version)
	if s.around(); lost {
		return 0, ErrOutcomeUnknown
	}
	return token, nil
}

// Guards against two processes that hold a lease at the same time because the store was
// restored, against a fencing token that two holders share, and against a lease that nobody
// can take afterwards. The store is restored also while calls are on their way.
func TestAtMostOneHolderThroughRestores(t *testing.T) {
	restores, checks := 0, 0
	run := func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		advance := func() { now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(rt, "seconds")) * time.Second) }
		store := &restoredStore{era: 1, around: func() bool { return false }}
		holders, inProgress := make([]*Holder, 2), make([]bool, 2)
		for i := range holders {
			var err error
			holders[i], err = NewHolder(store, "group", "", Options{HolderID: []string{"a", "b"}[i], Now: func() time.Time { return now }})
			assert.NilError(rt, err)
			_ = holders[i].AcquireOrRenew(rt.Context())
		}
		act := func(i int) {
			if inProgress[i] {
				return
			}
			inProgress[i] = true
			defer func() { inProgress[i] = false }()
			_ = holders[i].AcquireOrRenew(rt.Context())
		}
		restore := func() { restores++; store.restore() }
		store.around = func() bool {
			switch rapid.IntRange(0, 11).Draw(rt, "interrupt") {
			case 0:
				return true
			case 1:
				restore()
			case 2, 3:
				act(0)
				act(1)
				advance()
			}
			return false
		}
		holderOfToken := map[uint64]int{}
		rt.Repeat(map[string]func(*rapid.T){
			"write lease":  func(rt *rapid.T) { act(rapid.IntRange(0, 1).Draw(rt, "holder")) },
			"advance":      func(*rapid.T) { advance() },
			"copy":         func(*rapid.T) { store.copied = store.content },
			"restore":      func(*rapid.T) { restore() },
			"other change": func(*rapid.T) { store.count++ },
			"learn era":    func(rt *rapid.T) { holders[rapid.IntRange(0, 1).Draw(rt, "holder")].ObserveEra(store.era) },
			"": func(rt *rapid.T) {
				held := 0
				for i, h := range holders {
					token, err := h.Check(now)
					if err != nil {
						continue
					}
					held++
					checks++
					assert.Assert(rt, holderOfToken[token] == 0 || holderOfToken[token] == i+1, "fencing token %d has two holders", token)
					holderOfToken[token] = i + 1
				}
				assert.Assert(rt, held <= 1, "both hold the lease")
			},
		})
		store.around = func() bool { return false }
		for range 60 {
			now = now.Add(time.Second)
			act(0)
			act(1)
		}
		_, errA := holders[0].Check(now)
		_, errB := holders[1].Check(now)
		assert.Assert(rt, errA == nil || errB == nil, "nobody can take the lease")
	}
	for range 10 {
		rapid.Check(t, run)
	}
	assert.Assert(t, restores > 0 && checks > 0)
}

// Guards against a holder that goes on placing layers after it has learned that the store was
// restored, and against a pause until the lease would have expired.
func TestHolderStopsInANewEraUntilItHasWritten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := &restoredStore{era: 1, around: func() bool { return false }}
	h, err := NewHolder(store, "group", "", Options{Now: func() time.Time { return now }})
	assert.NilError(t, err)
	assert.NilError(t, h.AcquireOrRenew(t.Context()))
	before, err := h.Check(now)
	assert.NilError(t, err)
	store.restore()
	h.ObserveEra(store.era)
	_, err = h.Check(now)
	assert.ErrorIs(t, err, ErrNotHeld)
	h.ObserveEra(store.era - 1) // an older answer that arrives late
	assert.NilError(t, h.AcquireOrRenew(t.Context()))
	after, err := h.Check(now)
	assert.NilError(t, err)
	assert.Assert(t, after > before)
}

// Guards against a second holder whose write was applied after its lease had expired: another
// process held the lease meanwhile, and a restore brought back the version that was written.
func TestWriteAppliedAfterTheLeaseExpiredDoesNotHoldIt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := &restoredStore{era: 1, around: func() bool { return false }}
	h, err := NewHolder(store, "group", "", Options{Duration: 10 * time.Second, Now: func() time.Time { return now }})
	assert.NilError(t, err)
	assert.NilError(t, h.AcquireOrRenew(t.Context()))
	store.copied = store.content
	now = now.Add(8 * time.Second)
	delayed := false
	store.around = func() bool {
		if !delayed {
			delayed = true
			now = now.Add(3 * time.Second)
			store.restore()
		}
		return false
	}
	assert.ErrorIs(t, h.AcquireOrRenew(t.Context()), ErrHeld)
	_, err = h.Check(now)
	assert.ErrorIs(t, err, ErrNotHeld)
}
