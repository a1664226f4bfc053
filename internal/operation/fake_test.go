package operation

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// fault is what happens to one store call.
type fault int

const (
	faultNone    fault = iota
	faultDown          // surely not applied, ErrUnavailable
	faultDropped       // not applied, ErrOutcomeUnknown
	faultLost          // applied, ErrOutcomeUnknown
	faultDelayed       // ErrOutcomeUnknown now, applied at a later time
)

// fakeStore is a linearizable store. Each actor uses its own view of it.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]StoredRecord
	version uint64
	calls   int
	removed int
	delayed []func()
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]StoredRecord{}} }

// record returns the stored record, or the zero Record.
func (s *fakeStore) record(key string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, _ := Decode(s.objects[key].Value)
	return rec
}

// write applies a conditional write; a nil value removes the object.
func (s *fakeStore) write(key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return 0, ErrConflict
	}
	s.version++
	if value == nil {
		delete(s.objects, key)
		s.removed++
	} else {
		s.objects[key] = StoredRecord{Key: key, Version: s.version, Value: value}
	}
	return s.version, nil
}

// storeView is a client. before chooses the fault of a call; after is called
// when the store has handled it. Both may block.
type storeView struct {
	*fakeStore
	before func() fault
	after  func()
}

func (v storeView) call(apply func() (uint64, error)) (uint64, error) {
	f := faultNone
	v.mu.Lock()
	v.calls++
	v.mu.Unlock()
	if v.before != nil {
		f = v.before()
	}
	if v.after != nil {
		defer v.after()
	}
	switch f {
	case faultDown:
		return 0, ErrUnavailable
	case faultDropped:
		return 0, ErrOutcomeUnknown
	case faultDelayed:
		v.mu.Lock()
		defer v.mu.Unlock()
		v.delayed = append(v.delayed, func() { _, _ = apply() })
		return 0, ErrOutcomeUnknown
	}
	version, err := apply()
	if f == faultLost {
		return 0, ErrOutcomeUnknown
	}
	return version, err
}

func (v storeView) Get(_ context.Context, key string) (value []byte, version uint64, err error) {
	_, err = v.call(func() (uint64, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		o := v.objects[key]
		if value, version = o.Value, o.Version; version == 0 {
			return 0, ErrNotFound
		}
		return 0, nil
	})
	return value, version, err
}

func (v storeView) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return v.call(func() (uint64, error) { return v.write(key, value, 0) })
}

func (v storeView) Update(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	return v.call(func() (uint64, error) { return v.write(key, value, version) })
}

func (v storeView) Delete(_ context.Context, key string, version uint64) error {
	_, err := v.call(func() (uint64, error) { return v.write(key, nil, version) })
	return err
}

func (v storeView) List(_ context.Context, prefix, after string, limit int) (page []StoredRecord, more bool, err error) {
	_, err = v.call(func() (uint64, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for key, o := range v.objects {
			if strings.HasPrefix(key, prefix) && key > after {
				page = append(page, o)
			}
		}
		slices.SortFunc(page, func(a, b StoredRecord) int { return strings.Compare(a.Key, b.Key) })
		more = len(page) > limit
		page = page[:min(limit, len(page))]
		return 0, nil
	})
	return page, more, err
}
