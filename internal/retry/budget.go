// Package retry limits how often requests are repeated. All gateways of a
// deployment share one retry budget per service. The package performs no I/O.
package retry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Purpose says why a request is repeated.
type Purpose int

const (
	// Restart repeats a request from the beginning; the client has received
	// no part of its response.
	Restart Purpose = iota
	// Continuation continues a response of which the client has received a
	// part. Without the repeat, the response would be lost.
	Continuation
	// Hedge sends a request to a second instance while the first one is slow. Without the
	// repeat, the response would be late.
	Hedge
)

// Usage holds the requests and repeats of one service that one gateway counted
// within its current window.
type Usage struct {
	Service           string
	Requests, Repeats int
}

// Budget limits the repeats of requests to each service within a sliding
// window. Each gateway knows the usage of the other gateways as of their latest
// reports. What the others have used since is unknown, so a gateway uses at most
// an equal share of the remaining budget in any unreportedTime. It
// is safe for concurrent use.
type Budget struct {
	ratio  float64
	window time.Duration
	// reserve is the number of repeats that are allowed in addition to ratio times
	// the requests: reserveFraction of the configured reserve.
	reserve float64
	// gatewayCount returns the number of gateways that share the budget.
	gatewayCount func() int
	// predecessorUntil is when the repeats of an earlier process of this gateway,
	// which are not known, have left the window.
	predecessorUntil time.Time

	// mu guards origin, services and peers.
	mu sync.Mutex
	// origin is when the slot with the number 0 began. The first one that is used comes after
	// a whole window.
	origin   time.Time
	services map[string]*slidingWindow
	peers    map[string]*peerUsage
}

const (
	// slotCount is the number of slots of a window. The counts of a slot expire
	// together.
	slotCount = 20
	// reserveFraction is the fraction of the configured reserve that may be
	// used. The remainder covers differences between the loads of the gateways
	// and between the boundaries of their windows.
	reserveFraction = 0.6
	// restartFraction is the fraction of the budget up to which repeats with the
	// purpose Restart are allowed. The remainder is kept for continuations.
	restartFraction = 0.7
	// hedgeFraction is the fraction of the budget up to which hedges are allowed. The
	// remainder is kept for repeats of requests that have failed.
	hedgeFraction = 0.35
	// maxOwnShares limits the repeats of one gateway to this multiple of an
	// equal share of the budget. Gateways whose reports reach this one may not
	// receive the reports of each other.
	maxOwnShares = 1.75
	// maxReportAge is how long the report of a peer is valid. A peer without a
	// valid report is assumed to use its full share of the budget.
	maxReportAge = time.Second
	// unreportedTime is the period before now in which repeats of this gateway may
	// be unknown to a gateway that repeats at the same time, and the reverse: each
	// of the two may have decided on a report of maxReportAge.
	unreportedTime = 2 * maxReportAge
)

// slidingWindow counts the requests and repeats of one service per slot. currentSlot
// is the number of the latest one.
type slidingWindow struct {
	requests, repeats [slotCount + 1]int
	currentSlot       int64
}

// sum returns the repeats of all slots and the requests of all but the oldest
// one. The slots together span more than a window: the repeats cover at least a
// window and the requests at most one.
func (w *slidingWindow) sum() (requests, repeats int) {
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	oldest := (w.currentSlot + 1) % (slotCount + 1)
	return requests - w.requests[oldest], repeats
}

func (w *slidingWindow) currentIndex() int { return int(w.currentSlot % (slotCount + 1)) }

// recentRepeats returns the repeats of the latest slots.
func (w *slidingWindow) recentRepeats(slots int) int {
	sum := 0
	for i := range int64(min(slots, slotCount+1)) {
		sum += w.repeats[(w.currentSlot-i)%(slotCount+1)]
	}
	return sum
}

// peerUsage holds the latest report of another gateway; number is its report
// number.
type peerUsage struct {
	number     uint64
	receivedAt time.Time
	usage      map[string]Usage
	// previousUsage is the last usage that the peer reported before it
	// restarted. It counts until previousUntil.
	previousUsage map[string]Usage
	previousUntil time.Time
	// gateways and predecessors are Report.Gateways and Report.Predecessors.
	gateways, predecessors int
	// maxAge is how long the report is valid, delay how much older than that its contents may
	// be.
	maxAge, delay time.Duration
}

