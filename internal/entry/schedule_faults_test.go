package entry

import (
	"slices"
	"time"
)

// faults injects a fault now and then.
func (sim *simulation) faults() {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	switch sim.rng.IntN(sim.rare) {
	case 0, 1:
		if h.process != nil {
			sim.count["kill"]++
			sim.kill(h, true, sim.rng.IntN(2) == 0)
		}
	case 2:
		sim.count["engine killed"]++
		sim.kill(h, false, true)
	case 3, 4:
		p := h.process
		if sim.rng.IntN(4) == 0 {
			p = sim.entry
		}
		if p != nil && !p.frozen() {
			sim.note("freeze %s", p.name)
			sim.count["freeze"]++
			p.frozenAt, p.thawAt = time.Now(), time.Now().Add(time.Duration(sim.rng.Int64N(int64(8*time.Second))))
		}
	case 5, 6, 7, 8:
		if len(sim.ends) > 0 {
			if e := sim.ends[sim.rng.IntN(len(sim.ends))]; !e.cut {
				sim.note("cut %d", e.number)
				sim.count["cut"]++
				sim.cut(e)
			}
		}
	case 9, 10:
		if len(sim.ends) > 0 {
			sim.count["delay"]++
			sim.ends[sim.rng.IntN(len(sim.ends))].delay(simIdle)
		}
	case 11, 12, 13, 14:
		// As if an earlier connection were handled later than this one.
		if len(sim.ends) > 0 {
			if e := sim.ends[sim.rng.IntN(len(sim.ends))]; !e.cut {
				again := sim.recent[[2]*simProcess{e.remote.simProcess, e.simProcess}]
				if len(again) > 0 {
					e.inbox = append(e.inbox, again[sim.rng.IntN(len(again)):]...)
					sim.count["duplicate"]++
				}
			}
		}
	case 15:
		if r := sim.runs[sim.rng.IntN(len(sim.runs))]; sim.rng.IntN(3) == 0 && !r.done {
			sim.note("leave %s", r.id)
			sim.count["left"]++
			r.left = true
			if sim.rng.IntN(2) == 0 {
				r.leave()
			}
		}
	}
}

// act lets one thing happen and reports whether there was any.
func (sim *simulation) act() bool {
	var acts []func()
	for _, e := range sim.ends {
		if len(e.inbox) > 0 && !e.dead && !e.frozen() && (sim.calm || !time.Now().Before(e.delayed)) {
			acts = append(acts, func() { sim.note("%d %s: %T %+v", e.number, e.name, e.inbox[0], e.inbox[0]); sim.deliver(e) })
		}
	}
	for _, c := range sim.calls {
		if !c.frozen() && (!time.Now().Before(c.until) || c.ctx.Err() != nil) {
			acts = append(acts, func() { sim.note("answer %s", c.key()); sim.answerCall(c) })
		}
	}
	for _, h := range sim.hosts {
		if n := len(h.engine.late); n > 0 && sim.rng.IntN(4) == 0 {
			acts = append(acts, func() {
				s := h.engine.late[0]
				h.engine.late = h.engine.late[1:]
				if int(s.Position) == len(h.engine.ledger[s.Sequence]) {
					h.engine.run(sim, s.Step)
				}
			})
		}
		switch slow := sim.calm || sim.rng.IntN(30) == 0; {
		case h.process == nil && slow:
			acts = append(acts, func() { sim.note("start %s", h.id); sim.startSidecar(h) })
		case h.process != nil && slow && sim.entry.dialed[h.id] == nil && !h.process.frozen() && !sim.entry.frozen():
			acts = append(acts, func() { sim.note("connect %s", h.id); sim.connect(sim.entry, h.process, h.id) })
		}
	}
	if len(acts) == 0 {
		return false
	}
	acts[sim.rng.IntN(len(acts))]()
	return true
}

func (sim *simulation) ended() bool {
	return !slices.ContainsFunc(sim.runs, func(r *run) bool { return !r.done })
}

// schedule runs until every sequence has ended and nothing is under way.
func (sim *simulation) schedule() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	faulty := 100 + sim.rng.IntN(700)
	idle := time.Millisecond
	var calmAt, endedAt time.Time
	for ; ; sim.step++ {
		sim.settle()
		if sim.t.Failed() {
			return
		}
		if !sim.calm && (sim.step >= faulty || sim.ended()) {
			sim.calm, calmAt = true, time.Now()
			sim.entry.thawAt = calmAt
			for _, h := range sim.hosts {
				if h.process != nil {
					h.process.thawAt = calmAt
				}
			}
			for _, r := range sim.runs {
				for range 10 {
					r.retries.RecordRequest(r.team, 1)
				}
			}
		}
		if sim.calm && !sim.ended() && time.Since(calmAt) > time.Minute {
			for _, r := range sim.runs {
				if !r.done {
					sim.t.Errorf("%s is stuck after %v of %v in attempt %d", r.id, r.got, r.want, r.attempt)
				}
			}
			return
		}
		if sim.ended() && endedAt.IsZero() {
			endedAt = time.Now()
		}
		if !sim.calm {
			sim.faults()
			sim.settle()
		}
		if sim.rng.IntN(20) == 0 {
			sim.sleep(time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond))))
			continue
		}
		if sim.act() {
			idle = time.Millisecond
			continue
		}
		// Orphans are removed 3 s after their connection ended; engine calls end
		// after at most 6 s.
		if !endedAt.IsZero() && time.Since(endedAt) > 15*time.Second {
			return
		}
		sim.sleep(idle)
		idle = min(2*idle, time.Second)
	}
}
