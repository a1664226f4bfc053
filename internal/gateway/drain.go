package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/process"
)

const (
	// drainDelay is the minimum time that a gateway serves after it has become
	// unready: the load balancer removes it after two failed readiness checks.
	drainDelay = 2300 * time.Millisecond
	// drainMargin is the part of Settings.DrainTimeout that is reserved for the
	// exit of the process.
	drainMargin = 400 * time.Millisecond
	// closingTime is the time before the drain deadline at which no more connections and
	// requests are accepted, so that those accepted last are answered.
	closingTime = 250 * time.Millisecond
	// drainPollInterval is how often drain checks whether all requests have
	// finished.
	drainPollInterval = 20 * time.Millisecond
	// loadedTokenTime is the time per output token on a heavily loaded chain.
	// It is used to decide whether a stream ends before a graceful
	// shutdown does.
	loadedTokenTime = 25 * time.Millisecond
	// acceptAllPeriod is how long after the start of a graceful shutdown all
	// requests are accepted: the load balancer still sends clients to this
	// gateway, and a refused client would retry at this gateway.
	acceptAllPeriod = 3 * time.Second
	// restartTime is how long a gateway needs from its stop until it serves
	// again.
	restartTime = 700 * time.Millisecond
)

// draining reports whether a graceful shutdown has begun.
func (g *Gateway) draining() bool { return g.drainDeadline.Load() != 0 }

// drain makes the gateway unready and keeps serving until the load balancer has
// removed it and no request is in progress, or until closingTime before the drain
// deadline. The listener stays open until then: while all gateways of a failure domain
// stop, clients still connect to this one.
func (g *Gateway) drain(server *http.Server) error {
	limit := max(g.settings.DrainTimeout-drainMargin, 0)
	end := time.Now().Add(limit)
	g.drainDeadline.Store(end.UnixNano())
	sleepUntil(time.Now().Add(min(drainDelay, limit-closingTime)))
	for g.inProgress.count() > 0 && time.Now().Before(end.Add(-closingTime)) {
		sleepUntil(time.Now().Add(drainPollInterval))
	}
	return g.closeClients(server, end)
}

// closeClients accepts no more connections and closes the open ones: those on which no
// request arrives at once, the others after the response. It returns
// process.ErrDrainTimeout if requests are still in progress at end.
func (g *Gateway) closeClients(server *http.Server, end time.Time) error {
	g.clients.stopAccepting()
	lastRequest := time.Now()
	for now := lastRequest; !g.clients.closeUnused(now) && now.Before(end); now = time.Now() {
		if g.inProgress.count() > 0 {
			lastRequest = now
		}
		if now.Sub(lastRequest) > closingTime {
			break // the rest has sent a part of a request, and no more
		}
		sleepUntil(now.Add(drainPollInterval))
	}
	interrupted := g.inProgress.count() > 0
	g.inProgress.logUnfinished(g.log)
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "gateway: close the server for clients")
	}
	if interrupted {
		return process.ErrDrainTimeout
	}
	return nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// refuseStopping refuses a call because of a graceful shutdown. A client that still
// reaches this gateway finds no other gateway ready, so it is told to retry
// after the restart.
func (c *call) refuseStopping() {
	c.refuse("this gateway stops", time.Until(time.Unix(0, c.g.drainDeadline.Load()))+restartTime)
}

// endsBeforeStop reports whether the call may be accepted during a graceful
// shutdown: even at its longest expected duration it ends before the shutdown does,
// or it arrived within acceptAllPeriod. It returns true if no shutdown has begun.
func (c *call) endsBeforeStop() bool {
	stop := c.g.drainDeadline.Load()
	begin := time.Unix(0, stop).Add(drainMargin - c.g.settings.DrainTimeout)
	if stop == 0 || c.started.Sub(begin) < acceptAllPeriod {
		return true
	}
	end := time.Unix(0, stop)
	if c.service.Model == nil {
		return c.deadline.Before(end)
	}
	longest := c.route.LatencyObjective + time.Duration(c.inbound.MaxOutputTokens)*loadedTokenTime
	return c.inbound.MaxOutputTokens > 0 && c.started.Add(longest).Before(end)
}
