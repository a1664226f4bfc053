package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pressureStart is the demand, as a share of the capacity, from which capacity is reserved for
	// more urgent requests. At pressureFull the whole reserve is kept.
	pressureStart = 0.85
	pressureFull  = 1.0
	// reserveTime is the time for whose more urgent demand capacity is reserved: until gateways
	// hear of it and requests in progress have ended.
	reserveTime = time.Second
	// maxMargin bounds the reserved share of the capacity, so that a flood of urgent requests can't
	// shut out all others.
	maxMargin = 0.4
	// starvedRatio is the share of the mean ratio of granted to offered tokens below which a rank
	// counts as starved. The reserve that is kept from it then shrinks, to nothing at half of that.
	starvedRatio = 0.25
	// shareTolerance is how many times its share a team must ask for before it gives way.
	// Teams with few requests vary that much within rateTime. What it asks for beyond its share must
	// also be minExcess of the capacity: less takes little from the others.
	shareTolerance = 2
	minExcess      = 0.1
	// defaultHoldTime is how long requests are assumed to hold capacity before any was granted.
	// minHoldTime and maxHoldTime bound the estimate.
	defaultHoldTime = 2 * time.Second
	minHoldTime     = 500 * time.Millisecond
	maxHoldTime     = 20 * time.Second
)

const (
	// servedTarget is the share of the more urgent demand that is to be granted: below it the
	// reserve grows, above it the reserve shrinks by reserveGain per second and unit of deviation.
	servedTarget = 0.97
	reserveGain  = 4.0
	// minReserve, maxReserve and initialReserve are factors of the reserve.
	minReserve, maxReserve, initialReserve = 0.3, 1.2, 0.8
	// maxAdaptTime bounds the time that one step accounts for, after a pause of the process.
	maxAdaptTime = time.Second
	// maxReturnDelay bounds the time after which capacity is expected.
	maxReturnDelay = time.Minute
)

// Division says how the capacity of a service is divided. It is immutable.
type Division struct {
	// Demand is the demand of all gateways that were heard.
	Demand Demand
	// Capacity is the KV cache in tokens to which the demand is compared.
	Capacity float64
	// Hold is how long a request holds capacity on average.
	Hold time.Duration
	// Pressure is the demand as a share of the capacity.
	Pressure float64
	// Margins holds, by rank, the share of the capacity that must stay free after a request was
	// placed.
	Margins [MaxRank + 1]float64
	// TeamsAbove holds the teams above their share, and what share of aboveMargins their requests
	// leave free.
	TeamsAbove   map[TeamID]float64
	aboveMargins [MaxRank + 1]float64
	// pressures holds the pressure of each rank and all more urgent ones.
	pressures [MaxRank + 1]float64
	// ranked is true if requests of routes with different priorities ask for the service.
	ranked bool
	// reserve is the factor of the reserve that is kept from each rank.
	reserve [MaxRank + 1]float64
	// serviceCapacity is the capacity of the service, also if fewer gateways were heard.
	serviceCapacity float64
	// at is when the division was made.
	at time.Time
}

// divide divides the capacity between the ranks and teams. weights, which returns the weights of
// teams, is called only if capacity is short. before is the previous division, or nil.
func divide(
	d Demand, capacity float64, priorities []int, weights func() map[TeamID]float64, before *Division, now time.Time,
) *Division {
	v := &Division{Demand: d, Capacity: capacity, Hold: holdTime(d), at: now}
	moreUrgent := moreUrgentRates(d, priorities)
	v.adaptReserve(before, moreUrgent)
	if !(capacity > 0) || math.IsInf(capacity, 1) {
		return v
	}
	perRate := v.Hold.Seconds() / capacity
	total := d.total()
	v.Pressure = total.Offered * perRate
	ramp := min(max((v.Pressure-pressureStart)/(pressureFull-pressureStart), 0), 1)
	cumulative := 0.0
	for rank, r := range d.Ranks {
		reserved := ramp * moreUrgent[rank].Offered * reserveTime.Seconds() / capacity
		v.Margins[rank] = min(v.reserve[rank]*reserved, maxMargin) * starvation(r, total)
		v.ranked = v.ranked || r.Offered > 0 && moreUrgent[rank].Offered > 0
		cumulative += r.Offered
		v.aboveMargins[rank] = min(ramp*cumulative*reserveTime.Seconds()/capacity, maxMargin)
		v.pressures[rank] = cumulative * perRate
	}
	if ramp > 0 {
		v.TeamsAbove = teamsAboveShare(d.Teams, capacity/v.Hold.Seconds(), weights())
	}
	return v
}

// moreUrgentRates returns, for each rank, the demand of the more urgent routes. The priorities of
// teams order requests, but reserve no capacity: a reserve for the few requests of urgent teams
// costs more than it gives them, since these go first in every queue.
func moreUrgentRates(d Demand, priorities []int) [MaxRank + 1]Rate {
	priority := func(rank int) int {
		if rank < len(priorities) {
			return priorities[rank]
		}
		return rank
	}
	var sums [MaxRank + 1]Rate
	for rank := range sums {
		for other, r := range d.Ranks[:rank] {
			if priority(other) < priority(rank) {
				sums[rank] = sums[rank].add(r)
			}
		}
	}
	return sums
}

