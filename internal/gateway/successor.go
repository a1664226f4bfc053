package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// successorPollInterval is how often a silent exchange checks whether its successor has
	// begun.
	successorPollInterval = 20 * time.Millisecond
	// successorLimit is how long the successor of a stream may be silent before it is
	// replaced by another one, provided that the route allows another attempt and an instance
	// is granted at once. It may have to process the whole prompt.
	successorLimit = 600 * time.Millisecond
)

// errMoved ends an exchange because its successor has begun.
var errMoved = errors.New("gateway: another instance has begun to answer")

// successor is a second exchange of a request whose instance is silent. It runs beside the
// first one until it has begun to answer, since a silent instance may be sound and go on:
// whichever goes on first is used, and the other one is ended.
type successor struct {
	grant  chain.Grant
	cancel context.CancelFunc
	// hedge is true if the successor is a hedge: the first exchange is slow, not silent for
	// long.
	hedge bool
	// replaceTriedAt is when another successor was last looked for.
	replaceTriedAt time.Time
	// alone is true once the first exchange has ended. The goroutine that serves the
	// request then waits for done, and the stall function of the request is called.
	alone atomic.Bool
	// done is closed when the fields below are set; they may be read only afterwards.
	done                chan struct{}
	sentAt, respondedAt time.Time
	// exchange is nil if no head of a response arrived.
	exchange *backend.Exchange
	// begun is true if the successor can take over: it has sent the next event of a stream,
	// or a whole response.
	begun bool
	err   error
	// events reads the events of a stream, answer is a buffered response.
	events *eventReader
	answer bufferedBody
}

// beginFunc reads from the response of a successor, in a goroutine of its own, until it can
// take over. It returns false if the response can't replace that of the first exchange.
type beginFunc func(*successor) (begun bool, err error)

// startSuccessor sends the request to an instance that is granted at once, beside the
// exchange in progress. It reports whether it did. The caller has checked attemptsLeft.
func (c *call) startSuccessor(req admitRequest, lastEvent string, o backend.Options, begin beginFunc) bool {
	if _, refused := c.g.quarantine.Check(c.parts, time.Now()); refused {
		return false
	}
	req.maxWait = 0
	grant, err := c.g.admission.Acquire(c.context(), req)
	if err != nil {
		return false
	}
	if !c.takeResend() {
		c.g.admission.Release(grant)
		return false
	}
	if !c.launchSuccessor(grant, lastEvent, o, begin) {
		return false
	}
	c.logEvent(events.RequestRetried).Str("instance", c.lastPath.First().Instance).Bool("silent", true).
		Str("successor", grant.Path.First().Instance).Int("events", c.eventCount).Send()
	return true
}

// launchSuccessor sends the request over the path of a grant, beside the exchange in
// progress. If the request must not be sent, it releases the grant and returns false.
func (c *call) launchSuccessor(grant chain.Grant, lastEvent string, o backend.Options, begin beginFunc) bool {
	asked, err := c.beginSend(grant.Path.First(), &o)
	if err != nil {
		c.g.admission.Release(grant)
		return false
	}
	ctx, cancel := context.WithCancel(c.context())
	n := &successor{grant: grant, cancel: cancel, done: make(chan struct{}), sentAt: time.Now()}
	if onStall := o.OnStall; onStall != nil {
		o.OnStall = func(waited time.Duration) (time.Duration, error) {
			if !n.alone.Load() {
				return 0, nil
			}
			return onStall(waited)
		}
	}
	request := c.request(grant.Path, lastEvent)
	go func() {
		defer close(n.done)
		x, err := c.g.pool.Do(ctx, grant.Path.First().Address, request, o)
		n.respondedAt = time.Now()
		if err != nil {
			n.err = err
			return
		}
		c.recordReply(asked, x)
		n.read(x, begin)
	}()
	c.successor = n
	return true
}

// read reads the response until it has begun or failed.
func (n *successor) read(x *backend.Exchange, begin beginFunc) {
	n.exchange = x
	n.begun, n.err = begin(n)
	if n.err != nil {
		x.Abort()
	}
}

// checkSuccessor is called by the stall function of a silent exchange. It returns errMoved
// if the successor has begun, and ends a successor that failed. A successor that is silent
// for longer than limit is replaced if start starts another one.
func (c *call) checkSuccessor(limit time.Duration, start func() bool) (again time.Duration, err error) {
	n := c.successor
	select {
	case <-n.done:
	default:
		now := time.Now()
		if now.Sub(n.sentAt) > limit && now.Sub(n.replaceTriedAt) > stallCheckInterval {
			n.replaceTriedAt = now
			c.replaceSuccessor(start)
		}
		return n.pollInterval(), nil
	}
	if n.begun {
		return 0, errMoved
	}
	c.successor = nil
	c.recordFailedSuccessor(n)
	n.end(c.g.admission)
	return 0, nil
}

// pollInterval is how often the first exchange checks whether the successor has begun.
func (n *successor) pollInterval() time.Duration {
	if n.hedge {
		return hedgePollInterval
	}
	return successorPollInterval
}

