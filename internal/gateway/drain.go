package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

const (
	// drainDelay is the minimum time that a gateway serves after it has become
	// unready: the load balancer removes it after two failed readiness checks.
	drainDelay = 2300 * time.Millisecond
	// maxStopSpread is the longest time by which clients that a stopping gateway refuses come to
	// another one later than they could, so that those that waited don't all come at once.
	maxStopSpread = 100 * time.Millisecond
	// drainPollInterval is how often drain checks whether all requests have
	// finished.
	drainPollInterval = 20 * time.Millisecond
	// cutTime is how long the handlers of responses that are cut at the end of a stop may
	// take, cutPollInterval how often it is checked whether they have ended.
	cutTime         = 50 * time.Millisecond
	cutPollInterval = 2 * time.Millisecond
	// restartTime is how long a gateway needs from its stop until it serves
	// again.
	restartTime = 700 * time.Millisecond
)

// draining reports whether a graceful shutdown has begun.
func (g *Gateway) draining() bool { return g.currentStop.get() != nil }

// drain carries out a stop that was requested at begun. It makes the gateway unready and keeps
// serving until the load balancer has removed it and no request is in progress, or until the stop
// closes connections. The listener stays open until then: while all gateways of a failure domain
// stop, clients still connect to this one. Once not all requests are accepted any more, the connections
// that clients keep are closed between two requests if they reach another gateway: the next
// request then goes there at once instead of being refused here.
func (g *Gateway) drain(server *http.Server, begun time.Time) error {
	s := newStop(begun, g.settings.DrainTimeout)
	g.observeOtherGateways(time.Now())
	g.currentStop.begin(s)
	g.log.Log(events.ProcessStopping).Int("requests", g.inProgress.count()).
		Dur("since_request_ms", time.Since(begun)).Dur("time_left_ms", time.Until(s.end)).Send()
	closing := s.closing()
	removed := earlier(s.begun.Add(drainDelay), closing)
	for now := time.Now(); now.Before(removed) || g.inProgress.count() > 0 && now.Before(closing); now = time.Now() {
		g.observeOtherGateways(now)
		if !now.Before(s.acceptAllEnd()) && g.otherGateways.reachable(now) {
			g.clients.closeKept(now)
		}
		sleepUntil(now.Add(drainPollInterval))
	}
	return g.closeClients(server, s)
}

// closeClients accepts no more connections and closes the open ones: those on which no
// request arrives at once, the others after the response. Requests that are not answered when
// the last answers are due are interrupted then, those whose responses have begun at the end. It
// returns process.ErrDrainTimeout if work on requests was interrupted.
func (g *Gateway) closeClients(server *http.Server, s *stop) error {
	g.clients.stopAccepting()
	lastRequest := time.Now()
	for now := lastRequest; !g.clients.closeUnused(now) && now.Before(s.end); now = time.Now() {
		g.observeOtherGateways(now)
		if g.inProgress.count() > 0 {
			lastRequest = now
		}
		if now.Sub(lastRequest) > closingTime {
			break // the rest has sent a part of a request, and no more
		}
		if !now.Before(s.lastAnswers()) {
			g.inProgress.interruptUnanswered()
		}
		sleepUntil(now.Add(drainPollInterval))
	}
	if g.inProgress.count() > 0 {
		g.workInterrupted.Store(true)
		g.inProgress.logUnfinished(g.log)
		g.inProgress.interruptAll()
		g.awaitInterrupted(s.end.Add(cutTime))
	}
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "gateway: close the server for clients")
	}
	if g.workInterrupted.Load() {
		return process.ErrDrainTimeout
	}
	return nil
}

// awaitInterrupted waits until no request is in progress, at most until end.
func (g *Gateway) awaitInterrupted(end time.Time) {
	for now := time.Now(); g.inProgress.count() > 0 && now.Before(end); now = time.Now() {
		sleepUntil(now.Add(cutPollInterval))
	}
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// refuseStopping refuses a call because of the stop in progress.
func (c *call) refuseStopping() {
	c.refuse("this gateway stops", c.g.currentStop.get().retryDelay(&c.g.otherGateways, time.Now()))
}

// accept reports whether the call may be accepted during a stop, which is nil if none has begun. It
// logs each call that is accepted later than at the start of the stop.
func (c *call) accept(s *stop) bool {
	accepted := c.acceptedBy(s)
	if accepted && s != nil && !c.started.Before(s.acceptAllEnd()) {
		now := time.Now()
		c.logEvent(events.AcceptedInStop).Dur("since_stop_ms", now.Sub(s.begun)).Dur("left_ms", s.end.Sub(now)).
			Dur("deadline_ms", c.deadline.Sub(now)).Send()
	}
	return accepted
}

// acceptedBy reports whether the call may be accepted during a stop, which is nil if none has
// begun.
func (c *call) acceptedBy(s *stop) bool { return s == nil || s.takes(c.started, c.deadline) }
