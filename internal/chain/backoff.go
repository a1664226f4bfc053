package chain

import (
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// maxBackoff bounds the time for which an instance is left alone because of one refusal. An
// instance may name any time by mistake.
const maxBackoff = time.Minute

// RecordBackoff records that an instance refused a call and wants no further ones for a
// while. It reports whether the instance could be called until now.
func (t *InstanceTracker) RecordBackoff(id string, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ensureState(id)
	begins := !state.backsOff(now)
	if until := now.Add(min(d, maxBackoff)); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	return begins
}

// backsOff reports whether the instance wants no calls.
func (s *instanceState) backsOff(now time.Time) bool { return s != nil && now.Before(s.backoffUntil) }

// InBackoff reports whether an instance wants no calls: no requests, reports or orders.
func (t *InstanceTracker) InBackoff(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances[id].backsOff(now)
}

// BackoffEnd returns when the first of the instances of a service that want no calls takes
// calls again, zero if there are none.
func (t *InstanceTracker) BackoffEnd(view *fleet.View, service string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var end time.Time
	for id, state := range t.instances {
		in, known := view.Instances[id]
		if !known || in.Service != service || in.Draining || !state.backsOff(now) {
			continue
		}
		if end.IsZero() || state.backoffUntil.Before(end) {
			end = state.backoffUntil
		}
	}
	return end
}

// withoutBackoff returns the candidates that take calls, in a list of its own if others were
// left out.
func withoutBackoff(list []candidate) (kept []candidate, leftOut bool) {
	if !slices.ContainsFunc(list, func(c candidate) bool { return c.backsOff }) {
		return list, false
	}
	for _, c := range list {
		if !c.backsOff {
			kept = append(kept, c)
		}
	}
	return kept, true
}
