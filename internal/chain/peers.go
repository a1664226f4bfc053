package chain

import "time"

// Load is the work that one gateway has given to an instance.
type Load struct {
	Instance    string
	TokenLayers float64
	Requests    int
}

// Fault is an instance that counts as lost, and for how long.
type Fault struct {
	Instance  string
	Remaining time.Duration
}

// Slowness is an instance that is slower than its type.
type Slowness struct {
	Instance string
	Factor   float64
	// Age is how long ago that was measured.
	Age time.Duration
}

// Report is what one gateway tells the others.
type Report struct {
	Loads  []Load
	Faults []Fault
	Slow   []Slowness
}

// peerWorkAge is how long the report of another gateway counts.
const peerWorkAge = time.Second

// peerWork is the latest report of another gateway.
type peerWork struct {
	round uint64
	at    time.Time
	loads map[string]Load
}

// LocalReport returns the report of this process.
func (l *Ledger) LocalReport(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Report
	for id, a := range l.accounts {
		if a.requests > 0 {
			r.Loads = append(r.Loads, Load{id, a.tokenLayers, a.requests})
		}
		if a.ownLoss && now.Before(a.lostUntil) {
			r.Faults = append(r.Faults, Fault{id, min(a.lostUntil.Sub(now), peerLostTime)})
		}
		if age := now.Sub(a.slowAt); a.slowness > 1 && age < slownessAge {
			r.Slow = append(r.Slow, Slowness{id, a.slowness, age})
		}
	}
	return r
}

// AddPeerReport installs one part of a report of another gateway. The parts of a
// round add up; an older round is ignored unless the peer has started anew.
func (l *Ledger) AddPeerReport(peer string, round uint64, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[peer]
	if p == nil || round > p.round || now.Sub(p.at) > peerWorkAge {
		p = &peerWork{round: round, loads: make(map[string]Load, len(r.Loads))}
		l.peers[peer] = p
	}
	if round < p.round {
		return
	}
	p.at = now
	for _, load := range r.Loads {
		p.loads[load.Instance] = load
	}
	for _, f := range r.Faults {
		a := l.entry(f.Instance)
		until := now.Add(min(f.Remaining, peerLostTime))
		if until.After(a.lostUntil) {
			a.lostUntil = until
		}
	}
	for _, s := range r.Slow {
		a := l.entry(s.Instance)
		if at := now.Add(-s.Age); at.After(a.slowAt) {
			a.slowness, a.slowAt = s.Factor, at
		}
	}
}
