package relay

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	testWait = 400 * time.Millisecond
	// testTimeout bounds the wait for what must happen.
	testTimeout = 10 * time.Second
)

var errStoreDown = errors.New("store down")

// fakeStore is the platform's store with one kind of record.
type fakeStore struct {
	mu       sync.Mutex
	values   []string // in the order of their revisions, from 1
	down     bool
	calls    int
	hanging  bool
	notified chan struct{}
}

func newFakeStore(values ...string) *fakeStore {
	return &fakeStore{values: values, notified: make(chan struct{})}
}

func (s *fakeStore) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.notified)
	s.notified = make(chan struct{})
}

func (s *fakeStore) add(value string) { s.change(func() { s.values = append(s.values, value) }) }

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) after(known revision.Revision) (feed.Batch[string], <-chan struct{}, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Batch[string]{}, s.notified, s.hanging, errStoreDown
	}
	latest := revision.Revision(len(s.values))
	b := feed.Batch[string]{Revision: latest, LatestChange: latest, ConfirmedAt: time.Now()}
	if known < latest {
		b.Records = append(b.Records, s.values[known:]...)
	}
	return b, s.notified, s.hanging, nil
}

func (s *fakeStore) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *fakeStore) List(context.Context) (feed.Batch[string], error) {
	s.countCall()
	b, _, _, err := s.after(0)
	return b, err
}

func (s *fakeStore) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (feed.Batch[string], error) {
	s.countCall()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, notified, hanging, err := s.after(after)
		if !hanging && (err != nil || len(b.Records) > 0) {
			return b, err
		}
		expired := timer.C
		if hanging {
			expired = nil
		}
		select {
		case <-ctx.Done():
			return feed.Batch[string]{}, ctx.Err()
		case <-expired:
			return b, err
		case <-notified:
		}
	}
}

// recorder is a feed.Handler that keeps the records.
type recorder struct {
	mu     sync.Mutex
	values map[string]bool
	failed bool
}

func (r *recorder) Replace(b feed.Batch[string], _ bool) {
	r.mu.Lock()
	r.values = make(map[string]bool)
	r.mu.Unlock()
	r.Update(b)
}

func (r *recorder) Update(b feed.Batch[string]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range b.Records {
		r.values[v] = true
	}
}

func (r *recorder) SourceFailed(error) { r.setFailed(true) }

func (r *recorder) SourceRecovered() { r.setFailed(false) }

func (r *recorder) setFailed(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = failed
}

func (r *recorder) has(value string) poll.Check {
	return func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.values[value] {
			return poll.Continue("%v", r.values)
		}
		return poll.Success()
	}
}

// testGuide is a Guide whose answers a test sets.
type testGuide struct {
	mu     sync.Mutex
	peers  []Peer
	latest revision.Revision
}

func (g *testGuide) Peers(time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers
}

func (g *testGuide) LatestChange() revision.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latest
}

func (g *testGuide) Settled(time.Time) bool { return true }

func (g *testGuide) SourceChanged(string, error) {}

func (g *testGuide) set(latest revision.Revision, peers ...Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latest, g.peers = latest, peers
}

// testGateway is a gateway that follows one feed and serves it.
type testGateway struct {
	*recorder
	guide *testGuide
	peer  Peer
	http  *httptest.Server
}

// startGateway starts a gateway that reads from a store, or from the peers.
func startGateway(t *testing.T, store *fakeStore, peers ...Peer) *testGateway {
	t.Helper()
	g := &testGateway{recorder: &recorder{}, guide: &testGuide{peers: peers}}
	cache := NewCache[string](g.recorder, func(value string) (string, bool) { return value, false })
	server := NewServer()
	AddFeed(server, "test", cache)
	g.http = httptest.NewServer(server)
	g.peer = Peer{Name: t.Name() + g.http.URL, Address: strings.TrimPrefix(g.http.URL, "http://")}
	source := NewSource("test", store, g.guide, testWait, (&net.Dialer{}).DialContext)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		feed.New(source, cache, feed.Options{Wait: testWait}).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		g.http.CloseClientConnections()
		g.http.Close()
	})
	return g
}

