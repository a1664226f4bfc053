package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// smallTeamLoad is the small team's load as a fraction of the capacity; the
	// large team offers largeTeamFactor times as much.
	smallTeamLoad   = 0.15
	largeTeamFactor = 10
)

// fairness measures the requests of a small team, alone and while a large team
// overloads the deployment.
func fairness(ctx context.Context, p params) ([]Table, error) {
	bound := engineBound(loadEngineConfig(), loadShape).times(replicaCount)
	duration := p.scaledDuration(loadDuration)
	t := Table{
		Title: fmt.Sprintf("a small team at %.2f of the capacity, alone and beside a team of equal weight that offers %d times as much load", smallTeamLoad, largeTeamFactor),
		Columns: []Column{
			{"first token p50", "ms", false}, {"p95", "ms", false}, {"p99", "ms", false},
			{"worth answered / offered", "", true}, {"requests", "", true},
			{"large team's worth", "", true},
		},
		Notes:         []string{"All columns but the last show the small team's requests."},
		plottedColumn: 1,
	}
	for _, withLargeTeam := range []bool{false, true} {
		for _, v := range routerVariants {
			e, err := startEnvironment(ctx, loadSetup(v.naive))
			if err != nil {
				return nil, err
			}
			e.warmUp(ctx, loadShape)
			jobs := poissonJobs(rand.New(rand.NewPCG(p.seed, 1)), smallTeam, loadShape, smallTeamLoad*bound.requestsPerSecond, duration)
			if withLargeTeam {
				jobs = append(jobs, poissonJobs(rand.New(rand.NewPCG(p.seed, 2)), largeTeam, loadShape,
					largeTeamFactor*smallTeamLoad*bound.requestsPerSecond, duration)...)
				slices.SortFunc(jobs, func(a, b job) int { return int(a.arrival - b.arrival) })
			}
			results := e.client.sendAll(ctx, e.assignProfile(jobs))
			e.close()
			var smallResults, largeResults []requestResult
			for _, r := range results {
				if r.job.team == smallTeam {
					smallResults = append(smallResults, r)
				} else {
					largeResults = append(largeResults, r)
				}
			}
			small := summarize(smallResults, requestWorth, firstTokenTarget, deadlineTarget, duration)
			large := summarize(largeResults, requestWorth, firstTokenTarget, deadlineTarget, duration)
			name := "alone " + v.name
			if withLargeTeam {
				name = "beside " + v.name
			}
			p.logf("%s: first token p95 %.0f ms, worth %.3f", name, small.firstToken.percentileMillis(95), small.worthRatio)
			t.addRow(name, small.firstToken.percentileMillis(50), small.firstToken.percentileMillis(95), small.firstToken.percentileMillis(99),
				small.worthRatio, float64(small.offered), large.worthRatio)
		}
	}
	t.addRatio("alone ours", "alone naive")
	t.addRatio("beside ours", "beside naive")
	return []Table{t}, ctx.Err()
}
