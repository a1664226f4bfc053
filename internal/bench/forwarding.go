package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// forwardingRequests is the number of answers in each case.
const forwardingRequests = 12

var forwardingShape = shape{promptTokens: 20, minAnswer: 24, maxAnswer: 24}

// forwarding compares the chain with the star around the entry.
func forwarding(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: "chain against star, every process in a failure domain of its own, one caller, engines of 1 ms a step",
		Columns: []Column{
			{"first token p50", "ms", false}, {"p95", "ms", false},
			{"between tokens p50", "ms", false}, {"p95", "ms", false},
			{"entry's peer bytes per token", "B", false},
		},
		Notes: []string{
			"Links delay each direction by the given time. Bytes are sent plus received by the entry, with heartbeats and pings.",
			fmt.Sprintf("The stand-ins' activations are 8 bytes a token; a real one of width 8192 in 16 bits is 16 KiB, and crosses the entry's link %d times a token in the star.", 2*(stages-1)),
		},
		plotted: 2,
	}
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		for _, star := range []bool{false, true} {
			name := fmt.Sprintf("%v chain", delay)
			if star {
				name = fmt.Sprintf("%v star", delay)
			}
			if err := forward(ctx, p, &t, name, delay, star); err != nil {
				return nil, err
			}
		}
		t.compare(fmt.Sprintf("%v chain", delay), fmt.Sprintf("%v star", delay))
	}
	return []Table{t}, ctx.Err()
}

func forward(ctx context.Context, p params, t *Table, name string, delay time.Duration, star bool) error {
	net := newNetwork(delay, true)
	e, err := start(ctx, setup{
		stages: stages, replicas: 1, engine: standinengine.Config{MaxBatch: 32, BaseCost: time.Millisecond},
		firstToken: targetFirstToken, deadline: 20 * time.Second,
		change: func(o *deployment.Options) {
			o.Network = net
			o.Entry.StarForwarding = star
		},
	})
	if err != nil {
		return err
	}
	defer e.close()
	e.warmUp(ctx, forwardingShape)
	before := net.bytesOf("entry-0")
	var answers []answer
	for i := range p.count(forwardingRequests) {
		j := job{team: smallTeam, profile: profileOurs, prompt: promptOf(fmt.Sprintf("f-%d", i), forwardingShape.promptTokens, forwardingShape.minAnswer)}
		answers = append(answers, e.client.ask(ctx, j, time.Now(), nil))
	}
	bytes := net.bytesOf("entry-0") - before
	o := judge(answers, requestWorth, targetFirstToken, targetDeadline, time.Minute)
	tokens := float64(len(answers) * forwardingShape.minAnswer)
	p.say("%s: first token %.1f ms, between tokens %.1f ms", name, o.first.millis(50), o.between.millis(50))
	t.add(name, o.first.millis(50), o.first.millis(95), o.between.millis(50), o.between.millis(95), float64(bytes)/tokens)
	return nil
}
