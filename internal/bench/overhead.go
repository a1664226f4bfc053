package bench

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const (
	// overheadCallers is the number of concurrent callers in the cases under load.
	overheadCallers = 32
	// loadedRequests is the number of requests of each caller in the cases under
	// load, singleCallerRequests that of the caller in the other cases.
	loadedRequests       = 6
	singleCallerRequests = 40
)

var overheadShape = requestShape{promptTokens: 20, minOutput: 64, maxOutput: 64}

// overheadCase is a number of callers and a way to call the engines: directly or
// through the router.
type overheadCase struct {
	name              string
	callers           int
	requestsPerCaller int
	direct            bool
	noCoalescing      bool
	// iterationTime is the duration of one iteration of an engine.
	iterationTime time.Duration
	// baseline names the case whose values are subtracted.
	baseline string
}

func overheadCases() []overheadCase {
	const loadedIterationTime = 2 * time.Millisecond
	return []overheadCase{
		{"1 caller, engines directly", 1, singleCallerRequests, true, false, 0, ""},
		{"1 caller, router", 1, singleCallerRequests, false, false, 0, "1 caller, engines directly"},
		{"1 caller, router, no coalescing", 1, singleCallerRequests, false, true, 0, "1 caller, engines directly"},
		{"32 callers, engines directly", overheadCallers, loadedRequests, true, false, loadedIterationTime, ""},
		{"32 callers, router", overheadCallers, loadedRequests, false, false, loadedIterationTime, "32 callers, engines directly"},
		{"32 callers, router, no coalescing", overheadCallers, loadedRequests, false, true, loadedIterationTime, "32 callers, engines directly"},
	}
}

// overhead measures what the router adds to the engines' own time.
func overhead(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: "3 stages x 1 replica; 1 caller: engines without delay; 32 callers: 2 ms per iteration",
		Columns: []Column{
			{"first token p50", "ms", false}, {"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"added to first", "ms", false}, {"added between", "ms", false},
			{"tokens/s", "", true}, {"processor", "us/token", false}, {"added processor", "us/token", false},
			{"allocations", "/token", false},
		},
		Notes: []string{
			"Engines directly: one client calls the three engines in sequence; with 32 callers it sends the steps of all callers to each stage in one batch.",
			"Processor time is that of the whole process with callers and stand-ins; the added time is the difference from the direct case and includes reading the response stream.",
			"Coalescing of frames follows the batching described in the post on nylon, a VPN that combines WireGuard with Babel routing: nylon went from 1.5 to 12 Gbit/s by preserving batches across system calls.",
		},
		plottedColumn: 6,
	}
	values := make(map[string][]float64)
	for _, c := range overheadCases() {
		measured, err := c.measure(ctx, p)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		values[c.name] = measured
		addedFirstToken, addedBetweenTokens, addedCPUMicros := math.NaN(), math.NaN(), math.NaN()
		if baseline, ok := values[c.baseline]; ok {
			addedFirstToken, addedBetweenTokens, addedCPUMicros = measured[0]-baseline[0], measured[1]-baseline[1], measured[4]-baseline[4]
		}
		p.logf("%s: %.0f us/token", c.name, measured[4])
		t.addRow(c.name, measured[0], measured[1], measured[2], addedFirstToken, addedBetweenTokens, measured[3], measured[4], addedCPUMicros, measured[5])
	}
	t.addRatio("32 callers, router", "32 callers, router, no coalescing")
	return []Table{t}, ctx.Err()
}

