package gateway

import (
	"errors"
	"sync/atomic"
	"time"
)

const (
	// exitTime is the part of Settings.DrainTimeout that is reserved for the exit of the
	// process.
	exitTime = 400 * time.Millisecond
	// acceptAllPeriod is how long after the request to stop all requests of clients are
	// accepted: the load balancer still sends clients to this gateway, and a refused client
	// would retry at this gateway. signalDelay is the part of it that may pass before the
	// process notices the signal, so that begun is later than the signal.
	acceptAllPeriod = 3 * time.Second
	signalDelay     = 250 * time.Millisecond
	// closingTime is the time before the end of a stop at which no more connections and
	// requests are accepted, so that those accepted last are answered.
	closingTime = 250 * time.Millisecond
	// answerTime is the time before the end of a stop that is kept for the last answers: to
	// requests that will not be complete.
	answerTime = 100 * time.Millisecond
	// loadedTokenTime is the time per output token on a heavily loaded chain.
	// It is used to decide whether a stream ends before a graceful stop does.
	loadedTokenTime = 25 * time.Millisecond
)

// errStopping means that a request was not sent to an instance because its response would not
// be complete before the end of the stop.
var errStopping = errors.New("gateway: this gateway stops")

// stop is a graceful stop of the gateway. Each decision that depends on the stop asks it, so
// that all have the same idea of its times. These are of the monotonic clock: the time of day
// may jump. It does not change.
type stop struct {
	// begun is when the stop was requested.
	begun time.Time
	// end is when the connections of requests that are still in progress are closed.
	end time.Time
}

// newStop returns a stop that was requested at begun and after which the process must have
// exited within timeout.
func newStop(begun time.Time, timeout time.Duration) *stop {
	return &stop{begun: begun, end: begun.Add(max(timeout-exitTime, 0))}
}

// closing is when no more connections are accepted.
func (s *stop) closing() time.Time { return s.end.Add(-closingTime) }

// lastAnswers is when requests that are still in progress get their last answers.
func (s *stop) lastAnswers() time.Time { return s.end.Add(-answerTime) }

// lastSend is the last time at which a request may be sent to an instance whose response takes
// d. What is sent later would be interrupted while the instance works on it.
func (s *stop) lastSend(d time.Duration) time.Time { return s.lastAnswers().Add(-d) }

// acceptAllEnd is until when all requests are accepted.
func (s *stop) acceptAllEnd() time.Time { return s.begun.Add(acceptAllPeriod - signalDelay) }

// takes reports whether a request may be accepted that arrives at a time and whose response
// is complete by latest, which is zero if it is not known: it arrives while all are accepted,
// or surely ends before the stop.
func (s *stop) takes(arrived, latest time.Time) bool {
	return arrived.Before(s.acceptAllEnd()) || !latest.IsZero() && latest.Before(s.end)
}

// latestEnd returns when the response to the call is complete even at its longest expected
// duration, or the zero time if that is not known.
func (c *call) latestEnd() time.Time {
	switch {
	case c.service.Model == nil:
		return c.deadline
	case c.inbound.MaxOutputTokens <= 0:
		return time.Time{}
	}
	output := time.Duration(c.inbound.MaxOutputTokens) * loadedTokenTime
	return c.started.Add(c.route.LatencyObjective + output)
}

// lastSend returns the last time at which the call may be sent to an instance during a stop.
// The response of a model may be interrupted: the client can have it continued elsewhere, or
// has no other gateway yet.
func (c *call) lastSend(s *stop) time.Time {
	if c.service.Model == nil {
		return s.lastSend(max(c.g.responseTimes.longest(c.service.Name, time.Now()), c.route.LatencyObjective))
	}
	latest := c.latestEnd()
	if latest.IsZero() {
		return s.acceptAllEnd()
	}
	return later(s.lastSend(latest.Sub(c.started)), s.acceptAllEnd())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// currentStop holds the stop in progress and tells what waits that it has begun. It is safe for
// concurrent use.
type currentStop struct {
	stop atomic.Pointer[stop]
	// begun is closed after stop was set.
	begun chan struct{}
}

func newCurrentStop() *currentStop { return &currentStop{begun: make(chan struct{})} }

// begin sets the stop. It is called once.
func (c *currentStop) begin(s *stop) {
	c.stop.Store(s)
	close(c.begun)
}

// get returns the stop in progress, or nil if none has begun.
func (c *currentStop) get() *stop { return c.stop.Load() }
