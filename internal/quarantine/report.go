package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReportedSuspects and maxReportedDecisions bound one report. Later reports hold
	// the others.
	maxReportedSuspects  = 16
	maxReportedDecisions = 16
	// sameDecisionTime is the difference up to which two equal decisions count as one:
	// each gateway that passes a decision on delays it.
	sameDecisionTime = 2 * time.Second
	// releaseHoldTime is how long after a release the store may still hold the
	// quarantine.
	releaseHoldTime = time.Minute
)

// Report is what a gateway reports to the others: all that it knows, by itself or from
// others, in turns.
type Report struct {
	Suspects  []Suspect
	Decisions []Decision
}

// Suspect is a part under which instances ended.
type Suspect struct {
	Part Part
	// SoundBefore is true if a request with the part was answered before.
	SoundBefore bool
	Crashes     []Crash
}

// Crash is the end of an instance while a request waited there.
type Crash struct {
	Instance string
	// SentAge and EndedAge are the times since the request was sent and since the
	// instance ended.
	SentAge, EndedAge time.Duration
	// Cleared is true if another request with the part was answered since.
	Cleared bool
}

// Decision is the decision on a part.
type Decision struct {
	Part        Part
	Quarantined bool
	Age         time.Duration
}

// Report returns what is reported next, and decides on the suspects.
func (r *Register) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	for part := range r.suspects {
		r.evaluate(part, now)
	}
	return Report{r.reportSuspects(now), r.reportDecisions(now)}
}

func (r *Register) reportSuspects(now time.Time) []Suspect {
	parts := make([]Part, 0, len(r.suspects))
	for part := range r.suspects {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(compareSuspects(r.suspects[a], r.suspects[b]), compareParts(a, b))
	})
	var list []Suspect
	for _, part := range parts[:min(len(parts), maxReportedSuspects)] {
		s := r.suspects[part]
		s.timesReported++
		item := Suspect{Part: part, SoundBefore: s.soundBefore}
		for _, c := range s.crashes {
			item.Crashes = append(item.Crashes, Crash{c.instance, now.Sub(c.sentAt), now.Sub(c.endedAt), c.cleared})
		}
		list = append(list, item)
	}
	return list
}

func (r *Register) reportDecisions(now time.Time) []Decision {
	parts := make([]Part, 0, len(r.decisions))
	for part := range r.decisions {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(r.decisions[a].timesReported, r.decisions[b].timesReported), compareParts(a, b))
	})
	var list []Decision
	for _, part := range parts[:min(len(parts), maxReportedDecisions)] {
		d := r.decisions[part]
		d.timesReported++
		list = append(list, Decision{part, d.quarantined, now.Sub(d.at)})
	}
	return list
}

// Merge takes over what another gateway reported.
func (r *Register) Merge(report Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range report.Decisions {
		r.mergeDecision(d, now)
	}
	for _, s := range report.Suspects {
		r.mergeSuspect(s, now)
	}
}

func (r *Register) mergeDecision(d Decision, now time.Time) {
	at, known := now.Add(-d.Age), r.decisions[d.Part]
	switch {
	case known == nil && !d.Quarantined:
	case known == nil:
		r.decide(d.Part, decision{quarantined: true, at: at}, FromPeer)
	case at.Sub(known.at) <= sameDecisionTime:
	case known.quarantined == d.Quarantined:
		known.at = at
	default:
		r.decide(d.Part, decision{quarantined: d.Quarantined, at: at}, FromPeer)
	}
}

func (r *Register) mergeSuspect(s Suspect, now time.Time) {
	released := r.decisions[s.Part]
	answeredAt, answered := r.answered.latest(s.Part)
	for _, c := range s.Crashes {
		k := crash{instance: c.Instance, sentAt: now.Add(-c.SentAge), endedAt: now.Add(-c.EndedAge), cleared: c.Cleared}
		if now.Sub(k.endedAt) > crashMaxAge || released != nil && !released.quarantined && !k.endedAt.After(released.at) {
			continue
		}
		k.cleared = k.cleared || answeredAt.After(k.sentAt)
		r.addReportedCrash(s.Part, k, s.SoundBefore || answered && answeredAt.Before(k.sentAt))
	}
	if known := r.suspects[s.Part]; known != nil {
		r.releaseIfCleared(s.Part, known, now)
		r.evaluate(s.Part, now)
	}
}

// addReportedCrash adds a crash that another gateway reported. One that only this gateway
// knows to be cleared is kept, so that it is reported as cleared.
func (r *Register) addReportedCrash(part Part, c crash, soundBefore bool) {
	if r.suspects[part] == nil && c.cleared {
		cleared := c
		cleared.cleared = false
		r.addCrash(part, cleared, soundBefore)
	}
	r.addCrash(part, c, soundBefore)
}

// AddStored takes over a decision that the platform's store holds.
func (r *Register) AddStored(part Part, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.decisions[part]
	switch {
	case known == nil:
		r.decide(part, decision{quarantined: true, at: now, stored: true}, FromStore)
	case known.quarantined, known.at.Before(r.restoredAt) && now.Sub(r.restoredAt) <= releaseHoldTime:
		// A copy from which the store was restored may be older than the release.
		known.stored = true
	case now.Sub(known.at) > releaseHoldTime:
		r.decide(part, decision{quarantined: true, at: now, stored: true}, FromStore)
	}
}

// StoreRestored records that the platform's store was restored from a copy. It holds only the
// quarantines that AddStored reports since.
func (r *Register) StoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoredAt = now
	for _, d := range r.decisions {
		d.stored = false
	}
}

// RemoveStored releases a part whose decision was removed from the platform's store.
func (r *Register) RemoveStored(part Part, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch d := r.decisions[part]; {
	case d == nil:
	case !d.quarantined:
		d.stored = false
	case d.stored:
		r.decide(part, decision{at: now}, FromStore)
	}
}

// Unstored returns the quarantined parts that were decided minAge ago or earlier and that
// the platform's store is not known to hold. A restore of the store counts as a decision, so
// that not all gateways write at the same time.
func (r *Register) Unstored(minAge time.Duration, now time.Time) []Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Part
	for part, d := range r.decisions {
		if d.quarantined && !d.stored && now.Sub(d.at) >= minAge && now.Sub(r.restoredAt) >= minAge {
			list = append(list, part)
		}
	}
	return list
}

// Outdated returns the released parts whose quarantine the platform's store may still hold:
// those that this gateway released, and minAge after a restore of the store those that it holds
// again.
func (r *Register) Outdated(minAge time.Duration, now time.Time) []Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Part
	for part, d := range r.decisions {
		if !d.quarantined && d.stored && (!d.at.Before(r.restoredAt) || now.Sub(r.restoredAt) >= minAge) {
			list = append(list, part)
		}
	}
	return list
}

// MarkStored records whether the platform's store holds the quarantine of a part, which
// this gateway has just written or removed.
func (r *Register) MarkStored(part Part, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.decisions[part]; d != nil && d.quarantined == stored {
		d.stored = stored
	}
}