// unreported returns the period before now in which repeats may be unknown to one of this
// gateway and the one that reports.
func (p *peerUsage) unreported() time.Duration { return maxReportAge + p.maxAge + p.delay }

// Limits are the limits of a budget. Within Window, the repeats of all gateways
// together may reach Ratio times their requests, plus Reserve.
type Limits struct {
	Ratio   float64
	Window  time.Duration
	Reserve float64
}

// NewBudget returns the budget of one gateway whose process started at started. An
// earlier process of the gateway is assumed to have used its full share until then.
func NewBudget(l Limits, gateways func() int, started time.Time) *Budget {
	window := max(l.Window, time.Second)
	return &Budget{
		ratio:            l.Ratio,
		window:           window,
		reserve:          reserveFraction * l.Reserve,
		gatewayCount:     gateways,
		predecessorUntil: started.Add(window),
		services:         make(map[string]*slidingWindow),
		peers:            make(map[string]*peerUsage),
	}
}

// RecordRequest counts a request of a client to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.requests[w.currentIndex()]++
}

// TakeRepeat takes one repeat from the budget. It returns false, and takes none, if
// the gateway has used up its share of the budget.
func (b *Budget) TakeRepeat(service string, p Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	requests, repeats := w.sum()
	gateways := max(b.gatewayCount(), 1)
	others := b.others(service, gateways, now)
	limit := b.ratio*float64(requests+others.requests) + b.reserve
	switch p {
	case Restart:
		limit *= restartFraction
	case Hedge:
		limit *= hedgeFraction
	}
	share := limit / float64(gateways)
	unreported := w.recentRepeats(b.unreportedSlots(others.unreported))
	assumedShares := others.silent + others.predecessors + b.predecessors(now)
	remaining := limit - share*float64(assumedShares) - float64(repeats-unreported+others.repeats)
	if float64(unreported+1) > remaining/float64(gateways-others.silent) || float64(repeats+1) > maxOwnShares*share {
		return false
	}
	w.repeats[w.currentIndex()]++
	return true
}

// unreportedSlots returns the number of slots that a period before now touches.
func (b *Budget) unreportedSlots(period time.Duration) int {
	return int(period/(b.window/slotCount)) + 1
}

// predecessors returns 1 while an earlier process of this gateway is assumed to
// have used a share within the window, and 0 afterwards.
func (b *Budget) predecessors(now time.Time) int {
	if now.Before(b.predecessorUntil) {
		return 1
	}
	return 0
}

// otherUsage is the sum of the other gateways' usage of a service's budget.
// silent is the number of gateways without a valid report, predecessors the number
// of those whose earlier process is assumed to have used a share.
// unreported is unreportedTime, or longer if reports are valid for longer.
type otherUsage struct {
	requests, repeats, silent, predecessors int
	unreported                              time.Duration
}

// others returns the usage of the other gateways according to their reports.
func (b *Budget) others(service string, gateways int, now time.Time) otherUsage {
	u := otherUsage{silent: gateways - 1, unreported: unreportedTime}
	for _, p := range b.peers {
		if now.Before(p.previousUntil) {
			u.repeats += p.previousUsage[service].Repeats
		}
		if now.Sub(p.receivedAt) > p.maxAge || u.silent == 0 {
			continue
		}
		u.unreported = max(u.unreported, p.unreported())
		u.silent = max(u.silent-p.gateways, 0)
		if !now.Before(p.previousUntil) {
			u.predecessors += p.predecessors
		}
		u.requests += p.usage[service].Requests
		u.repeats += p.usage[service].Repeats
	}
	return u
}

