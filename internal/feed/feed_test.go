package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var errAway = errors.New("store is away")

// fakeStore is a source whose answers a test controls.
type fakeStore struct {
	mu      sync.Mutex
	records []string
	rev     uint64
	away    bool
	gone    bool
	silent  bool
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) List(context.Context) ([]string, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errAway
	}
	s.gone = false
	return slices.Clone(s.records), s.rev, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) ([]string, uint64, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		away, gone, silent, rev, records := s.away, s.gone, s.silent, s.rev, slices.Clone(s.records)
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case away:
			return nil, 0, errAway
		case gone:
			return nil, 0, ErrHistoryExpired
		case rev > after:
			return records[after:], rev, nil
		case time.Now().After(end):
			return nil, rev, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// seen keeps what a feed reported.
type seen struct {
	mu       sync.Mutex
	records  []string
	outages  int
	lost     int
	regained int
}

func (h *seen) Replace(records []string, _ uint64, afterOutage bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = slices.Clone(records)
	if afterOutage {
		h.outages++
	}
}

func (h *seen) Update(records []string, _ uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, records...)
}

func (h *seen) SourceFailed(error) { h.lost++ }

func (h *seen) SourceRecovered() { h.regained++ }

func (h *seen) has(records ...string) poll.Check {
	return func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !slices.Equal(h.records, records) {
			return poll.Continue("%v", h.records)
		}
		return poll.Success()
	}
}

func (s *fakeStore) add(record string) {
	s.set(func(s *fakeStore) { s.records, s.rev = append(s.records, record), s.rev+1 })
}

// follow runs a feed and returns a function that ends it.
func follow(s *fakeStore, h *seen, wait time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); New(s, h, wait).Run(ctx) }()
	return func() { cancel(); <-done }
}

const soon = 10 * time.Second

// Guards against changes that are missed when the history is gone, during an
// outage, or on a watch that went silent.
func TestFeedFollowsThroughTrouble(t *testing.T) {
	s, h := &fakeStore{}, &seen{}
	s.add("a")
	stop := follow(s, h, 50*time.Millisecond)
	poll.WaitOn(t, h.has("a"), poll.WithTimeout(soon))
	s.add("b")
	poll.WaitOn(t, h.has("a", "b"), poll.WithTimeout(soon))
	s.set(func(s *fakeStore) { s.gone = true })
	s.add("c")
	poll.WaitOn(t, h.has("a", "b", "c"), poll.WithTimeout(soon))
	s.set(func(s *fakeStore) { s.silent = true })
	s.add("d")
	time.Sleep(200 * time.Millisecond)
	s.set(func(s *fakeStore) { s.silent = false })
	poll.WaitOn(t, h.has("a", "b", "c", "d"), poll.WithTimeout(soon))
	stop()
}

// Guards against lapsed records that are taken for removed ones: the first list
// after an outage must be marked.
func TestFeedMarksOutages(t *testing.T) {
	s, h := &fakeStore{}, &seen{}
	s.add("a")
	stop := follow(s, h, 50*time.Millisecond)
	poll.WaitOn(t, h.has("a"), poll.WithTimeout(soon))
	s.set(func(s *fakeStore) { s.away, s.records, s.rev = true, nil, 7 })
	time.Sleep(outageAfter + 500*time.Millisecond)
	s.set(func(s *fakeStore) { s.away = false })
	poll.WaitOn(t, h.has(), poll.WithTimeout(soon))
	stop()
	assert.Equal(t, h.outages, 1)
	assert.Equal(t, h.lost, 1)
	assert.Equal(t, h.regained, 1)
}