// startReaderAndFollower starts a gateway that reads from a store, and one that reads
// from it and has a store of its own, to tell its calls apart. Both have read the
// record a.
func startReaderAndFollower(t *testing.T) (reader *testGateway, readerStore *fakeStore, follower *testGateway,
	ownStore *fakeStore) {
	t.Helper()
	readerStore, ownStore = newFakeStore("a"), newFakeStore("a")
	reader = startGateway(t, readerStore)
	wait(t, reader.has("a"))
	follower = startGateway(t, ownStore, reader.peer)
	wait(t, follower.has("a"))
	return reader, readerStore, follower, ownStore
}

func wait(t *testing.T, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, check, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

// Guards against a gateway that asks the store although a peer serves it what it
// reads: two calls every three seconds for each of a hundred gateways.
func TestFollowerCausesNoCallsToTheStore(t *testing.T) {
	_, readerStore, follower, ownStore := startReaderAndFollower(t)
	readerStore.add("b")
	wait(t, follower.has("b"))
	time.Sleep(2 * testWait)
	assert.Equal(t, ownStore.callCount(), 0)
}

// Guards against an error of one reader that becomes an error of its followers: a
// reader that is cut off from the store says so, and its followers read the store.
func TestFollowerOfACutReaderReadsTheStore(t *testing.T) {
	_, readerStore, follower, ownStore := startReaderAndFollower(t)
	readerStore.change(func() { readerStore.down = true })
	ownStore.add("b")
	wait(t, follower.has("b"))
	assert.Assert(t, !follower.failed, "the follower's own path to the store works")
}

// Guards against a follower whose reader waits on a dead connection to the store, and
// does not know it yet, while other gateways know a change. The follower must learn
// of the change long before the reader's connection is given up.
func TestFollowerNoticesThatItsReaderIsBehind(t *testing.T) {
	reader, readerStore, follower, ownStore := startReaderAndFollower(t)
	readerStore.change(func() { readerStore.hanging = true })
	ownStore.add("b")
	started := time.Now()
	follower.guide.set(2, reader.peer)
	wait(t, follower.has("b"))
	assert.Assert(t, time.Since(started) < testWait+feed.WatchTimeoutMargin, "after %s", time.Since(started))
}

// Guards against a follower that waits for a reader which no longer counts as alive,
// such as one that is suspended.
func TestFollowerLeavesASilentReader(t *testing.T) {
	_, _, follower, ownStore := startReaderAndFollower(t)
	ownStore.add("b")
	follower.guide.set(0)
	wait(t, follower.has("b"))
}

// Guards against old news: a list of a reader that is older than what the follower
// has seen must not remove what was added since.
func TestOlderListIsNotUsed(t *testing.T) {
	readerStore, ownStore := newFakeStore("a"), newFakeStore("a", "b")
	reader := startGateway(t, readerStore)
	wait(t, reader.has("a"))
	source := NewSource("test", ownStore, &testGuide{}, testWait, (&net.Dialer{}).DialContext)
	b, err := source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records), 2)
	source.guide = &testGuide{peers: []Peer{reader.peer}}
	b, err = source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, revision.Revision(2))
	assert.Equal(t, len(b.Records), 2)
}

// Guards against a key or a server that is in use again after a restart: a gateway that
// has just started knows no revision, and its peer, whose watch hangs, still serves the
// state before the removal.
func TestRestartedGatewayDoesNotUseAnOldList(t *testing.T) {
	readerStore, ownStore := newFakeStore("a"), newFakeStore("a", "removal of a")
	reader := startGateway(t, readerStore)
	wait(t, reader.has("a"))
	source := NewSource("test", ownStore, &testGuide{peers: []Peer{reader.peer}, latest: 2}, testWait,
		(&net.Dialer{}).DialContext)
	b, err := source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, revision.Revision(2))
}

// Guards against records whose age is lost on the way: two gateways that read from
// each other would confirm old records for ever.
func TestGatewaysThatReadFromEachOtherReadTheStore(t *testing.T) {
	store := newFakeStore("a")
	first := startGateway(t, store)
	second := startGateway(t, store, first.peer)
	wait(t, first.has("a"))
	wait(t, second.has("a"))
	first.guide.set(0, second.peer)
	time.Sleep(testWait)
	store.add("b")
	wait(t, first.has("b"))
	wait(t, second.has("b"))
}

