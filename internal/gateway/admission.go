package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// maxPromptWaitShare is the fraction of the latency objective that a prompt
	// may spend in the queue. The rest is needed to process the prompt: a longer
	// queue would make every answer late.
	maxPromptWaitShare = 0.6
	// maxPlainWaitShare is the fraction of the time left until its deadline that
	// a request to a plain service may spend in the queue.
	maxPlainWaitShare = 0.3
	// dispatchInterval is how often waiting requests are dispatched while no
	// capacity is released: the tracker may have stopped avoiding an instance in
	// the meantime.
	dispatchInterval = 50 * time.Millisecond
)

// admission assigns instances to requests in order of urgency and arrival.
type admission struct {
	tracker   *chain.InstanceTracker
	directory *fleet.Directory
	stopping  *currentStop

	// mu guards waiting and arrivals.
	mu      sync.Mutex
	waiting []*waiter
	// arrivals counts the requests that were queued.
	arrivals uint64
}

// waiter is a request that waits for instances.
type waiter struct {
	admitRequest
	// arrival is the request's position in the order of arrival.
	arrival uint64
	// granted receives the grant; it is buffered, so dispatch never blocks on it.
	granted chan chain.Grant
	// lastErr is why the latest attempt to assign instances failed.
	lastErr error
}

func newAdmission(t *chain.InstanceTracker, d *fleet.Directory, stopping *currentStop) *admission {
	return &admission{tracker: t, directory: d, stopping: stopping}
}

// admitRequest describes the instances that a request needs and how long it
// may wait for them.
type admitRequest struct {
	service *routing.Service
	demand  chain.Demand
	// urgency orders waiting requests. The lowest value is the most urgent: 0, or
	// continueUrgency for streams that have already sent events.
	urgency int
	maxWait time.Duration
	// waitIfUnservable makes the request wait even if no set of instances could
	// serve it now.
	waitIfUnservable bool
	// lastSend returns the last time at which the request may be sent during a stop.
	lastSend func(*stop) time.Time
}

// pastLastSend reports whether the request may not be sent any more because of a stop, which
// is nil if none has begun.
func (r admitRequest) pastLastSend(s *stop, now time.Time) bool {
	return s != nil && r.lastSend != nil && !now.Before(r.lastSend(s))
}

// Acquire returns a grant of instances for the request, waiting for at most its
// maxWait, and not beyond its lastSend in a stop. Its errors are errStopping and those of
// chain.InstanceTracker.Choose.
func (a *admission) Acquire(ctx context.Context, req admitRequest) (chain.Grant, error) {
	if req.pastLastSend(a.stopping.get(), time.Now()) {
		return chain.Grant{}, errStopping
	}
	grant, err := a.assign(ctx, req)
	if err == nil && req.pastLastSend(a.stopping.get(), time.Now()) {
		a.Release(grant) // it came when the stop interrupted another request
		return chain.Grant{}, errStopping
	}
	return grant, err
}

// assign returns a grant of instances at once or after a wait.
func (a *admission) assign(ctx context.Context, req admitRequest) (chain.Grant, error) {
	w := a.enqueue(req)
	a.dispatch()
	select {
	case g := <-w.granted:
		return g, nil
	default:
	}
	if !req.waitIfUnservable && a.unservable(w, time.Now()) {
		return a.stopWaiting(w)
	}
	return a.wait(ctx, w)
}

// wait waits for the grant of a queued request.
func (a *admission) wait(ctx context.Context, w *waiter) (chain.Grant, error) {
	end := time.Now().Add(w.maxWait)
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	stopping := a.stopping.begun
	for {
		select {
		case g := <-w.granted:
			return g, nil
		case <-stopping:
			stopping = nil
			if w.lastSend != nil {
				timer.Reset(time.Until(earlier(end, w.lastSend(a.stopping.get()))))
			}
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return a.stopWaiting(w)
	}
}

func (a *admission) enqueue(req admitRequest) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals++
	w := &waiter{admitRequest: req, arrival: a.arrivals, granted: make(chan chain.Grant, 1)}
	at, _ := slices.BinarySearchFunc(a.waiting, w, compareWaiters)
	a.waiting = slices.Insert(a.waiting, at, w)
	return w
}

func compareWaiters(x, y *waiter) int {
	if x.urgency != y.urgency {
		return x.urgency - y.urgency
	}
	if x.arrival < y.arrival {
		return -1
	}
	return 1
}

