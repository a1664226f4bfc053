package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const (
	// faultLoad leaves room for the loss of one replica of a stage.
	faultLoad = 0.5
	// slowFactor is the slow-down of the slow replica.
	slowFactor = 8
	// linkDelay is the delay between failure domains, and linkFactor how much a
	// degraded link exceeds it.
	linkDelay  = 500 * time.Microsecond
	linkFactor = 100
	// faultAfter is the part of the run after which the fault begins.
	faultAfter = 0.25
)

// fault is a fault that begins in the middle of a run.
type fault struct {
	name  string
	begin func(*environment, *network)
}

// faultyEngine is the second stage's first replica.
const faultyEngine = replicas

func faultCases() []fault {
	return []fault{
		{"no fault", func(*environment, *network) {}},
		{"slow replica", func(e *environment, _ *network) {
			e.Engines[faultyEngine].SetControls(standinengine.Controls{Slowdown: slowFactor})
		}},
		{"dying replica", func(e *environment, _ *network) {
			e.Engines[faultyEngine].SetControls(standinengine.Controls{Down: true})
		}},
		{"degraded link", func(_ *environment, n *network) { n.setDelay("domain-a", "domain-b", linkDelay*linkFactor) }},
	}
}

// faults offers the same load while one part of the deployment fails.
func faults(ctx context.Context, p params) ([]Table, error) {
	best := bestOf(loadEngine(), loadShape).times(replicas)
	lasting := p.lasting(loadTime)
	t := Table{
		Title: fmt.Sprintf("load at %g of the capacity; the fault begins after %g of the run and lasts to its end", faultLoad, faultAfter),
		Columns: []Column{
			{"worth answered / offered", "", true}, {"tokens/s", "", true},
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"completed", "", true}, {"offered", "", true}, {"attempts", "", false},
		},
		Notes: []string{fmt.Sprintf("Slow: one of %d replicas of the second stage %d times slower. Dying: its engine answers 503. Link: %v instead of %v between domain-a (with the entry) and domain-b.",
			replicas, slowFactor, linkDelay*linkFactor, linkDelay)},
	}
	for _, f := range faultCases() {
		for _, v := range variants {
			net := newNetwork(linkDelay, false)
			s := loadSetup(v.naive)
			s.change = func(o *deployment.Options) { o.Network = net }
			e, err := start(ctx, s)
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			random := rand.New(rand.NewPCG(p.seed, 7))
			jobs := e.assign(poisson(random, largeTeam, loadShape, faultLoad*best.requestsPerSecond, lasting))
			timer := time.AfterFunc(time.Duration(faultAfter*float64(lasting)), func() { f.begin(e, net) })
			o := judge(e.client.load(ctx, jobs), requestWorth, targetFirstToken, targetDeadline, lasting)
			timer.Stop()
			e.close()
			name := f.name + ", " + v.name
			p.say("%s: worth %.3f, %.0f tokens/s", name, o.worth, o.tokensPerSecond)
			t.add(name, o.worth, o.tokensPerSecond, o.first.millis(50), o.first.millis(95),
				o.between.millis(50), o.between.millis(95), float64(o.completed), float64(o.offered), float64(o.attempts))
		}
		t.compare(f.name+", ours", f.name+", naive")
	}
	return []Table{t}, ctx.Err()
}
