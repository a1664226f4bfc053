package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Outcomes of an explanation.
const (
	outcomeSent    = "sent"
	outcomeWaits   = "waits"
	outcomeRefused = "refused"
)

// errUnknownTarget means that the configuration has no such route, service or team.
var errUnknownTarget = errors.New("gateway: no such route, service or team")

// serveExplanation answers an operator who asks where a request would go now.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	req, err := gatewayapi.ParseExplainRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := g.explain(req, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(e)
}

// explain returns where a request would go now, without sending it.
func (g *Gateway) explain(req gatewayapi.ExplainRequest, now time.Time) (gatewayapi.Explanation, error) {
	table := g.activeTable.Get()
	if table == nil {
		return gatewayapi.Explanation{}, errUnknownTarget
	}
	route, service, err := explainedRoute(table, req)
	if err != nil {
		return gatewayapi.Explanation{}, err
	}
	team, err := explainedTeam(table, req.Team)
	if err != nil {
		return gatewayapi.Explanation{}, err
	}
	c := g.explainedCall(table, route, service, team, req, now)
	admit := c.admitRequest(now)
	view := g.directory.View()
	found := g.tracker.Explain(view, service, admit.demand, now)
	e := gatewayapi.Explanation{
		Configuration: table.Version(), Route: route.Name, Service: service.Name, Rank: c.urgency, Tokens: admit.demand.Tokens,
		ReservedShare: admit.demand.Margin, Domains: g.explainDomains(view, service, found.Excluded, now),
		Outcome: outcomeSent, Ages: g.explainAges(now),
	}
	if v := c.capacityDivision(); v != nil {
		e.Pressure, e.CapacityTokens = v.Pressure, v.Capacity
	}
	for _, choice := range found.Choices {
		e.Choices = append(e.Choices, gatewayapi.Choice{
			Path: formatPath(choice.Path), StepMS: float64(choice.Cost) / float64(time.Millisecond), Load: choice.Load,
		})
	}
	for _, x := range found.Excluded {
		e.Excluded = append(e.Excluded, gatewayapi.Exclusion{Instance: x.Instance, FailureDomain: x.Domain, Reason: string(x.Reason)})
	}
	if found.Err != nil {
		c.explainRefusal(&e, found.Err, admit.maxWait)
	}
	return e, nil
}

// explainedCall returns a call as it is when it asks for instances.
func (g *Gateway) explainedCall(
	table *routing.Table, route *routing.Route, service *routing.Service, team *routing.Team, req gatewayapi.ExplainRequest, now time.Time,
) *call {
	c := &call{g: g, route: route, service: service, started: now, urgency: table.Rank(service.Name, route, team)}
	if team != nil {
		c.team = team.Name
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = now.Add(timeout)
	c.inbound.PromptTokens = req.Tokens
	return c
}

// explainRefusal completes the explanation of a request that gets no instances.
func (c *call) explainRefusal(e *gatewayapi.Explanation, err error, wait time.Duration) {
	e.Outcome, e.Reason = outcomeRefused, err.Error()
	if errors.Is(err, chain.ErrFull) {
		e.Outcome, e.WaitSeconds = outcomeWaits, wait.Seconds()
	}
	left := time.Until(c.deadline)
	least, most := minRetryShare*left.Seconds(), maxRetryShare*left.Seconds()
	v := c.capacityDivision()
	if after := v.RetryAfter(c.urgency, left, 0); after > 0 && errors.Is(err, chain.ErrFull) {
		least, most = after.Seconds(), v.RetryAfter(c.urgency, left, 1).Seconds()
	}
	e.MinRetryAfterSeconds, e.MaxRetryAfterSeconds = least, most
}

// explainedRoute returns the route and the service of a request that is explained.
func explainedRoute(table *routing.Table, req gatewayapi.ExplainRequest) (*routing.Route, *routing.Service, error) {
	if req.Service == "" {
		route, err := table.Match(req.Host, req.Path)
		if err != nil {
			return nil, nil, errors.Join(errUnknownTarget, err)
		}
		// The first service stands for all that the route splits its requests between.
		return route, table.Services()[route.Backends[0].Service], nil
	}
	service := table.Services()[req.Service]
	route := table.RouteTo(req.Service, req.Kind)
	if service == nil || route == nil {
		return nil, nil, errUnknownTarget
	}
	return route, service, nil
}

// explainedTeam returns a team by its name, nil for "".
func explainedTeam(table *routing.Table, name string) (*routing.Team, error) {
	if name == "" {
		return nil, nil
	}
	team := table.TeamNamed(name)
	if team == nil {
		return nil, errUnknownTarget
	}
	return team, nil
}

// explainDomains returns the free capacity in each failure domain.
func (g *Gateway) explainDomains(
	view *fleet.View, s *routing.Service, excluded []chain.Exclusion, now time.Time,
) []gatewayapi.DomainCapacity {
	var list []gatewayapi.DomainCapacity
	for domain, instances := range g.usableInstances(view, s, now) {
		capacity := gatewayapi.DomainCapacity{FailureDomain: domain}
		for _, in := range instances {
			if slices.ContainsFunc(excluded, func(x chain.Exclusion) bool { return x.Instance == in.ID }) {
				continue
			}
			capacity.Instances++
			capacity.FreeShare += g.freeShare(s, in, now)
		}
		capacity.FreeShare /= float64(max(capacity.Instances, 1))
		list = append(list, capacity)
	}
	slices.SortFunc(list, func(a, b gatewayapi.DomainCapacity) int {
		if a.FailureDomain < b.FailureDomain {
			return -1
		}
		return 1
	})
	return list
}

// freeShare returns the share of an instance's KV cache, or of the slots of a plain service, that is
// free.
func (g *Gateway) freeShare(s *routing.Service, in fleet.Instance, now time.Time) float64 {
	tokenLayers, requests := g.tracker.TotalLoad(in.ID, now)
	if s.Model == nil {
		if in.Slots == 0 {
			return 1
		}
		return max(1-float64(requests)/float64(in.Slots), 0)
	}
	capacity := chain.KVCacheCapacity(s.Model, s.Model.Accelerators[in.Accelerator], in.Layers.Len())
	if capacity <= 0 {
		return 0
	}
	return max(1-tokenLayers/capacity, 0)
}

func (g *Gateway) explainAges(now time.Time) gatewayapi.ExplanationAge {
	var ages gatewayapi.ExplanationAge
	g.mu.Lock()
	if !g.configConfirmedAt.IsZero() {
		ages.ConfigurationSeconds = now.Sub(g.configConfirmedAt).Seconds()
	}
	g.mu.Unlock()
	if r := g.reporter.Load(); r != nil {
		ages.OldestReportSeconds = r.Stats(now).OldestReport.Seconds()
	}
	return ages
}
