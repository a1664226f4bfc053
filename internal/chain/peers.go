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
	if p == nil || number > p.number || now.Sub(p.receivedAt) > peerReportMaxAge {
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
