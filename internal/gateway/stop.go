package gateway

import "time"

const (
	// exitTime is the part of Settings.DrainTimeout that is reserved for the exit of the
	// process.
	exitTime = 400 * time.Millisecond
	// acceptAllPeriod is how long after the start of a graceful stop all requests are
	// accepted: the load balancer still sends clients to this gateway, and a refused client
	// would retry at this gateway.
	acceptAllPeriod = 3 * time.Second
	// loadedTokenTime is the time per output token on a heavily loaded chain.
	// It is used to decide whether a stream ends before a graceful stop does.
	loadedTokenTime = 25 * time.Millisecond
)

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

// takes reports whether a request may be accepted that arrives at a time and whose response
// is complete by latest, which is zero if it is not known: it arrives while all are accepted,
// or surely ends before the stop.
func (s *stop) takes(arrived, latest time.Time) bool {
	return arrived.Sub(s.begun) < acceptAllPeriod || !latest.IsZero() && latest.Before(s.end)
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