// measure returns, in this order: time to first token p50, time between tokens p50
// and p95, tokens per second, processor microseconds per token and allocations per
// token.
func (c overheadCase) measure(ctx context.Context, p params) ([]float64, error) {
	e, err := startEnvironment(ctx, setup{
		stages: stageCount, replicas: 1, engine: standinengine.Config{MaxBatch: overheadCallers, BaseCost: c.iterationTime},
		firstToken: 10 * time.Second, deadline: 30 * time.Second,
		modifyOptions: func(o *deployment.Options) {
			o.Entry.NoCoalescing, o.Sidecar.NoCoalescing = c.noCoalescing, c.noCoalescing
		},
	})
	if err != nil {
		return nil, err
	}
	defer e.close()
	e.warmUp(ctx, overheadShape)
	requests := p.scaledCount(c.requestsPerCaller)
	usageBefore := currentUsage()
	var results []requestResult
	if c.direct {
		results, err = c.callEngines(ctx, e, requests)
	} else {
		results = c.callRouter(ctx, e, requests)
	}
	usageAfter := currentUsage()
	if err != nil {
		return nil, err
	}
	summary := summarize(results, requestWorth, time.Minute, time.Minute, time.Hour)
	tokens := 0
	for _, r := range results {
		tokens += r.receivedTokens
	}
	return []float64{
		summary.firstToken.percentileMillis(50), summary.betweenTokens.percentileMillis(50), summary.betweenTokens.percentileMillis(95),
		float64(tokens) / usageAfter.at.Sub(usageBefore.at).Seconds(),
		float64((usageAfter.cpuTime - usageBefore.cpuTime).Microseconds()) / float64(tokens),
		float64(usageAfter.allocations-usageBefore.allocations) / float64(tokens),
	}, nil
}

func (c overheadCase) prompt(caller, i int) string {
	return buildPrompt(fmt.Sprintf("o-%d-%d", caller, i), overheadShape.promptTokens, overheadShape.minOutput)
}

// callRouter makes each caller send its requests one after another.
func (c overheadCase) callRouter(ctx context.Context, e *environment, requests int) []requestResult {
	resultsByCaller := make([][]requestResult, c.callers)
	var wg sync.WaitGroup
	for caller := range c.callers {
		wg.Go(func() {
			for i := range requests {
				j := job{team: smallTeam, profile: resumeProfile, prompt: c.prompt(caller, i)}
				resultsByCaller[caller] = append(resultsByCaller[caller], e.client.send(ctx, j, time.Now(), nil))
			}
		})
	}
	wg.Wait()
	var all []requestResult
	for _, results := range resultsByCaller {
		all = append(all, results...)
	}
	return all
}

// callEngines generates the same responses without the router. A batch holds one
// step of each caller.
func (c overheadCase) callEngines(ctx context.Context, e *environment, requests int) ([]requestResult, error) {
	var clients []*engine.Client
	for _, n := range e.Engines {
		clients = append(clients, engine.NewClient(n.URL, nil))
	}
	var all []requestResult
	for i := range requests {
		results := make([]requestResult, c.callers)
		steps := make([]engine.Step, c.callers)
		for caller := range steps {
			steps[caller] = engine.Step{Sequence: fmt.Sprintf("direct-%d-%d/1", caller, i), Prompt: c.prompt(caller, i)}
		}
		due := time.Now()
		for position := range overheadShape.minOutput {
			stepResults, err := runStages(ctx, clients, steps)
			if err != nil {
				return nil, err
			}
			now := time.Since(due)
			for caller, r := range stepResults {
				result := &results[caller]
				result.tokens = append(result.tokens, now)
				result.firstToken = result.tokens[0]
				result.receivedTokens++
				steps[caller] = engine.Step{Sequence: r.Sequence, Position: request.Position(position + 1), Token: r.Token}
			}
		}
		all = append(all, results...)
	}
	return all, nil
}

// runStages runs one step of every sequence on each engine in turn.
func runStages(ctx context.Context, clients []*engine.Client, steps []engine.Step) ([]engine.StepResult, error) {
	var results []engine.StepResult
	for _, client := range clients {
		response, err := client.Batch(ctx, engine.BatchRequest{Steps: steps})
		if err != nil {
			return nil, err
		}
		results = response.Results
		steps = make([]engine.Step, len(results))
		for i, r := range results {
			steps[i] = engine.Step{Sequence: r.Sequence, Position: r.Position, Activation: r.Activation}
		}
	}
	return results, nil
}
