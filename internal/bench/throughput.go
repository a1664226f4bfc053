package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const (
	// loadTime is how long load is offered in each case.
	loadTime = 6 * time.Second
	// targetFirstToken and targetDeadline are the targets of the profile.
	targetFirstToken = 470 * time.Millisecond
	targetDeadline   = 4 * time.Second
	requestWorth     = 1.0
	stages           = 3
	replicas         = 3
)

// loadShape is the workload of the experiments under load.
var loadShape = shape{promptTokens: 20, minAnswer: 16, maxAnswer: 48}

// loadEngine is an engine whose full iteration takes 8 ms for 8 sequences, so
// that the whole load stays far below what the machine can do.
func loadEngine() standinengine.Config {
	return standinengine.Config{
		MaxBatch: 8, BaseCost: 6 * time.Millisecond, DecodeCost: 250 * time.Microsecond,
		PrefillCost: 100 * time.Microsecond,
	}
}

func loadSetup(naive bool) setup {
	return setup{
		naive: naive, stages: stages, replicas: replicas, engine: loadEngine(),
		firstToken: targetFirstToken, deadline: targetDeadline,
	}
}

// variants are ours and the naive version, in the order of the tables.
var variants = []struct {
	name  string
	naive bool
}{{"ours", false}, {"naive", true}}

// throughput offers load at, below and above the capacity.
func throughput(ctx context.Context, p params) ([]Table, error) {
	best := bestOf(loadEngine(), loadShape).times(replicas)
	lasting := p.lasting(loadTime)
	t := Table{
		Title: fmt.Sprintf("%d stages x %d replicas; the engines could produce %.0f tokens/s, %.1f requests/s",
			stages, replicas, best.tokensPerSecond, best.requestsPerSecond),
		Columns: []Column{
			{"worth answered / offered", "", true},
			{"tokens / bound", "", true},
			{"tokens/s", "", true},
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"completed", "", true}, {"offered", "", true}, {"attempts", "", false},
		},
		Notes: []string{fmt.Sprintf("Open loop, Poisson arrivals for %v, first token within %v and end within %v.", lasting, targetFirstToken, targetDeadline)},
	}
	for _, factor := range []float64{0.5, 1, 2} {
		for _, v := range variants {
			e, err := start(ctx, loadSetup(v.naive))
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			// The same seed for both variants offers both the same requests.
			random := rand.New(rand.NewPCG(p.seed, uint64(factor*1000)))
			jobs := e.assign(poisson(random, largeTeam, loadShape, factor*best.requestsPerSecond, lasting))
			o := judge(e.client.load(ctx, jobs), requestWorth, targetFirstToken, targetDeadline, lasting)
			e.close()
			name := fmt.Sprintf("%gx %s", factor, v.name)
			p.say("%s: worth %.3f, %.0f tokens/s", name, o.worth, o.tokensPerSecond)
			t.add(name, o.worth, o.tokensPerSecond/best.tokensPerSecond, o.tokensPerSecond,
				o.first.millis(50), o.first.millis(95), o.between.millis(50), o.between.millis(95),
				float64(o.completed), float64(o.offered), float64(o.attempts))
		}
		t.compare(fmt.Sprintf("%gx ours", factor), fmt.Sprintf("%gx naive", factor))
	}
	return []Table{t}, ctx.Err()
}