// unservable reports whether the latest dispatch found no set of instances that
// could serve the request within its maxWait.
func (a *admission) unservable(w *waiter, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(w.lastErr, chain.ErrBackoff) {
		return a.tracker.BackoffEnd(a.directory.View(), w.service.Name, now).After(now.Add(w.maxWait))
	}
	return errors.Is(w.lastErr, chain.ErrNoInstance)
}

// stopWaiting removes a request from the queue. If instances were granted in the
// meantime, it returns the grant.
func (a *admission) stopWaiting(w *waiter) (chain.Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := slices.Index(a.waiting, w); at >= 0 {
		a.waiting = slices.Delete(a.waiting, at, at+1)
	}
	select {
	case g := <-w.granted:
		return g, nil
	default:
	}
	switch {
	case w.pastLastSend(a.stopping.get(), time.Now()):
		return chain.Grant{}, errStopping
	case w.lastErr == nil:
		return chain.Grant{}, chain.ErrFull
	}
	return chain.Grant{}, w.lastErr
}

// Release returns the capacity of a grant to the tracker and dispatches waiting
// requests.
func (a *admission) Release(g chain.Grant) {
	a.tracker.Release(g)
	a.dispatch()
}

// dispatch assigns instances to the waiting requests in order. Once a request
// that avoids no instance finds its service full, later requests for that
// service are skipped, so that small requests can't starve large ones. Requests that must leave less
// capacity free are not skipped: a team above its share must not hold up the others.
func (a *admission) dispatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return
	}
	view, now := a.directory.View(), time.Now()
	blocked := make(map[string]*waiter)
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if b := blocked[w.service.Name]; b != nil && w.demand.Margin >= b.demand.Margin {
			w.lastErr = b.lastErr
			kept = append(kept, w)
			continue
		}
		g, err := a.tracker.Choose(view, w.service, w.demand, now)
		if err == nil {
			w.granted <- g
			continue
		}
		w.lastErr = err
		kept = append(kept, w)
		if errors.Is(err, chain.ErrFull) && len(w.demand.Avoid) == 0 {
			blocked[w.service.Name] = w
		}
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// run dispatches waiting requests whenever the directory changes or
// nextDispatchDelay has passed, until ctx ends.
func (a *admission) run(ctx context.Context) {
	for ctx.Err() == nil {
		view := a.directory.View()
		timer := time.NewTimer(a.nextDispatchDelay())
		select {
		case <-ctx.Done():
		case <-view.Changed:
		case <-timer.C:
		}
		timer.Stop()
		a.dispatch()
	}
}

// nextDispatchDelay returns the time until the next dispatch if the directory
// does not change.
func (a *admission) nextDispatchDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) > 0 {
		return dispatchInterval
	}
	return time.Second
}

const (
	// shortWaitMargin is the margin from which a request waits for shortWait at most: what becomes
	// free goes to more urgent ones.
	shortWaitMargin = 0.02
	shortWait       = 60 * time.Millisecond
)

// admit waits until the call is granted instances.
func (c *call) admit() (chain.Grant, error) {
	started := time.Now()
	defer func() { c.waited += time.Since(started) }()
	c.recordOffered()
	grant, err := c.g.admission.Acquire(c.context(), c.admitRequest(started))
	if err == nil {
		c.recordGranted()
	}
	return grant, err
}

// admitRequest returns what the call asks for at a time.
func (c *call) admitRequest(now time.Time) admitRequest {
	untilDeadline := c.deadline.Sub(now)
	wait := time.Duration(float64(untilDeadline) * maxPlainWaitShare)
	if c.service.Model != nil {
		wait = c.maxPromptWait(untilDeadline)
	}
	req := admitRequest{service: c.service, demand: c.demand(), urgency: c.urgency, maxWait: wait, lastSend: c.lastSend}
	if c.service.Model != nil && c.sends == 0 {
		req.demand.Margin = c.capacityDivision().Margin(c.urgency, c.team)
		if req.demand.Margin > shortWaitMargin {
			req.maxWait = min(req.maxWait, shortWait)
		}
	}
	return req
}

// maxLateWaitShare is the fraction of the time left until its deadline that a
// prompt may spend in the queue if it has already missed its latency objective.
const maxLateWaitShare = 0.25

