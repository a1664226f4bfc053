package pipeline

import (
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// ErrStaleAttempt is returned for an attempt lower than the one that the cursor is
// bound to.
var ErrStaleAttempt = errors.New("pipeline: stale attempt")

// StepStatus is the state of a step on a stage. It determines how the stage handles
// a frame for the step.
type StepStatus int

const (
	// StepReady means that the step is the next one and must run now.
	StepReady StepStatus = iota
	// StepDone means that the step already ran; its output is sent again from
	// the output log.
	StepDone
	// StepRunning means that the step is running; its output is sent when it
	// finishes.
	StepRunning
	// StepEarly means that the step can't run yet, because earlier steps have not
	// arrived or not finished.
	StepEarly
	// StepStale means that the frame belongs to another attempt.
	StepStale
)

// Cursor tracks which step of a sequence a stage runs next. Each position finishes
// exactly once and in order, so that no layer runs twice for a token. It is not
// safe for concurrent use.
type Cursor struct {
	attempt request.Attempt
	// next is the first position that has not finished.
	next request.Position
	// running is the number of positions from next on that are running.
	running int
}

// Bind sets the cursor's attempt, which may not decrease. It returns
// ErrStaleAttempt for an attempt lower than the current one.
func (c *Cursor) Bind(a request.Attempt) error {
	if a < c.attempt {
		return ErrStaleAttempt
	}
	c.attempt = a
	return nil
}

// Attempt returns the attempt that the cursor is bound to.
func (c *Cursor) Attempt() request.Attempt { return c.attempt }

// Next returns the first position that has not finished.
func (c *Cursor) Next() request.Position { return c.next }

// Running returns the number of positions from Next on that are running.
func (c *Cursor) Running() int { return c.running }

// Classify returns the status of the step at position p of attempt a. It does not
// change the cursor.
func (c *Cursor) Classify(a request.Attempt, p request.Position) StepStatus {
	switch {
	case a != c.attempt:
		return StepStale
	case p < c.next:
		return StepDone
	case p < c.next+request.Position(c.running):
		return StepRunning
	case p == c.next && c.running == 0:
		return StepReady
	default:
		return StepEarly
	}
}

// Start marks n positions from Next on as running. A replacement stage runs all
// replayed positions together, like a prefill.
func (c *Cursor) Start(n int) { c.running = n }

// Finish marks position Next as finished.
func (c *Cursor) Finish() {
	c.running--
	c.next++
}

// Abort marks all running positions as not started. It may be called only if none
// of them was executed.
func (c *Cursor) Abort() { c.running = 0 }
