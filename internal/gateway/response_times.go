package gateway

import (
	"sync"
	"time"
)

// responseTimeSlot is the length of a slot of responseTimes.
const responseTimeSlot = 10 * time.Second

// responseTimes holds the longest recent response time of each plain service: that of the
// current and the previous slot. The zero value is empty. It is safe for concurrent use.
type responseTimes struct {
	// mu guards services.
	mu       sync.Mutex
	services map[string]slowestResponse
}

// slowestResponse is the longest response time in the current slot, which began at start, and
// in the one before.
type slowestResponse struct {
	start             time.Time
	current, previous time.Duration
}

// record adds a response that took d.
func (r *responseTimes) record(service string, d time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[string]slowestResponse)
	}
	s := r.services[service].at(now)
	s.current = max(s.current, d)
	r.services[service] = s
}

// longest returns the longest recent response time of a service, 0 if there was none.
func (r *responseTimes) longest(service string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service].at(now)
	return max(s.current, s.previous)
}

// at returns s with the slot of now as the current one.
func (s slowestResponse) at(now time.Time) slowestResponse {
	switch elapsed := now.Sub(s.start); {
	case elapsed < responseTimeSlot:
		return s
	case elapsed < 2*responseTimeSlot:
		return slowestResponse{start: s.start.Add(responseTimeSlot), previous: s.current}
	}
	return slowestResponse{start: now}
}
