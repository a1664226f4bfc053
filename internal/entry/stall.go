package entry

import (
	"time"
)

const (
	// stallAfter is how long a sequence waits for a frame before it probes its
	// stages. It is four times the default target for the time between tokens.
	stallAfter = 100 * time.Millisecond
	// maxStallWait bounds the doubling wait between two probes of a sequence
	// whose stages all answer.
	maxStallWait = time.Second
	// minProbeTimeout is the minimum time that a stage has to answer a probe.
	minProbeTimeout = 200 * time.Millisecond
	// probeTimeoutRTTs is the time that a stage has to answer a probe, in
	// measured round-trip times. On a busy machine or link the round-trip time
	// is longer, and so is the timeout.
	probeTimeoutRTTs = 20
	// noProbeAnswer is the reason recorded for a stage that did not answer a
	// probe.
	noProbeAnswer = "no answer to a probe"
)

// prober is a connection that can be probed. *peer.Conn implements it.
type prober interface {
	// Ping requests an answer from the peer.
	Ping()
	// LastRead returns when the last frame arrived.
	LastRead() time.Time
	// RTT returns the smoothed round-trip time.
	RTT() time.Duration
}

// stallTimer times the probes of a sequence that makes no progress. Missing
// heartbeats reveal a frozen stage only after suspect_after; a probe reveals it
// sooner to a sequence whose caller waits for the next token.
type stallTimer struct {
	timer *time.Timer
	wait  time.Duration
	// probedAt is when the stages were probed; zero if no probe is outstanding.
	probedAt time.Time
	timeout  time.Duration
}

func newStallTimer() *stallTimer {
	return &stallTimer{timer: time.NewTimer(stallAfter), wait: stallAfter}
}

// reset restarts the wait after the sequence has made progress.
func (t *stallTimer) reset() {
	t.probedAt = time.Time{}
	t.wait = stallAfter
	t.timer.Reset(t.wait)
}

func (t *stallTimer) stop() { t.timer.Stop() }

// probeStages probes the stages from which nothing has arrived for stallAfter.
// It returns the time that they have to answer.
func (s *sequence) probeStages(now time.Time) time.Duration {
	timeout := minProbeTimeout
	for _, b := range s.stages {
		p, ok := b.conn.(prober)
		if !ok || now.Sub(p.LastRead()) < stallAfter {
			continue
		}
		timeout = max(timeout, probeTimeoutRTTs*p.RTT())
		p.Ping()
	}
	return timeout
}

// checkStall is called when the timer fires. It probes the stages, or returns
// those that did not answer the outstanding probe, by index, with the reason.
func (s *sequence) checkStall(t *stallTimer) map[int]string {
	now := time.Now()
	lost := make(map[int]string)
	waited := now.Sub(t.probedAt)
	// If this process was paused, the answers may have arrived but are not read
	// yet, so the stages are probed again.
	if t.probedAt.IsZero() || waited > 2*t.timeout {
		t.timeout = s.probeStages(now)
		t.probedAt = now
		t.timer.Reset(t.timeout)
		return lost
	}
	for i, b := range s.stages {
		if p, ok := b.conn.(prober); ok && now.Sub(p.LastRead()) > waited+stallAfter {
			lost[i] = noProbeAnswer
			s.markStageSuspect(b)
		}
	}
	t.probedAt = time.Time{}
	t.wait = min(2*t.wait, maxStallWait)
	t.timer.Reset(t.wait)
	return lost
}

// markStageSuspect marks the upstream of a stage as suspect, so that no other
// sequence is sent there. The next heartbeat of the upstream makes it ready
// again.
func (s *sequence) markStageSuspect(b stageBinding) {
	if s.markSuspect != nil {
		s.markSuspect(b.Upstream)
	}
}
