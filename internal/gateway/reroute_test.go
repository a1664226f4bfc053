package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against capacity that is reserved twice or never released: a stream can
// get its next grant before the reroute of its previous grant is refused.
func TestLateRerouteKeepsNextGrant(t *testing.T) {
	g := newTestGateway(t, routing.Route{}, http.NotFoundHandler())
	model := &routing.Model{
		Layers: 2, LayerMB: 1, TokenLayerBytes: 1000, StepTime: time.Millisecond,
		Accelerators: map[string]routing.Accelerator{"k": {Name: "k", MemoryMB: 100, StepFactor: 1}},
	}
	service := &routing.Service{Name: "m", Model: model}
	var records []fleet.Record
	for id, layers := range map[string]fleet.LayerRange{"a": {To: 1}, "b": {From: 1, To: 2}, "c": {From: 1, To: 2}} {
		records = append(records, fleet.Record{ID: id, Revision: 2, Instance: &fleet.Instance{
			ID: id, Service: "m", Address: id, Accelerator: "k", Slots: 4, Layers: layers,
		}})
	}
	g.directory.Update(records, time.Now())
	choose := func() chain.Grant {
		grant, err := g.tracker.Choose(g.directory.View(), service, chain.Demand{Tokens: 10}, time.Now())
		assert.NilError(t, err)
		return grant
	}
	s := &stream{call: &call{g: g, service: service}}
	s.setGrant(choose())
	rerouted, grantSeq, ok := s.beginReroute(s.currentGrant().Path[1].Instance)
	assert.Assert(t, ok)
	g.tracker.Release(s.closeGrant())
	s.setGrant(choose())
	next := s.currentGrant()
	s.endReroute(rerouted, grantSeq, ErrOrderRefused)
	assert.DeepEqual(t, s.currentGrant().Path, next.Path)
	g.tracker.Release(s.closeGrant())
	for _, id := range []string{"a", "b", "c"} {
		tokens, requests := g.tracker.TotalLoad(id, time.Now())
		assert.Assert(t, tokens == 0 && requests == 0, "%s: %v %d", id, tokens, requests)
	}
}
