package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const (
	// loadDuration is how long load is offered in each case.
	loadDuration = 6 * time.Second
	// firstTokenTarget and deadlineTarget are the targets of the profile.
	firstTokenTarget = 470 * time.Millisecond
	deadlineTarget   = 4 * time.Second
	requestWorth     = 1.0
	stageCount       = 3
	replicaCount     = 3
)

// loadShape is the request shape of the experiments under load.
var loadShape = requestShape{promptTokens: 20, minOutput: 16, maxOutput: 48}

// loadEngineConfig configures an engine whose full iteration takes 8 ms for 8
// sequences, so that the load stays far below the capacity of the machine that
// runs the experiment.
func loadEngineConfig() standinengine.Config {
	return standinengine.Config{
		MaxBatch: 8, BaseCost: 6 * time.Millisecond, DecodeCost: 250 * time.Microsecond,
		PrefillCost: 100 * time.Microsecond,
	}
}

func loadSetup(naive bool) setup {
	return setup{
		naive: naive, stages: stageCount, replicas: replicaCount, engine: loadEngineConfig(),
		firstToken: firstTokenTarget, deadline: deadlineTarget,
	}
}

// routerVariants are the router ("ours") and its naive version, in the order of the
// rows.
var routerVariants = []struct {
	name  string
	naive bool
}{{"ours", false}, {"naive", true}}

// throughput offers load at, below and above the capacity.
func throughput(ctx context.Context, p params) ([]Table, error) {
	bound := engineBound(loadEngineConfig(), loadShape).times(replicaCount)
	duration := p.scaledDuration(loadDuration)
	t := Table{
		Title: fmt.Sprintf("%d stages x %d replicas; upper bound of the engines: %.0f tokens/s, %.1f requests/s",
			stageCount, replicaCount, bound.tokensPerSecond, bound.requestsPerSecond),
		Columns: []Column{
			{"worth answered / offered", "", true},
			{"tokens / bound", "", true},
			{"tokens/s", "", true},
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"completed", "", true}, {"offered", "", true}, {"attempts", "", false},
		},
		Notes: []string{fmt.Sprintf("Open loop with Poisson arrivals for %v. A request is answered if its first token arrives within %v and its end within %v.", duration, firstTokenTarget, deadlineTarget)},
	}
	for _, loadFactor := range []float64{0.5, 1, 2} {
		for _, v := range routerVariants {
			e, err := startEnvironment(ctx, loadSetup(v.naive))
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			// The same seed gives both variants the same requests.
			random := rand.New(rand.NewPCG(p.seed, uint64(loadFactor*1000)))
			jobs := e.assignProfile(poissonJobs(random, largeTeam, loadShape, loadFactor*bound.requestsPerSecond, duration))
			summary := summarize(e.client.sendAll(ctx, jobs), requestWorth, firstTokenTarget, deadlineTarget, duration)
			e.close()
			name := fmt.Sprintf("%gx %s", loadFactor, v.name)
			p.logf("%s: worth %.3f, %.0f tokens/s", name, summary.worthRatio, summary.tokensPerSecond)
			t.addRow(name, summary.worthRatio, summary.tokensPerSecond/bound.tokensPerSecond, summary.tokensPerSecond,
				summary.firstToken.percentileMillis(50), summary.firstToken.percentileMillis(95), summary.betweenTokens.percentileMillis(50), summary.betweenTokens.percentileMillis(95),
				float64(summary.completed), float64(summary.offered), float64(summary.attempts))
		}
		t.addRatio(fmt.Sprintf("%gx ours", loadFactor), fmt.Sprintf("%gx naive", loadFactor))
	}
	return []Table{t}, ctx.Err()
}
