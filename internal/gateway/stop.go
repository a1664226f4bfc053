package gateway

import (
	"errors"
	"math/rand/v2"
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
	// loadedTokenTime is the expected time per output token on a heavily loaded chain.
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

// lastSend is the last time at which a request should be sent to an instance whose response is
// expected to take d.
func (s *stop) lastSend(d time.Duration) time.Time { return s.lastAnswers().Add(-d) }

// acceptAllEnd is until when all requests are accepted.
func (s *stop) acceptAllEnd() time.Time { return s.begun.Add(acceptAllPeriod - signalDelay) }

// bounds reports whether a request that must be answered by deadline surely ends before the stop
// does. A deadline is the only time that does: an instance may be slower than expected, also once its
// response has begun.
func (s *stop) bounds(deadline time.Time) bool { return !deadline.After(s.lastAnswers()) }

// takes reports whether a request may be accepted that arrives at a time and must be answered by
// deadline: it arrives while all are accepted, or surely ends before the stop.
func (s *stop) takes(arrived, deadline time.Time) bool {
	return arrived.Before(s.acceptAllEnd()) || s.bounds(deadline)
}

// retryDelay returns after what time a client that is refused should retry: once the load balancer
// sends it to another gateway, or after the restart of this one if no other gateway serves.
func (s *stop) retryDelay(others *otherGateways, now time.Time) time.Duration {
	from, serve := others.reachableFrom()
	if !serve {
		return s.end.Sub(now) + restartTime
	}
	return max(later(s.begun.Add(drainDelay), from).Sub(now), 0) + rand.N(maxStopSpread)
}

// lastSend returns the last time at which the call may be sent to an instance during a stop. Where
// the deadline sets no bound and the call can still be refused as not run, the expected duration only
// makes the time earlier. A call that may have run can't be refused any more: another attempt
// that is interrupted costs no more than none.
func (c *call) lastSend(s *stop) time.Time {
	if s.bounds(c.deadline) {
		return s.lastAnswers()
	}
	if c.service.Model != nil {
		return c.lastStreamSend(s)
	}
	last := s.lastSend(max(c.g.responseTimes.longest(c.service.Name, time.Now()), c.route.LatencyObjective))
	if len(c.possiblyRanOn) > 0 {
		return last
	}
	return earlier(last, s.acceptAllEnd())
}

// lastStreamSend is lastSend for a response of a model whose deadline sets no bound. As long as all
// requests are accepted, its client has no other gateway yet, and can have an interrupted response
// continued.
func (c *call) lastStreamSend(s *stop) time.Time {
	last := earlier(s.acceptAllEnd(), s.lastAnswers())
	if len(c.possiblyRanOn) == 0 || c.inbound.MaxOutputTokens <= 0 {
		return last
	}
	output := time.Duration(c.inbound.MaxOutputTokens) * loadedTokenTime
	return later(s.lastSend(c.route.LatencyObjective+output), last)
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
