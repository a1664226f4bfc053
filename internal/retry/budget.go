// Package retry bounds the repeats of requests. All gateways of a deployment
// share one budget for each service. It performs no I/O.
package retry

import (
	"sync"
	"time"
)

// Purpose says why a request is repeated.
type Purpose int

const (
	// Restart repeats a request of which the client has seen nothing.
	Restart Purpose = iota
	// Continuation continues a response that the client has begun to read. It
	// would be lost otherwise.
	Continuation
)

// Usage is the use of a service's budget by one gateway in the last window.
type Usage struct {
	Service           string
	Requests, Repeats int
}

// Budget bounds the repeats of requests for each service in a sliding window.
// Each gateway knows what the others used a report ago, and spends at most its
// part of the rest in each slot of the window.
type Budget struct {
	ratio   float64
	window  time.Duration
	reserve float64
	// gateways returns how many processes share the budget.
	gateways func() int

	mu       sync.Mutex
	services map[string]*window
	peers    map[string]*peerUsage
}

const (
	// slots divides the window; a slot is forgotten as a whole.
	slots = 20
	// usableReserve is the part of the reserve that is used: the load of the
	// gateways and the edges of their windows differ.
	usableReserve = 0.6
	// afreshShare is the part of the budget that new attempts may use. The rest
	// is for responses that have begun.
	afreshShare = 0.7
	// ownShares bounds what one gateway uses, in equal parts of the budget:
	// others that it hears may not hear each other.
	ownShares = 1.75
	// reportAge is how long the report of a peer counts. Without a report it is
	// taken to use its part of the budget.
	reportAge = time.Second
)

// window counts one service. Slots are numbered since the Unix epoch.
type window struct {
	requests, repeats [slots + 1]int
	slot              int64
}

// sum returns the counts of the whole window.
func (w *window) sum() (requests, repeats int) {
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}

func (w *window) now() int { return int(w.slot % (slots + 1)) }

// peerUsage is the latest report of another gateway.
type peerUsage struct {
	round uint64
	at    time.Time
	usage map[string]Usage
	// before is what the peer had used when it started anew, which counts
	// until beforeUntil.
	before      map[string]Usage
	beforeUntil time.Time
}

// NewBudget returns the budget of one of several gateways: repeats may reach
// ratio times the requests of a window, and reserve more, over all of them.
func NewBudget(ratio float64, span time.Duration, reserve float64, gateways func() int) *Budget {
	return &Budget{
		ratio:    ratio,
		window:   max(span, time.Second),
		reserve:  usableReserve * reserve,
		gateways: gateways,
		services: make(map[string]*window),
		peers:    make(map[string]*peerUsage),
	}
}

// RecordRequest counts a client's request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.now()]++
}

// AllowRepeat takes one repeat from the budget; it returns false if none is left.
func (b *Budget) AllowRepeat(service string, p Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	requests, repeats := w.sum()
	gateways := max(b.gateways(), 1)
	others := b.others(service, gateways, now)
	limit := b.ratio*float64(requests+others.requests) + b.reserve
	if p == Restart {
		limit *= afreshShare
	}
	share := limit / float64(gateways)
	current := w.repeats[w.now()]
	rest := limit - share*float64(others.silent) - float64(repeats-current+others.repeats)
	if float64(current+1) > rest/float64(gateways-others.silent) || float64(repeats+1) > ownShares*share {
		return false
	}
	w.repeats[w.now()]++
	return true
}

// otherUsage is what the other gateways have used of a service's budget, and
// how many of them are silent.
type otherUsage struct{ requests, repeats, silent int }

func (b *Budget) others(service string, gateways int, now time.Time) otherUsage {
	u := otherUsage{silent: gateways - 1}
	for _, p := range b.peers {
		if now.Before(p.beforeUntil) {
			u.repeats += p.before[service].Repeats
		}
		if now.Sub(p.at) > reportAge || u.silent == 0 {
			continue
		}
		u.silent--
		u.requests += p.usage[service].Requests
		u.repeats += p.usage[service].Repeats
	}
	return u
}

// Usage returns the report of this gateway.
func (b *Budget) Usage(now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Usage
	for service := range b.services {
		requests, repeats := b.at(service, now).sum()
		if requests+repeats > 0 {
			list = append(list, Usage{service, requests, repeats})
		}
	}
	return list
}

// SetPeerUsage installs the report of another gateway. A peer whose rounds start
// anew was restarted; what it had used still counts for a window.
func (b *Budget) SetPeerUsage(name string, round uint64, list []Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	switch {
	case p == nil:
		p = &peerUsage{}
		b.peers[name] = p
	case round < p.round && now.Sub(p.at) <= reportAge:
		return // an old report that arrives late
	case round < p.round:
		p.before, p.beforeUntil = p.usage, p.at.Add(b.window)
	}
	p.round, p.at = round, now
	p.usage = make(map[string]Usage, len(list))
	for _, u := range list {
		p.usage[u.Service] = u
	}
}

// at returns the window of a service, moved on to now.
func (b *Budget) at(service string, now time.Time) *window {
	slot := now.UnixNano() / int64(b.window/slots)
	w := b.services[service]
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for steps := 0; w.slot < slot && steps <= slots; steps++ {
		w.slot++
		w.requests[w.now()], w.repeats[w.now()] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}
