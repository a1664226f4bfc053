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
	// frozenTrials is lower than recoveryTrials, because each of these trials
	// waits for a timeout.
	frozenTrials = 3
	// failAfterToken is the token after which the failure is injected.
	failAfterToken = 24
	// observedTokens is the number of tokens observed after the failure; the
	// longest wait for one of them is the recovery time. The failed stage may
	// already have sent its output of the step in progress, so that the wait
	// begins one token later.
	observedTokens = 3
	// readyAgainTimeout bounds the wait until the failed process is usable again.
	readyAgainTimeout = 10 * time.Second
)

// recoveryShape has a prompt that is long enough for the replay of its prefill to
// show in the recovery time.
var recoveryShape = requestShape{promptTokens: 100, minOutput: 40, maxOutput: 40}

func recoveryEngineConfig() standinengine.Config {
	return standinengine.Config{
		MaxBatch: 32, BaseCost: 2 * time.Millisecond, DecodeCost: 50 * time.Microsecond, PrefillCost: 50 * time.Microsecond,
	}
}

// recoveryCase is a kind of failure and the way in which the answer continues: the
// router resumes it, or the caller restarts the request.
type recoveryCase struct {
	name           string
	trials         int
	restartRequest bool
	stepwiseReplay bool
	injectFailure  func(*deployment.EngineNode, *network)
}

func recoveryCases(p params) []recoveryCase {
	down := func(n *deployment.EngineNode, _ *network) { n.SetControls(standinengine.Controls{Down: true}) }
	isolate := func(n *deployment.EngineNode, net *network) { net.isolate(n.Process.ID) }
	freeze := func(n *deployment.EngineNode, _ *network) { n.SetControls(standinengine.Controls{Frozen: true}) }
	trials := p.scaledCount(recoveryTrials)
	return []recoveryCase{
		{"engine down, resume", trials, false, false, down},
		{"engine down, resume, replay step by step", trials, false, true, down},
		{"engine down, restart", trials, true, false, down},
		{"sidecar killed, resume", trials, false, false, isolate},
		{"sidecar killed, restart", trials, true, false, isolate},
		{"engine frozen, resume", p.scaledCount(frozenTrials), false, false, freeze},
	}
}

// recovery measures the time from a failure in the middle of an answer to the
// next token.
func recovery(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: fmt.Sprintf("failure after token %d of %d, prompt of %d tokens, 3 stages x 2 replicas, each trial fails the next stage in turn", failAfterToken, recoveryShape.minOutput, recoveryShape.promptTokens),
		Columns: []Column{
			{"to next token p50", "ms", false}, {"p95", "ms", false}, {"max", "ms", false},
			{"failures", "", true}, {"recovered", "", true},
		},
		Notes: []string{
			"The wait begins at the failure or, if the step in progress still yields a token, at that token.",
			"Restart: the profile forbids resuming and the caller retries the request immediately; tokens that it had already received don't count.",
		},
	}
	for _, c := range recoveryCases(p) {
		waits := newLatencyHistogram()
		recovered, err := c.measure(ctx, waits)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		p.logf("%s: p50 %.1f ms, %d of %d recovered", c.name, waits.percentileMillis(50), recovered, c.trials)
		t.addRow(c.name, waits.percentileMillis(50), waits.percentileMillis(95), waits.percentileMillis(100), float64(c.trials), float64(recovered))
	}
	t.addRatio("engine down, resume", "engine down, restart")
	t.addRatio("sidecar killed, resume", "sidecar killed, restart")
	return []Table{t}, ctx.Err()
}

// measure runs the trials, adds their recovery times to waits, and returns the
// number of answers that recovered.
func (c recoveryCase) measure(ctx context.Context, waits latencyHistogram) (recovered int, err error) {
	net := newNetwork(0, false)
	e, err := startEnvironment(ctx, setup{
		stages: 3, replicas: 2, engine: recoveryEngineConfig(), firstToken: firstTokenTarget, deadline: 20 * time.Second,
		modifyOptions: func(o *deployment.Options) {
			o.Network = net
			o.Sidecar.StepwiseReplay = c.stepwiseReplay
		},
	})
	if err != nil {
		return 0, err
	}
	defer e.close()
	e.client.retryFailed, e.client.retryDelay = c.restartRequest, 0
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
// longest wait for one of the observed tokens, or 0 if not all of them arrived.
func (c recoveryCase) trial(ctx context.Context, e *environment, net *network, i int) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var failedEngine *deployment.EngineNode
	var previousToken time.Time
	var longestWait time.Duration
	observed := 0
	onToken := func(n int, id string) {
		now := time.Now()
		switch {
		case n == failAfterToken && failedEngine == nil:
			failedEngine = engineOfStage(e, id, i%3)
			c.injectFailure(failedEngine, net)
			previousToken = time.Now()
		case failedEngine != nil && n > failAfterToken+observed && observed < observedTokens:
			observed++
			longestWait, previousToken = max(longestWait, now.Sub(previousToken)), now
			if observed == observedTokens {
				cancel()
			}
		}
	}
	j := job{team: smallTeam, profile: resumeProfile, prompt: buildPrompt(fmt.Sprintf("trial-%d", i), recoveryShape.promptTokens, recoveryShape.minOutput)}
	if c.restartRequest {
		j.profile = noResumeProfile
	}
	e.client.send(ctx, j, time.Now(), onToken)
	if failedEngine != nil {
		failedEngine.SetControls(standinengine.Controls{})
		net.endIsolation(failedEngine.Process.ID)
	}
	readyCtx, cancelReady := context.WithTimeout(context.WithoutCancel(ctx), readyAgainTimeout)
	defer cancelReady()
	if err := e.WaitReady(readyCtx); err != nil {
		return 0, err
	}
	if observed < observedTokens {
		return 0, nil
	}
	return longestWait, nil
}

// engineOfStage returns the engine that ran a stage of a request, or the stage's
// first engine if none did.
func engineOfStage(e *environment, id string, stage int) *deployment.EngineNode {
	replicas := e.setup.replicas
	for _, n := range e.Engines[stage*replicas : (stage+1)*replicas] {
		if len(n.RequestRuns(id).Sequences) > 0 {
			return n
		}
	}
	return e.Engines[stage*replicas]
}
