package chain

import "time"

// HasLoad reports whether any gateway has requests in progress, as far as this one knows.
func (t *InstanceTracker) HasLoad(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.instances {
		if state.requests > 0 {
			return true
		}
	}
	for _, p := range t.peers {
		if len(p.loads) > 0 && now.Sub(p.receivedAt) <= peerReportMaxAge {
			return true
		}
	}
	return false
}

// TotalLoads returns the load that all gateways together put on each instance that has any: the
// reserved KV cache, in tokens times layers.
func (t *InstanceTracker) TotalLoads(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]float64)
	for id, state := range t.instances {
		if state.tokenLayers > 0 {
			loads[id] = state.tokenLayers
		}
	}
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) > peerReportMaxAge {
			continue
		}
		for id, load := range p.loads {
			loads[id] += load.TokenLayers
		}
	}
	return loads
}

// SlowInstances returns the factors of the instances that are slower than usual for their accelerator
// type and were measured recently.
func (t *InstanceTracker) SlowInstances(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slow := make(map[string]float64)
	for id, state := range t.instances {
		if state.slowness > 1 && now.Sub(state.slowAt) <= slownessMaxAge {
			slow[id] = state.slowness
		}
	}
	return slow
}
