package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// Keys of the configuration in the platform's store. Revisions have 12 digits
// so that the key order is the revision order.
const (
	changePrefix   = "config/changes/"
	snapshotPrefix = "config/snapshots/"
)

const (
	// SnapshotInterval is the number of changes between two snapshots.
	SnapshotInterval = 512
	// keptSnapshots is the number of snapshots that remain after a new one is
	// written: the newest, and an older one in case the newest can't be decoded.
	keptSnapshots = 2
	// snapshotPage and changePage are the maximum numbers of objects in one list
	// response. With the largest values, a response stays within the platform
	// client's limit of 16 MiB.
	snapshotPage = 8
	changePage   = 96
	// AcceptTimeout limits the duration of a call of Accept.
	AcceptTimeout = 10 * time.Second
	// MaxHistory bounds the number of changes that History and Audit return.
	MaxHistory = 1000
	// maxHistoryBytes is the total size of changes at which History and Audit
	// stop reading from the store: 1000 of the largest changes would take more
	// than a third of a process's 256 MB.
	maxHistoryBytes = 8 << 20
	// minBackoff and maxBackoff are the lowest and highest upper bound of the
	// wait after a failed call. maxBackoff leaves time to apply a change within
	// 4 s after an outage.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// resolveAttempts is the maximum number of reads that determine the outcome
	// of a write.
	resolveAttempts = 5
)

var (
	// ErrUnavailable means the store can't be reached and this call did not
	// apply the change.
	ErrUnavailable = errors.New("config: store unavailable")
	// ErrUnknownOutcome means that the change may have been accepted.
	ErrUnknownOutcome = errors.New("config: outcome of the change is unknown")
	// ErrSnapshotTooLarge means the snapshot doesn't fit in a platform object.
	ErrSnapshotTooLarge = errors.New("config: snapshot too large for the store")
)

// UnknownOutcomeError wraps ErrUnknownOutcome with the change's id. Repeating
// the change with the same id is safe.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%v: change %s: %v", ErrUnknownOutcome, e.ChangeID, e.Cause)
}

// Unwrap returns ErrUnknownOutcome and the cause.
func (e *UnknownOutcomeError) Unwrap() []error { return []error{ErrUnknownOutcome, e.Cause} }

// ObjectStore is the part of the platform's object API that Store uses.
// *platform.Client implements it.
type ObjectStore interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Create(ctx context.Context, key string, value []byte) (platform.Object, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix, after string, limit int) (platform.ListResponse, error)
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (platform.ListResponse, error)
}

// Store writes the changes that an entry accepts to the platform's store and
// applies the stored changes to the entry's replica. It is safe for concurrent
// use.
type Store struct {
	objects     ObjectStore
	replica     *Replica
	now         func() time.Time
	reportError func(error)
	snapshotDue chan struct{}
}

// NewStore returns a Store that applies the stored changes to replica. now is
// the clock for the audit trail. report receives the errors that Store's methods
// don't return, such as those of Follow's background work; a nil report discards
// the errors.
func NewStore(objects ObjectStore, replica *Replica, now func() time.Time, report func(error)) *Store {
	if report == nil {
		report = func(error) {}
	}
	return &Store{objects: objects, replica: replica, now: now, reportError: report, snapshotDue: make(chan struct{}, 1)}
}

// Replica returns the replica to which s applies the stored changes.
func (s *Store) Replica() *Replica { return s.replica }

// State returns the current configuration.
func (s *Store) State() *State { return s.replica.State() }

func changeKey(r Revision) string   { return fmt.Sprintf("%s%012d", changePrefix, r) }
func snapshotKey(r Revision) string { return fmt.Sprintf("%s%012d", snapshotPrefix, r) }

// wrapStoreError converts an error of the platform client to an error of this
// package.
func wrapStoreError(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if errors.Is(err, platform.ErrNotFound) {
		return ErrNotFound
	}
	return fmt.Errorf("config: store: %w", err)
}

