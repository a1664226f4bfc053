package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/placement"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// serveStatus answers a status request of an operator.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(g.status(time.Now()))
}

// releasePart answers an operator's request to release a quarantined part of prompts.
func (g *Gateway) releasePart(w http.ResponseWriter, r *http.Request) {
	part := quarantine.Part(r.URL.Query().Get(gatewayapi.PartParameter))
	if !g.quarantine.Release(part, time.Now()) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// status returns the gateway's view of the deployment.
func (g *Gateway) status(now time.Time) gatewayapi.Status {
	s := gatewayapi.Status{
		Instance: g.settings.Instance, FailureDomain: g.settings.FailureDomain,
		Ready: g.ready(), Outdated: g.configStale(), Leads: g.isPlacer.Load(),
		Gateways: g.gatewayCount(), InFlight: int64(g.inProgress.count()),
	}
	view, table := g.directory.View(), g.activeTable.Get()
	if table != nil {
		s.Configuration = table.Version()
		for _, service := range table.Services() {
			s.Coverage = append(s.Coverage, g.chainStatuses(view, service, now)...)
		}
	}
	for _, in := range view.Instances {
		s.Instances = append(s.Instances, g.instanceStatus(table, in, now))
	}
	for _, q := range g.quarantine.List() {
		s.Quarantined = append(s.Quarantined, gatewayapi.QuarantinedPart{
			Part: string(q.Part), AgeSeconds: now.Sub(q.Since).Seconds(), Instances: q.Instances,
		})
	}
	slices.SortFunc(s.Coverage, func(a, b gatewayapi.LayerCoverage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	slices.SortFunc(s.Instances, func(a, b gatewayapi.Instance) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(a.From, b.From), cmp.Compare(a.ID, b.ID))
	})
	return s
}

// chainStatuses returns, for each failure domain, whether its instances hold
// the whole model of a service.
func (g *Gateway) chainStatuses(view *fleet.View, s *routing.Service, now time.Time) []gatewayapi.LayerCoverage {
	if s.Model == nil {
		return nil
	}
	var list []gatewayapi.LayerCoverage
	for domain, instances := range g.usableInstances(view, s, now) {
		list = append(list, gatewayapi.LayerCoverage{
			Service: s.Name, FailureDomain: domain, Instances: len(instances),
			Missing: placement.MissingLayers(s.Model, instances, nil),
		})
	}
	return list
}

// instanceStatus returns the status of one instance; table may be nil.
func (g *Gateway) instanceStatus(table *routing.Table, in fleet.Instance, now time.Time) gatewayapi.Instance {
	tokenLayers, requests := g.tracker.TotalLoad(in.ID, now)
	s := gatewayapi.Instance{
		ID: in.ID, Service: in.Service, FailureDomain: in.Domain, Accelerator: in.Accelerator,
		From: in.Layers.From, To: in.Layers.To, Draining: in.Draining,
		Lost: g.tracker.IsLost(in.ID, now), Requests: requests,
	}
	if table == nil {
		return s
	}
	service := table.Services()[in.Service]
	if service == nil || service.Model == nil || in.Layers.Len() == 0 {
		return s
	}
	accelerator := service.Model.Accelerators[in.Accelerator]
	if capacity := chain.KVCacheCapacity(service.Model, accelerator, in.Layers.Len()); capacity > 0 {
		s.KVCacheUsed = tokenLayers / capacity
	}
	return s
}
