// Package request defines the identity and the outcome of a caller's request and
// reassembles its response.
package request

import (
	"errors"

	"github.com/google/uuid"
)

// ErrInvalidID is returned by ParseID for a string that is not a UUID.
var ErrInvalidID = errors.New("request: invalid request id")

// ID identifies one request. New ids are UUIDv7 and are never reused.
type ID string

// NewID returns a new request id.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()).String())
}

// ParseID parses s and returns the id in canonical form. It returns ErrInvalidID
// if s is not a UUID.
func ParseID(s string) (ID, error) {
	u, err := uuid.Parse(s)
	if err != nil {
		return "", ErrInvalidID
	}
	return ID(u.String()), nil
}

// Attempt is the number of a sequence's current chain. Only the entry that runs
// the sequence increases it. Stages refuse frames of a lower attempt.
type Attempt uint32

// Position is the index of a step in a sequence. The step at position 0 processes
// the prompt, and the step at position n processes generated token n-1.
type Position uint32

// Outcome classifies every response.
type Outcome string

const (
	// OutcomeCompleted means the complete response was delivered.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed means the request ran and ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means no upstream ran any part of the request, so an
	// unconditional retry is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
