// Package quarantine finds the parts of prompts that crash instances, and decides which
// requests are refused because of them. The gateways of a deployment share what they
// see: crashes that are spread over many gateways lead to one decision, which holds at
// all of them. The package performs no I/O.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Part identifies a part of prompts that requests may share.
type Part string

const (
	// maxSuspects and maxDecisions bound the parts that are remembered: clients choose
	// the parts of prompts.
	maxSuspects  = 1024
	maxDecisions = 256
	// maxChanges bounds the changes that wait for Changes.
	maxChanges = 64
)

// Register holds what one gateway knows of parts that crash instances. It is safe for
// concurrent use.
type Register struct {
	// mu guards the fields below.
	mu        sync.Mutex
	suspects  map[Part]*suspect
	decisions map[Part]*decision
	answered  answeredParts
	// ends holds the ends of instances under requests that waited for their answers.
	ends    []end
	changes []Change
	// restoredAt is when the platform's store was last restored from a copy, or zero.
	restoredAt time.Time
}

// decision says whether requests with a part are refused.
type decision struct {
	// quarantined is false for a part that was released.
	quarantined bool
	at          time.Time
	// instances is the number of instances that the part is known to have crashed, 0 if
	// another gateway decided.
	instances int
	// usedAt is when a request with the part was last refused, or at.
	usedAt time.Time
	// stored is true if the platform's store holds a quarantine, or may still hold one
	// that was released.
	stored bool
	// timesReported is the number of reports that held the decision.
	timesReported int
}

// NewRegister returns a Register that knows no parts.
func NewRegister() *Register {
	return &Register{
		suspects: make(map[Part]*suspect), decisions: make(map[Part]*decision), answered: newAnsweredParts(),
	}
}

// Source says where a decision comes from.
type Source string

// Sources of decisions.
const (
	// FromEvidence is a decision on crashes that this gateway knows.
	FromEvidence Source = "evidence"
	// FromPeer is a decision of another gateway.
	FromPeer Source = "peer"
	// FromStore is a decision that the platform's store holds.
	FromStore Source = "store"
	// FromAnswer is a release because a request with the part was answered.
	FromAnswer Source = "answer"
	// FromOperator is a release by an operator.
	FromOperator Source = "operator"
)

// Change is a decision that this gateway has made or taken over.
type Change struct {
	Part        Part
	Quarantined bool
	Source      Source
	// Instances is the number of instances that the part is known to have crashed.
	Instances int
}

// Changes returns the changes since the last call.
func (r *Register) Changes() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.changes
	r.changes = nil
	return list
}

// Check returns the first of the parts that is quarantined.
func (r *Register) Check(parts []Part, now time.Time) (Part, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		r.evaluate(part, now)
		if d := r.decisions[part]; d != nil && d.quarantined {
			d.usedAt = now
			return part, true
		}
	}
	return "", false
}

// Release ends the quarantine of a part by order of an operator. It reports whether the
// part was quarantined.
func (r *Register) Release(part Part, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.decisions[part]
	if d == nil || !d.quarantined {
		return false
	}
	r.decide(part, decision{at: now, stored: true}, FromOperator)
	return true
}

// Quarantined is a part whose requests are refused.
type Quarantined struct {
	Part  Part
	Since time.Time
	// Instances is the number of instances that the part is known to have crashed, 0 if
	// another gateway decided.
	Instances int
}

// List returns the quarantined parts in their order.
func (r *Register) List() []Quarantined {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Quarantined
	for part, d := range r.decisions {
		if d.quarantined {
			list = append(list, Quarantined{part, d.at, d.instances})
		}
	}
	slices.SortFunc(list, func(a, b Quarantined) int { return compareParts(a.Part, b.Part) })
	return list
}

// decide records a decision. What was known of the part until a release no longer
// counts.
func (r *Register) decide(part Part, d decision, source Source) {
	d.usedAt = d.at
	if r.decisions[part] == nil && len(r.decisions) >= maxDecisions {
		r.dropDecision()
	}
	r.decisions[part] = &d
	if !d.quarantined {
		delete(r.suspects, part)
	}
	if len(r.changes) < maxChanges {
		r.changes = append(r.changes, Change{part, d.quarantined, source, d.instances})
	}
}

// dropDecision removes the decision that was not used for the longest time, a release
// before a quarantine.
func (r *Register) dropDecision() {
	var oldest Part
	for part, d := range r.decisions {
		o := r.decisions[oldest]
		if o == nil || o.quarantined && !d.quarantined || o.quarantined == d.quarantined && d.usedAt.Before(o.usedAt) {
			oldest = part
		}
	}
	delete(r.decisions, oldest)
}