// Guards against a watch that misses changes which the log no longer holds.
func TestWatchAfterExpiredHistoryIsAnError(t *testing.T) {
	c := NewCache[string](&recorder{values: make(map[string]bool)}, func(v string) (string, bool) { return v, false })
	_, err := c.Watch(t.Context(), 0, time.Time{}, time.Second)
	assert.ErrorIs(t, err, ErrUnavailable)
	c.Replace(feed.Batch[string]{Records: []string{"a"}, Revision: 10}, false)
	_, err = c.Watch(t.Context(), 9, time.Time{}, time.Second)
	assert.ErrorIs(t, err, feed.ErrHistoryExpired)
	for r := revision.Revision(11); r < 12+maxLogEntries; r++ {
		c.Update(feed.Batch[string]{Records: []string{"b"}, Revision: r})
	}
	_, err = c.Watch(t.Context(), 10, time.Time{}, time.Second)
	assert.ErrorIs(t, err, feed.ErrHistoryExpired)
	b, err := c.Watch(t.Context(), 11, time.Time{}, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, revision.Revision(11+maxLogEntries))
}

// Guards against a confirmation that arrives between two watches and is delivered only
// with the next one: the records of the follower would be twice as old.
func TestConfirmationBetweenTwoWatchesIsDelivered(t *testing.T) {
	c := NewCache[string](&recorder{values: make(map[string]bool)}, func(v string) (string, bool) { return v, false })
	first := time.Now()
	c.Replace(feed.Batch[string]{Revision: 10, ConfirmedAt: first}, false)
	second := first.Add(time.Second)
	c.Update(feed.Batch[string]{Revision: 10, ConfirmedAt: second})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	b, err := c.Watch(ctx, 10, first, 2*testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, b.ConfirmedAt, second)
}

// Guards against a message without end from a peer, which must not be kept in memory.
func TestEndlessRequestEndsTheConnection(t *testing.T) {
	store := newFakeStore("a")
	g := startGateway(t, store)
	c := newClient[string](strings.Repeat("x", 2*maxRequestBytes), (&net.Dialer{}).DialContext)
	_, err := c.list(t.Context(), g.peer)
	assert.Equal(t, websocket.CloseStatus(err), websocket.StatusMessageTooBig, "%v", err)
}

// Guards against old news that count as confirmed: a relay that is still in a former era of the
// store answers a gateway that has read a later one.
func TestRelayInAFormerEraIsUnavailable(t *testing.T) {
	c := NewCache[string](&recorder{values: make(map[string]bool)}, func(v string) (string, bool) { return v, false })
	c.Replace(feed.Batch[string]{Records: []string{"a"}, Revision: revision.New(1, 300), ConfirmedAt: time.Now()}, false)
	_, err := c.Watch(t.Context(), revision.New(2, 5), time.Time{}, time.Millisecond)
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = c.Watch(t.Context(), revision.New(1, 300), time.Time{}, time.Millisecond)
	assert.NilError(t, err)
	c.Replace(feed.Batch[string]{Records: []string{"a"}, Revision: revision.New(2, 5), ConfirmedAt: time.Now()}, false)
	_, err = c.Watch(t.Context(), revision.New(1, 300), time.Time{}, time.Millisecond)
	assert.ErrorIs(t, err, feed.ErrHistoryExpired)
	_, err = c.Watch(t.Context(), revision.New(2, 5), time.Time{}, time.Millisecond)
	assert.NilError(t, err)
}

// Guards against a follower that goes on waiting for its relay, although another gateway has
// heard of a new era of the store.
func TestFollowerHearsOfANewEraFromAPeer(t *testing.T) {
	reader, readerStore, follower, ownStore := startReaderAndFollower(t)
	readerStore.change(func() { readerStore.hanging = true })
	ownStore.add("b")
	follower.guide.set(revision.New(1, 0), reader.peer)
	wait(t, follower.has("b"))
	follower.guide.set(2, reader.peer) // an older era changes nothing
	calls := ownStore.callCount()
	time.Sleep(testWait)
	assert.Assert(t, ownStore.callCount() <= calls+1, "%d calls", ownStore.callCount()-calls)
}
