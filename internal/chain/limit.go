package chain

import (
	"math"
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
	// raiseDelay is how long the lowest limit holds when an instance names changing ones.
	raiseDelay = 2 * time.Second
	// minRate is the number of requests a second that an instance gets whatever it names:
	// only its answers show that a limit has ended. It is within the five requests that
	// may exceed a limit in four seconds.
	minRate = 0.5
	// releaseTime is the time in which an instance whose limit has ended gets its full part
	// back; the rate doubles every releaseDoubling.
	releaseTime     = 3 * time.Second
	releaseDoubling = 500 * time.Millisecond
	// maxRefill bounds the time for which requests are added at once: a process that was
	// suspended does not know what the others have sent.
	maxRefill = time.Second
)

// instanceLimit is what is known of the limit of an instance that has named one, and the
// part of it that this gateway may use.
type instanceLimit struct {
	// own is the latest statement to this gateway, latest the latest one to any gateway.
	own, latest limitStatement
	// rate is the limit in force, lowestAt when an instance last named it or a lower one.
	rate     float64
	lowestAt time.Time
	// endedAt is when the limit ended, zero while it holds.
	endedAt time.Time
	// share is the part of this gateway.
	share LimitShare
	// tokens is the number of requests that this gateway may send, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// LimitShare is the part of a gateway in the limit of an instance. The limit is shared
// among the first gateways in an order that they agree on: as many as get a request a
// second each.
type LimitShare struct {
	// Rank is the position of the gateway in the order, 0 is the first; below 0, it has
	// no part.
	Rank int
	// Gateways is the number of gateways in the order.
	Gateways int
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
	known = t.ensureLimit(id, now)
	before = known.latest.Limit
	known.own = limitStatement{l, now}
	known.state(known.own, now)
	return before, before != l
}

func (t *InstanceTracker) ensureLimit(id string, now time.Time) *instanceLimit {
	l := t.limits[id]
	if l == nil {
		l = &instanceLimit{
			latest: limitStatement{Limit: Limit{Stated: true, Unlimited: true}}, share: LimitShare{Rank: -1},
			rate: math.Inf(1), refilledAt: now,
		}
		t.limits[id] = l
	}
	return l
}

// state takes over a statement unless a later one is known.
func (l *instanceLimit) state(s limitStatement, now time.Time) {
	if !s.at.After(l.latest.at) {
		return
	}
	l.refill(now)
	l.latest = s
	switch {
	case s.Unlimited && l.endedAt.IsZero():
		l.endedAt = s.at
	case s.Unlimited:
	case s.PerSecond <= l.rate || !l.endedAt.IsZero() || now.Sub(l.lowestAt) > raiseDelay:
		l.rate, l.lowestAt, l.endedAt = s.PerSecond, now, time.Time{}
	}
}

// currentRate returns the number of requests a second that the instance gets from all
// gateways together.
func (l *instanceLimit) currentRate(now time.Time) float64 {
	rate := max(l.rate, minRate)
	if ended := l.ended(); !ended.IsZero() && now.After(ended) {
		rate *= math.Pow(2, float64(now.Sub(ended))/float64(releaseDoubling))
	}
	return rate
}

// ended returns when the limit ended or will end without a further statement, zero if it
// is in force without end.
func (l *instanceLimit) ended() time.Time {
	if !l.endedAt.IsZero() {
		return l.endedAt
	}
	return l.latest.at.Add(limitMaxAge)
}

// over reports whether the instance has its full part back.
func (l *instanceLimit) over(now time.Time) bool { return now.Sub(l.ended()) > releaseTime }

// ownRate returns the number of requests a second that this gateway may send.
func (l *instanceLimit) ownRate(now time.Time) float64 {
	rate := l.currentRate(now)
	holders := min(max(int(min(rate, float64(l.share.Gateways))), 1), max(l.share.Gateways, 1))
	if l.share.Rank < 0 || l.share.Rank >= holders {
		return 0
	}
	return rate / float64(holders)
}

// refill adds the requests that this gateway may send since the last refill. At most those
// of a second are saved up, but one at least.
func (l *instanceLimit) refill(now time.Time) {
	elapsed := min(max(now.Sub(l.refilledAt), 0), maxRefill)
	rate := l.ownRate(now)
	l.tokens = min(l.tokens+rate*elapsed.Seconds(), max(rate, 1))
	l.refilledAt = now
}

// maySend reports whether the limit of an instance allows a request of this gateway.
func (t *InstanceTracker) maySend(id string, now time.Time) bool {
	l := t.limits[id]
	if l == nil || l.over(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// takeSend takes a request from the limit of the instance that receives it.
func (t *InstanceTracker) takeSend(id string) {
	if l := t.limits[id]; l != nil {
		l.tokens--
	}
}

// Limited returns the instances whose limits hold or have ended a short time ago.
func (t *InstanceTracker) Limited(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, l := range t.limits {
		if !l.over(now) {
			list = append(list, id)
		}
	}
	return list
}

// SetLimitShare sets the part of this gateway in the limit of an instance.
func (t *InstanceTracker) SetLimitShare(id string, s LimitShare, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[id]; l != nil {
		l.refill(now)
		l.share = s
	}
}

// pruneLimits deletes the limits of instances that are not in the view, and those of which
// nothing was heard for limitReportAge.
func (t *InstanceTracker) pruneLimits(view *fleet.View, now time.Time) {
	for id, l := range t.limits {
		if _, known := view.Instances[id]; !known || l.over(now) && now.Sub(l.latest.at) > limitReportAge {
			delete(t.limits, id)
		}
	}
}

// NamedLimit reports the latest statement of an instance that has named a limit.
type NamedLimit struct {
	Instance string
	Limit
	// Age is the time since the statement.
	Age time.Duration
}

// ownLimits returns the statements to this gateway. Those to others are not reported: their
// age would be underestimated more with each gateway that passes them on.
func (t *InstanceTracker) ownLimits(now time.Time) []NamedLimit {
	var list []NamedLimit
	for id, l := range t.limits {
		if age := now.Sub(l.own.at); l.own.Stated && age <= limitReportAge {
			list = append(list, NamedLimit{id, l.own.Limit, age})
		}
	}
	return list
}

// addPeerLimit takes over the statement of an instance to another gateway.
func (t *InstanceTracker) addPeerLimit(n NamedLimit, now time.Time) {
	if known := t.limits[n.Instance]; known == nil && n.Unlimited {
		return
	}
	t.ensureLimit(n.Instance, now).state(limitStatement{n.Limit, now.Add(-n.Age)}, now)
}

// newestLimits returns the newest statement of each instance.
func newestLimits(lists ...[]NamedLimit) []NamedLimit {
	position := make(map[string]int)
	var newest []NamedLimit
	for _, list := range lists {
		for _, n := range list {
			at, known := position[n.Instance]
			switch {
			case !known:
				position[n.Instance] = len(newest)
				newest = append(newest, n)
			case n.Age < newest[at].Age:
				newest[at] = n
			}
		}
	}
	return newest
}