// backoff returns a jittered wait. Its upper bound doubles with each attempt up
// to maxBackoff.
func backoff(attempt int) time.Duration {
	limit := min(minBackoff<<min(attempt, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// sleep waits for d. It returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readChange returns the change at revision r, from the replica if possible and
// else from the store. It returns ErrNotFound, ErrUnavailable or ErrDecode.
func (s *Store) readChange(ctx context.Context, r Revision) (Change, error) {
	if c, ok := s.replica.Change(r); ok {
		return c, nil
	}
	o, err := s.objects.Get(ctx, changeKey(r))
	if err != nil {
		return Change{}, wrapStoreError(err)
	}
	return decodeStored(o)
}

// decodeStored decodes a change from the store and checks that its revision
// matches its key.
func decodeStored(o platform.Object) (Change, error) {
	var c Change
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return Change{}, fmt.Errorf("%w: %s: %w", ErrDecode, o.Key, err)
	}
	if err := c.check(); err != nil {
		return Change{}, err
	}
	if changeKey(c.Revision) != o.Key {
		return Change{}, fmt.Errorf("%w: %s holds revision %d", ErrDecode, o.Key, c.Revision)
	}
	return c, nil
}

// catchUp applies the stored changes after the replica's revision. It returns a
// revision of the store; a watch that starts there misses no later change.
func (s *Store) catchUp(ctx context.Context) (uint64, error) {
	var watchFrom uint64
	for page := 0; ; page++ {
		list, err := s.objects.List(ctx, changePrefix, changeKey(s.replica.Revision()), changePage)
		if err != nil {
			return 0, wrapStoreError(err)
		}
		if page == 0 {
			watchFrom = list.Revision
		}
		if err := s.applyObjects(list.Objects); err != nil {
			return 0, err
		}
		if !list.More || len(list.Objects) == 0 {
			return watchFrom, nil
		}
	}
}

// applyObjects decodes the stored changes in objects and applies them to the
// replica.
func (s *Store) applyObjects(objects []platform.Object) error {
	changes := make([]Change, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			// A change whose object was removed from the store stays in
			// effect.
			continue
		}
		c, err := decodeStored(o)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	return s.replica.ApplyAll(changes)
}

// Load initializes the replica from the newest snapshot that can be decoded and
// the changes after it. It returns ErrUnavailable if the store can't be reached.
func (s *Store) Load(ctx context.Context) error {
	snapshots, err := s.listSnapshots(ctx)
	if err != nil {
		return err
	}
	for i := len(snapshots) - 1; i >= 0; i-- {
		snapshot, err := DecodeSnapshot(snapshots[i].Value)
		if err != nil {
			s.reportError(err)
			continue
		}
		if err := s.replica.Install(snapshot); err != nil && !errors.Is(err, ErrStale) {
			return err
		}
		break
	}
	_, err = s.catchUp(ctx)
	return err
}

// listSnapshots returns all stored snapshots in order of revision.
func (s *Store) listSnapshots(ctx context.Context) ([]platform.Object, error) {
	var all []platform.Object
	after := ""
	for {
		list, err := s.objects.List(ctx, snapshotPrefix, after, snapshotPage)
		if err != nil {
			return nil, wrapStoreError(err)
		}
		all = append(all, list.Objects...)
		if !list.More || len(list.Objects) == 0 {
			return all, nil
		}
		after = list.Objects[len(list.Objects)-1].Key
	}
}

// WriteSnapshot writes a snapshot of the replica's current state, unless the
// store already has a snapshot of that revision, and deletes all but the newest
// two. Follow calls WriteSnapshot after s accepted a change whose revision is a
// multiple of SnapshotInterval.
func (s *Store) WriteSnapshot(ctx context.Context) error {
	state := s.replica.State()
	data, err := EncodeSnapshot(state.Snapshot())
	if err != nil {
		return err
	}
	if len(data) > platform.MaxValueBytes {
		return fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(data))
	}
	_, err = s.objects.Create(ctx, snapshotKey(state.Revision()), data)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return wrapStoreError(err)
	}
	snapshots, err := s.listSnapshots(ctx)
	if err != nil {
		return err
	}
	for _, o := range snapshots[:max(0, len(snapshots)-keptSnapshots)] {
		// Another entry may delete the same snapshot at the same time.
		err := s.objects.Delete(ctx, o.Key, o.Version)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return wrapStoreError(err)
		}
	}
	return nil
}

// Follow applies the stored changes to the replica until ctx ends. During an
// outage it retries with jittered backoff. It also writes the snapshots that are
// due.
func (s *Store) Follow(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.writeDueSnapshots(ctx)
	}()
	defer func() { <-done }()
	for failures := 0; ctx.Err() == nil; {
		progress, err := s.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		s.reportError(err)
		if progress {
			failures = 0
		}
		if err := sleep(ctx, backoff(failures)); err != nil {
			break
		}
		failures++
	}
	return ctx.Err()
}

// follow catches up with the store and then watches it until a call fails.
// progress is true if catching up succeeded.
func (s *Store) follow(ctx context.Context) (progress bool, err error) {
	after, err := s.catchUp(ctx)
	if err != nil {
		return false, err
	}
	for {
		list, err := s.objects.Watch(ctx, changePrefix, after, platform.DefaultWatchTimeout)
		if err != nil {
			return true, wrapStoreError(err)
		}
		if err := s.applyObjects(list.Objects); err != nil {
			return true, err
		}
		switch {
		case len(list.Objects) > 0:
			after = max(after, list.Objects[len(list.Objects)-1].Version)
		default:
			after = max(after, list.Revision)
		}
	}
}

// writeDueSnapshots writes a snapshot whenever one is due until ctx ends.
func (s *Store) writeDueSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.snapshotDue:
			if err := s.WriteSnapshot(ctx); err != nil {
				s.reportError(err)
			}
		}
	}
}

// Audit returns at most limit changes after a revision, oldest first, and fewer
// if they are large. The caller continues the list by passing the revision of
// the last change as after. Audit reads the store only if the replica no longer
// keeps the changes.
func (s *Store) Audit(ctx context.Context, after Revision, limit int) ([]Change, error) {
	limit = min(max(limit, 1), MaxHistory)
	if changes, ok := s.replica.ChangesSince(after); ok {
		return changes[:min(limit, len(changes))], nil
	}
	var changes []Change
	size := 0
	for len(changes) < limit && size < maxHistoryBytes {
		list, err := s.objects.List(ctx, changePrefix, changeKey(after), min(changePage, limit-len(changes)))
		if err != nil {
			return nil, wrapStoreError(err)
		}
		for _, o := range list.Objects {
			c, err := decodeStored(o)
			if err != nil {
				return nil, err
			}
			changes = append(changes, c)
			after = c.Revision
			size += c.encodedSizeBound()
		}
		if !list.More || len(list.Objects) == 0 {
			break
		}
	}
	return changes, nil
}

// History returns at most limit changes of an object, newest first, and fewer
// if they are large. It returns ErrNotFound if the object never existed.
func (s *Store) History(ctx context.Context, kind Kind, name string, limit int) ([]Change, error) {
	limit = min(max(limit, 1), MaxHistory)
	o, _ := s.State().Object(kind, name)
	if o.Version == 0 {
		return nil, ErrNotFound
	}
	var changes []Change
	size := 0
	for r := o.Version; r > 0 && len(changes) < limit && size < maxHistoryBytes; {
		c, err := s.readChange(ctx, r)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
		size += c.encodedSizeBound()
		r = c.Base
	}
	return changes, nil
}
