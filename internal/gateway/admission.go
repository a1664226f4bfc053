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
	// maxWaitShare is the part of the latency objective that a prompt may wait
	// for room. The rest is needed to read it: longer queues would only make
	// every answer late.
	maxWaitShare = 0.6
	// maxWaitPlainShare is the part of the time left that a plain request may
	// wait.
	maxWaitPlainShare = 0.3
	// dispatchInterval is how often waiting requests are looked at when
	// nothing is released: instances are avoided only for a time.
	dispatchInterval = 50 * time.Millisecond
)

// admission gives instances to requests in order of urgency and arrival.
type admission struct {
	ledger    *chain.Ledger
	directory *fleet.Directory

	mu      sync.Mutex
	waiting []*waiter
	arrived uint64
}

// waiter is a request that waits for instances.
type waiter struct {
	claim
	order   uint64
	granted chan chain.Grant
	// err is the reason of the latest failure to get instances.
	err error
}

func newAdmission(l *chain.Ledger, d *fleet.Directory) *admission {
	return &admission{ledger: l, directory: d}
}

// claim is what a request asks of the admission.
type claim struct {
	service *routing.Service
	demand  chain.Demand
	// urgency is 0 for the most urgent requests.
	urgency int
	maxWait time.Duration
	// patient claims wait even if no instances could serve them now.
	patient bool
}

// Acquire returns instances for a claim, after waiting for at most its maxWait.
// Its errors are those of chain.Ledger.Choose.
func (a *admission) Acquire(ctx context.Context, c claim) (chain.Grant, error) {
	w := a.enqueue(c)
	a.dispatch()
	select {
	case g := <-w.granted:
		return g, nil
	default:
	}
	if !c.patient && a.hopeless(w) {
		return a.leave(w)
	}
	timer := time.NewTimer(c.maxWait)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.leave(w)
}

func (a *admission) enqueue(c claim) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrived++
	w := &waiter{claim: c, order: a.arrived, granted: make(chan chain.Grant, 1)}
	at, _ := slices.BinarySearchFunc(a.waiting, w, compareWaiters)
	a.waiting = slices.Insert(a.waiting, at, w)
	return w
}

func compareWaiters(x, y *waiter) int {
	if x.urgency != y.urgency {
		return x.urgency - y.urgency
	}
	if x.order < y.order {
		return -1
	}
	return 1
}

// hopeless reports whether no set of instances can serve the request.
func (a *admission) hopeless(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return errors.Is(w.err, chain.ErrNoInstance)
}

// leave ends the wait of a request; it may have been granted meanwhile.
func (a *admission) leave(w *waiter) (chain.Grant, error) {
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
	if w.err == nil {
		return chain.Grant{}, chain.ErrFull
	}
	return chain.Grant{}, w.err
}

// Release returns what a request held and serves those that wait.
func (a *admission) Release(g chain.Grant) {
	a.ledger.Release(g)
	a.dispatch()
}

// dispatch gives instances to the waiting requests in order. The first of a
// service that finds no room ends the turn of that service, so that large
// requests are not overtaken for ever.
func (a *admission) dispatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return
	}
	view, now := a.directory.View(), time.Now()
	blocked := make(map[string]error)
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if err := blocked[w.service.Name]; err != nil {
			w.err = err
			kept = append(kept, w)
			continue
		}
		g, err := a.ledger.Choose(view, w.service, w.demand, now)
		if err == nil {
			w.granted <- g
			continue
		}
		w.err = err
		kept = append(kept, w)
		if errors.Is(err, chain.ErrFull) && len(w.demand.Avoid) == 0 {
			blocked[w.service.Name] = err
		}
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// run looks at waiting requests from time to time until ctx ends.
func (a *admission) run(ctx context.Context) {
	for ctx.Err() == nil {
		view := a.directory.View()
		timer := time.NewTimer(a.pause())
		select {
		case <-ctx.Done():
		case <-view.Changed:
		case <-timer.C:
		}
		timer.Stop()
		a.dispatch()
	}
}

func (a *admission) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) > 0 {
		return dispatchInterval
	}
	return time.Second
}

// admit waits for instances for a call.
func (c *call) admit() (chain.Grant, error) {
	started := time.Now()
	defer func() { c.waited += time.Since(started) }()
	left := time.Until(c.deadline)
	wait := time.Duration(float64(left) * maxWaitPlainShare)
	if c.service.Model != nil {
		wait = c.promptWait(left)
	}
	return c.g.admission.Acquire(c.context(), claim{
		service: c.service, demand: c.demand(), urgency: c.urgency, maxWait: wait,
	})
}

// lateWaitShare is the part of the time left that a prompt may wait for room
// which is late already.
const lateWaitShare = 0.25

// promptWait returns how long a prompt may wait for room.
func (c *call) promptWait(left time.Duration) time.Duration {
	elapsed := time.Since(c.started)
	if elapsed > c.route.LatencyObjective {
		return time.Duration(lateWaitShare * float64(left))
	}
	return min(time.Duration(maxWaitShare*float64(c.route.LatencyObjective)), left)
}

const (
	// continueUrgency puts streams that have begun before all others.
	continueUrgency = -1
	// continueLimit is the time since the last event within which a stream
	// must get instances to go on; the client leaves after two seconds.
	continueLimit = 1700 * time.Millisecond
)

// admit waits for instances for a stream.
func (s *stream) admit() (chain.Grant, error) {
	if s.events == 0 {
		return s.call.admit()
	}
	started := time.Now()
	defer func() { s.waited += time.Since(started) }()
	wait := min(time.Until(s.lastSent.Add(continueLimit)), time.Until(s.deadline))
	return s.g.admission.Acquire(s.context(), claim{
		service: s.service, demand: s.demand(), urgency: continueUrgency, maxWait: wait, patient: true,
	})
}

// demand describes what the call needs.
func (c *call) demand() chain.Demand {
	d := chain.Demand{Domain: c.g.settings.FailureDomain, Avoid: c.avoid}
	if c.service.Model != nil {
		d.Tokens = c.tokens()
	}
	return d
}

// outputShare is the part of the expected output that a request is charged
// for: its memory grows from nothing to the whole while it runs.
const outputShare = 0.5

// tokens returns the KV cache in tokens that the request will need.
func (c *call) tokens() int {
	output := c.in.ExpectedOutput
	if output <= 0 {
		output = c.in.MaxOutputTokens
	}
	if c.in.MaxOutputTokens > 0 {
		output = min(output, c.in.MaxOutputTokens)
	}
	tokens := c.in.PromptTokens + int(outputShare*float64(output))
	if tokens <= 0 {
		tokens = c.service.Model.TypicalTokens
	}
	return max(tokens, 1)
}

// refuseUnadmitted answers a request for which there are no instances.
func (c *call) refuseUnadmitted(err error) {
	switch {
	case c.ended():
	case len(c.ran) > 0 && c.expired():
		c.fail(http.StatusGatewayTimeout, err.Error())
	case len(c.ran) > 0:
		c.fail(http.StatusBadGateway, "no other instance: "+err.Error())
	default:
		c.refuse(err.Error(), c.returnAfter())
	}
}

const (
	// Refused clients come back between returnEarliest and returnLatest of the
	// time that they have left, so that they do not come together and find the
	// capacity that returns meanwhile. Clients honour up to a third.
	returnEarliest = 0.05
	returnLatest   = 0.3
)

// returnAfter returns a time after which the client may come back.
func (c *call) returnAfter() time.Duration {
	share := returnEarliest + (returnLatest-returnEarliest)*rand.Float64()
	return time.Duration(share * float64(time.Until(c.deadline)))
}