// replaceSuccessor ends a silent successor if start starts another one.
func (c *call) replaceSuccessor(start func() bool) {
	silent := c.successor
	instance := silent.grant.Path.First().Instance
	c.recordPossibleRun(instance)
	c.addAvoided(instance)
	if !c.attemptsLeft() {
		return
	}
	c.successor = nil
	if !start() {
		c.successor = silent
		return
	}
	c.g.tracker.RecordFailure(instance, time.Now())
	c.logEvent(events.SuccessorFailed).Str("instance", instance).Bool("silent", true).Send()
	silent.end(c.g.admission)
}

// recordFailedSuccessor records why a successor did not begin.
func (c *call) recordFailedSuccessor(n *successor) {
	path := n.grant.Path
	instance, now := path.First().Instance, time.Now()
	line := c.logEvent(events.SuccessorFailed).Str("instance", instance).Err(n.err)
	if n.exchange != nil && n.err == nil {
		reply, status := c.g.protocol.Reply(n.exchange.Response), n.exchange.Response.StatusCode
		line.Int("status", status).Bool("not_run", reply.NotExecuted).Send()
		if reply.NotExecuted {
			c.recordRefusal(path, reply, status)
			return
		}
		c.recordPossibleRun(instance)
		c.addAvoided(instance)
		return
	}
	line.Send()
	c.addAvoided(instance)
	c.observeEnd(path.First(), n.err, true, n.sentAt)
	if errors.Is(n.err, backend.ErrNotSent) {
		c.g.tracker.RecordUnreachable(instance, now)
		return
	}
	c.g.tracker.RecordFailure(instance, now)
	c.recordPossibleRun(instance)
}

// takeSuccessor makes the successor the exchange of the request. It returns nil if there is
// none. If the successor has not begun, it waits until it has begun or failed.
func (c *call) takeSuccessor() *successor {
	n := c.successor
	if n == nil {
		return nil
	}
	c.successor = nil
	c.attempt.observed = false
	n.alone.Store(true)
	<-n.done
	c.sentAt, c.respondedAt, c.answerEvents = n.sentAt, n.respondedAt, 0
	instance := n.grant.Path.First().Instance
	if n.hedge && n.begun {
		c.g.hedges.RecordHedge(c.hedgeClass(), true)
		c.g.metrics.recordHedge("hedges_won", c.service.Name)
		c.logEvent(events.HedgeWon).Str("instance", instance).Send()
		return n
	}
	c.logEvent(events.SuccessorUsed).Str("instance", instance).Bool("begun", n.begun).Err(n.err).Send()
	return n
}

// dropSuccessor ends the successor, if there is one: the first exchange went on.
func (c *call) dropSuccessor() {
	n := c.successor
	if n == nil {
		return
	}
	c.successor = nil
	c.recordPossibleRun(n.grant.Path.First().Instance)
	event := events.SuccessorDropped
	if n.hedge {
		event = events.HedgeCancelled
		if !c.clientGone() {
			c.g.hedges.RecordHedge(c.hedgeClass(), false)
		}
		c.g.metrics.recordHedge("hedges_cancelled", c.service.Name)
	}
	c.logEvent(event).Str("instance", n.grant.Path.First().Instance).Send()
	n.end(c.g.admission)
}

// end closes the exchange of a successor that is not used, and releases its grant.
func (n *successor) end(a *admission) {
	n.cancel()
	go func() {
		<-n.done
		if n.exchange != nil {
			n.exchange.Abort()
		}
		a.Release(n.grant)
	}()
}

// nextGrant returns the grant of the successor if there is one, and otherwise that of admit.
func (c *call) nextGrant(admit func() (chain.Grant, error)) (chain.Grant, error) {
	if c.successor != nil {
		return c.successor.grant, nil
	}
	return admit()
}

// beginStream returns the beginFunc of a stream: the successor takes over with the first
// event after lastEvent.
func (s *stream) beginStream(lastEvent string) beginFunc {
	begun, contentType := s.sentStatus != 0, mediaType(s.w.Header())
	return func(n *successor) (bool, error) {
		n.events = newEventReader(n.exchange.Response.Body)
		reply := s.g.protocol.Reply(n.exchange.Response)
		if reply.NotExecuted || n.exchange.Response.StatusCode != http.StatusOK || !authentic(n.exchange.Response, reply) ||
			begun && mediaType(n.exchange.Response.Header) != contentType {
			return false, nil
		}
		if err := n.events.skipUntilNew(lastEvent); err != nil {
			return false, errors.Join(backend.ErrExchangeFailed, err)
		}
		return !n.events.atEnd(), nil
	}
}

// beginBuffered is the beginFunc of a buffered response: the successor takes over with a
// whole response that is no error of the instance.
func (c *call) beginBuffered(n *successor) (bool, error) {
	resp := n.exchange.Response
	reply := c.g.protocol.Reply(resp)
	if reply.NotExecuted || !authentic(resp, reply) {
		return false, nil
	}
	if err := n.answer.read(resp.Body); err != nil {
		return false, errors.Join(backend.ErrExchangeFailed, err)
	}
	return n.answer.complete && resp.StatusCode < http.StatusInternalServerError, nil
}
