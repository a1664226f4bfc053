package process

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop whose time counts from when the process got round to it, or that has no
// start if its context ended for another cause.
func TestStopTime(t *testing.T) {
	requested := time.Now().Add(-time.Second)
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(StopRequested{requested})
	assert.Equal(t, StopTime(ctx), requested)
	cancelled, cancelPlain := context.WithCancel(context.Background())
	cancelPlain()
	assert.Assert(t, time.Since(StopTime(cancelled)) < time.Second)
}
