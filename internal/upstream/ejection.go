package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Defaults of an EjectionConfig.
const (
	DefaultConsecutiveFailures = 5
	DefaultSlowFactor          = 3.0
	DefaultMinSamples          = 10
	DefaultBaseEjection        = time.Second
	DefaultMaxEjection         = time.Minute
)

const (
	// ejectableDivisor caps the ejected part of a pool at a third.
	ejectableDivisor = 3
	// latencySmoothing is the weight of a new latency sample.
	latencySmoothing = 0.1
)

// EjectionConfig configures an Ejector. Zero values select the defaults.
type EjectionConfig struct {
	// ConsecutiveFailures ejects an upstream. Default 5.
	ConsecutiveFailures int
	// SlowFactor ejects an upstream whose smoothed latency exceeds the pool's
	// median by this factor. Default 3.
	SlowFactor float64
	// MinSamples is the number of latencies needed to compare an upstream.
	// Default 10.
	MinSamples int
	// BaseEjection is the first ejection time. It doubles with every further
	// ejection up to MaxEjection. Defaults 1 s and 1 min.
	BaseEjection, MaxEjection time.Duration
}

// Ejector decides which upstreams of a pool are outliers. At most a third of a
// pool (rounded down) is ejected at once, so a pool of one or two loses none
// and no pool loses its last upstream. It is safe for concurrent use.
type Ejector struct {
	config EjectionConfig
	mu     sync.Mutex
	pools  map[string]map[InstanceID]*health
}

type health struct {
	failures int
	samples  int
	latency  float64
	// ejections counts ejections that were not forgiven yet.
	ejections int
	ejected   bool
	until     time.Time
	// since is when the upstream was last readmitted or forgiven.
	since time.Time
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

// SetPool sets the members of a pool: the upstreams that are ready, ejected or
// not. It returns the upstreams that are readmitted because the pool shrank.
// An empty pool is dropped.
func (e *Ejector) SetPool(now time.Time, pool string, members []InstanceID) (readmitted []InstanceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.pools[pool]
	next := make(map[InstanceID]*health, len(members))
	for _, id := range members {
		if h, ok := old[id]; ok {
			next[id] = h
		} else {
			next[id] = &health{since: now}
		}
	}
	if len(next) == 0 {
		delete(e.pools, pool)
		return nil
	}
	e.pools[pool] = next
	ejected := ejectedIDs(next)
	for excess := len(ejected) - len(next)/ejectableDivisor; excess > 0; excess-- {
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

// Failure records a failed step or call. It reports whether the upstream is
// ejected by it.
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

// Tick ejects slow upstreams and readmits those whose ejection ended. It is
// O(n log n) and runs in the background.
func (e *Ejector) Tick(now time.Time) (ejected, readmitted []InstanceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, members := range e.pools {
		for id, h := range members {
			switch {
			case h.ejected && !now.Before(h.until):
				h.readmit(now)
				readmitted = append(readmitted, id)
			case !h.ejected && h.ejections > 0 && now.Sub(h.since) >= e.duration(h.ejections):
				// One ejection is forgiven for each period without a new one.
				h.ejections--
				h.since = now
			}
		}
		median, ok := e.median(members)
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

// Ejected returns the ejected upstreams of a pool, those that are readmitted
// first at the front.
func (e *Ejector) Ejected(pool string) []InstanceID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ejectedIDs(e.pools[pool])
}

func (e *Ejector) eject(now time.Time, members map[InstanceID]*health, h *health) bool {
	if h.ejected || len(ejectedIDs(members)) >= len(members)/ejectableDivisor {
		return false
	}
	h.ejections++
	h.ejected = true
	h.until = now.Add(e.duration(h.ejections))
	return true
}

// duration returns the length of the n-th ejection.
func (e *Ejector) duration(n int) time.Duration {
	d := e.config.BaseEjection
	for ; n > 1 && d < e.config.MaxEjection; n-- {
		d *= 2
	}
	return min(d, e.config.MaxEjection)
}

func (e *Ejector) median(members map[InstanceID]*health) (float64, bool) {
	var latencies []float64
	for _, h := range members {
		if h.samples >= e.config.MinSamples {
			latencies = append(latencies, h.latency)
		}
	}
	// The median of fewer than three says nothing about an outlier.
	if len(latencies) < ejectableDivisor {
		return 0, false
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], true
}

// readmit starts with a clean record, so that old samples can't eject the
// upstream again at once.
func (h *health) readmit(now time.Time) {
	h.ejected = false
	h.failures, h.samples, h.latency = 0, 0, 0
	h.since = now
}

func ejectedIDs(members map[InstanceID]*health) []InstanceID {
	var ids []InstanceID
	for id, h := range members {
		if h.ejected {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b InstanceID) int {
		return cmp.Or(members[a].until.Compare(members[b].until), cmp.Compare(a, b))
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
