package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	// checkInterval is how often a waiting watch checks its source.
	checkInterval = 100 * time.Millisecond
	// maxBehind is how long another gateway may know a change before a watch that
	// has not returned it is given up. A change arrives by the feed and by the
	// gateways' reports at about the same time.
	maxBehind = 300 * time.Millisecond
	// avoidTime is how long a peer is not used after it failed.
	avoidTime = 2 * time.Second
	// callTimeout bounds a call that does not wait for changes.
	callTimeout = 500 * time.Millisecond
	// maxCatchUpDelay bounds the random delay before the store is asked after a peer
	// failed. Many gateways may lose the same peer at the same moment.
	maxCatchUpDelay = 100 * time.Millisecond
	// catchUpWait is how long such a call to the store waits for changes.
	catchUpWait = time.Millisecond
	// maxRelays is the number of gateways that may have passed records on. A time that
	// is passed on as an age grows later by the delay of each message, so gateways that
	// read from each other would not notice by the age alone.
	maxRelays = 4
	// ageMargin is how much older than the wait of a watch the confirmation of a
	// peer may be: it has to notice a dead connection of its own.
	ageMargin = 1200 * time.Millisecond
)

// Guide tells a Source whom to read from.
type Guide interface {
	// Peers returns the gateways to read from, the preferred one first. If there are
	// none, this gateway reads the store.
	Peers(now time.Time) []Peer
	// Settled reports whether Peers can be relied on. It is false for a short time
	// after the start of the process, in which no watch is started.
	Settled(now time.Time) bool
	// LatestChange returns the highest revision of a change of the feed that any
	// gateway has reported.
	LatestChange() revision.Revision
	// SourceChanged is called when the feed is read from another source than before:
	// a peer, or "" for the store. err says why the previous source was given up, if
	// it failed.
	SourceChanged(peer string, err error)
}

// Source reads a feed from another gateway, and from the store if there is none to
// read from. It is a feed.Source and not safe for concurrent use.
type Source[R any] struct {
	store  feed.Source[R]
	guide  Guide
	client *client[R]
	// maxAge is how old the confirmation of a peer may be.
	maxAge time.Duration
	// avoidUntil holds until when peers that failed are not used, by name.
	avoidUntil map[string]time.Time
	// highest is the highest revision that a call returned.
	highest revision.Revision
	// catchUp makes the next watch ask the store without waiting.
	catchUp bool
	// checked is the latest change of which the store was asked.
	checked revision.Revision
	// started is true after the first call, current the peer that is read from or ""
	// for the store, lastErr why the previous source failed.
	started bool
	current string
	lastErr error
}

// errTooOld means that a peer's own source has not confirmed its records recently.
var errTooOld = errors.New("relay: records of the peer are old")

// NewSource returns a source of the named feed. wait is how long its watches wait.
func NewSource[R any](name string, store feed.Source[R], g Guide, wait time.Duration, dial DialFunc) *Source[R] {
	return &Source[R]{
		store: store, guide: g, client: newClient[R](name, dial), maxAge: wait + ageMargin,
		avoidUntil: make(map[string]time.Time),
	}
}

// List implements feed.Source. A list of a peer that is older than what this gateway
// has seen is not used: it would remove records that were added since.
func (s *Source[R]) List(ctx context.Context) (feed.Batch[R], error) {
	if p, ok := s.pick(time.Now()); ok {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := s.client.list(callCtx, p)
		cancel()
		if err == nil && (b.Revision < max(s.highest, s.guide.LatestChange()) || s.tooOld(b)) {
			err = errTooOld
		}
		if err == nil {
			s.highest = b.Revision
			s.use(p.Name)
			return b, nil
		}
		s.avoid(p, err)
	}
	s.use("")
	b, err := s.store.List(ctx)
	s.highest = max(s.highest, b.Revision)
	return b, err
}

// Watch implements feed.Source.
func (s *Source[R]) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (feed.Batch[R], error) {
	now := time.Now()
	if !s.guide.Settled(now) {
		process.Sleep(ctx, checkInterval)
		return feed.Batch[R]{Revision: after}, ctx.Err()
	}
	p, ok := s.pick(now)
	switch {
	case s.catchUp:
		s.catchUp = false
		s.checked = max(s.checked, s.guide.LatestChange())
		wait = catchUpWait
	case ok:
		s.use(p.Name)
		return s.watchPeer(ctx, p, after, wait)
	}
	s.use("")
	return s.watchStore(ctx, after, wait)
}

// watchPeer watches a peer. If it fails, the next watch asks the store; until then
// nothing is confirmed.
func (s *Source[R]) watchPeer(ctx context.Context, p Peer, after revision.Revision, wait time.Duration) (feed.Batch[R], error) {
	watchCtx, stop := s.cancelWhenUseless(ctx, after, func(now time.Time) bool {
		return slices.Contains(s.guide.Peers(now), p)
	})
	b, err := s.client.watch(watchCtx, p, after, wait)
	stop()
	if errors.Is(err, feed.ErrHistoryExpired) {
		return b, err
	}
	if err == nil && s.tooOld(b) {
		err = errTooOld
	}
	if err != nil {
		s.avoid(p, err)
		s.catchUp = true
		process.Sleep(ctx, rand.N(maxCatchUpDelay))
		return feed.Batch[R]{Revision: after}, ctx.Err()
	}
	s.highest = max(s.highest, b.Revision)
	return b, nil
}

// watchStore watches the store. A watch that does not return a change which other
// gateways know is repeated.
func (s *Source[R]) watchStore(ctx context.Context, after revision.Revision, wait time.Duration) (feed.Batch[R], error) {
	watchCtx, stop := s.cancelWhenUseless(ctx, after, func(time.Time) bool { return true })
	defer stop()
	b, err := s.store.Watch(watchCtx, after, wait)
	givenUp := watchCtx.Err() != nil && ctx.Err() == nil
	if err != nil && givenUp {
		s.catchUp = true
		return feed.Batch[R]{Revision: after}, nil
	}
	s.highest = max(s.highest, b.Revision)
	return b, err
}

// cancelWhenUseless returns a context that ends when usable returns false, or when
// another gateway has known a change after the revision for maxBehind.
func (s *Source[R]) cancelWhenUseless(
	ctx context.Context, after revision.Revision, usable func(now time.Time) bool,
) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	checked := s.checked
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		behind := time.Duration(0)
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				if latest := s.guide.LatestChange(); latest > max(after, checked) {
					behind += checkInterval
				}
				if behind > maxBehind || !usable(now) {
					cancel()
				}
			}
		}
	}()
	return ctx, func() { cancel(); <-ended }
}

// pick returns the peer to read from, or false if the store is to be read.
func (s *Source[R]) pick(now time.Time) (Peer, bool) {
	for _, p := range s.guide.Peers(now) {
		if !now.Before(s.avoidUntil[p.Name]) {
			return p, true
		}
	}
	return Peer{}, false
}

func (s *Source[R]) avoid(p Peer, err error) {
	s.avoidUntil[p.Name] = time.Now().Add(avoidTime)
	s.lastErr = err
}

// use records the source of the next call: a peer, or "" for the store.
func (s *Source[R]) use(peer string) {
	if s.started && s.current == peer {
		return
	}
	s.started, s.current = true, peer
	s.guide.SourceChanged(peer, s.lastErr)
	s.lastErr = nil
}

func (s *Source[R]) tooOld(b feed.Batch[R]) bool {
	return time.Since(b.ConfirmedAt) > s.maxAge || b.Relays > maxRelays
}
