// Package request holds the identity and outcome rules of one caller's request.
package request

import (
	"errors"

	"github.com/google/uuid"
)

// ErrInvalidID is returned by ParseID for text that is not a UUID.
var ErrInvalidID = errors.New("request: invalid request id")

// ID identifies one request. It is a UUIDv7 and is never reused.
type ID string

// NewID returns a fresh request id.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()).String())
}

// ParseID validates s. It returns ErrInvalidID if s is not a UUID.
func ParseID(s string) (ID, error) {
	u, err := uuid.Parse(s)
	if err != nil {
		return "", ErrInvalidID
	}
	return ID(u.String()), nil
}

// Attempt numbers the routes of one sequence. Only the entry that drives the
// sequence raises it; stages refuse frames of a lower attempt.
type Attempt uint32

// Position is the index of a step in a sequence. Position 0 is the prompt;
// position n consumes generated token n-1.
type Position uint32

// Outcome classifies every response.
type Outcome string

const (
	// OutcomeCompleted means the whole answer was delivered.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed means the request ran and ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means no upstream ran any part of the request; a blind
	// retry is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
