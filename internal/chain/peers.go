package chain

import "time"

// Load is the work that one gateway has given to an instance.
type Load struct {
	Instance    string
	TokenLayers float64
	Requests    int
}

// Fault is an instance that an engine waits for in vain, and how long it is
// still avoided.
type Fault struct {
	Instance  string
	Remaining time.Duration
}

// peerWorkAge is how long the report of another gateway counts.
const peerWorkAge = time.Second

// peerWork is the latest report of another gateway.
type peerWork struct {
	round uint64
	at    time.Time
	loads map[string]Load
}

// Own returns the work that this process has given to instances, and the
// instances at fault.
func (l *Ledger) Own(now time.Time) ([]Load, []Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []Load
	var faults []Fault
	for id, a := range l.accounts {
		if a.requests > 0 {
			loads = append(loads, Load{id, a.tokenLayers, a.requests})
		}
		if a.atFault && now.Before(a.avoidUntil) {
			faults = append(faults, Fault{id, a.avoidUntil.Sub(now)})
		}
	}
	return loads, faults
}

// SetPeer installs one part of a report of another gateway. The parts of a
// round add up; an older round is ignored unless the peer has started anew.
func (l *Ledger) SetPeer(peer string, round uint64, part int, loads []Load, faults []Fault, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[peer]
	if p == nil || round > p.round || now.Sub(p.at) > peerWorkAge {
		p = &peerWork{round: round, loads: make(map[string]Load, len(loads))}
		l.peers[peer] = p
	}
	if round < p.round {
		return
	}
	p.at = now
	for _, load := range loads {
		p.loads[load.Instance] = load
	}
	for _, f := range faults {
		a := l.entry(f.Instance)
		if until := now.Add(min(f.Remaining, avoidMax)); until.After(a.avoidUntil) {
			a.avoidUntil = until
		}
	}
}
