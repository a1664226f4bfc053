package gateway

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// configHandler installs the configurations that the feed delivers.
type configHandler struct{ g *Gateway }

// Replace implements feed.Handler.
func (h *configHandler) Replace(list []routing.Configuration, revision uint64, _ bool) {
	h.Update(list, revision)
}

// Update implements feed.Handler.
func (h *configHandler) Update(list []routing.Configuration, revision uint64) {
	for _, c := range list {
		h.install(c, revision)
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	h.g.configConfirmedAt = time.Now()
}

// install makes a configuration current unless it is invalid or not newer.
func (h *configHandler) install(c routing.Configuration, revision uint64) {
	table, err := routing.NewTable(c)
	if err != nil {
		h.g.log.Log(events.ConfigurationRejected).Int64("version", c.Version).Uint64("revision", revision).Err(err).Send()
		return
	}
	if !h.g.activeTable.Install(table) {
		return
	}
	h.g.log.Log(events.ConfigurationInstalled).Int64("version", c.Version).Uint64("revision", revision).
		Int("routes", len(c.Routes)).Int("teams", len(c.Teams)).Send()
	h.g.markSynced(&h.g.configSynced)
}

// SourceFailed implements feed.Handler.
func (h *configHandler) SourceFailed(err error) {
	h.g.log.Log(events.GatewayStoreUnavailable).Str("feed", "configuration").Err(err).Send()
}

// SourceRecovered implements feed.Handler.
func (h *configHandler) SourceRecovered() {
	h.g.log.Log(events.GatewayStoreRecovered).Str("feed", "configuration").Send()
}

// instanceHandler applies the records of the instance feed to the directory.
type instanceHandler struct{ g *Gateway }

// Replace implements feed.Handler.
func (h *instanceHandler) Replace(list []fleet.Record, revision uint64, afterOutage bool) {
	before := h.g.directory.View()
	h.g.directory.Replace(list, afterOutage, time.Now())
	h.recordChanges(before, revision)
	h.g.markSynced(&h.g.instancesSynced)
}

// Update implements feed.Handler.
func (h *instanceHandler) Update(list []fleet.Record, revision uint64) {
	if len(list) == 0 {
		return
	}
	before := h.g.directory.View()
	h.g.directory.Update(list, time.Now())
	h.recordChanges(before, revision)
}

// recordChanges logs the differences between before and the current view, closes
// the idle connections to removed instances, and records when an instance was
// last added or removed.
func (h *instanceHandler) recordChanges(before *fleet.View, revision uint64) {
	after := h.g.directory.View()
	membersChanged := false
	for id, in := range after.Instances {
		old, known := before.Instances[id]
		membersChanged = membersChanged || !known
		if !known || old != in {
			h.g.log.Log(events.InstanceChanged).Str("instance", id).Str("service", in.Service).
				Str("address", in.Address).Str("failure_domain", in.Domain).Bool("draining", in.Draining).
				Str("accelerator", in.Accelerator).Int("from", in.Layers.From).Int("to", in.Layers.To).
				Uint64("revision", revision).Send()
		}
	}
	for id, in := range before.Instances {
		if _, kept := after.Instances[id]; !kept {
			membersChanged = true
			h.g.pool.CloseIdle(in.Address)
			h.g.log.Log(events.InstanceChanged).Str("instance", id).Bool("gone", true).
				Uint64("revision", revision).Send()
		}
	}
	if membersChanged {
		h.g.mu.Lock()
		h.g.membersChangedAt = time.Now()
		if h.g.firstInstanceAt.IsZero() {
			h.g.firstInstanceAt = h.g.membersChangedAt
		}
		h.g.mu.Unlock()
	}
}

// SourceFailed implements feed.Handler.
func (h *instanceHandler) SourceFailed(err error) {
	h.g.log.Log(events.GatewayStoreUnavailable).Str("feed", "instances").Err(err).Send()
}

// SourceRecovered implements feed.Handler.
func (h *instanceHandler) SourceRecovered() {
	h.g.log.Log(events.GatewayStoreRecovered).Str("feed", "instances").Send()
}
