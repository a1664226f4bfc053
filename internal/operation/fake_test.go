package operation

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// fault is the fault injected into one store call.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // not applied; returns ErrUnavailable
	faultDropped            // not applied; returns ErrOutcomeUnknown
	faultResponseLost       // applied; returns ErrOutcomeUnknown
	faultDelayed            // returns ErrOutcomeUnknown; applied later
)

// fakeStore is a linearizable store. Each simulated process accesses it
// through its own storeClient. mu guards the other fields while these processes
// run.
type fakeStore struct {
	mu           sync.Mutex
	objects      map[string]StoredRecord
	lastVersion  uint64
	calls        int
	deletions    int
	delayedCalls []func()
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]StoredRecord{}} }

// record returns the stored record, or the zero Record.
func (s *fakeStore) record(key string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, _ := Decode(s.objects[key].Value)
	return rec
}

// write applies a write if version is the version of the stored object. Version 0
// means that the object doesn't exist. A nil value deletes the object.
func (s *fakeStore) write(key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return 0, ErrConflict
	}
	s.lastVersion++
	if value == nil {
		delete(s.objects, key)
		s.deletions++
	} else {
		s.objects[key] = StoredRecord{Key: key, Version: s.lastVersion, Value: value}
	}
	return s.lastVersion, nil
}

// storeClient is one client of a fakeStore. chooseFault returns the fault of the
// next call; onReturn is called when the call returns, also if a fault was
// injected. Both are optional and may block.
type storeClient struct {
	*fakeStore
	chooseFault func() fault
	onReturn    func()
}

func (c storeClient) call(apply func() (uint64, error)) (uint64, error) {
	f := faultNone
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	if c.chooseFault != nil {
		f = c.chooseFault()
	}
	if c.onReturn != nil {
		defer c.onReturn()
	}
	switch f {
	case faultUnavailable:
		return 0, ErrUnavailable
	case faultDropped:
		return 0, ErrOutcomeUnknown
	case faultDelayed:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.delayedCalls = append(c.delayedCalls, func() { _, _ = apply() })
		return 0, ErrOutcomeUnknown
	}
	version, err := apply()
	if f == faultResponseLost {
		return 0, ErrOutcomeUnknown
	}
	return version, err
}

func (c storeClient) Get(_ context.Context, key string) (value []byte, version uint64, err error) {
	_, err = c.call(func() (uint64, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		o := c.objects[key]
		if value, version = o.Value, o.Version; version == 0 {
			return 0, ErrNotFound
		}
		return 0, nil
	})
	return value, version, err
}

func (c storeClient) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return c.call(func() (uint64, error) { return c.write(key, value, 0) })
}

func (c storeClient) Update(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	return c.call(func() (uint64, error) { return c.write(key, value, version) })
}

func (c storeClient) Delete(_ context.Context, key string, version uint64) error {
	_, err := c.call(func() (uint64, error) { return c.write(key, nil, version) })
	return err
}

func (c storeClient) List(_ context.Context, prefix, after string, limit int) (page []StoredRecord, more bool, err error) {
	_, err = c.call(func() (uint64, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for key, o := range c.objects {
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
