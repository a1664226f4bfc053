package gossip

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
)

// Guards against gateways that are not told which instances leave, and against a later start
// of such an instance that is taken for the one that left.
func TestPeersLearnWhichInstancesLeave(t *testing.T) {
	now := time.Now()
	newState := func(startedMS int64) SharedState {
		s := newSharedState(chain.NewInstanceTracker())
		in := &fleet.Instance{ID: "i", Service: "s", StartedMS: startedMS}
		s.Directory.Update([]fleet.Record{{ID: "i", Revision: 1, Instance: in}}, now)
		return s
	}
	sender := newReporter(Options{Name: "sender"}, newState(7))
	sender.state.Directory.MarkLeaving(fleet.Departure{ID: "i", StartedMS: 7}, now)
	for startedMS, leaves := range map[int64]bool{7: true, 8: false} {
		state := newState(startedMS)
		var heard []fleet.Departure
		state.OnLeaving = func(d fleet.Departure, _ string) { heard = append(heard, d) }
		receiver := newReporter(Options{Name: "receiver"}, state)
		for range 2 {
			for _, datagram := range sender.encodeReport(quarantine.Report{}, now) {
				receiver.receive(datagram, netip.AddrPort{}, now)
			}
		}
		assert.Equal(t, state.Directory.View().Instances["i"].Draining, leaves)
		assert.Equal(t, len(heard) == 1, leaves, "%v", heard)
	}
}