// Report is the usage that gateways report to each other.
type Report struct {
	// Number increases with each report of a process.
	Number uint64
	// Usage holds the services with requests or repeats in the window.
	Usage []Usage
	// Gateways is the number of gateways in the report, Predecessors the number of
	// those whose earlier process is assumed to have used a share within the window.
	Gateways, Predecessors int
	// Slack is how much longer than maxReportAge the report is valid, because it is sent
	// less often. Digest is true if it sums up reports that were valid for as long themselves.
	Slack  time.Duration
	Digest bool
}

// LocalReport returns the usage of this gateway. The caller sets its number.
func (b *Budget) LocalReport(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Gateways: 1, Predecessors: b.predecessors(now)}
	for service := range b.services {
		requests, repeats := b.windowAt(service, now).sum()
		if requests+repeats > 0 {
			r.Usage = append(r.Usage, Usage{service, requests, repeats})
		}
	}
	return r
}

// GroupReport returns the sum of the usage of this gateway and of the named ones
// that have valid reports. The caller sets its number.
func (b *Budget) GroupReport(names []string, now time.Time) Report {
	return b.addReports(b.LocalReport(now), names, now)
}

// SumReports returns the sum of the usage in the valid reports under the given names. The caller
// sets its number.
func (b *Budget) SumReports(names []string, now time.Time) Report {
	return b.addReports(Report{}, names, now)
}

// addReports adds the usage in the valid reports under the given names to a report.
func (b *Budget) addReports(r Report, names []string, now time.Time) Report {
	sum := make(map[string]Usage)
	add := func(list map[string]Usage) {
		for service, u := range list {
			total := sum[service]
			sum[service] = Usage{service, total.Requests + u.Requests, total.Repeats + u.Repeats}
		}
	}
	for _, u := range r.Usage {
		sum[u.Service] = u
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		p := b.peers[name]
		if p == nil || now.Sub(p.receivedAt) > p.maxAge {
			continue
		}
		r.Gateways += p.gateways
		add(p.usage)
		if now.Before(p.previousUntil) {
			add(p.previousUsage)
		} else {
			r.Predecessors += p.predecessors
		}
	}
	r.Usage = slices.Collect(maps.Values(sum))
	return r
}

// ForgetPeer removes the report of another gateway, because one that replaces it
// follows under the same name with other numbers.
func (b *Budget) ForgetPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, name)
}

// AddPeerReport installs one part of the report of another gateway, or of the sum of
// the reports of several. A report may be split into parts with the same number. If
// the report number is
// lower than that of the latest report and that report has expired, the peer
// has restarted; its usage from before the restart counts for one more window.
func (b *Budget) AddPeerReport(name string, r Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	laterPart := p != nil && p.usage != nil && r.Number == p.number
	switch {
	case p == nil:
		p = &peerUsage{}
		b.peers[name] = p
	case r.Number < p.number && now.Sub(p.receivedAt) <= p.maxAge:
		return // an earlier report that arrives late
	case r.Number < p.number:
		p.previousUsage, p.previousUntil = p.usage, p.receivedAt.Add(b.window)
	}
	p.number, p.receivedAt = r.Number, now
	p.gateways, p.predecessors = max(r.Gateways, 1), r.Predecessors
	p.maxAge, p.delay = maxReportAge+r.Slack, 0
	if r.Digest {
		p.delay = p.maxAge
	}
	if !laterPart {
		p.usage = make(map[string]Usage, len(r.Usage))
	}
	for _, u := range r.Usage {
		p.usage[u.Service] = u
	}
}

// windowAt returns the window of a service, advanced to now.
func (b *Budget) windowAt(service string, now time.Time) *slidingWindow {
	slot := b.slotAt(now)
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{currentSlot: slot}
		b.services[service] = w
	}
	for steps := 0; w.currentSlot < slot && steps <= slotCount; steps++ {
		w.currentSlot++
		w.requests[w.currentIndex()], w.repeats[w.currentIndex()] = 0, 0
	}
	w.currentSlot = max(w.currentSlot, slot)
	return w
}

// slotAt returns the number of the slot of now. It goes by the monotonic clock: after a jump of
// the time of day the window still spans the same time.
func (b *Budget) slotAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now.Add(-2 * b.window)
	}
	return int64(now.Sub(b.origin) / (b.window / slotCount))
}
