package hedge

import "time"

const (
	// shareSlots times shareSlot is the time within which hedges stay within their share of
	// the requests. With a share of 3%, a service may hedge all requests to a tenth of its
	// instances for 18 s if it sent no hedges in the rest of the time.
	shareSlots = 20
	shareSlot  = 3 * time.Second
)

// shareWindow counts the requests and hedges of a service in a sliding window.
type shareWindow struct {
	origin           time.Time
	slot             int64
	requests, hedges [shareSlots + 1]int
}

func newShareWindow(now time.Time) *shareWindow { return &shareWindow{origin: now} }

func (w *shareWindow) index() int { return int(w.slot % (shareSlots + 1)) }

// advance clears the slots that have left the window and reports whether a new one began.
func (w *shareWindow) advance(now time.Time) bool {
	slot := int64(now.Sub(w.origin) / shareSlot)
	began := slot > w.slot
	for steps := 0; w.slot < slot && steps <= shareSlots; steps++ {
		w.slot++
		w.requests[w.index()], w.hedges[w.index()] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return began
}

// take counts a hedge if it stays within the share. The hedges cover at least the window and
// the requests at most: the oldest slot of requests is left out.
func (w *shareWindow) take(share float64, now time.Time) bool {
	w.advance(now)
	requests, hedges := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		hedges += w.hedges[i]
	}
	requests -= w.requests[(w.slot+1)%(shareSlots+1)]
	if float64(hedges+1) > share*float64(requests) {
		return false
	}
	w.hedges[w.index()]++
	return true
}

// giveBack uncounts a hedge that was not sent. If its slot has ended it stays counted.
func (w *shareWindow) giveBack(now time.Time) {
	w.advance(now)
	w.hedges[w.index()] = max(w.hedges[w.index()]-1, 0)
}
