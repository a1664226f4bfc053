package chain

import "time"

// recentSlot is the length of a slot of recentLoad, the time between two reports of a
// gateway. The load of the current and the previous slot may be unknown to others.
const recentSlot = 200 * time.Millisecond

// recentLoad is the load that this gateway added to an instance in the current and the
// previous slot.
type recentLoad struct {
	// start is when the current slot began.
	start               time.Time
	tokenLayers         float64
	requests            int
	previousTokenLayers float64
	previousRequests    int
}

// advance makes the slot of now the current one. It goes by the monotonic clock.
func (r *recentLoad) advance(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case elapsed < recentSlot:
		return
	case elapsed < 2*recentSlot:
		start := r.start.Add(recentSlot)
		*r = recentLoad{start: start, previousTokenLayers: r.tokenLayers, previousRequests: r.requests}
	default:
		*r = recentLoad{start: now}
	}
}

func (r *recentLoad) add(tokenLayers float64, now time.Time) {
	r.advance(now)
	r.tokenLayers += tokenLayers
	r.requests++
}

// neighbours returns the number of gateways that report their load one by one: those
// of the own failure domain, which prefer the same instances.
func (t *InstanceTracker) neighbours(now time.Time) int {
	count := 0
	for _, p := range t.peers {
		if !p.group && now.Sub(p.receivedAt) <= peerReportMaxAge {
			count++
		}
	}
	return count
}

// addUnreported adds to the state of an instance the load that neighbours have
// probably added since their reports: each as much as this gateway. They choose by the
// same reports, so all of them would otherwise place their requests on the instance
// that is the least loaded one by these.
func (s *instanceState) addUnreported(neighbours int, now time.Time) {
	s.recent.advance(now)
	s.tokenLayers += float64(neighbours) * (s.recent.tokenLayers + s.recent.previousTokenLayers)
	s.requests += neighbours * (s.recent.requests + s.recent.previousRequests)
}
