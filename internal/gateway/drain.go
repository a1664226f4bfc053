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
	// longTokenTime is the time of one output token of a heavily loaded chain.
	// It decides whether a stream surely ends before a planned stop does.
	longTokenTime = 25 * time.Millisecond
	// acceptAll is how long after the begin of a planned stop all requests are
	// accepted: the load balancer still sends clients here, and those that are
	// refused would come back to this gateway.
	acceptAll = 3 * time.Second
	// restartTime is how long a gateway needs to serve again after it stops.
	restartTime = 700 * time.Millisecond
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

// refuseStopping refuses a call because of a planned stop. A client that still
// comes here finds no other gateway ready, so it returns after the restart.
func (c *call) refuseStopping() {
	c.refuse("this gateway stops", time.Until(time.Unix(0, c.g.stopAt.Load()))+restartTime)
}

// endsInTime reports whether the call surely ends before a planned stop does,
// or may be taken whatever its length.
func (c *call) endsInTime() bool {
	stop := c.g.stopAt.Load()
	begin := time.Unix(0, stop).Add(drainMargin - c.g.settings.DrainTimeout)
	if stop == 0 || c.started.Sub(begin) < acceptAll {
		return true
	}
	end := time.Unix(0, stop)
	if c.service.Model == nil {
		return c.deadline.Before(end)
	}
	longest := c.route.LatencyObjective + time.Duration(c.in.MaxOutputTokens)*longTokenTime
	return c.in.MaxOutputTokens > 0 && c.started.Add(longest).Before(end)
}
