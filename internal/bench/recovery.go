package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const (
	// recoveryTrials is the number of failures in each case.
	recoveryTrials = 30
	// frozenTrials is lower, because each one waits for a time limit.
	frozenTrials = 3
	// failAt is the token after which the failure begins.
	failAt = 24
	// watchedTokens is the number of tokens after the failure among which the
	// longest wait is the recovery. The failed stage may have passed on the
	// step in progress, so that the wait begins one token later.
	watchedTokens = 3
	// healTimeout bounds the wait for the failed process to be usable again.
	healTimeout = 10 * time.Second
)

// recoveryShape has a prompt that makes the replay of a prefill visible.
var recoveryShape = shape{promptTokens: 100, minAnswer: 40, maxAnswer: 40}

func recoveryEngine() standinengine.Config {
	return standinengine.Config{
		MaxBatch: 32, BaseCost: 2 * time.Millisecond, DecodeCost: 50 * time.Microsecond, PrefillCost: 50 * time.Microsecond,
	}
}

// recoveryCase is a kind of failure and a way to go on.
type recoveryCase struct {
	name     string
	trials   int
	restart  bool
	stepwise bool
	fail     func(*deployment.EngineNode, *network)
}

func recoveryCases(p params) []recoveryCase {
	down := func(n *deployment.EngineNode, _ *network) { n.SetControls(standinengine.Controls{Down: true}) }
	cut := func(n *deployment.EngineNode, net *network) { net.cutOff(n.Process.ID) }
	freeze := func(n *deployment.EngineNode, _ *network) { n.SetControls(standinengine.Controls{Frozen: true}) }
	n := p.count(recoveryTrials)
	return []recoveryCase{
		{"engine down, resume", n, false, false, down},
		{"engine down, resume, replay step by step", n, false, true, down},
		{"engine down, restart", n, true, false, down},
		{"sidecar killed, resume", n, false, false, cut},
		{"sidecar killed, restart", n, true, false, cut},
		{"engine frozen, resume", p.count(frozenTrials), false, false, freeze},
	}
}

// recovery measures the time from a failure in the middle of an answer to the
// next token.
func recovery(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: fmt.Sprintf("failure after token %d of %d, prompt of %d tokens, 3 stages x 2 replicas, stage in turn", failAt, recoveryShape.minAnswer, recoveryShape.promptTokens),
		Columns: []Column{
			{"to next token p50", "ms", false}, {"p95", "ms", false}, {"max", "ms", false},
			{"failures", "", true}, {"recovered", "", true},
		},
		Notes: []string{
			"The wait counts from the failure, or from the last token that was still in progress.",
			"Restart: the profile forbids resuming and the caller repeats the request at once; tokens it already had don't count.",
		},
	}
	for _, c := range recoveryCases(p) {
		waits := newLatencies()
		recovered, err := c.measure(ctx, waits)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		p.say("%s: p50 %.1f ms, %d of %d recovered", c.name, waits.millis(50), recovered, c.trials)
		t.add(c.name, waits.millis(50), waits.millis(95), waits.millis(100), float64(c.trials), float64(recovered))
	}
	t.compare("engine down, resume", "engine down, restart")
	t.compare("sidecar killed, resume", "sidecar killed, restart")
	return []Table{t}, ctx.Err()
}

func (c recoveryCase) measure(ctx context.Context, waits latencies) (recovered int, err error) {
	net := newNetwork(0, false)
	e, err := start(ctx, setup{
		stages: 3, replicas: 2, engine: recoveryEngine(), firstToken: targetFirstToken, deadline: 20 * time.Second,
		change: func(o *deployment.Options) {
			o.Network = net
			o.Sidecar.StepwiseReplay = c.stepwise
		},
	})
	if err != nil {
		return 0, err
	}
	defer e.close()
	e.client.retry, e.client.pause = c.restart, 0
	e.warmUp(ctx, recoveryShape)
	for i := range c.trials {
		wait, err := c.trial(ctx, e, net, i)
		if err != nil {
			return recovered, err
		}
		if wait > 0 {
			recovered++
			waits.add(wait)
		}
	}
	return recovered, nil
}

// trial sends one request, makes a stage of its chain fail, and returns the
// longest wait for one of the next tokens. It is 0 if they did not arrive.
func (c recoveryCase) trial(ctx context.Context, e *environment, net *network, i int) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var failed *deployment.EngineNode
	var last time.Time
	var longest time.Duration
	seen := 0
	onToken := func(n int, id string) {
		now := time.Now()
		switch {
		case n == failAt && failed == nil:
			failed = stageOf(e, id, i%3)
			c.fail(failed, net)
			last = time.Now()
		case failed != nil && n > failAt+seen && seen < watchedTokens:
			seen++
			longest, last = max(longest, now.Sub(last)), now
			if seen == watchedTokens {
				cancel()
			}
		}
	}
	j := job{team: smallTeam, profile: profileOurs, prompt: promptOf(fmt.Sprintf("trial-%d", i), recoveryShape.promptTokens, recoveryShape.minAnswer)}
	if c.restart {
		j.profile = profileNaive
	}
	e.client.ask(ctx, j, time.Now(), onToken)
	if failed != nil {
		failed.SetControls(standinengine.Controls{})
		net.restore(failed.Process.ID)
	}
	hctx, cancelHeal := context.WithTimeout(context.WithoutCancel(ctx), healTimeout)
	defer cancelHeal()
	if err := e.WaitReady(hctx); err != nil {
		return 0, err
	}
	if seen < watchedTokens {
		return 0, nil
	}
	return longest, nil
}

// stageOf returns the engine that ran a stage of a request.
func stageOf(e *environment, id string, stage int) *deployment.EngineNode {
	replicas := e.setup.replicas
	for _, n := range e.Engines[stage*replicas : (stage+1)*replicas] {
		if len(n.RequestRuns(id).Sequences) > 0 {
			return n
		}
	}
	return e.Engines[stage*replicas]
}
