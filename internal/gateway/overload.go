package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

// divideInterval is how often the capacity of services is divided anew.
const divideInterval = 200 * time.Millisecond

// divideCapacity keeps the division of the capacity of services up to date, until ctx ends.
func (g *Gateway) divideCapacity(ctx context.Context) {
	process.RunEvery(ctx, divideInterval, func(now time.Time) {
		table := g.activeTable.Get()
		if table == nil {
			return
		}
		capacities := g.tracker.Capacities(g.directory.View(), table.Services(), now)
		for _, s := range table.Services() {
			if s.Model == nil {
				continue
			}
			before := g.demand.Division(s.Name, now)
			policy := overload.Policy{Weights: table.TeamWeights(), Priorities: table.RoutePriorities(s.Name)}
			after := g.demand.Update(s.Name, capacities[s.Name], g.gatewayCount(), policy, now)
			g.metrics.recordDivision(s.Name, before, after)
			g.logOverload(s.Name, before, after)
		}
		g.demand.Forget(func(service string) bool { return table.Services()[service] != nil }, now)
	})
}

// logOverload logs when the demand for a service exceeds its capacity, and when it no longer does.
func (g *Gateway) logOverload(service string, before, after *overload.Division) {
	if before.Short() == after.Short() {
		return
	}
	g.log.LogRateLimited(events.CapacityShort).Str("service", service).Bool("short", after.Short()).
		Float64("pressure", after.Pressure).Float64("capacity_tokens", after.Capacity).
		Float64("running_tokens", after.Demand.Running).Int64("hold_ms", after.Hold.Milliseconds()).
		Int("teams_above_share", len(after.TeamsAbove)).Send()
}

// logDemandRejected logs a report of another gateway that is not used.
func (g *Gateway) logDemandRejected(service, peer string) {
	g.log.LogRateLimited(events.DemandReportRejected).Str("service", service).Str("peer", peer).Send()
}

// capacityRequest describes the call for the division of capacity.
func (c *call) capacityRequest() overload.Request {
	return overload.Request{Service: c.service.Name, Rank: c.urgency, Team: c.team, Tokens: float64(c.kvTokens())}
}

// capacityDivision returns how the capacity of the call's service is divided, nil if that is not
// known.
func (c *call) capacityDivision() *overload.Division {
	return c.g.demand.Division(c.service.Name, time.Now())
}

// overloadDelay returns after what time a client should retry whose request found no capacity. It
// returns delay if capacity is not short.
func (c *call) overloadDelay(delay time.Duration) time.Duration {
	after := c.capacityDivision().RetryAfter(c.urgency, time.Until(c.deadline), rand.Float64())
	if after <= 0 {
		return delay
	}
	return after
}

// recordOffered counts the call as demand, once.
func (c *call) recordOffered() {
	if c.service.Model == nil || c.offered {
		return
	}
	c.offered = true
	c.g.demand.RecordOffered(c.capacityRequest(), time.Now())
}

// recordGranted counts the call as served demand, once.
func (c *call) recordGranted() {
	if c.service.Model == nil || c.granted.Service != "" {
		return
	}
	c.granted = c.capacityRequest()
	c.g.demand.RecordGranted(c.granted, time.Now())
}

// recordReleased ends what recordGranted began.
func (c *call) recordReleased() {
	if c.granted.Service != "" {
		c.g.demand.RecordDone(c.granted)
	}
}
