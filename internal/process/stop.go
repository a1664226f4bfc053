package process

import (
	"context"
	"errors"
	"time"
)

// StopRequested is the cause of a context that ended because the process is to stop.
type StopRequested struct {
	// At is when the request to stop arrived.
	At time.Time
}

// Error implements error.
func (StopRequested) Error() string { return "process: stop requested" }

// StopTime returns when the stop was requested because of which ctx has ended: the time in its
// StopRequested, or the current time if it ended for another cause.
func StopTime(ctx context.Context) time.Time {
	var requested StopRequested
	if errors.As(context.Cause(ctx), &requested) {
		return requested.At
	}
	return time.Now()
}
