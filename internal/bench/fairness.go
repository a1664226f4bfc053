package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// smallLoad is the small team's load over the capacity; the large team
	// offers largeFactor times as much.
	smallLoad   = 0.15
	largeFactor = 10
)

// fairness measures a small team alone and beside a large one.
func fairness(ctx context.Context, p params) ([]Table, error) {
	best := bestOf(loadEngine(), loadShape).times(replicas)
	lasting := p.lasting(loadTime)
	t := Table{
		Title: fmt.Sprintf("a small team at %.2f of the capacity, alone and beside a team of equal weight that offers %d times as much", smallLoad, largeFactor),
		Columns: []Column{
			{"first token p50", "ms", false}, {"p95", "ms", false}, {"p99", "ms", false},
			{"worth answered / offered", "", true}, {"requests", "", true},
			{"large team's worth", "", true},
		},
		Notes:   []string{"All columns but the last are those of the small team."},
		plotted: 1,
	}
	for _, beside := range []bool{false, true} {
		for _, v := range variants {
			e, err := start(ctx, loadSetup(v.naive))
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			jobs := poisson(rand.New(rand.NewPCG(p.seed, 1)), smallTeam, loadShape, smallLoad*best.requestsPerSecond, lasting)
			if beside {
				jobs = append(jobs, poisson(rand.New(rand.NewPCG(p.seed, 2)), largeTeam, loadShape,
					largeFactor*smallLoad*best.requestsPerSecond, lasting)...)
				slices.SortFunc(jobs, func(a, b job) int { return int(a.at - b.at) })
			}
			answers := e.client.load(ctx, e.assign(jobs))
			e.close()
			var ofSmall, ofLarge []answer
			for _, a := range answers {
				if a.job.team == smallTeam {
					ofSmall = append(ofSmall, a)
				} else {
					ofLarge = append(ofLarge, a)
				}
			}
			small := judge(ofSmall, requestWorth, targetFirstToken, targetDeadline, lasting)
			large := judge(ofLarge, requestWorth, targetFirstToken, targetDeadline, lasting)
			name := "alone " + v.name
			if beside {
				name = "beside " + v.name
			}
			p.say("%s: first token p95 %.0f ms, worth %.3f", name, small.first.millis(95), small.worth)
			t.add(name, small.first.millis(50), small.first.millis(95), small.first.millis(99),
				small.worth, float64(small.offered), large.worth)
		}
	}
	t.compare("alone ours", "alone naive")
	t.compare("beside ours", "beside naive")
	return []Table{t}, ctx.Err()
}
