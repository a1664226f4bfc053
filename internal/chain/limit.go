package chain

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// Limit is what an answer of an instance says about the requests that the instance takes
// from all gateways together. The zero value says nothing.
type Limit struct {
	// Stated is true if the answer says anything that can be used.
	Stated bool
	// Unlimited is true if the answer names no limit.
	Unlimited bool
	// PerSecond is the number of requests a second.
	PerSecond float64
}

// limitStatement is a Limit and when it was stated.
type limitStatement struct {
	Limit
	at time.Time
}

const (
	// limitMaxAge is how long a limit holds without a further answer of the instance.
	limitMaxAge = 15 * time.Second
	// limitReportAge is how long the latest statement of an instance that has named a
	// limit is reported.
	limitReportAge = 20 * time.Second
)

// instanceLimit is what is known of the limit of an instance that has named one.
type instanceLimit struct {
	// own is the latest statement to this gateway, latest the latest one to any gateway.
	own, latest limitStatement
}

// RecordLimit records what an answer of an instance says about its limit. It returns the
// limit before, and whether the limit changed.
func (t *InstanceTracker) RecordLimit(id string, l Limit, now time.Time) (before Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[id]
	if !l.Stated || known == nil && l.Unlimited {
		return Limit{}, false
	}
	if known == nil {
		known = &instanceLimit{latest: limitStatement{Limit: Limit{Stated: true, Unlimited: true}}}
		t.limits[id] = known
	}
	before = known.latest.Limit
	known.own = limitStatement{l, now}
	known.state(known.own)
	return before, before != l
}

// state takes over a statement unless a later one is known.
func (l *instanceLimit) state(s limitStatement) {
	if s.at.After(l.latest.at) {
		l.latest = s
	}
}

// Limited returns the number of instances that have named a limit which holds.
func (t *InstanceTracker) Limited(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, l := range t.limits {
		if l.holds(now) {
			count++
		}
	}
	return count
}

func (l *instanceLimit) holds(now time.Time) bool {
	return !l.latest.Unlimited && now.Sub(l.latest.at) <= limitMaxAge
}

// pruneLimits deletes the limits of instances that are not in the view, and those of which
// nothing was heard for limitReportAge.
func (t *InstanceTracker) pruneLimits(view *fleet.View, now time.Time) {
	for id, l := range t.limits {
		if _, known := view.Instances[id]; !known || now.Sub(l.latest.at) > limitReportAge {
			delete(t.limits, id)
		}
	}
}
