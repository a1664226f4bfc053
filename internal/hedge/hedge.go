// Package hedge decides when a request whose first attempt is slow is sent to a second
// instance as well. The package performs no I/O.
package hedge

import (
	"math/bits"
	"sync"
	"time"
)

// Class is a kind of request whose attempts take about as long as each other.
type Class struct {
	Service string
	// Streaming is true for streams, whose attempts count until their first event.
	Streaming bool
	// Size is the SizeClass of the prompt.
	Size int
}

// sizeClasses is the number of classes that SizeClass distinguishes.
const sizeClasses = 5

// SizeClass groups prompts by their number of tokens, in steps of a factor of four from 256:
// the time to the first event of a stream grows with its prompt.
func SizeClass(tokens int) int {
	steps := (bits.Len(uint(max(tokens, 0))) - 7) / 2
	return min(max(steps, 0), sizeClasses-1)
}

// Reason says why no hedge was sent for a late attempt.
type Reason string

// The reasons. ShareUsed, ServiceSlow and FewSamples come from Policy.Decide, the others from
// its caller.
const (
	// FewSamples means that too few attempts of the class were observed lately.
	FewSamples Reason = "few_samples"
	// ServiceSlow means that many attempts of the class are late: another instance would most
	// likely be slow too.
	ServiceSlow Reason = "service_slow"
	// ShareUsed means that the share of hedges is used up.
	ShareUsed Reason = "share_used"
	// NoCapacity means that no other instance has capacity to spare.
	NoCapacity Reason = "capacity"
	// RetryBudget means that the part of the retry budget for hedges is used up.
	RetryBudget Reason = "retry_budget"
	// MaxAttempts means that the request may not run on a further instance.
	MaxAttempts Reason = "max_attempts"
	// NotAllowed means that the request may not be sent any more: its client has left, its
	// deadline has passed or a part of its prompt is quarantined.
	NotAllowed Reason = "not_allowed"
)

const (
	// lateWeight is the weight of an attempt in the moving average of late attempts. After
	// six late attempts in a row the average exceeds maxLateShare.
	lateWeight = 1.0 / 16
	// maxLateShare is the average of late attempts above which the service counts as slow as a
	// whole. A tenth of slow instances keeps the average near 0.1, with a standard deviation
	// of 0.05.
	maxLateShare = 0.3
)

// Policy decides about the hedges of one gateway. It is safe for concurrent use.
type Policy struct {
	share float64

	// mu guards services and classes.
	mu       sync.Mutex
	services map[string]*shareWindow
	classes  map[Class]*latencies
}

// New returns a policy that allows hedges up to share of the requests to each service.
func New(share float64) *Policy {
	return &Policy{share: share, services: make(map[string]*shareWindow), classes: make(map[Class]*latencies)}
}

// RecordRequest counts a request to a service, also one that may not be repeated: a gateway may get
// too few of the others for a share of theirs to allow any hedge.
func (p *Policy) RecordRequest(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.services[service]
	if w == nil {
		w = newShareWindow(now)
		p.services[service] = w
	}
	if w.advance(now) {
		p.prune(now)
	}
	w.requests[w.index()]++
}

// prune deletes the estimates without recent samples.
func (p *Policy) prune(now time.Time) {
	for class, l := range p.classes {
		if l.expired(now) {
			delete(p.classes, class)
		}
	}
}

// Wait returns how long an attempt takes before it is late, and false if that is not known.
func (p *Policy) Wait(c Class, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.classes[c]
	if l == nil {
		return 0, false
	}
	return l.threshold(now)
}

// Decision is the result of Policy.Decide.
type Decision struct {
	// Send is true if a hedge may be sent. It is then counted as sent.
	Send bool
	// Again is the time until the attempt is late, 0 if it is late or that is not known.
	Again time.Duration
	// Denied is why no hedge may be sent for a late attempt.
	Denied Reason
}

// Decide decides whether a hedge may be sent for an attempt that has taken elapsed and is not
// complete. After a decision without Again it must not be called for the attempt again.
func (p *Policy) Decide(c Class, elapsed time.Duration, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, w := p.classes[c], p.services[c.Service]
	if l == nil || w == nil {
		return Decision{Denied: FewSamples}
	}
	threshold, known := l.threshold(now)
	if !known {
		return Decision{Denied: FewSamples}
	}
	if elapsed < threshold {
		return Decision{Again: threshold - elapsed}
	}
	l.recordOutcome(true)
	if l.lateShare > maxLateShare {
		return Decision{Denied: ServiceSlow}
	}
	if !w.take(p.share, now) {
		return Decision{Denied: ShareUsed}
	}
	return Decision{Send: true}
}

// Return takes back a hedge that Decide allowed and that was not sent.
func (p *Policy) Return(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.services[service]; w != nil {
		w.giveBack(now)
	}
}

// RecordRepeat counts a second attempt that was sent for another reason than a hedge: it
// leaves less of the share for hedges.
func (p *Policy) RecordRepeat(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.services[service]; w != nil {
		w.advance(now)
		w.hedges[w.index()]++
	}
}

// RecordAttempt records the time that an attempt took, or had taken when its hedge answered.
// late is true if Decide found it late. Attempts that may not be repeated are recorded too: they
// take as long as others, and a gateway may get few that may.
func (p *Policy) RecordAttempt(c Class, elapsed time.Duration, late bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.classes[c]
	if l == nil {
		l = newLatencies(now)
		p.classes[c] = l
	}
	l.record(elapsed, now)
	if !late {
		// The latest threshold: to compute it here would keep an estimate from too few samples.
		l.recordOutcome(l.known && elapsed > l.late)
	}
}

// RecordHedge records whether a hedge answered before the first attempt. One that did shows
// that other instances are not slow; one that did not counts as another late attempt.
func (p *Policy) RecordHedge(c Class, won bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.classes[c]; l != nil {
		l.recordOutcome(!won)
	}
}
