package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// forwardingRequests is the number of requests in each case.
const forwardingRequests = 12

var forwardingShape = requestShape{promptTokens: 20, minOutput: 24, maxOutput: 24}

// forwarding compares two ways to send activations: directly from stage to stage
// (chain) and through the entry (star).
func forwarding(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: "chain and star forwarding; every process in its own failure domain, one caller, engines that take 1 ms per step",
		Columns: []Column{
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"entry's peer bytes per token", "B", false},
		},
		Notes: []string{
			"Links delay each direction by the given time. Bytes are those that the entry sends and receives, including heartbeats and pings.",
			fmt.Sprintf("The activations of the stand-in engines are 8 bytes per token. A real activation of width 8192 with 16-bit values is 16 KiB and crosses the entry's link %d times per token with star forwarding.", 2*(stageCount-1)),
		},
		plottedColumn: 2,
	}
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		for _, star := range []bool{false, true} {
			name := fmt.Sprintf("%v chain", delay)
			if star {
				name = fmt.Sprintf("%v star", delay)
			}
			if err := measureForwarding(ctx, p, &t, name, delay, star); err != nil {
				return nil, err
			}
		}
		t.addRatio(fmt.Sprintf("%v chain", delay), fmt.Sprintf("%v star", delay))
	}
	return []Table{t}, ctx.Err()
}

// measureForwarding measures one delay with chain or star forwarding and adds a
// row to t.
func measureForwarding(ctx context.Context, p params, t *Table, name string, delay time.Duration, star bool) error {
	net := newNetwork(delay, true)
	e, err := startEnvironment(ctx, setup{
		stages: stageCount, replicas: 1, engine: standinengine.Config{MaxBatch: 32, BaseCost: time.Millisecond},
		firstToken: firstTokenTarget, deadline: 20 * time.Second,
		modifyOptions: func(o *deployment.Options) {
			o.Network = net
			o.Entry.StarForwarding = star
		},
	})
	if err != nil {
		return err
	}
	defer e.close()
	e.warmUp(ctx, forwardingShape)
	bytesBefore := net.byteCount("entry-0")
	var results []requestResult
	for i := range p.scaledCount(forwardingRequests) {
		j := job{team: smallTeam, profile: resumeProfile, prompt: buildPrompt(fmt.Sprintf("f-%d", i), forwardingShape.promptTokens, forwardingShape.minOutput)}
		results = append(results, e.client.send(ctx, j, time.Now(), nil))
	}
	peerBytes := net.byteCount("entry-0") - bytesBefore
	summary := summarize(results, requestWorth, firstTokenTarget, deadlineTarget, time.Minute)
	tokens := float64(len(results) * forwardingShape.minOutput)
	p.logf("%s: first token %.1f ms, between tokens %.1f ms", name, summary.firstToken.percentileMillis(50), summary.betweenTokens.percentileMillis(50))
	t.addRow(name, summary.firstToken.percentileMillis(50), summary.firstToken.percentileMillis(95), summary.betweenTokens.percentileMillis(50), summary.betweenTokens.percentileMillis(95), float64(peerBytes)/tokens)
	return nil
}
