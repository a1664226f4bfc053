package gateway

import (
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/revision"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// configHandler installs the configurations that the feed delivers.
type configHandler struct{ g *Gateway }

// Replace implements feed.Handler.
func (h *configHandler) Replace(b feed.Batch[routing.Configuration], _ bool) { h.Update(b) }

// Update implements feed.Handler.
func (h *configHandler) Update(b feed.Batch[routing.Configuration]) {
	h.g.reportChange(configFeed, b.LatestChange)
	for _, c := range b.Records {
		h.install(c, b.Revision)
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	if b.ConfirmedAt.After(h.g.configConfirmedAt) {
		h.g.configConfirmedAt = b.ConfirmedAt
	}
}

// install makes a configuration current unless it is invalid or not newer.
func (h *configHandler) install(c routing.Configuration, at revision.Revision) {
	table, err := routing.NewTable(c)
	if err != nil {
		h.g.log.Log(events.ConfigurationRejected).Int64("version", c.Version).Uint64("era", at.Era()).Uint64("revision", at.Number()).Err(err).Send()
		return
	}
	if !h.g.activeTable.Install(table) {
		return
	}
	h.g.idleLimits.set(table.Limits().IdleTimeout, time.Now())
	h.g.log.Log(events.ConfigurationInstalled).Int64("version", c.Version).Uint64("era", at.Era()).Uint64("revision", at.Number()).
		Int("routes", len(c.Routes)).Int("teams", len(c.Teams)).Bool("keys_required", c.KeysRequired).Send()
	if r := h.g.reporter.Load(); r != nil {
		r.SetConfiguration(c.Version)
	}
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
func (h *instanceHandler) Replace(b feed.Batch[fleet.Record], afterOutage bool) {
	h.g.reportChange(instanceFeed, b.LatestChange)
	before := h.g.directory.View()
	h.g.directory.Replace(b.Records, b.Revision, afterOutage, time.Now())
	h.g.directory.Confirm(b.ConfirmedAt)
	h.recordChanges(before, changedIDs(before, h.g.directory.View()), b.Revision)
	h.g.markSynced(&h.g.instancesSynced)
}

// Update implements feed.Handler.
func (h *instanceHandler) Update(b feed.Batch[fleet.Record]) {
	defer h.g.directory.Confirm(b.ConfirmedAt)
	if len(b.Records) == 0 {
		return
	}
	h.g.reportChange(instanceFeed, b.LatestChange)
	before := h.g.directory.View()
	h.g.directory.Update(b.Records, time.Now())
	ids := make([]string, len(b.Records))
	for i, r := range b.Records {
		ids[i] = r.ID
	}
	h.recordChanges(before, ids, b.Revision)
}

// changedIDs returns the ids of the instances that differ between two views.
func changedIDs(before, after *fleet.View) []string {
	var ids []string
	for id, in := range after.Instances {
		if old, known := before.Instances[id]; !known || old != in {
			ids = append(ids, id)
		}
	}
	for id := range before.Instances {
		if _, kept := after.Instances[id]; !kept {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordChanges logs the differences of the given instances between before and the current view, closes
// the idle connections to removed instances, and records when an instance was
// last added or removed.
func (h *instanceHandler) recordChanges(before *fleet.View, ids []string, at revision.Revision) {
	after := h.g.directory.View()
	membersChanged := false
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		old, known := before.Instances[id]
		in, kept := after.Instances[id]
		membersChanged = membersChanged || known != kept
		switch {
		case kept && (!known || old != in):
			h.g.log.Log(events.InstanceChanged).Str("instance", id).Str("service", in.Service).
				Str("address", in.Address).Str("failure_domain", in.Domain).Bool("draining", in.Draining).
				Str("accelerator", in.Accelerator).Int("from", in.Layers.From).Int("to", in.Layers.To).
				Uint64("era", at.Era()).Uint64("revision", at.Number()).Send()
		case known && !kept:
			h.g.pool.CloseIdle(old.Address)
			h.g.log.Log(events.InstanceChanged).Str("instance", id).Bool("gone", true).
				Uint64("era", at.Era()).Uint64("revision", at.Number()).Send()
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
