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

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

var errUnavailable = errors.New("store unavailable")

// fakeStore is a Source whose answers a test controls.
type fakeStore struct {
	mu             sync.Mutex
	records        []string
	rev            revision.Revision
	unavailable    bool
	historyExpired bool
	// watchHangs makes Watch wait until its context ends; List still answers.
	watchHangs bool
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) List(context.Context) (Batch[string], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return Batch[string]{}, errUnavailable
	}
	// A feed lists after ErrHistoryExpired. Its next watch then starts at a
	// revision that the store still holds.
	s.historyExpired = false
	return Batch[string]{Records: slices.Clone(s.records), Revision: s.rev}, nil
}

func (s *fakeStore) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (Batch[string], error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		unavailable, historyExpired, watchHangs, rev, records := s.unavailable, s.historyExpired, s.watchHangs,
			s.rev, slices.Clone(s.records)
		s.mu.Unlock()
		switch {
		case watchHangs:
			<-ctx.Done()
			return Batch[string]{}, ctx.Err()
		case unavailable:
			return Batch[string]{}, errUnavailable
		case historyExpired:
			return Batch[string]{}, ErrHistoryExpired
		case rev > after:
			return Batch[string]{Records: records[min(after.Number(), uint64(len(records))):], Revision: rev}, nil
		case time.Now().After(end):
			return Batch[string]{Revision: rev}, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// recordingHandler records what a feed reports.
type recordingHandler struct {
	mu      sync.Mutex
	records []string
	// outageLists counts the lists that are marked with afterOutage.
	outageLists int
	failures    int
	recoveries  int
}

func (h *recordingHandler) Replace(b Batch[string], afterOutage bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = slices.Clone(b.Records)
	if afterOutage {
		h.outageLists++
	}
}

func (h *recordingHandler) Update(b Batch[string]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, b.Records...)
}

func (h *recordingHandler) SourceFailed(error) { h.failures++ }

func (h *recordingHandler) SourceRecovered() { h.recoveries++ }

func (h *recordingHandler) hasRecords(records ...string) poll.Check {
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
	s.update(func(s *fakeStore) { s.records, s.rev = append(s.records, record), s.rev+1 })
}

// startFeed runs a feed and returns a function that stops it.
func startFeed(s *fakeStore, h *recordingHandler, watchWait time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); New(s, h, Options{Wait: watchWait}).Run(ctx) }()
	return func() { cancel(); <-done }
}

const pollTimeout = 10 * time.Second

// Guards against missed changes: a change may happen after the store's history
// has expired or while a watch hangs.
func TestFeedRecoversMissedChanges(t *testing.T) {
	s, h := &fakeStore{}, &recordingHandler{}
	s.add("a")
	stop := startFeed(s, h, 50*time.Millisecond)
	poll.WaitOn(t, h.hasRecords("a"), poll.WithTimeout(pollTimeout))
	s.add("b")
	poll.WaitOn(t, h.hasRecords("a", "b"), poll.WithTimeout(pollTimeout))
	s.update(func(s *fakeStore) { s.historyExpired = true })
	s.add("c")
	poll.WaitOn(t, h.hasRecords("a", "b", "c"), poll.WithTimeout(pollTimeout))
	s.update(func(s *fakeStore) { s.watchHangs = true })
	s.add("d")
	time.Sleep(200 * time.Millisecond)
	s.update(func(s *fakeStore) { s.watchHangs = false })
	poll.WaitOn(t, h.hasRecords("a", "b", "c", "d"), poll.WithTimeout(pollTimeout))
	stop()
}

// Guards against records that are treated as removed because they are missing from
// the first list after an outage: the store may have lost them during the outage,
// so that the list must be marked.
func TestFeedMarksOutages(t *testing.T) {
	s, h := &fakeStore{}, &recordingHandler{}
	s.add("a")
	stop := startFeed(s, h, 50*time.Millisecond)
	poll.WaitOn(t, h.hasRecords("a"), poll.WithTimeout(pollTimeout))
	s.update(func(s *fakeStore) { s.unavailable, s.records, s.rev = true, nil, 7 })
	time.Sleep(minOutage + 500*time.Millisecond)
	s.update(func(s *fakeStore) { s.unavailable = false })
	poll.WaitOn(t, h.hasRecords(), poll.WithTimeout(pollTimeout))
	stop()
	assert.Equal(t, h.outageLists, 1)
	assert.Equal(t, h.failures, 1)
	assert.Equal(t, h.recoveries, 1)
}

// Guards against records that are treated as removed because the store was restored from a copy
// without them, in a time too short to count as an outage, and against a watch that continues
// in another era without a list.
func TestFeedMarksRestores(t *testing.T) {
	s, h := &fakeStore{}, &recordingHandler{}
	s.add("a")
	s.add("b")
	stop := startFeed(s, h, 50*time.Millisecond)
	poll.WaitOn(t, h.hasRecords("a", "b"), poll.WithTimeout(pollTimeout))
	s.update(func(s *fakeStore) { s.records, s.rev = []string{"c"}, revision.New(1, 1) })
	poll.WaitOn(t, h.hasRecords("c"), poll.WithTimeout(pollTimeout))
	s.update(func(s *fakeStore) {
		s.historyExpired, s.records, s.rev = true, []string{"d"}, revision.New(1, 2)
	})
	poll.WaitOn(t, h.hasRecords("d"), poll.WithTimeout(pollTimeout))
	stop()
	assert.Equal(t, h.outageLists, 1)
	assert.Equal(t, h.failures, 0)
}
