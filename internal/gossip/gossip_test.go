package gossip

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against gateways that do not receive each other's reports of load and of
// faulty instances.
func TestReportsReachPeers(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var reporters []*Reporter
	var trackers []*chain.InstanceTracker
	for _, name := range []string{"g1", "g2"} {
		tracker := chain.NewInstanceTracker()
		x, err := Listen(Options{Name: name, Address: "127.0.0.1:0"}, newSharedState(tracker))
		assert.NilError(t, err)
		reporters, trackers = append(reporters, x), append(trackers, tracker)
	}
	for i, x := range reporters {
		other := reporters[1-i]
		x.Update([]PeerRecord{{Peer: Peer{Name: other.name, Address: other.Address()}}})
		go func() { _ = x.Run(ctx) }()
	}
	view := &fleet.View{Instances: map[string]fleet.Instance{"p": {ID: "p", Service: "s", Slots: 1}}}
	_, err := trackers[0].Choose(view, &routing.Service{Name: "s"}, chain.Demand{}, time.Now())
	assert.NilError(t, err)
	trackers[0].RecordLost("lost", time.Now())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := trackers[1].Choose(view, &routing.Service{Name: "s"}, chain.Demand{}, time.Now())
		if err == nil || !trackers[1].IsLost("lost", time.Now()) {
			return poll.Continue("the peer has not received the load and the fault")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, reporters[1].AliveCount(time.Now()), 2)
	assert.Equal(t, reporters[1].RegisteredCount(), 2)
}

func newSharedState(tracker *chain.InstanceTracker) SharedState {
	budget := retry.NewBudget(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Reserve: 100},
		func() int { return 2 }, time.Time{})
	return SharedState{Tracker: tracker, Directory: fleet.NewDirectory(), Budget: budget, Quarantine: quarantine.NewRegister()}
}

// newReceiver returns a Reporter without a connection.
func newReceiver(tracker *chain.InstanceTracker) *Reporter {
	return newReporter(Options{Name: "r"}, newSharedState(tracker))
}

// Guards against a gateway that places layers without the lease while another
// gateway reaches the store or places layers, and against a deployment in which
// no gateway places layers because none can acquire the lease.
func TestNoLeaderAvailable(t *testing.T) {
	x := newReceiver(chain.NewInstanceTracker())
	now := time.Now()
	receiveFrom := func(name string, storeUnreachable bool, at time.Time) {
		data, err := cbor.Marshal(message{From: name, ReportNumber: 1, LeaseUnavailable: storeUnreachable})
		assert.NilError(t, err)
		x.receive(data, netip.AddrPort{}, at)
	}
	assert.Assert(t, !x.NoLeaderAvailable(now))
	x.SetStatus(Status{LeaseUnavailable: true})
	assert.Assert(t, x.NoLeaderAvailable(now))
	receiveFrom("a", true, now)
	assert.Assert(t, x.NoLeaderAvailable(now))
	data, err := cbor.Marshal(message{From: "a", ReportNumber: 2, LeaseUnavailable: true, Leading: true})
	assert.NilError(t, err)
	x.receive(data, netip.AddrPort{}, now)
	assert.Assert(t, !x.NoLeaderAvailable(now), "a peer leads")
	receiveFrom("a", true, now)
	receiveFrom("b", false, now)
	assert.Assert(t, !x.NoLeaderAvailable(now))
	assert.Assert(t, x.NoLeaderAvailable(now.Add(2*aliveTimeout)))
}

// Guards against a placement that no gateway carries out because the gateways
// that rank first for its lease are shutting down.
func TestStoppingPeersAreNotCounted(t *testing.T) {
	x := newReceiver(chain.NewInstanceTracker())
	now := time.Now()
	for name, stopping := range map[string]bool{"a": true, "b": false, "z": false} {
		data, err := cbor.Marshal(message{From: name, ReportNumber: 1, Stopping: stopping})
		assert.NilError(t, err)
		x.receive(data, netip.AddrPort{}, now)
	}
	assert.Equal(t, x.RankByName(now), 1)
	assert.Equal(t, x.ActivePeerCount(now), 2)
	assert.Equal(t, x.ActivePeerCount(now.Add(aliveTimeout)), 0)
	for at, want := range map[time.Duration][2]int{0: {2, 3}, aliveTimeout: {0, 3}, aliveCountTimeout: {0, 0}} {
		active, total := x.MemberCounts(now.Add(at))
		assert.Equal(t, [2]int{active, total}, want, "after %v", at)
	}
}

// Guards against datagrams of a report of many loads that exceed the receive
// buffer, and against loads that are missing from the datagrams.
func TestLargeReportsAreSplit(t *testing.T) {
	tracker := chain.NewInstanceTracker()
	instances := make(map[string]fleet.Instance)
	for i := range 150 {
		id := "instance-with-a-long-name-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		instances[id] = fleet.Instance{ID: id, Service: id, Slots: 1}
	}
	view := &fleet.View{Instances: instances}
	for id := range instances {
		_, err := tracker.Choose(view, &routing.Service{Name: id}, chain.Demand{}, time.Now())
		assert.NilError(t, err)
	}
	x := newReporter(Options{Name: "g"}, newSharedState(tracker))
	receiverTracker := chain.NewInstanceTracker()
	receiver := newReceiver(receiverTracker)
	for _, datagram := range x.encodeReport(quarantine.Report{}, time.Now()) {
		assert.Assert(t, len(datagram) <= maxDatagramBytes, "datagram of %d bytes", len(datagram))
		receiver.receive(datagram, netip.AddrPort{}, time.Now())
	}
	for id := range instances {
		_, err := receiverTracker.Choose(view, &routing.Service{Name: id}, chain.Demand{}, time.Now())
		assert.ErrorIs(t, err, chain.ErrFull)
	}
}

// Guards against a panic on datagrams that are not from a gateway.
func FuzzReceive(f *testing.F) {
	x := newReporter(Options{Name: "g"}, newSharedState(chain.NewInstanceTracker()))
	x.state.Tracker.RecordLost("a", time.Now())
	for _, datagram := range x.encodeReport(quarantine.Report{}, time.Now()) {
		f.Add(datagram)
	}
	f.Add([]byte{0xa1, 0x01, 0x61, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		receiver := newReceiver(chain.NewInstanceTracker())
		receiver.receive(data, netip.AddrPort{}, time.Now())
	})
}