// maxPromptWait returns how long a prompt may spend in the queue.
func (c *call) maxPromptWait(untilDeadline time.Duration) time.Duration {
	elapsed := time.Since(c.started)
	if elapsed > c.route.LatencyObjective {
		return time.Duration(maxLateWaitShare * float64(untilDeadline))
	}
	return min(time.Duration(maxPromptWaitShare*float64(c.route.LatencyObjective)), untilDeadline)
}

const (
	// continueUrgency puts streams that have already sent events ahead of all
	// other requests.
	continueUrgency = -1
	// continueTimeout is how long after its last event an interrupted stream may
	// wait for instances: clients disconnect after two seconds of silence.
	continueTimeout = 1700 * time.Millisecond
)

// admit waits until the stream is granted instances. A stream that has already
// sent events goes ahead of all other requests and waits up to continueTimeout
// after its last event, even while no instance could serve it.
func (s *stream) admit() (chain.Grant, error) {
	if s.eventCount == 0 {
		return s.call.admit()
	}
	started := time.Now()
	defer func() { s.waited += time.Since(started) }()
	wait := min(time.Until(s.lastSent.Add(continueTimeout)), time.Until(s.deadline))
	return s.g.admission.Acquire(s.context(), admitRequest{
		service: s.service, demand: s.demand(), urgency: continueUrgency, maxWait: wait, waitIfUnservable: true,
		lastSend: (*stop).lastAnswers,
	})
}

// demand describes the capacity that the call needs and the instances to avoid.
func (c *call) demand() chain.Demand {
	d := chain.Demand{Domain: c.g.settings.FailureDomain, Avoid: c.avoid}
	if c.service.Model != nil {
		d.Tokens = c.kvTokens()
	}
	return d
}

// reservedOutputShare is the fraction of the expected output for which KV cache is
// reserved: the output's share of the cache grows from zero to its full size while
// the request runs.
const reservedOutputShare = 0.5

// kvTokens returns the KV cache, in tokens, that is reserved for the request.
func (c *call) kvTokens() int {
	output := c.inbound.ExpectedOutput
	if output <= 0 {
		output = c.inbound.MaxOutputTokens
	}
	if c.inbound.MaxOutputTokens > 0 {
		output = min(output, c.inbound.MaxOutputTokens)
	}
	tokens := c.inbound.PromptTokens + int(reservedOutputShare*float64(output))
	if tokens <= 0 {
		tokens = c.service.Model.TypicalTokens
	}
	return max(tokens, 1)
}

// refuseUnadmitted answers a request that was granted no instances.
func (c *call) refuseUnadmitted(err error) {
	switch {
	case c.clientGone():
	case len(c.possiblyRanOn) > 0 && c.deadlinePassed():
		c.fail(http.StatusGatewayTimeout, err.Error())
	case len(c.possiblyRanOn) > 0:
		c.fail(http.StatusBadGateway, "no other instance: "+err.Error())
	default:
		if errors.Is(err, errStopping) {
			c.refuseStopping()
			return
		}
		delay := c.retryDelay()
		if errors.Is(err, chain.ErrFull) {
			delay = c.overloadDelay(delay)
		}
		if errors.Is(err, chain.ErrBackoff) {
			delay = max(delay, c.backoffDelay(time.Now()))
		}
		c.refuse(err.Error(), delay)
	}
}

// maxBackoffSpread is the longest time by which refused clients come back later than the
// first instance takes calls, so that they don't all come at once.
const maxBackoffSpread = 300 * time.Millisecond

// backoffDelay returns the delay after which a client should retry whose request no instance
// takes for a while.
func (c *call) backoffDelay(now time.Time) time.Duration {
	end := c.g.tracker.BackoffEnd(c.g.directory.View(), c.service.Name, now)
	return end.Sub(now) + time.Duration(rand.Float64()*float64(maxBackoffSpread))
}

const (
	// minRetryShare and maxRetryShare bound the Retry-After of a refusal, as
	// fractions of the time that the client has left. The value between them is
	// random, so that refused clients don't all retry at once and can use
	// capacity that becomes free in the meantime. Clients honour a Retry-After of
	// up to a third of the time that they have left.
	minRetryShare = 0.05
	maxRetryShare = 0.3
)

// retryDelay returns the delay after which a refused client should retry.
func (c *call) retryDelay() time.Duration {
	share := minRetryShare + (maxRetryShare-minRetryShare)*rand.Float64()
	return time.Duration(share * float64(time.Until(c.deadline)))
}
