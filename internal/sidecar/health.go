package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// probeEvery is the time between two probes of an upstream that works.
	probeEvery = time.Second
	// probeAgain is the time between two probes of an upstream that failed.
	probeAgain = 200 * time.Millisecond
	// healthTimeout bounds one probe. An upstream that is silent for longer
	// gets no new work, and its calls in progress end.
	healthTimeout = 500 * time.Millisecond
)

// healthCheck finds out whether the upstream answers. An upstream that does
// not is reported as joining, so that entries send it no new work.
type healthCheck struct {
	probe   func(ctx context.Context) error
	changed func()
	// silent is called after each probe that got no answer.
	silent func()
	// asked is signalled after a failed call, so that an upstream that has
	// died is noticed before the next regular probe.
	asked chan struct{}
	down  atomic.Bool
}

func newHealthCheck(probe func(ctx context.Context) error, changed func()) *healthCheck {
	return &healthCheck{probe: probe, changed: changed, silent: func() {}, asked: make(chan struct{}, 1)}
}

// usable reports whether the last probe was answered.
func (h *healthCheck) usable() bool { return !h.down.Load() }

// ask requests a probe as soon as possible.
func (h *healthCheck) ask() {
	select {
	case h.asked <- struct{}{}:
	default:
	}
}

// Run probes until ctx ends.
func (h *healthCheck) Run(ctx context.Context) {
	for {
		wait := probeEvery
		if h.down.Load() {
			wait = probeAgain
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-h.asked:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		h.check(ctx)
	}
}

func (h *healthCheck) check(ctx context.Context) {
	pctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	down := h.probe(pctx) != nil
	if ctx.Err() != nil {
		return
	}
	if h.down.Swap(down) != down {
		h.changed()
	}
	if down {
		h.silent()
	}
}
