package entry

import (
	"time"
)

const (
	// stallAfter is how long a sequence waits for a frame before it probes its
	// stages. It is about four times the default target for the time between
	// tokens, which is 26 ms.
	stallAfter = 100 * time.Millisecond
	// maxProbeDelay bounds the delay between the end of one probe of a sequence
	// and the next probe. The delay starts at stallAfter and doubles after each
	// probe.
	maxProbeDelay = time.Second
	// minProbeTimeout is the minimum time that the stages have to answer a
	// probe.
	minProbeTimeout = 200 * time.Millisecond
	// probeTimeoutRTTs is the factor by which the longest round-trip time of
	// the probed stages is multiplied to get the timeout of the probe. On a busy
	// machine or link the round-trip time is longer, and so is the timeout.
	probeTimeoutRTTs = 20
	// noProbeAnswer is the reason recorded for a stage that did not answer a
	// probe.
	noProbeAnswer = "no answer to a probe"
)

// probeTarget is a connection that can be probed. *peer.Conn implements it.
type probeTarget interface {
	// Ping requests an answer from the peer.
	Ping()
	// LastRead returns when the last frame arrived.
	LastRead() time.Time
	// RTT returns the smoothed round-trip time.
	RTT() time.Duration
}

// stallTimer times the probes of a sequence that makes no progress. A frozen
// stage is detected by its missing heartbeats only after suspect_after. A probe
// detects it sooner, because the caller is waiting for the next token.
type stallTimer struct {
	timer *time.Timer
	// probeDelay is the time without progress, or since the end of the last
	// probe, after which the stages are probed.
	probeDelay time.Duration
	// probedAt is when the stages were probed; zero if no probe is outstanding.
	probedAt time.Time
	// probeTimeout is the time that the stages have to answer the outstanding
	// probe.
	probeTimeout time.Duration
}

func newStallTimer() *stallTimer {
	return &stallTimer{timer: time.NewTimer(stallAfter), probeDelay: stallAfter}
}

// reset restarts the delay before the first probe after the sequence has made
// progress.
func (t *stallTimer) reset() {
	t.probedAt = time.Time{}
	t.probeDelay = stallAfter
	t.timer.Reset(t.probeDelay)
}

func (t *stallTimer) stop() { t.timer.Stop() }

// probeStages probes the stages from which nothing has arrived for stallAfter.
// It returns the time that all of them have to answer.
func (s *sequence) probeStages(now time.Time) time.Duration {
	timeout := minProbeTimeout
	for _, b := range s.stages {
		p, ok := b.conn.(probeTarget)
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
	sinceProbe := now.Sub(t.probedAt)
	// The stages are probed if no probe is outstanding. They are probed again if
	// the timer fired late because this process was paused: the answers may have
	// arrived but are not read yet.
	if t.probedAt.IsZero() || sinceProbe > 2*t.probeTimeout {
		t.probeTimeout = s.probeStages(now)
		t.probedAt = now
		t.timer.Reset(t.probeTimeout)
		return lost
	}
	// A stage from which nothing has arrived since stallAfter before the probe
	// was probed and has not answered.
	for i, b := range s.stages {
		if p, ok := b.conn.(probeTarget); ok && now.Sub(p.LastRead()) > sinceProbe+stallAfter {
			lost[i] = noProbeAnswer
			s.markStageSuspect(b)
		}
	}
	t.probedAt = time.Time{}
	t.probeDelay = min(2*t.probeDelay, maxProbeDelay)
	t.timer.Reset(t.probeDelay)
	return lost
}

// markStageSuspect marks the upstream of a stage as suspect, so that no new
// sequence is sent to it. The next heartbeat of the upstream replaces this state
// by the state that the heartbeat reports.
func (s *sequence) markStageSuspect(b stageBinding) {
	if s.markSuspect != nil {
		s.markSuspect(b.Upstream)
	}
}
