package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// healthyProbeInterval is the time between two probes of an upstream that works.
	healthyProbeInterval = time.Second
	// failedProbeInterval is the time between two probes of an upstream that failed.
	failedProbeInterval = 200 * time.Millisecond
	// healthProbeTimeout bounds one probe. An upstream that is silent for longer
	// gets no new work, and its calls in progress end.
	healthProbeTimeout = 500 * time.Millisecond
)

// healthCheck finds out whether the upstream answers. An upstream that does
// not is reported as joining, so that entries send it no new work.
type healthCheck struct {
	probe    func(ctx context.Context) error
	onChange func()
	// onFailedProbe is called after each probe that got no answer.
	onFailedProbe func()
	// probeRequested is signalled after a failed call, so that an upstream that has
	// died is noticed before the next regular probe.
	probeRequested chan struct{}
	down           atomic.Bool
}

func newHealthCheck(probe func(ctx context.Context) error, onChange func()) *healthCheck {
	return &healthCheck{probe: probe, onChange: onChange, onFailedProbe: func() {}, probeRequested: make(chan struct{}, 1)}
}

// healthy reports whether the last probe was answered.
func (h *healthCheck) healthy() bool { return !h.down.Load() }

// requestProbe requests a probe as soon as possible.
func (h *healthCheck) requestProbe() {
	select {
	case h.probeRequested <- struct{}{}:
	default:
	}
}

// Run probes until ctx ends.
func (h *healthCheck) Run(ctx context.Context) {
	for {
		wait := healthyProbeInterval
		if h.down.Load() {
			wait = failedProbeInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-h.probeRequested:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		h.check(ctx)
	}
}

func (h *healthCheck) check(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	down := h.probe(probeCtx) != nil
	if ctx.Err() != nil {
		return
	}
	if h.down.Swap(down) != down {
		h.onChange()
	}
	if down {
		h.onFailedProbe()
	}
}
