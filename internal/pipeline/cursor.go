package pipeline

import (
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// ErrStaleAttempt is returned when a frame carries an attempt lower than the
// one the stage is bound to.
var ErrStaleAttempt = errors.New("pipeline: stale attempt")

// StepStatus says what a stage does with a step.
type StepStatus int

const (
	// StepReady means the step is the next one and must run now.
	StepReady StepStatus = iota
	// StepDone means the step already ran; its output is sent again from
	// the output log.
	StepDone
	// StepRunning means the step is running; its output will follow.
	StepRunning
	// StepEarly means an earlier step has not arrived yet.
	StepEarly
	// StepStale means the frame belongs to another attempt.
	StepStale
)

// Cursor tracks which step of a sequence a stage runs next. A position moves
// through the cursor exactly once, which is what keeps each layer from running
// twice for a token. It is not safe for concurrent use.
type Cursor struct {
	attempt request.Attempt
	next    request.Position
	running int
}

// Bind raises the cursor's attempt. Binding the current attempt again is
// allowed. It returns ErrStaleAttempt for a lower attempt.
func (c *Cursor) Bind(a request.Attempt) error {
	if a < c.attempt {
		return ErrStaleAttempt
	}
	c.attempt = a
	return nil
}

// Attempt returns the attempt the cursor is bound to.
func (c *Cursor) Attempt() request.Attempt { return c.attempt }

// Next returns the first position that has not finished.
func (c *Cursor) Next() request.Position { return c.next }

// Running returns the number of positions from Next on that are being
// executed.
func (c *Cursor) Running() int { return c.running }

// Classify returns the status of a step. It does not change the cursor.
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

// Start marks n positions from Next on as running. A replacement stage runs
// the positions it is fed again together, like a prefill.
func (c *Cursor) Start(n int) { c.running = n }

// Finish marks position Next as done.
func (c *Cursor) Finish() {
	c.running--
	c.next++
}

// Abort marks all positions as not running. It may be called only if none of
// them ran.
func (c *Cursor) Abort() { c.running = 0 }
