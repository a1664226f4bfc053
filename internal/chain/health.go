package chain

import "time"

// isAvoided reports whether an instance is avoided because of a recent failure or
// counts as lost.
func (t *InstanceTracker) isAvoided(id string, now time.Time) bool {
	state := t.instances[id]
	return state != nil && (now.Before(state.avoidUntil) || now.Before(state.lostUntil))
}

// isLost reports whether an instance counts as lost.
func (t *InstanceTracker) isLost(id string, now time.Time) bool {
	state := t.instances[id]
	return state != nil && now.Before(state.lostUntil)
}

const (
	// avoidBase is how long an instance is avoided after a failure. The time
	// doubles, up to avoidMax, with each further failure after this period and
	// before the next completed response. Failures during the period don't count.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
)

// RecordFailure records that an instance did not answer, interrupted a response
// or is known to have caused a failure. For a while, the instance gets new work
// only if no other instances can do it.
func (t *InstanceTracker) RecordFailure(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	if now.Before(state.avoidUntil) {
		return
	}
	state.avoidUntil = now.Add(min(avoidBase<<min(state.avoidPeriods, 8), avoidMax))
	state.avoidPeriods++
}

const (
	// fullDuration is how long an instance that refused a request counts as
	// full. The time doubles, up to fullDurationMax, with each further refusal
	// after this period and before the next completed response.
	fullDuration    = 300 * time.Millisecond
	fullDurationMax = 4 * time.Second
	// fullShare is the share of the load at the time of a refusal up to which a
	// full instance gets new work.
	fullShare = 0.95
)

// RecordRefusal records that an instance of a model refused a request, usually
// for lack of memory. The instance counts as full for a while: it gets new work
// only after some of its current requests have ended. A refusal during this period
// does not extend it. RecordRefusal returns the number of such periods since the
// last completed response.
func (t *InstanceTracker) RecordRefusal(id string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	limit := fullShare * t.totalState(id, now).tokenLayers
	if now.Before(state.fullUntil) {
		state.fullLimit = min(state.fullLimit, limit)
		return state.fullPeriods
	}
	state.fullLimit, state.fullUntil = limit, now.Add(min(fullDuration<<min(state.fullPeriods, 8), fullDurationMax))
	state.fullPeriods++
	return state.fullPeriods
}

// isFull reports whether an instance counts as full after a refusal.
func (t *InstanceTracker) isFull(id string, now time.Time) bool {
	state := t.instances[id]
	return state != nil && now.Before(state.fullUntil)
}

const (
	// lostDuration is how long an instance counts as lost after evidence of its
	// loss, peerLostDuration after the report of a peer.
	lostDuration     = 5 * time.Second
	peerLostDuration = 1500 * time.Millisecond
	// recheckInterval is the time between two checks of a lost instance.
	recheckInterval = time.Second
	// maxConnectFailures is the number of failed connections after which an
	// instance counts as lost. A completed response or an answered check resets
	// the count.
	maxConnectFailures = 3
)

// RecordLost records that another engine of a path gets no reply from an
// instance. The instance counts as lost and is avoided as after a failure.
func (t *InstanceTracker) RecordLost(id string, now time.Time) {
	t.RecordFailure(id, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ensureState(id).markLost(now)
}

// markLost records evidence that this process has of the loss of an instance.
func (s *instanceState) markLost(now time.Time) {
	s.lostUntil, s.locallyLost, s.recheckAt = now.Add(lostDuration), true, now.Add(recheckInterval)
	s.leaving = false
}

// RecordLeaving records that an instance refuses requests although it has free
// capacity: it is stopping, and its entry in the store does not show that yet. The
// instance counts as lost for a while.
func (t *InstanceTracker) RecordLeaving(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	state.markLost(now)
	state.leaving = true
}

// DueRechecks returns the lost instances that are to be checked for whether they
// answer again: those that this process itself found lost and that are not
// leaving and not in a backoff. It returns an instance at most once per recheckInterval.
func (t *InstanceTracker) DueRechecks(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, state := range t.instances {
		if state.locallyLost && !state.leaving && !state.backsOff(now) && now.Before(state.lostUntil) && !now.Before(state.recheckAt) {
			state.recheckAt = now.Add(recheckInterval)
			list = append(list, id)
		}
	}
	return list
}

// RecordRecheck records whether an instance answered a check. An instance that
// answered no longer counts as lost, any other counts as lost from now.
func (t *InstanceTracker) RecordRecheck(id string, answered bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	if !answered {
		state.markLost(now)
		return
	}
	state.lostUntil, state.locallyLost, state.connectFailures = time.Time{}, false, 0
}

// RecordUnreachable records that a connection to an instance failed or that the
// instance did not answer a request for its report. After maxConnectFailures such
// failures without a completed response or an answered check, the instance counts
// as lost.
func (t *InstanceTracker) RecordUnreachable(id string, now time.Time) {
	t.RecordFailure(id, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	state.connectFailures++
	if state.connectFailures >= maxConnectFailures {
		state.markLost(now)
	}
}

const (
	// slownessMaxAge is how long a measured slowness is valid,
	// slownessRefreshAge the age from which it is measured again.
	slownessMaxAge     = 5 * time.Second
	slownessRefreshAge = 2 * time.Second
)

// DueMeasurements returns the instances whose slowness is to be measured again:
// those that were slower than usual at their last measurement and not in a backoff.
func (t *InstanceTracker) DueMeasurements(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, state := range t.instances {
		if age := now.Sub(state.slowAt); state.slowness > 1 && age > slownessRefreshAge && age < slownessMaxAge &&
			!state.backsOff(now) {
			list = append(list, id)
		}
	}
	return list
}

// RecordSlowness records the factor by which an instance is slower than usual for
// its accelerator type.
func (t *InstanceTracker) RecordSlowness(id string, factor float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	state.slowness, state.slowAt = factor, now
}

// Slowness returns the factor by which an instance is slower than usual for its
// accelerator type, and whether the factor was measured recently.
func (t *InstanceTracker) Slowness(id string, now time.Time) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.instances[id]
	if state == nil || now.Sub(state.slowAt) > slownessMaxAge {
		return 1, false
	}
	return max(state.slowness, 1), true
}

// RecordSuccess records that an instance completed a response.
func (t *InstanceTracker) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordSuccess(id)
}

// RecordPathSuccess records a completed response for all instances of a path.
func (t *InstanceTracker) RecordPathSuccess(p Path) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stage := range p {
		t.recordSuccess(stage.Instance)
	}
}

func (t *InstanceTracker) recordSuccess(id string) {
	state := t.ensureState(id)
	state.avoidPeriods, state.connectFailures, state.fullPeriods = 0, 0, 0
	state.avoidUntil, state.fullUntil = time.Time{}, time.Time{}
	state.lostUntil, state.locallyLost, state.leaving = time.Time{}, false, false
}

// IsLost reports whether an instance counts as lost.
func (t *InstanceTracker) IsLost(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLost(id, now)
}
