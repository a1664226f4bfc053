package entry

import (
	"slices"
	"time"
)

// injectFault injects a random fault, or none.
func (sim *simulation) injectFault() {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	switch sim.rng.IntN(sim.faultOdds) {
	case 0, 1:
		if h.process != nil {
			sim.eventCounts["kill"]++
			sim.kill(h, true, sim.rng.IntN(2) == 0)
		}
	case 2:
		sim.eventCounts["engine killed"]++
		sim.kill(h, false, true)
	case 3, 4:
		p := h.process
		if sim.rng.IntN(4) == 0 {
			p = sim.entry
		}
		if p != nil && !p.frozen() {
			sim.recordEvent("freeze %s", p.name)
			sim.eventCounts["freeze"]++
			p.frozenAt, p.frozenUntil = time.Now(), time.Now().Add(time.Duration(sim.rng.Int64N(int64(8*time.Second))))
		}
	case 5, 6, 7, 8:
		if len(sim.connEnds) > 0 {
			if e := sim.connEnds[sim.rng.IntN(len(sim.connEnds))]; !e.cut {
				sim.recordEvent("cut %d", e.number)
				sim.eventCounts["cut"]++
				sim.cut(e)
			}
		}
	case 9, 10:
		if len(sim.connEnds) > 0 {
			sim.eventCounts["delay"]++
			sim.connEnds[sim.rng.IntN(len(sim.connEnds))].delayDelivery(simIdleTimeout)
		}
	case 11, 12, 13, 14:
		// Delivers frames of an earlier connection after frames of this one.
		if len(sim.connEnds) > 0 {
			if e := sim.connEnds[sim.rng.IntN(len(sim.connEnds))]; !e.cut {
				resent := sim.recentFrames[[2]*simProcess{e.remote.simProcess, e.simProcess}]
				if len(resent) > 0 {
					e.inbox = append(e.inbox, resent[sim.rng.IntN(len(resent)):]...)
					sim.eventCounts["duplicate"]++
				}
			}
		}
	case 15:
		if r := sim.requests[sim.rng.IntN(len(sim.requests))]; sim.rng.IntN(3) == 0 && !r.done {
			sim.recordEvent("leave %s", r.id)
			sim.eventCounts["left"]++
			r.callerLeft = true
			if sim.rng.IntN(2) == 0 {
				r.cancelCaller()
			}
		}
	}
}

// runRandomAction runs one of the possible actions at random. It returns false
// if there is none.
func (sim *simulation) runRandomAction() bool {
	var actions []func()
	for _, e := range sim.connEnds {
		if len(e.inbox) > 0 && !e.dead && !e.frozen() && (sim.noFaults || !time.Now().Before(e.delayedUntil)) {
			actions = append(actions, func() { sim.recordEvent("%d %s: %T %+v", e.number, e.name, e.inbox[0], e.inbox[0]); sim.deliverNext(e) })
		}
	}
	for _, c := range sim.pendingCalls {
		if !c.frozen() && (!time.Now().Before(c.blockedUntil) || c.ctx.Err() != nil) {
			actions = append(actions, func() { sim.recordEvent("answer %s", c.key()); sim.advanceCall(c) })
		}
	}
	for _, h := range sim.hosts {
		if n := len(h.engine.delayedSteps); n > 0 && sim.rng.IntN(4) == 0 {
			actions = append(actions, func() {
				s := h.engine.delayedSteps[0]
				h.engine.delayedSteps = h.engine.delayedSteps[1:]
				if int(s.Position) == len(h.engine.ranPositions[s.Sequence]) {
					h.engine.runStep(sim, s.Step)
				}
			})
		}
		switch restoreNow := sim.noFaults || sim.rng.IntN(30) == 0; {
		case h.process == nil && restoreNow:
			actions = append(actions, func() { sim.recordEvent("start %s", h.id); sim.startSidecar(h) })
		case h.process != nil && restoreNow && sim.entry.connections[h.id] == nil && !h.process.frozen() && !sim.entry.frozen():
			actions = append(actions, func() { sim.recordEvent("connect %s", h.id); sim.connect(sim.entry, h.process, h.id) })
		}
	}
	if len(actions) == 0 {
		return false
	}
	actions[sim.rng.IntN(len(actions))]()
	return true
}

// allEnded reports whether every sequence has ended.
func (sim *simulation) allEnded() bool {
	return !slices.ContainsFunc(sim.requests, func(r *simRequest) bool { return !r.done })
}

// runSchedule runs the simulation until every sequence has ended and no work is
// pending.
func (sim *simulation) runSchedule() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	faultSteps := 100 + sim.rng.IntN(700)
	idleSleep := time.Millisecond
	var faultsEndedAt, endedAt time.Time
	for ; ; sim.step++ {
		sim.waitIdle()
		if sim.t.Failed() {
			return
		}
		if !sim.noFaults && (sim.step >= faultSteps || sim.allEnded()) {
			sim.noFaults, faultsEndedAt = true, time.Now()
			sim.entry.frozenUntil = faultsEndedAt
			for _, h := range sim.hosts {
				if h.process != nil {
					h.process.frozenUntil = faultsEndedAt
				}
			}
			for _, r := range sim.requests {
				for range 10 {
					r.retries.RecordRequest(r.team, 1)
				}
			}
		}
		if sim.noFaults && !sim.allEnded() && time.Since(faultsEndedAt) > time.Minute {
			for _, r := range sim.requests {
				if !r.done {
					sim.t.Errorf("%s is stuck after %v of %v in attempt %d", r.id, r.gotTokens, r.wantTokens, r.attempt)
				}
			}
			return
		}
		if sim.allEnded() && endedAt.IsZero() {
			endedAt = time.Now()
		}
		if !sim.noFaults {
			sim.injectFault()
			sim.waitIdle()
		}
		if sim.rng.IntN(20) == 0 {
			sim.sleep(time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond))))
			continue
		}
		if sim.runRandomAction() {
			idleSleep = time.Millisecond
			continue
		}
		// Sidecars remove orphaned sequences 3 s after the connection ended;
		// engine calls end after at most 6 s.
		if !endedAt.IsZero() && time.Since(endedAt) > 15*time.Second {
			return
		}
		sim.sleep(idleSleep)
		idleSleep = min(2*idleSleep, time.Second)
	}
}
