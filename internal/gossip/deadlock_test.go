package gossip

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
)

// Guards against a gateway that hangs when another relay takes over a failure domain while
// a request is repeated: the reporter asked the retry budget, which asked the reporter
// (soak, seeds 1114 and 1217).
func TestRelayChangeWhileARequestIsRepeated(t *testing.T) {
	var x *Reporter
	count := func() int { return max(x.AliveCount(time.Now()), x.RegisteredCount()) }
	state := SharedState{
		Tracker: chain.NewInstanceTracker(), Directory: fleet.NewDirectory(), Quarantine: quarantine.NewRegister(),
		Budget: retry.NewBudget(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Reserve: 100}, count, time.Time{}),
	}
	x = newReporter(Options{Name: "g", Domain: "domain-0"}, state)
	var wait sync.WaitGroup
	const rounds = 20_000
	wait.Go(func() {
		for range rounds {
			state.Budget.TakeRepeat("s", retry.Restart, time.Now())
		}
	})
	wait.Go(func() {
		for n := range uint32(rounds) {
			header := message{From: []string{"relay-1", "relay-2"}[n%2], Domain: "domain-1", ReportNumber: uint64(n), Members: n + 1}
			for _, datagram := range pack(header, contents{}, time.Now()) {
				x.receive(datagram, netip.AddrPort{}, time.Now())
			}
		}
	})
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-done:
			return poll.Success()
		default:
			return poll.Continue("the reporter and the budget wait for each other")
		}
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, x.AliveCount(time.Now()), rounds+1)
}
