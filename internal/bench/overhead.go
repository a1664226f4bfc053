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
	// overheadCallers is the number of concurrent callers of the loaded cases.
	overheadCallers = 32
	// overheadAnswers is the number of answers to each caller, aloneAnswers that
	// to a single one.
	overheadAnswers = 6
	aloneAnswers    = 40
)

var overheadShape = shape{promptTokens: 20, minAnswer: 64, maxAnswer: 64}

// overheadCase is a way to reach the engines.
type overheadCase struct {
	name         string
	callers      int
	answers      int
	direct       bool
	noCoalescing bool
	// base is the time of one iteration of the engines.
	base time.Duration
	// baseline names the case that is subtracted.
	baseline string
}

func overheadCases() []overheadCase {
	const loaded = 2 * time.Millisecond
	return []overheadCase{
		{"1 caller, engines directly", 1, aloneAnswers, true, false, 0, ""},
		{"1 caller, router", 1, aloneAnswers, false, false, 0, "1 caller, engines directly"},
		{"1 caller, router, no coalescing", 1, aloneAnswers, false, true, 0, "1 caller, engines directly"},
		{"32 callers, engines directly", overheadCallers, overheadAnswers, true, false, loaded, ""},
		{"32 callers, router", overheadCallers, overheadAnswers, false, false, loaded, "32 callers, engines directly"},
		{"32 callers, router, no coalescing", overheadCallers, overheadAnswers, false, true, loaded, "32 callers, engines directly"},
	}
}

// overhead measures what the router adds to the engines' own time.
func overhead(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: "3 stages x 1 replica; 1 caller: engines without delay; 32 callers: 2 ms an iteration",
		Columns: []Column{
			{"first token p50", "ms", false}, {"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"added to first", "ms", false}, {"added between", "ms", false},
			{"tokens/s", "", true}, {"processor", "us/token", false}, {"added processor", "us/token", false},
			{"allocations", "/token", false},
		},
		Notes: []string{
			"Directly: one client calls the three engines in sequence; with 32 callers it sends all their steps in one batch a stage.",
			"Processor time is that of the whole process with callers and stand-ins; the added time is the difference from the direct run and includes reading the stream.",
			"Coalescing follows the batching idea in the post on nylon, a VPN that joins WireGuard with Babel routing, which went from 1.5 to 12 Gbit/s by preserving batches across system calls.",
		},
		plotted: 6,
	}
	values := make(map[string][]float64)
	for _, c := range overheadCases() {
		v, err := c.measure(ctx, p)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		values[c.name] = v
		first, between, processor := math.NaN(), math.NaN(), math.NaN()
		if base, ok := values[c.baseline]; ok {
			first, between, processor = v[0]-base[0], v[1]-base[1], v[4]-base[4]
		}
		p.say("%s: %.0f us/token", c.name, v[4])
		t.add(c.name, v[0], v[1], v[2], first, between, v[3], v[4], processor, v[5])
	}
	t.compare("32 callers, router", "32 callers, router, no coalescing")
	return []Table{t}, ctx.Err()
}

// measure returns the first token p50, between tokens p50 and p95, tokens per
// second, processor microseconds and allocations per token.
func (c overheadCase) measure(ctx context.Context, p params) ([]float64, error) {
	e, err := start(ctx, setup{
		stages: stages, replicas: 1, engine: standinengine.Config{MaxBatch: overheadCallers, BaseCost: c.base},
		firstToken: 10 * time.Second, deadline: 30 * time.Second,
		change: func(o *deployment.Options) {
			o.Entry.NoCoalescing, o.Sidecar.NoCoalescing = c.noCoalescing, c.noCoalescing
		},
	})
	if err != nil {
		return nil, err
	}
	defer e.close()
	e.warmUp(ctx, overheadShape)
	answers := p.count(c.answers)
	before := usageNow()
	var got []answer
	if c.direct {
		got, err = c.callEngines(ctx, e, answers)
	} else {
		got = c.callRouter(ctx, e, answers)
	}
	after := usageNow()
	if err != nil {
		return nil, err
	}
	o := judge(got, requestWorth, time.Minute, time.Minute, time.Hour)
	tokens := 0
	for _, a := range got {
		tokens += a.received
	}
	return []float64{
		o.first.millis(50), o.between.millis(50), o.between.millis(95),
		float64(tokens) / after.at.Sub(before.at).Seconds(),
		float64((after.processor - before.processor).Microseconds()) / float64(tokens),
		float64(after.allocations-before.allocations) / float64(tokens),
	}, nil
}

func (c overheadCase) prompt(caller, i int) string {
	return promptOf(fmt.Sprintf("o-%d-%d", caller, i), overheadShape.promptTokens, overheadShape.minAnswer)
}

// callRouter has each caller send one request after another.
func (c overheadCase) callRouter(ctx context.Context, e *environment, answers int) []answer {
	got := make([][]answer, c.callers)
	var wg sync.WaitGroup
	for caller := range c.callers {
		wg.Go(func() {
			for i := range answers {
				j := job{team: smallTeam, profile: profileOurs, prompt: c.prompt(caller, i)}
				got[caller] = append(got[caller], e.client.ask(ctx, j, time.Now(), nil))
			}
		})
	}
	wg.Wait()
	var all []answer
	for _, a := range got {
		all = append(all, a...)
	}
	return all
}

// callEngines runs the same answers without the router, all callers in step.
func (c overheadCase) callEngines(ctx context.Context, e *environment, answers int) ([]answer, error) {
	var clients []*engine.Client
	for _, n := range e.Engines {
		clients = append(clients, engine.NewClient(n.URL, nil))
	}
	var all []answer
	for i := range answers {
		got := make([]answer, c.callers)
		steps := make([]engine.Step, c.callers)
		for caller := range steps {
			steps[caller] = engine.Step{Sequence: fmt.Sprintf("direct-%d-%d/1", caller, i), Prompt: c.prompt(caller, i)}
		}
		due := time.Now()
		for position := range overheadShape.minAnswer {
			results, err := throughStages(ctx, clients, steps)
			if err != nil {
				return nil, err
			}
			now := time.Since(due)
			for caller, r := range results {
				a := &got[caller]
				a.tokens = append(a.tokens, now)
				a.firstToken = a.tokens[0]
				a.received++
				steps[caller] = engine.Step{Sequence: r.Sequence, Position: request.Position(position + 1), Token: r.Token}
			}
		}
		all = append(all, got...)
	}
	return all, nil
}

// throughStages runs one step of every sequence on each engine in turn.
func throughStages(ctx context.Context, clients []*engine.Client, steps []engine.Step) ([]engine.StepResult, error) {
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
