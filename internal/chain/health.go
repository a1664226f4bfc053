package chain

import "time"

// avoided reports whether an instance gets no new work.
func (l *Ledger) avoided(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && (now.Before(a.avoidUntil) || now.Before(a.lostUntil))
}

// isLost reports whether there is evidence that an instance is lost.
func (l *Ledger) isLost(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && now.Before(a.lostUntil)
}

const (
	// avoidBase is how long an instance is avoided after a failure; it doubles
	// with each further failure up to avoidMax.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
)

// RecordFailure records that an instance did not answer, broke off or is known to be
// at fault, and keeps new work away from it for a while.
func (l *Ledger) RecordFailure(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	if now.Before(a.avoidUntil) {
		return
	}
	a.avoidUntil = now.Add(min(avoidBase<<min(a.failures, 8), avoidMax))
	a.failures++
}

const (
	// fullTime is how long an instance that refused a request counts as full;
	// it doubles with each further refusal up to fullTimeMax.
	fullTime    = 300 * time.Millisecond
	fullTimeMax = 4 * time.Second
	// fullShare is the part of the work at the time of a refusal up to which
	// an instance gets new work meanwhile.
	fullShare = 0.95
)

// RecordRefusal records that an instance of a model refused a request, mostly for
// lack of memory. For a while it gets new work only as far as some of what it
// had then has ended. It returns in how many such periods in a row, without a
// complete answer, the instance has refused.
func (l *Ledger) RecordRefusal(id string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	limit := fullShare * l.account(id, now).tokenLayers
	if now.Before(a.fullUntil) {
		a.fullAt = min(a.fullAt, limit)
		return a.refusals
	}
	a.fullAt, a.fullUntil = limit, now.Add(min(fullTime<<min(a.refusals, 8), fullTimeMax))
	a.refusals++
	return a.refusals
}

// full reports whether an instance refused a request lately.
func (l *Ledger) full(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && now.Before(a.fullUntil)
}

const (
	// lostTime is how long an instance counts as lost after the evidence,
	// peerLostTime after the report of a peer.
	lostTime     = 5 * time.Second
	peerLostTime = 1500 * time.Millisecond
	// recheckPause is the time between two questions to a lost instance.
	recheckPause = time.Second
	// lostConnections is the number of failed connections in a row after
	// which an instance counts as lost.
	lostConnections = 3
)

// RecordFault records that an engine waits for an instance in vain: it counts as
// lost.
func (l *Ledger) RecordFault(id string, now time.Time) {
	l.RecordFailure(id, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).lose(now)
}

// lose notes evidence of a loss.
func (a *account) lose(now time.Time) {
	a.lostUntil, a.ownLoss, a.recheckAt = now.Add(lostTime), true, now.Add(recheckPause)
	a.leaving = false
}

// RecordLeaving records that an instance refuses requests for which it has room: it
// stops, and its entry does not say so yet. It counts as lost for a while.
func (l *Ledger) RecordLeaving(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.lose(now)
	a.leaving = true
}

// DueRechecks returns the lost instances that are to be asked whether they
// are back. Each is returned once in recheckPause.
func (l *Ledger) DueRechecks(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, a := range l.accounts {
		if a.ownLoss && !a.leaving && now.Before(a.lostUntil) && !now.Before(a.recheckAt) {
			a.recheckAt = now.Add(recheckPause)
			list = append(list, id)
		}
	}
	return list
}

// RecordRecheck records whether a lost instance answered.
func (l *Ledger) RecordRecheck(id string, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	if !answered {
		a.lose(now)
		return
	}
	a.lostUntil, a.ownLoss, a.unreachable = time.Time{}, false, 0
}

// RecordUnreachable records that no connection to an instance could be made.
func (l *Ledger) RecordUnreachable(id string, now time.Time) {
	l.RecordFailure(id, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.unreachable++
	if a.unreachable >= lostConnections {
		a.lose(now)
	}
}

const (
	// slownessAge is how long a measured slowness counts, slownessRenew the
	// age from which it is measured again.
	slownessAge   = 5 * time.Second
	slownessRenew = 2 * time.Second
)

// DueMeasurements returns the instances whose slowness is to be measured again.
func (l *Ledger) DueMeasurements(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, a := range l.accounts {
		if age := now.Sub(a.slowAt); a.slowness > 1 && age > slownessRenew && age < slownessAge {
			list = append(list, id)
		}
	}
	return list
}

// RecordSlowness records how much slower than its type an instance is.
func (l *Ledger) RecordSlowness(id string, factor float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.slowness, a.slowAt = factor, now
}

// Slowness returns the factor by which an instance is slower than its type,
// and whether that was measured recently.
func (l *Ledger) Slowness(id string, now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[id]
	if a == nil || now.Sub(a.slowAt) > slownessAge {
		return 1, false
	}
	return max(a.slowness, 1), true
}

// RecordSuccess records a complete answer of an instance.
func (l *Ledger) RecordSuccess(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.succeeded(id)
}

// RecordPathSuccess records a complete answer, to which all parts of a path have
// contributed.
func (l *Ledger) RecordPathSuccess(p Path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range p {
		l.succeeded(part.Instance)
	}
}

func (l *Ledger) succeeded(id string) {
	a := l.entry(id)
	a.failures, a.unreachable, a.refusals = 0, 0, 0
	a.avoidUntil, a.fullUntil = time.Time{}, time.Time{}
	a.lostUntil, a.ownLoss, a.leaving = time.Time{}, false, false
}

// IsLost reports whether there is evidence that an instance is lost.
func (l *Ledger) IsLost(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLost(id, now)
}
