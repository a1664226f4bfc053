package chain

import (
	"maps"
	"slices"
	"time"
)

// Load is the load that one gateway puts on an instance.
type Load struct {
	Instance string
	// TokenLayers is the reserved KV cache: tokens times layers, summed over all
	// requests.
	TokenLayers float64
	Requests    int
}

// Fault reports an instance that counts as lost and for how much longer it does.
type Fault struct {
	Instance  string
	Remaining time.Duration
}

// Slowness reports an instance that is slower than usual for its accelerator type.
type Slowness struct {
	Instance string
	Factor   float64
	// Age is the time since Factor was measured.
	Age time.Duration
}

// Report is what one gateway reports about instances to the other gateways.
type Report struct {
	// Group is true if the report sums up the gateways of another failure domain.
	Group  bool
	Loads  []Load
	Faults []Fault
	Slow   []Slowness
	Limits []NamedLimit
}

// peerReportMaxAge is how long the report of another gateway counts.
const peerReportMaxAge = time.Second

// peerReport holds the loads from the latest report of another gateway; number is
// its report number.
type peerReport struct {
	number     uint64
	receivedAt time.Time
	// group is true if the report sums up several gateways.
	group bool
	loads map[string]Load
	// faults holds when each reported fault ends.
	faults map[string]time.Time
	limits []NamedLimit
}

// peerLoads holds the loads that the valid reports of other gateways add up to, so that a choice
// does not add them up for each instance. The zero value holds no sums.
type peerLoads struct {
	sums map[string]Load
	// validFrom is when the sums were computed, validUntil when the first of the reports in
	// them expires.
	validFrom, validUntil time.Time
}

// of returns the sum of the loads on an instance at now.
func (l *peerLoads) of(id string, peers map[string]*peerReport, now time.Time) Load {
	if l.sums == nil || now.After(l.validUntil) || now.Before(l.validFrom) {
		l.compute(peers, now)
	}
	return l.sums[id]
}

// compute adds up the loads of the reports that are valid at now.
func (l *peerLoads) compute(peers map[string]*peerReport, now time.Time) {
	l.sums, l.validFrom, l.validUntil = make(map[string]Load), now, now.Add(peerReportMaxAge)
	for _, p := range peers {
		if now.Sub(p.receivedAt) > peerReportMaxAge {
			continue
		}
		if expires := p.receivedAt.Add(peerReportMaxAge); expires.Before(l.validUntil) {
			l.validUntil = expires
		}
		for id, load := range p.loads {
			sum := l.sums[id]
			l.sums[id] = Load{id, sum.TokenLayers + load.TokenLayers, sum.Requests + load.Requests}
		}
	}
}

// change replaces a load in the sums.
func (l *peerLoads) change(before, after Load) {
	if l.sums == nil {
		return
	}
	sum := l.sums[after.Instance]
	l.sums[after.Instance] = Load{
		after.Instance, sum.TokenLayers - before.TokenLayers + after.TokenLayers, sum.Requests - before.Requests + after.Requests,
	}
}

// prepare makes the sums ready for changes at now. Sums that are not valid then are computed
// again at the next use.
func (l *peerLoads) prepare(now time.Time) {
	if now.After(l.validUntil) || now.Before(l.validFrom) {
		l.sums = nil
	}
}

// remove removes the loads of a report from the sums.
func (l *peerLoads) remove(p *peerReport) {
	if l.sums == nil || p == nil || l.validFrom.Sub(p.receivedAt) > peerReportMaxAge {
		return
	}
	for id, load := range p.loads {
		l.change(load, Load{Instance: id})
	}
}

// LocalReport returns the report of this process for the other gateways.
func (t *InstanceTracker) LocalReport(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Limits: t.ownLimits(now)}
	for id, state := range t.instances {
		if state.requests > 0 {
			r.Loads = append(r.Loads, Load{id, state.tokenLayers, state.requests})
		}
		if state.locallyLost && now.Before(state.lostUntil) {
			r.Faults = append(r.Faults, Fault{id, min(state.lostUntil.Sub(now), peerLostDuration)})
		}
		if age := now.Sub(state.slowAt); state.slowness > 1 && age < slownessMaxAge {
			r.Slow = append(r.Slow, Slowness{id, state.slowness, age})
		}
	}
	return r
}

// GroupReport returns the sum of the report of this process and of the valid reports
// of the named gateways.
func (t *InstanceTracker) GroupReport(names []string, now time.Time) Report {
	r := t.LocalReport(now)
	loads := make(map[string]Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Instance] = l
	}
	faults := make(map[string]time.Duration, len(r.Faults))
	for _, f := range r.Faults {
		faults[f.Instance] = f.Remaining
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := [][]NamedLimit{r.Limits}
	for _, name := range names {
		p := t.peers[name]
		if p == nil || now.Sub(p.receivedAt) > peerReportMaxAge {
			continue
		}
		limits = append(limits, p.agedLimits(now))
		for id, l := range p.loads {
			sum := loads[id]
			loads[id] = Load{id, sum.TokenLayers + l.TokenLayers, sum.Requests + l.Requests}
		}
		for id, until := range p.faults {
			if remaining := until.Sub(now); remaining > faults[id] {
				faults[id] = remaining
			}
		}
	}
	r.Limits = newestLimits(limits...)
	r.Loads = slices.Collect(maps.Values(loads))
	r.Faults = r.Faults[:0]
	for id, remaining := range faults {
		r.Faults = append(r.Faults, Fault{id, remaining})
	}
	return r
}

// agedLimits returns the limits of a report with their age now.
func (p *peerReport) agedLimits(now time.Time) []NamedLimit {
	list := slices.Clone(p.limits)
	for i := range list {
		list[i].Age += now.Sub(p.receivedAt)
	}
	return list
}

// ForgetPeer removes the loads that were reported under a name.
func (t *InstanceTracker) ForgetPeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads.remove(t.peers[name])
	delete(t.peers, name)
}

// AddPeerReport adds one part of a report of another gateway. A report may be
// split into several parts with the same number; a part with a lower number than
// the latest is ignored unless the latest part was received more than
// peerReportMaxAge ago, as after a restart of the peer.
func (t *InstanceTracker) AddPeerReport(peer string, number uint64, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peer]
	t.peerLoads.prepare(now)
	if p == nil || number > p.number || now.Sub(p.receivedAt) > peerReportMaxAge {
		t.peerLoads.remove(p)
		p = &peerReport{
			number: number, loads: make(map[string]Load, len(r.Loads)), faults: make(map[string]time.Time, len(r.Faults)),
		}
		t.peers[peer] = p
	}
	if number < p.number {
		return
	}
	p.limits = append(p.agedLimits(now), r.Limits...)
	p.receivedAt, p.group = now, r.Group
	for _, n := range r.Limits {
		t.addPeerLimit(n, now)
	}
	for _, load := range r.Loads {
		t.peerLoads.change(p.loads[load.Instance], load)
		p.loads[load.Instance] = load
	}
	for _, f := range r.Faults {
		state := t.ensureState(f.Instance)
		until := now.Add(min(f.Remaining, peerLostDuration))
		p.faults[f.Instance] = until
		if until.After(state.lostUntil) {
			state.lostUntil = until
		}
	}
	for _, s := range r.Slow {
		state := t.ensureState(s.Instance)
		if at := now.Add(-s.Age); at.After(state.slowAt) {
			state.slowness, state.slowAt = s.Factor, at
		}
	}
}

// WithoutLoads returns the report without loads and limits.
func (r Report) WithoutLoads() Report {
	r.Loads, r.Limits = nil, nil
	return r
}
