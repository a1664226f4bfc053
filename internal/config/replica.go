package config

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Limits of the changes that a replica keeps for ChangesSince. With these limits,
// the result of ChangesSince fits in one frame of the peer protocol (4 MiB).
const (
	// MaxRecentChanges is the maximum number of changes kept.
	MaxRecentChanges = 1024
	// MaxRecentBytes is the maximum total size of the changes kept, as computed
	// by encodedSizeBound.
	MaxRecentBytes = 2 << 20
)

var (
	// ErrStale means the replica already has the revision or a higher one.
	ErrStale = errors.New("config: revision isn't newer than the replica")
	// ErrGap means the replica lacks changes that precede the given one.
	ErrGap = errors.New("config: change leaves a gap in the log")
	// ErrDiverged means two changes have the same revision. The create-if-absent
	// write of the store rules this out; it indicates a faulty peer or store.
	ErrDiverged = errors.New("config: two changes have the same revision")
)

// Replica is a process's copy of the configuration. Its revision never
// decreases. It is safe for concurrent use; State takes no lock.
type Replica struct {
	state atomic.Pointer[State]

	// mu guards recent, recentBytes, subscribers and writes to state.
	mu          sync.Mutex
	recent      []Change
	recentBytes int
	subscribers map[chan struct{}]struct{}
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica {
	r := &Replica{subscribers: map[chan struct{}]struct{}{}}
	r.state.Store(NewState())
	return r
}

// State returns the current configuration.
func (r *Replica) State() *State { return r.state.Load() }

// Revision returns the revision of the current configuration; 0 means that the
// replica has received no configuration yet.
func (r *Replica) Revision() Revision { return r.State().Revision() }

// Apply appends the next change. It returns ErrStale if the replica already
// has the revision, ErrDiverged if it still keeps another change with that
// revision, and ErrGap if earlier changes are missing.
func (r *Replica) Apply(c Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := r.nextState(r.State(), c)
	if err != nil {
		return err
	}
	r.state.Store(next)
	r.notify()
	return nil
}

// ApplyAll applies changes in order and skips those that the replica already
// has. Readers see all applied changes at once, so that a starting process does
// not become ready with a part of the configuration. If ApplyAll returns ErrGap
// or ErrDiverged, the changes before the failed one stay applied.
func (r *Replica) ApplyAll(changes []Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.State()
	state := before
	var result error
	for _, c := range changes {
		next, err := r.nextState(state, c)
		if errors.Is(err, ErrStale) {
			continue
		}
		if err != nil {
			result = err
			break
		}
		state = next
	}
	if state != before {
		r.state.Store(state)
		r.notify()
	}
	return result
}

// nextState returns the state after c and keeps c for ChangesSince. The caller
// holds r.mu.
func (r *Replica) nextState(current *State, c Change) (*State, error) {
	switch next := current.Revision() + 1; {
	case c.Revision < next:
		if known, ok := r.recentChange(c.Revision); ok && known.ID != c.ID {
			return nil, ErrDiverged
		}
		return nil, ErrStale
	case c.Revision > next:
		return nil, ErrGap
	}
	r.recent = append(r.recent, c)
	r.recentBytes += c.encodedSizeBound()
	for len(r.recent) > MaxRecentChanges || r.recentBytes > MaxRecentBytes {
		r.recentBytes -= r.recent[0].encodedSizeBound()
		r.recent[0] = Change{}
		r.recent = r.recent[1:]
	}
	return current.WithChange(c), nil
}

// changeOverheadBytes bounds the encoded fields of a change other than its
// values: id, author and name have at most 128 bytes each.
const changeOverheadBytes = 512

// encodedSizeBound returns an upper bound of the encoded size of c in bytes.
func (c *Change) encodedSizeBound() int { return len(c.Before) + len(c.After) + changeOverheadBytes }

// recentChange returns the change with the given revision if the replica keeps
// it. The caller holds r.mu.
func (r *Replica) recentChange(revision Revision) (Change, bool) {
	if len(r.recent) == 0 || revision < r.recent[0].Revision || revision > r.recent[len(r.recent)-1].Revision {
		return Change{}, false
	}
	return r.recent[revision-r.recent[0].Revision], true
}

// Install replaces the configuration with a snapshot. It returns ErrStale unless
// the snapshot has a higher revision.
func (r *Replica) Install(s Snapshot) error {
	if s.Revision <= r.Revision() {
		return ErrStale
	}
	state := s.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision <= r.Revision() {
		return ErrStale
	}
	r.state.Store(state)
	r.recent, r.recentBytes = nil, 0
	r.notify()
	return nil
}

// ChangesSince returns the changes after a revision, oldest first. It returns
// false if the replica no longer keeps all of them; a caller that answers a peer
// then sends a snapshot.
func (r *Replica) ChangesSince(after Revision) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Revision()
	if after >= current {
		return nil, true
	}
	if _, ok := r.recentChange(after + 1); !ok {
		return nil, false
	}
	tail := r.recent[after+1-r.recent[0].Revision:]
	return append([]Change(nil), tail...), true
}

// Change returns the change with the given revision if the replica keeps it.
func (r *Replica) Change(revision Revision) (Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentChange(revision)
}

// FindChange returns the change with the given id if the replica keeps it.
func (r *Replica) FindChange(id string) (Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.recent) - 1; i >= 0; i-- {
		if r.recent[i].ID == id {
			return r.recent[i], true
		}
	}
	return Change{}, false
}

// Subscribe returns a channel that receives a value after the revision has
// risen; one value may stand for several changes. cancel ends the subscription.
func (r *Replica) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[ch] = struct{}{}
	return ch, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, ch)
	}
}

// WaitForRevision returns once the replica has the revision or a higher one. It
// returns ctx's error if ctx ends first.
func (r *Replica) WaitForRevision(ctx context.Context, revision Revision) error {
	changed, cancel := r.Subscribe()
	defer cancel()
	for r.Revision() < revision {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// notify signals every subscriber. The caller holds r.mu.
func (r *Replica) notify() {
	for ch := range r.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
