// Package configsync spreads the configuration log between the system's
// processes. A process that is behind asks a peer that is ahead; a process
// that has installed a change pushes it to the peers that are behind.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/peer"
)

const (
	// checkInterval is how often the revisions of peers are compared with our
	// own. It bounds the delay after a lost push.
	checkInterval = 100 * time.Millisecond
	// requestInterval is the least time between two requests to one peer.
	requestInterval = 500 * time.Millisecond
)

// Syncer keeps one replica and the replicas of the connected peers in step.
type Syncer struct {
	node    *peer.Node
	replica *config.Replica
	failed  func(error)

	mu        sync.Mutex
	requested map[*peer.Conn]time.Time
}

// New returns a Syncer. The function failed is told about changes and
// snapshots that can't be decoded or installed.
func New(node *peer.Node, replica *config.Replica, failed func(error)) *Syncer {
	return &Syncer{node: node, replica: replica, failed: failed, requested: make(map[*peer.Conn]time.Time)}
}

// Run pushes and requests changes until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	changed, cancel := s.replica.Subscribe()
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
			s.pushAll()
		case <-ticker.C:
			s.requestAll()
		case <-ctx.Done():
			return
		}
	}
}

// pushAll sends each peer the changes it has not shown.
func (s *Syncer) pushAll() {
	revision := s.replica.Revision()
	for _, c := range s.node.Conns() {
		if config.Revision(c.PeerRevision()) < revision {
			s.answer(c, config.Revision(c.PeerRevision()))
		}
	}
}

// requestAll asks the peers that have shown a higher revision.
func (s *Syncer) requestAll() {
	revision := uint64(s.replica.Revision())
	for _, c := range s.node.Conns() {
		if c.PeerRevision() > revision && s.mayRequest(c) {
			_ = c.Send(&peer.ConfigRequest{After: revision})
		}
	}
}

func (s *Syncer) mayRequest(c *peer.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.requested[c]) < requestInterval {
		return false
	}
	s.requested[c] = now
	return true
}

// Disconnected forgets a connection.
func (s *Syncer) Disconnected(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requested, c)
}

// HandleFrame handles the configuration frames and reports whether f was one.
func (s *Syncer) HandleFrame(c *peer.Conn, f peer.Frame) bool {
	switch f := f.(type) {
	case *peer.ConfigRequest:
		s.answer(c, config.Revision(f.After))
	case *peer.ConfigChanges:
		s.install(f)
	case *peer.ConfigSnapshot:
		s.installSnapshot(f)
	default:
		return false
	}
	return true
}

// answer sends the changes after a revision, or a snapshot if they are no
// longer held.
func (s *Syncer) answer(c *peer.Conn, after config.Revision) {
	if changes, ok := s.replica.ChangesSince(after); ok {
		if len(changes) == 0 {
			return
		}
		data, err := config.EncodeChanges(changes)
		if err != nil {
			s.failed(err)
			return
		}
		_ = c.Send(&peer.ConfigChanges{Changes: data})
		return
	}
	data, err := config.EncodeSnapshot(s.replica.State().Snapshot())
	if err != nil {
		s.failed(err)
		return
	}
	_ = c.Send(&peer.ConfigSnapshot{Snapshot: data})
}

func (s *Syncer) install(f *peer.ConfigChanges) {
	changes, err := config.DecodeChanges(f.Changes)
	if err != nil {
		s.failed(err)
		return
	}
	if err := s.replica.ApplyAll(changes); err != nil {
		s.failed(err)
	}
}

func (s *Syncer) installSnapshot(f *peer.ConfigSnapshot) {
	snapshot, err := config.DecodeSnapshot(f.Snapshot)
	if err != nil {
		s.failed(err)
		return
	}
	if err := s.replica.Install(snapshot); err != nil {
		s.failed(err)
	}
}
