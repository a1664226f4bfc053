package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// healthyProbeInterval is the time between probes of a healthy upstream.
	healthyProbeInterval = time.Second
	// failedProbeInterval is the time between probes of an upstream whose last
	// probe failed.
	failedProbeInterval = 200 * time.Millisecond
	// healthProbeTimeout bounds one probe. An upstream that doesn't answer
	// within it gets no new work, and an engine batch in progress is aborted.
	healthProbeTimeout = 500 * time.Millisecond
)

// healthCheck probes the upstream periodically. The sidecar reports an
// unhealthy upstream as joining, so that entries send it no new work.
type healthCheck struct {
	probe    func(ctx context.Context) error
	onChange func()
	// onFailedProbe is called after each failed probe.
	onFailedProbe func()
	// probeRequested is signalled after a failed or slow call, so that a crashed
	// upstream is detected before the next periodic probe.
	probeRequested chan struct{}
	down           atomic.Bool
}

func newHealthCheck(probe func(ctx context.Context) error, onChange func()) *healthCheck {
	return &healthCheck{probe: probe, onChange: onChange, onFailedProbe: func() {}, probeRequested: make(chan struct{}, 1)}
}

// healthy reports whether the last probe succeeded.
func (h *healthCheck) healthy() bool { return !h.down.Load() }

// requestProbe requests a probe as soon as possible.
func (h *healthCheck) requestProbe() {
	select {
	case h.probeRequested <- struct{}{}:
	default:
	}
}

// Run probes the upstream until ctx ends.
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