// starvation returns the factor of the reserve that is kept from a rank: below 1 if the rank is
// starved.
func starvation(r, total Rate) float64 {
	if r.Offered <= 0 || total.Granted <= 0 {
		return 1
	}
	return min(max(2*r.Granted/r.Offered/(starvedRatio*total.Granted/total.Offered)-1, 0), 1)
}

// adaptReserve adapts the reserve to how much of the more urgent demand is granted: in steady
// demand the capacity that requests release is enough for them, and a reserve is wasted.
func (v *Division) adaptReserve(before *Division, moreUrgent [MaxRank + 1]Rate) {
	if before == nil {
		for rank := range v.reserve {
			v.reserve[rank] = initialReserve
		}
		return
	}
	v.reserve = before.reserve
	elapsed := min(max(v.at.Sub(before.at), 0), maxAdaptTime).Seconds()
	for rank, r := range moreUrgent {
		if r.Offered > 0 {
			deviation := servedTarget - min(r.Granted/r.Offered, 1)
			v.reserve[rank] = min(max(v.reserve[rank]*math.Exp(reserveGain*deviation*elapsed), minReserve), maxReserve)
		}
	}
}

// holdTime returns how long a request holds capacity on average (Little's law).
func holdTime(d Demand) time.Duration {
	granted := d.total().Granted
	if granted <= 0 {
		return defaultHoldTime
	}
	return min(max(time.Duration(d.Running/granted*float64(time.Second)), minHoldTime), maxHoldTime)
}

// teamsAboveShare returns the teams that ask for shareTolerance times their weighted max-min share
// of a rate, in tokens per second, and how far they give way: 0 if they get half of their share, 1
// if they get all of it. With a step at their share, they alternate between taking the whole
// capacity and none.
func teamsAboveShare(teams map[TeamID]Rate, rate float64, weights map[TeamID]float64) map[TeamID]float64 {
	type team struct {
		id     TeamID
		weight float64
		Rate
	}
	list := make([]team, 0, len(teams))
	for id, r := range teams {
		list = append(list, team{id, weights[id], r})
	}
	slices.SortFunc(list, func(a, b team) int {
		return cmp.Or(cmp.Compare(a.Offered/a.weight, b.Offered/b.weight), cmp.Compare(a.id, b.id))
	})
	rest := 0.0
	for _, t := range list {
		rest += t.weight
	}
	above := make(map[TeamID]float64)
	least := minExcess * rate
	for _, t := range list {
		share := rate * t.weight / max(rest, t.weight)
		if excess := min(2*t.Granted/share-1, 1); excess > 0 && t.Offered > max(shareTolerance*share, share+least) {
			above[t.id] = excess
		}
		rate, rest = rate-min(t.Offered, share), rest-t.weight
	}
	return above
}

// Margin returns the share of the capacity that must stay free after a request was placed.
func (v *Division) Margin(rank int, team string) float64 {
	if v == nil {
		return 0
	}
	rank = clampRank(rank)
	margin := v.Margins[rank]
	if len(v.TeamsAbove) > 0 && team != "" {
		margin = max(margin, v.TeamsAbove[teamID(team)]*v.aboveMargins[rank])
	}
	return margin
}

// Above reports whether a team asks for more than its share, so that its requests give way.
func (v *Division) Above(team string) bool {
	return v != nil && v.TeamsAbove[teamID(team)] > 0
}

// Short reports whether the capacity is short, so that some of it is reserved.
func (v *Division) Short() bool { return v != nil && v.Pressure > pressureStart }

// ReturnDelay returns after what time capacity is expected for requests of a rank that were
// refused: when all that is offered by this and more urgent ranks has held capacity once. It is
// 0 while capacity is not short.
func (v *Division) ReturnDelay(rank int) time.Duration {
	if !v.Short() || !v.ranked {
		return 0
	}
	return time.Duration(min(v.pressures[clampRank(rank)]*float64(v.Hold), float64(maxReturnDelay)))
}

const (
	// maxHonouredShare is the longest Retry-After that clients honour, as a share of the time that
	// they have left.
	maxHonouredShare = 1.0 / 3
	// minReturnShare and maxReturnShare bound when the first refused clients come back, as shares
	// of that time. Clients that come back during the same burst are refused again; the rest of
	// the time spreads them, so that they don't all come at once.
	minReturnShare = 0.5
	maxReturnShare = 0.7
)

// RetryAfter returns after what time a refused client that has the time left should retry: between
// the time at which capacity is expected for its rank and the longest that it honours. draw is a
// random number, uniform in [0, 1). The result is 0 if capacity is not short or no time is left.
func (v *Division) RetryAfter(rank int, left time.Duration, draw float64) time.Duration {
	expected := v.ReturnDelay(rank)
	if expected <= 0 || left <= 0 {
		return 0
	}
	longest := maxHonouredShare * float64(left)
	earliest := min(max(float64(expected), minReturnShare*longest), maxReturnShare*longest)
	return time.Duration(earliest + draw*(longest-earliest))
}

func clampRank(rank int) int { return min(max(rank, 0), MaxRank) }
