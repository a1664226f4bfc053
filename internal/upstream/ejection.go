package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Defaults of the fields of EjectionConfig.
const (
	DefaultConsecutiveFailures = 5
	DefaultSlowFactor          = 3.0
	DefaultMinSamples          = 10
	DefaultBaseEjection        = time.Second
	DefaultMaxEjection         = time.Minute
)

const (
	// membersPerEjection limits the ejected part of a pool to a third.
	membersPerEjection = 3
	// latencySmoothing is the weight of a new latency sample.
	latencySmoothing = 0.1
)

// EjectionConfig configures an Ejector. Zero values select the defaults.
type EjectionConfig struct {
	// ConsecutiveFailures is the number of consecutive failures after which an
	// upstream is ejected. Default 5.
	ConsecutiveFailures int
	// SlowFactor is the factor by which the moving average of an upstream's
	// latency must exceed the median of its pool for the upstream to be ejected.
	// Default 3.
	SlowFactor float64
	// MinSamples is the number of latency samples that an upstream needs to be
	// compared with its pool. Default 10.
	MinSamples int
	// BaseEjection is the duration of the first ejection. The duration doubles
	// with each further ejection up to MaxEjection. Defaults 1 s and 1 min.
	BaseEjection, MaxEjection time.Duration
}

// Ejector decides which upstreams of a pool are ejected as outliers. At most a
// third of a pool (rounded down) is ejected at the same time, so no upstream of a
// pool of one or two is ejected, and no pool loses its last upstream. It is safe
// for concurrent use.
type Ejector struct {
	config EjectionConfig
	// mu guards pools.
	mu    sync.Mutex
	pools map[string]map[InstanceID]*health
}

// health is what an Ejector knows about one upstream.
type health struct {
	failures int
	samples  int
	latency  float64
	// ejections is the number of ejections that determines the duration of the
	// next one. It decreases by one after each period without an ejection.
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	// cleanSince is when the upstream was added or last readmitted, or when
	// ejections was last decreased.
	cleanSince time.Time
}

// NewEjector returns an ejector without pools.
func NewEjector(config EjectionConfig) *Ejector {
	config.ConsecutiveFailures = cmp.Or(config.ConsecutiveFailures, DefaultConsecutiveFailures)
	config.SlowFactor = cmp.Or(config.SlowFactor, DefaultSlowFactor)
	config.MinSamples = cmp.Or(config.MinSamples, DefaultMinSamples)
	config.BaseEjection = cmp.Or(config.BaseEjection, DefaultBaseEjection)
	config.MaxEjection = cmp.Or(config.MaxEjection, DefaultMaxEjection)
	return &Ejector{config: config, pools: make(map[string]map[InstanceID]*health)}
}

// SetPool sets the members of a pool to its ready upstreams, including ejected
// ones. It returns the upstreams that are readmitted because the pool became
// smaller. A pool without members is removed.
func (e *Ejector) SetPool(now time.Time, pool string, members []InstanceID) (readmitted []InstanceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.pools[pool]
	next := make(map[InstanceID]*health, len(members))
	for _, id := range members {
		if h, ok := old[id]; ok {
			next[id] = h
		} else {
			next[id] = &health{cleanSince: now}
		}
	}
	if len(next) == 0 {
		delete(e.pools, pool)
		return nil
	}
	e.pools[pool] = next
	ejected := ejectedByExpiry(next)
	for excess := len(ejected) - len(next)/membersPerEjection; excess > 0; excess-- {
		next[ejected[0]].readmit(now)
		readmitted = append(readmitted, ejected[0])
		ejected = ejected[1:]
	}
	return readmitted
}

// Success records a successful step or call.
func (e *Ejector) Success(pool string, id InstanceID, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.pools[pool][id]
	if !ok {
		return
	}
	h.failures = 0
	h.samples++
	if h.samples == 1 {
		h.latency = float64(latency)
		return
	}
	h.latency += latencySmoothing * (float64(latency) - h.latency)
}

// Failure records a failed step or call. It reports whether the failure caused
// the ejection of the upstream.
func (e *Ejector) Failure(now time.Time, pool string, id InstanceID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	members := e.pools[pool]
	h, ok := members[id]
	if !ok {
		return false
	}
	h.failures++
	return h.failures >= e.config.ConsecutiveFailures && e.eject(now, members, h)
}

// Tick ejects slow upstreams and readmits those whose ejection has ended. It
// takes O(n log n) time and is called periodically in the background.
func (e *Ejector) Tick(now time.Time) (ejected, readmitted []InstanceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, members := range e.pools {
		for id, h := range members {
			switch {
			case h.ejected && !now.Before(h.ejectedUntil):
				h.readmit(now)
				readmitted = append(readmitted, id)
			case !h.ejected && h.ejections > 0 && now.Sub(h.cleanSince) >= e.ejectionDuration(h.ejections):
				// One ejection stops counting after each period without a new
				// ejection.
				h.ejections--
				h.cleanSince = now
			}
		}
		median, ok := e.medianLatency(members)
		if !ok {
			continue
		}
		for _, id := range slowestFirst(members) {
			h := members[id]
			slow := h.samples >= e.config.MinSamples && h.latency > e.config.SlowFactor*median
			if slow && e.eject(now, members, h) {
				ejected = append(ejected, id)
			}
		}
	}
	slices.Sort(readmitted)
	return ejected, readmitted
}

// Ejected returns the ejected upstreams of a pool in the order in which their
// ejections end.
func (e *Ejector) Ejected(pool string) []InstanceID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ejectedByExpiry(e.pools[pool])
}

// eject ejects an upstream, unless it is ejected already or the limit of the pool
// is reached. It reports whether the upstream was ejected.
func (e *Ejector) eject(now time.Time, members map[InstanceID]*health, h *health) bool {
	if h.ejected || len(ejectedByExpiry(members)) >= len(members)/membersPerEjection {
		return false
	}
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(e.ejectionDuration(h.ejections))
	return true
}

// ejectionDuration returns the duration of the n-th ejection.
func (e *Ejector) ejectionDuration(n int) time.Duration {
	d := e.config.BaseEjection
	for ; n > 1 && d < e.config.MaxEjection; n-- {
		d *= 2
	}
	return min(d, e.config.MaxEjection)
}

// medianLatency returns the median latency of the members with enough samples, and
// false if there are too few of them.
func (e *Ejector) medianLatency(members map[InstanceID]*health) (float64, bool) {
	var latencies []float64
	for _, h := range members {
		if h.samples >= e.config.MinSamples {
			latencies = append(latencies, h.latency)
		}
	}
	// A median of fewer than three latencies can't identify an outlier.
	if len(latencies) < membersPerEjection {
		return 0, false
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], true
}

// readmit ends an ejection. It resets the failures and latency samples, so that
// old samples don't cause another ejection immediately.
func (h *health) readmit(now time.Time) {
	h.ejected = false
	h.failures, h.samples, h.latency = 0, 0, 0
	h.cleanSince = now
}

// ejectedByExpiry returns the ejected members in the order in which their ejections
// end.
func ejectedByExpiry(members map[InstanceID]*health) []InstanceID {
	var ids []InstanceID
	for id, h := range members {
		if h.ejected {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b InstanceID) int {
		return cmp.Or(members[a].ejectedUntil.Compare(members[b].ejectedUntil), cmp.Compare(a, b))
	})
	return ids
}

func slowestFirst(members map[InstanceID]*health) []InstanceID {
	ids := make([]InstanceID, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b InstanceID) int {
		return cmp.Or(cmp.Compare(members[b].latency, members[a].latency), cmp.Compare(a, b))
	})
	return ids
}
