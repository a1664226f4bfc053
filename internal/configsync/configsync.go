// Package configsync replicates the configuration log between the system's
// processes. A process requests changes from peers with a higher revision. When
// its own revision changes, it sends the missing changes to the peers with a lower
// revision. A process that no longer keeps the missing changes sends a snapshot
// instead.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/peer"
)

const (
	// checkInterval is the time between two comparisons of the peers' last
	// reported revisions with the local one. They detect a lost push.
	checkInterval = 100 * time.Millisecond
	// requestInterval is the minimum time between two requests to one peer.
	requestInterval = 500 * time.Millisecond
)

// Syncer synchronizes one replica with the replicas of the connected peers.
type Syncer struct {
	node        *peer.Node
	replica     *config.Replica
	reportError func(error)

	// mu guards lastRequest, which holds the time of the last request on each
	// connection.
	mu          sync.Mutex
	lastRequest map[*peer.Conn]time.Time
}

// New returns a Syncer. The Syncer calls reportError for changes and snapshots
// that can't be encoded, decoded, applied or installed.
func New(node *peer.Node, replica *config.Replica, reportError func(error)) *Syncer {
	return &Syncer{node: node, replica: replica, reportError: reportError, lastRequest: make(map[*peer.Conn]time.Time)}
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

// pushAll sends each peer the changes after the peer's last known revision.
func (s *Syncer) pushAll() {
	revision := s.replica.Revision()
	for _, c := range s.node.Conns() {
		if config.Revision(c.PeerRevision()) < revision {
			s.sendChanges(c, config.Revision(c.PeerRevision()))
		}
	}
}

// requestAll requests changes from the peers with a higher revision.
func (s *Syncer) requestAll() {
	revision := uint64(s.replica.Revision())
	for _, c := range s.node.Conns() {
		if c.PeerRevision() > revision && s.mayRequest(c) {
			_ = c.Send(&peer.ConfigRequest{After: revision})
		}
	}
}

// mayRequest reports whether requestInterval has passed since the last request
// on c. If so, it records the current time as the time of the last request.
func (s *Syncer) mayRequest(c *peer.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastRequest[c]) < requestInterval {
		return false
	}
	s.lastRequest[c] = now
	return true
}

// Disconnected removes the state of a closed connection.
func (s *Syncer) Disconnected(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lastRequest, c)
}

// HandleFrame handles f if it is a configuration frame, and reports whether it
// is one.
func (s *Syncer) HandleFrame(c *peer.Conn, f peer.Frame) bool {
	switch f := f.(type) {
	case *peer.ConfigRequest:
		s.sendChanges(c, config.Revision(f.After))
	case *peer.ConfigChanges:
		s.applyChanges(f)
	case *peer.ConfigSnapshot:
		s.installSnapshot(f)
	default:
		return false
	}
	return true
}

// sendChanges sends the changes after a revision, or a snapshot if the replica
// no longer keeps those changes.
func (s *Syncer) sendChanges(c *peer.Conn, after config.Revision) {
	if changes, ok := s.replica.ChangesSince(after); ok {
		if len(changes) == 0 {
			return
		}
		data, err := config.EncodeChanges(changes)
		if err != nil {
			s.reportError(err)
			return
		}
		_ = c.Send(&peer.ConfigChanges{Changes: data})
		return
	}
	data, err := config.EncodeSnapshot(s.replica.State().Snapshot())
	if err != nil {
		s.reportError(err)
		return
	}
	_ = c.Send(&peer.ConfigSnapshot{Snapshot: data})
}

// applyChanges decodes received changes and applies them to the replica.
func (s *Syncer) applyChanges(f *peer.ConfigChanges) {
	changes, err := config.DecodeChanges(f.Changes)
	if err != nil {
		s.reportError(err)
		return
	}
	if err := s.replica.ApplyAll(changes); err != nil {
		s.reportError(err)
	}
}

// installSnapshot decodes a received snapshot and installs it in the replica.
func (s *Syncer) installSnapshot(f *peer.ConfigSnapshot) {
	snapshot, err := config.DecodeSnapshot(f.Snapshot)
	if err != nil {
		s.reportError(err)
		return
	}
	if err := s.replica.Install(snapshot); err != nil {
		s.reportError(err)
	}
}
