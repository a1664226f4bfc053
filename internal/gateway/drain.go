package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/process"
)

const (
	// drainDelay is how long a gateway goes on at least after it has become
	// unready: the load balancer takes it out after two failed questions.
	drainDelay = 2300 * time.Millisecond
	// drainMargin is the part of the grace time that is left for the exit.
	drainMargin = 400 * time.Millisecond
	// drainPoll is how often the end of the work in progress is looked for.
	drainPoll = 20 * time.Millisecond
	// typicalTokenTime is the time of one output token of a loaded chain. It
	// decides whether a stream can end before a planned stop does.
	typicalTokenTime = 15 * time.Millisecond
	// acceptAll is how long after the begin of a planned stop all requests are
	// accepted: the load balancer still sends clients here, and those that are
	// refused would come back to this gateway.
	acceptAll = 3 * time.Second
	// drainReturn is when a client that is refused because of a planned stop
	// comes back; it reaches another gateway then.
	drainReturn = 100 * time.Millisecond
)

// draining reports whether a planned stop has begun.
func (g *Gateway) draining() bool { return g.stopAt.Load() != 0 }

// drain makes the gateway unready and serves on until the load balancer has
// taken it out and nothing is in progress, or the grace time ends. The listener
// stays open to the end: while all gateways of a failure domain stop, clients
// still come here.
func (g *Gateway) drain(server *http.Server) error {
	limit := max(g.settings.DrainTimeout-drainMargin, 0)
	end := time.Now().Add(limit)
	g.stopAt.Store(end.UnixNano())
	sleepUntil(time.Now().Add(min(drainDelay, limit)))
	for g.inFlight.Load() > 0 && time.Now().Before(end) {
		sleepUntil(time.Now().Add(drainPoll))
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return process.ErrDrainTimeout
	}
	return nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// endsInTime reports whether the call will end before a planned stop does.
func (c *call) endsInTime() bool {
	stop := c.g.stopAt.Load()
	begin := time.Unix(0, stop).Add(drainMargin - c.g.settings.DrainTimeout)
	if stop == 0 || c.started.Sub(begin) < acceptAll {
		return true
	}
	expected := c.route.Objective
	if c.service.Model != nil {
		expected += time.Duration(c.in.ExpectedOutput) * typicalTokenTime
	}
	return c.started.Add(expected).Before(time.Unix(0, stop))
}
