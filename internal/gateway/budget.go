package gateway

import (
	"sync"
	"time"
)

// repeatBudget bounds the repeats of requests for each service in a sliding
// window. All gateways share one budget; each keeps to its part of the
// reserve without asking the others.
type repeatBudget struct {
	ratio   float64
	window  time.Duration
	reserve float64
	// gateways returns how many processes share the reserve.
	gateways func() int

	mu       sync.Mutex
	services map[string]*repeatWindow
}

// budgetSlots divides the window; a slot is forgotten as a whole.
const budgetSlots = 20

type repeatWindow struct {
	requests, repeats [budgetSlots + 1]int
	slot              int64
}

// usableReserve is the part of the reserve that is used: the load of the
// gateways and the edges of their windows differ.
const usableReserve = 0.6

// newRepeatBudget returns the budget of one of several gateways.
func newRepeatBudget(ratio float64, window time.Duration, reserve float64, gateways func() int) *repeatBudget {
	return &repeatBudget{
		ratio:    ratio,
		window:   max(window, time.Second),
		reserve:  usableReserve * reserve,
		gateways: gateways,
		services: make(map[string]*repeatWindow),
	}
}

// Request counts a client's request to a service.
func (b *repeatBudget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slot%(budgetSlots+1)]++
}

// Repeat takes one repeat from the budget; it returns false if none is left.
func (b *repeatBudget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	share := b.reserve / float64(max(b.gateways(), 1))
	if float64(repeats+1) > b.ratio*float64(requests)+share {
		return false
	}
	w.repeats[w.slot%(budgetSlots+1)]++
	return true
}

// at returns the window of a service, moved on to now.
func (b *repeatBudget) at(service string, now time.Time) *repeatWindow {
	slot := now.UnixNano() / int64(b.window/budgetSlots)
	w := b.services[service]
	if w == nil {
		w = &repeatWindow{slot: slot}
		b.services[service] = w
	}
	for steps := 0; w.slot < slot && steps <= budgetSlots; steps++ {
		w.slot++
		at := w.slot % (budgetSlots + 1)
		w.requests[at], w.repeats[at] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}
