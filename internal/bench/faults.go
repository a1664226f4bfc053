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
	// faultLoad is the offered load as a fraction of the capacity. It leaves room
	// for the loss of one replica of a stage.
	faultLoad = 0.5
	// slowdownFactor multiplies the iteration time of the slow replica.
	slowdownFactor = 8
	// linkDelay is the one-way delay between failure domains; a degraded link has
	// degradedLinkFactor times this delay.
	linkDelay          = 500 * time.Microsecond
	degradedLinkFactor = 100
	// faultStartFraction is the fraction of the run after which the fault begins.
	faultStartFraction = 0.25
)

// fault is a fault that is injected during a run.
type fault struct {
	name   string
	inject func(*environment, *network)
}

// faultyEngineIndex is the index of the first replica of the second stage.
const faultyEngineIndex = replicaCount

func faultCases() []fault {
	return []fault{
		{"no fault", func(*environment, *network) {}},
		{"slow replica", func(e *environment, _ *network) {
			e.Engines[faultyEngineIndex].SetControls(standinengine.Controls{Slowdown: slowdownFactor})
		}},
		{"dying replica", func(e *environment, _ *network) {
			e.Engines[faultyEngineIndex].SetControls(standinengine.Controls{Down: true})
		}},
		{"degraded link", func(_ *environment, n *network) { n.setDelay("domain-a", "domain-b", linkDelay*degradedLinkFactor) }},
	}
}

// faults offers the same load to both variants of the router while one part of the
// deployment fails or becomes slow.
func faults(ctx context.Context, p params) ([]Table, error) {
	bound := engineBound(loadEngineConfig(), loadShape).times(replicaCount)
	duration := p.scaledDuration(loadDuration)
	t := Table{
		Title: fmt.Sprintf("load at %g of the capacity; the fault begins after %g of the run and lasts to its end", faultLoad, faultStartFraction),
		Columns: []Column{
			{"worth answered / offered", "", true}, {"tokens/s", "", true},
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"completed", "", true}, {"offered", "", true}, {"attempts", "", false},
		},
		Notes: []string{fmt.Sprintf("Slow replica: one of %d replicas of the second stage is %d times slower. Dying replica: its engine answers 503. Degraded link: the delay is %v instead of %v between domain-a, which contains the entry, and domain-b.",
			replicaCount, slowdownFactor, linkDelay*degradedLinkFactor, linkDelay)},
	}
	for _, f := range faultCases() {
		for _, v := range routerVariants {
			net := newNetwork(linkDelay, false)
			s := loadSetup(v.naive)
			s.modifyOptions = func(o *deployment.Options) { o.Network = net }
			e, err := startEnvironment(ctx, s)
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			random := rand.New(rand.NewPCG(p.seed, 7))
			jobs := e.assignProfile(poissonJobs(random, largeTeam, loadShape, faultLoad*bound.requestsPerSecond, duration))
			timer := time.AfterFunc(time.Duration(faultStartFraction*float64(duration)), func() { f.inject(e, net) })
			summary := summarize(e.client.sendAll(ctx, jobs), requestWorth, firstTokenTarget, deadlineTarget, duration)
			timer.Stop()
			e.close()
			name := f.name + ", " + v.name
			p.logf("%s: worth %.3f, %.0f tokens/s", name, summary.worthRatio, summary.tokensPerSecond)
			t.addRow(name, summary.worthRatio, summary.tokensPerSecond, summary.firstToken.percentileMillis(50), summary.firstToken.percentileMillis(95),
				summary.betweenTokens.percentileMillis(50), summary.betweenTokens.percentileMillis(95), float64(summary.completed), float64(summary.offered), float64(summary.attempts))
		}
		t.addRatio(f.name+", ours", f.name+", naive")
	}
	return []Table{t}, ctx.Err()
}
