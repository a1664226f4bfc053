// Package lease implements leases on groups of upstreams in the platform's
// store. Every write of a lease changes its version, which is the fencing token
// of subsequent orders.
//
// Clocks only determine when a process tries to take over a lease and when a
// holder stops using it. The fencing token ensures that no order of a former
// holder is accepted after an order of its successor: conditional writes assign
// each token to a single process, and sidecars reject tokens lower than the
// highest one seen.
package lease

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	// KeyPrefix is the store prefix of all leases.
	KeyPrefix = "leases/"
	// maxValueBytes bounds an encoded lease, in bytes.
	maxValueBytes = 4 << 10
	// maxDuration bounds the duration in a stored lease, so that an invalid value
	// can't block a group permanently.
	maxDuration = time.Hour
)

var (
	// ErrNotFound means there is no object with the key.
	ErrNotFound = errors.New("lease: object not found")
	// ErrConflict means the condition of a write didn't hold; the write was
	// not applied.
	ErrConflict = errors.New("lease: version conflict")
	// ErrUnavailable means the store is unreachable. A write was not applied.
	ErrUnavailable = errors.New("lease: store is unavailable")
	// ErrOutcomeUnknown means a write may have been applied or may still be
	// applied later.
	ErrOutcomeUnknown = errors.New("lease: outcome of the write is unknown")
	// ErrNotHeld means the process holds no valid lease.
	ErrNotHeld = errors.New("lease: not held")
	// ErrHeld means another process holds the lease.
	ErrHeld = errors.New("lease: held by another process")
	// errInvalid means the stored value is not a lease.
	errInvalid = errors.New("lease: invalid value")
)

// Store holds leases. Versions are greater than 0 and grow with every write of
// an object. A version is a revision.Revision: a store that may be restored from a copy
// puts its era first, so that versions grow also then. Implementations end a call when ctx ends. Any error of a write
// other than ErrConflict, ErrNotFound and ErrUnavailable counts as
// ErrOutcomeUnknown.
type Store interface {
	// Get returns ErrNotFound if there is no object. The version then holds the era alone.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Create returns ErrConflict if the object exists.
	Create(ctx context.Context, key string, value []byte) (version uint64, err error)
	// Update returns ErrConflict unless the object has the version.
	Update(ctx context.Context, key string, value []byte, version uint64) (newVersion uint64, err error)
}

// eraOf returns the era of the store in a version.
func eraOf(version uint64) uint64 { return revision.Revision(version).Era() }

// record is the stored value. A released lease has an empty HolderID.
type record struct {
	// Owner is the instance id of the holder, as information for operators.
	Owner string `json:"owner,omitempty"`
	// HolderID is random for each Holder, so that a Holder recognises its own
	// writes.
	HolderID string `json:"token,omitempty"`
	// DurationMillis is how long the lease lasts after a write, in ms.
	DurationMillis int64 `json:"duration_ms"`
}

func (r record) duration() time.Duration { return time.Duration(r.DurationMillis) * time.Millisecond }

func decodeRecord(value []byte) (record, error) {
	var r record
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if len(value) > maxValueBytes || d.Decode(&r) != nil || d.More() ||
		r.DurationMillis <= 0 || r.DurationMillis > maxDuration.Milliseconds() {
		return record{}, errInvalid
	}
	return r, nil
}

// Key returns the store key of the lease of group.
func Key(group string) string { return KeyPrefix + url.PathEscape(group) }

// CurrentFencing returns the current fencing token of group, or 0 if its lease
// was never acquired. A sidecar that has just started must not accept orders
// until CurrentFencing has succeeded.
func CurrentFencing(ctx context.Context, store Store, group string) (uint64, error) {
	_, version, err := store.Get(ctx, Key(group))
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "lease: read fencing number")
	}
	return version, nil
}
