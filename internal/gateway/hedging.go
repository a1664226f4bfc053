package gateway

import (
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/hedge"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// hedgePollInterval is how often a slow exchange checks whether its hedge has answered:
	// more often than for other successors, since most hedges answer within 100 ms.
	hedgePollInterval = 5 * time.Millisecond
	// hedgeSpareShare is the share of the capacity that must stay free beside a hedge, so
	// that no first attempt waits because of it.
	hedgeSpareShare = 0.25
	// noSilenceLimit replaces the limit of silence on a route without a latency objective.
	noSilenceLimit = 24 * time.Hour
)

// attempt describes the exchange of the request that is observed for hedging.
type attempt struct {
	// observed is true until the time of the exchange is recorded. It is false for successors
	// and for streams that have begun.
	observed bool
	// late is true if the exchange has taken longer than nearly all recent ones.
	late bool
	// decided is true once it was decided whether the request is hedged.
	decided bool
}

// hedgeable reports whether the request may be hedged.
func (c *call) hedgeable() bool { return c.g.hedges != nil && c.route.Repeatable() }

// hedgeClass returns the class of attempts that the request belongs to.
func (c *call) hedgeClass() hedge.Class {
	class := hedge.Class{Service: c.service.Name, Streaming: c.route.Kind == routing.Streaming}
	if c.service.Model != nil {
		class.Size = hedge.SizeClass(c.inbound.PromptTokens)
	}
	return class
}

// hedgeWait returns how long the exchange takes before it is late, and false if it can't be
// hedged.
func (c *call) hedgeWait() (time.Duration, bool) {
	if !c.hedgeable() || c.attempt.decided {
		return 0, false
	}
	return c.g.hedges.Wait(c.hedgeClass(), time.Now())
}

// beginAttempt is called when an exchange of the request begins.
func (c *call) beginAttempt() {
	c.attempt.observed, c.attempt.late = c.g.hedges != nil && c.eventCount == 0, false
}

// recordAttempt records the time of the exchange in progress: it has answered, or its
// successor has.
func (c *call) recordAttempt(now time.Time) {
	if !c.attempt.observed {
		return
	}
	c.attempt.observed = false
	c.g.hedges.RecordAttempt(c.hedgeClass(), now.Sub(c.sentAt), c.attempt.late, now)
}

// recordOvertaken records that the successor of the exchange in progress has begun to answer
// before it.
func (c *call) recordOvertaken(first chain.Stage) {
	n := c.successor
	if n == nil || !n.hedge && c.route.Kind == routing.Streaming {
		return // a stream is also moved because an instance failed, which says nothing about its time
	}
	c.recordAttempt(time.Now())
	if n.hedge && c.service.Model == nil {
		// The hedge was sent later and has answered before. On a path, another stage than the
		// first may be the slow one.
		c.g.tracker.RecordFailure(first.Instance, time.Now())
	}
}

// hedgeIfLate calls start if the exchange in progress is late and a hedge may be sent. sent
// is true if start sent one; otherwise again is the time until the next call, 0 for none.
func (c *call) hedgeIfLate(start func() hedge.Reason) (again time.Duration, sent bool) {
	if !c.hedgeable() || !c.attempt.observed || c.attempt.decided || c.eventCount > 0 {
		return 0, false
	}
	now := time.Now()
	decision := c.g.hedges.Decide(c.hedgeClass(), now.Sub(c.sentAt), now)
	if decision.Again > 0 {
		return decision.Again, false
	}
	c.attempt.decided, c.attempt.late = true, decision.Denied != hedge.FewSamples
	reason := decision.Denied
	if decision.Send {
		if reason = start(); reason != "" {
			c.g.hedges.Return(c.service.Name, now)
		}
	}
	if reason != "" {
		c.g.metrics.recordHedgeDenied(c.service.Name, string(reason))
		return 0, false
	}
	c.g.metrics.recordHedge("hedges_sent", c.service.Name)
	return 0, true
}

// startHedge sends the request to another instance beside the exchange in progress, whose
// first instance is first. It returns why it did not.
func (c *call) startHedge(first chain.Stage, lastEvent string, o backend.Options, begin beginFunc) hedge.Reason {
	c.recordPossibleRun(first.Instance)
	if !c.attemptsLeft() || c.sends >= maxSends {
		return hedge.MaxAttempts
	}
	if _, refused := c.g.quarantine.Check(c.parts, time.Now()); refused || c.clientGone() || c.deadlinePassed() {
		return hedge.NotAllowed
	}
	req := admitRequest{service: c.service, demand: c.demand()}
	req.demand.Avoid = append(slices.Clone(c.avoid), first.Instance)
	grant, ok := c.g.admission.acquireSpare(req, c.g.directory.View().Instances[first.Instance].Domain)
	if !ok {
		return hedge.NoCapacity
	}
	if !c.g.budget.TakeRepeat(c.service.Name, retry.Hedge, time.Now()) {
		c.g.admission.Release(grant)
		return hedge.RetryBudget
	}
	if !c.launchSuccessor(grant, lastEvent, o, begin) {
		return hedge.NotAllowed
	}
	c.successor.hedge = true
	c.logEvent(events.HedgeSent).Str("instance", first.Instance).Str("successor", grant.Path.First().Instance).Send()
	return ""
}

// acquireSpare returns a grant of instances with capacity to spare, preferably in another
// failure domain than domain. No other request waits for instances of the service, and no
// stop is in progress.
func (a *admission) acquireSpare(req admitRequest, domain string) (chain.Grant, bool) {
	if a.stopping.get() != nil {
		return chain.Grant{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.ContainsFunc(a.waiting, func(w *waiter) bool { return w.service.Name == req.service.Name }) {
		return chain.Grant{}, false
	}
	view, now := a.directory.View(), time.Now()
	elsewhere := req.demand
	elsewhere.AvoidDomain = domain
	for _, demand := range []chain.Demand{elsewhere, req.demand} {
		if grant, err := a.tracker.ChooseSpare(view, req.service, demand, hedgeSpareShare, now); err == nil {
			return grant, true
		}
	}
	return chain.Grant{}, false
}

// startBufferedHedge starts a hedge of a buffered response.
func (c *call) startBufferedHedge() hedge.Reason {
	return c.startHedge(c.lastPath.First(), c.inbound.LastEvent, c.bufferedOptions(), c.beginBuffered)
}

// startStreamHedge starts a hedge of a stream before its first event.
func (s *stream) startStreamHedge() hedge.Reason {
	return s.startHedge(s.currentGrant().Path.First(), s.lastEvent, s.options(), s.beginStream(s.lastEvent))
}
