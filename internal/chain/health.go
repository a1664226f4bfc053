package chain

import "time"

// isAvoided reports whether an instance gets no new work because of a recent
// failure or a loss.
func (l *InstanceTracker) isAvoided(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && (now.Before(a.avoidUntil) || now.Before(a.lostUntil))
}

// isLost reports whether there is evidence that an instance is lost.
func (l *InstanceTracker) isLost(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && now.Before(a.lostUntil)
}

const (
	// avoidBase is how long an instance is avoided after a failure. The time
	// doubles with each further failure, up to avoidMax.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
)

// RecordFailure records that an instance did not answer, interrupted a response
// or is known to have caused a failure. The instance gets no new work for a
// while.
func (l *InstanceTracker) RecordFailure(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	if now.Before(a.avoidUntil) {
		return
	}
	a.avoidUntil = now.Add(min(avoidBase<<min(a.failures, 8), avoidMax))
	a.failures++
}

const (
	// fullDuration is how long an instance that refused a request counts as
	// full. The time doubles with each further refusal, up to fullDurationMax.
	fullDuration    = 300 * time.Millisecond
	fullDurationMax = 4 * time.Second
	// fullShare is the share of the load at the time of a refusal up to which a
	// full instance gets new work.
	fullShare = 0.95
)

// RecordRefusal records that an instance of a model refused a request, usually
// for lack of memory. The instance counts as full for a while: it gets new work
// only after some of its current requests have ended. RecordRefusal returns the
// number of consecutive such periods without a complete response.
func (l *InstanceTracker) RecordRefusal(id string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	limit := fullShare * l.totalAccount(id, now).tokenLayers
	if now.Before(a.fullUntil) {
		a.fullLimit = min(a.fullLimit, limit)
		return a.refusals
	}
	a.fullLimit, a.fullUntil = limit, now.Add(min(fullDuration<<min(a.refusals, 8), fullDurationMax))
	a.refusals++
	return a.refusals
}

// isFull reports whether an instance counts as full after a refusal.
func (l *InstanceTracker) isFull(id string, now time.Time) bool {
	a := l.accounts[id]
	return a != nil && now.Before(a.fullUntil)
}

const (
	// lostDuration is how long an instance counts as lost after evidence of its
	// loss, peerLostDuration after the report of a peer.
	lostDuration     = 5 * time.Second
	peerLostDuration = 1500 * time.Millisecond
	// recheckInterval is the time between two checks of a lost instance.
	recheckInterval = time.Second
	// maxConnectFailures is the number of consecutive failed connections after
	// which an instance counts as lost.
	maxConnectFailures = 3
)

// RecordFault records that another engine of a path gets no reply from an
// instance. The instance counts as lost.
func (l *InstanceTracker) RecordFault(id string, now time.Time) {
	l.RecordFailure(id, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureAccount(id).markLost(now)
}

// markLost records evidence that this process has of the loss of an instance.
func (a *instanceState) markLost(now time.Time) {
	a.lostUntil, a.locallyLost, a.recheckAt = now.Add(lostDuration), true, now.Add(recheckInterval)
	a.leaving = false
}

// RecordLeaving records that an instance refuses requests for which it has room:
// it is stopping, and its entry in the store does not show that yet. The instance
// counts as lost for a while.
func (l *InstanceTracker) RecordLeaving(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	a.markLost(now)
	a.leaving = true
}

// DueRechecks returns the lost instances that are to be checked for whether they
// answer again. It returns an instance at most once per recheckInterval.
func (l *InstanceTracker) DueRechecks(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, a := range l.accounts {
		if a.locallyLost && !a.leaving && now.Before(a.lostUntil) && !now.Before(a.recheckAt) {
			a.recheckAt = now.Add(recheckInterval)
			list = append(list, id)
		}
	}
	return list
}

// RecordRecheck records whether a lost instance answered a check.
func (l *InstanceTracker) RecordRecheck(id string, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	if !answered {
		a.markLost(now)
		return
	}
	a.lostUntil, a.locallyLost, a.connectFailures = time.Time{}, false, 0
}

// RecordUnreachable records that a connection to an instance failed. After
// maxConnectFailures in a row the instance counts as lost.
func (l *InstanceTracker) RecordUnreachable(id string, now time.Time) {
	l.RecordFailure(id, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	a.connectFailures++
	if a.connectFailures >= maxConnectFailures {
		a.markLost(now)
	}
}

const (
	// slownessMaxAge is how long a measured slowness is valid,
	// slownessRefreshAge the age from which it is measured again.
	slownessMaxAge     = 5 * time.Second
	slownessRefreshAge = 2 * time.Second
)

// DueMeasurements returns the instances whose slowness is to be measured again.
func (l *InstanceTracker) DueMeasurements(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, a := range l.accounts {
		if age := now.Sub(a.slowAt); a.slowness > 1 && age > slownessRefreshAge && age < slownessMaxAge {
			list = append(list, id)
		}
	}
	return list
}

// RecordSlowness records the factor by which an instance is slower than its
// accelerator type.
func (l *InstanceTracker) RecordSlowness(id string, factor float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ensureAccount(id)
	a.slowness, a.slowAt = factor, now
}

// Slowness returns the factor by which an instance is slower than its
// accelerator type, and whether the factor was measured recently.
func (l *InstanceTracker) Slowness(id string, now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[id]
	if a == nil || now.Sub(a.slowAt) > slownessMaxAge {
		return 1, false
	}
	return max(a.slowness, 1), true
}

// RecordSuccess records that an instance completed a response.
func (l *InstanceTracker) RecordSuccess(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSuccess(id)
}

// RecordPathSuccess records a completed response for all instances of a path.
func (l *InstanceTracker) RecordPathSuccess(p Path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stage := range p {
		l.recordSuccess(stage.Instance)
	}
}

func (l *InstanceTracker) recordSuccess(id string) {
	a := l.ensureAccount(id)
	a.failures, a.connectFailures, a.refusals = 0, 0, 0
	a.avoidUntil, a.fullUntil = time.Time{}, time.Time{}
	a.lostUntil, a.locallyLost, a.leaving = time.Time{}, false, false
}

// IsLost reports whether there is evidence that an instance is lost.
func (l *InstanceTracker) IsLost(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLost(id, now)
}
