package entry

import (
	"time"
)

const (
	// stallAfter is how long a sequence waits for a frame before it asks its
	// stages for a sign of life. It is four times the default target between
	// tokens.
	stallAfter = 100 * time.Millisecond
	// maxStallWait bounds the doubling wait between two probes of a sequence
	// whose stages all answer.
	maxStallWait = time.Second
	// minProbeTimeout is the least time a stage has to answer a probe.
	minProbeTimeout = 200 * time.Millisecond
	// probeRTTs is the time a stage has to answer, in round trips as measured
	// before. On a busy machine or link the round trips have grown, and so
	// does the patience.
	probeRTTs = 20
	// silentReason is the reason recorded for a stage that did not answer.
	silentReason = "no answer to a probe"
)

// prober is a connection that can be probed. *peer.Conn implements it.
type prober interface {
	// Ping asks the peer for an answer.
	Ping()
	// LastRead returns when the last frame arrived.
	LastRead() time.Time
	// RTT returns the smoothed round-trip time.
	RTT() time.Duration
}

// stallTimer probes the stages of a sequence that makes no progress. Missed
// heartbeats find a frozen stage after suspect_after; a caller that waits for
// the next token is served sooner by asking at once.
type stallTimer struct {
	timer *time.Timer
	wait  time.Duration
	// probed is when the stages were asked; zero if none are being asked.
	probed  time.Time
	timeout time.Duration
}

func newStallTimer() *stallTimer {
	return &stallTimer{timer: time.NewTimer(stallAfter), wait: stallAfter}
}

// progress starts the wait anew.
func (t *stallTimer) progress() {
	t.probed = time.Time{}
	t.wait = stallAfter
	t.timer.Reset(t.wait)
}

func (t *stallTimer) stop() { t.timer.Stop() }

// probeStages asks the stages from which nothing has arrived lately. It
// returns the time they have to answer.
func (s *sequence) probeStages(now time.Time) time.Duration {
	timeout := minProbeTimeout
	for _, b := range s.stages {
		p, ok := b.conn.(prober)
		if !ok || now.Sub(p.LastRead()) < stallAfter {
			continue
		}
		timeout = max(timeout, probeRTTs*p.RTT())
		p.Ping()
	}
	return timeout
}

// checkStall is called when the timer fires. It returns the stages that did
// not answer.
func (s *sequence) checkStall(t *stallTimer) map[int]string {
	now := time.Now()
	lost := make(map[int]string)
	waited := now.Sub(t.probed)
	// After a pause of this process the answers are still unread, so the
	// stages are asked again.
	if t.probed.IsZero() || waited > 2*t.timeout {
		t.timeout = s.probeStages(now)
		t.probed = now
		t.timer.Reset(t.timeout)
		return lost
	}
	for i, b := range s.stages {
		if p, ok := b.conn.(prober); ok && now.Sub(p.LastRead()) > waited+stallAfter {
			lost[i] = silentReason
			s.silent(b)
		}
	}
	t.probed = time.Time{}
	t.wait = min(2*t.wait, maxStallWait)
	t.timer.Reset(t.wait)
	return lost
}

// silent makes the upstream suspect, so that no other sequence is sent there.
// Its next heartbeat makes it ready again.
func (s *sequence) silent(b binding) {
	if s.suspect != nil {
		s.suspect(b.Upstream)
	}
}
