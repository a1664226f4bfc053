package integration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stageFault is a fault of one stage of a running request or of the link to the
// stage.
type stageFault struct {
	name string
	// apply injects the fault at e and returns the function that repairs it. sender
	// is the process that sends steps to e.
	apply func(c *cluster, sender *process, e *engineNode) (repair func())
	// repairWhenReplaced is true if the fault is repaired as soon as the replacement
	// of the stage has run a step. Otherwise it is repaired after the answer.
	repairWhenReplaced bool
	// stageSurvives is true if the stage is not replaced.
	stageSurvives bool
}

var stageFaults = []stageFault{
	{name: "kill", apply: func(_ *cluster, _ *process, e *engineNode) func() {
		e.kill()
		return e.start
	}},
	{name: "kill with engine", apply: func(_ *cluster, _ *process, e *engineNode) func() {
		e.kill()
		e.killEngine()
		return func() {
			e.startEngine()
			e.start()
		}
	}},
	{name: "freeze", repairWhenReplaced: true, apply: func(_ *cluster, _ *process, e *engineNode) func() {
		e.freeze()
		return e.unfreeze
	}},
	{name: "cut", apply: func(c *cluster, sender *process, e *engineNode) func() {
		return c.links.cut(sender.id, e.id)
	}},
	{name: "delay", stageSurvives: true, apply: func(c *cluster, sender *process, e *engineNode) func() {
		return c.links.addToxic(sender.id, e.id, "latency", `{"latency":20,"jitter":10}`)
	}},
}

// Guards against a layer that runs twice, not at all or out of order for a token
// when a stage or the link to the stage fails at any token of an answer (I1).
func TestLayersRunOnce(t *testing.T) {
	random := newRandom(t, 1)
	for f, fault := range stageFaults {
		tokenCounts := []int{1, 2 + random.IntN(9), 11 + random.IntN(9), 20 + random.IntN(9)}
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 1, replicas: 2})
			for stage := range stages {
				for i, afterTokens := range tokenCounts {
					t.Run(fmt.Sprintf("stage %d/token %d", stage, afterTokens), func(t *testing.T) {
						c.runStageFault(t, fault, stage, afterTokens, uniquePrompt(100*f+10*stage+i, 30))
					})
				}
			}
		})
	}
}

// runStageFault injects the fault after afterTokens received tokens and checks that
// the answer is complete and that each layer ran exactly once for each position.
func (c *cluster) runStageFault(t *testing.T, fault stageFault, stage, afterTokens int, prompt string) {
	var target *engineNode
	var repair func()
	a := c.chat(t.Context(), c.entries[0], "speech", prompt, func(a *answer, n int) {
		switch {
		case n == afterTokens:
			target = c.engineThatRan(a.id, stage, nil)
			sender := c.entries[0]
			if stage > 0 {
				sender = c.engineThatRan(a.id, stage-1, nil).process
			}
			repair = fault.apply(c, sender, target)
		case repair != nil && fault.repairWhenReplaced && c.engineThatRan(a.id, stage, target) != nil:
			repair()
			repair = nil
		}
	})
	if repair != nil {
		repair()
	}
	assert.NilError(t, a.checkComplete())
	lost := []*engineNode{target}
	if fault.stageSurvives {
		lost = c.enginesWithoutProbeAnswer(t, a.id)
	}
	c.waitReady()
	// The repaired stage may still send steps of the first request. The second
	// request uses the same links, so those steps have arrived once it is complete.
	// They must not add runs to the first request.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", prompt+" [[tokens=5]]", nil).checkComplete())
	assert.NilError(t, c.checkExactlyOnce(a, lost...))
}

// enginesWithoutProbeAnswer returns the engines that the entry replaced for a
// request because they did not answer a probe in time, which a loaded machine can
// cause. It fails the test if the entry replaced an engine for another reason.
func (c *cluster) enginesWithoutProbeAnswer(t *testing.T, requestID string) []*engineNode {
	t.Helper()
	var lost []*engineNode
	for line := range strings.Lines(c.entries[0].log.String()) {
		var replaced struct{ Event, Request, Lost, Reason string }
		if json.Unmarshal([]byte(line), &replaced) != nil || replaced.Event != "NR1200" || replaced.Request != requestID {
			continue
		}
		assert.Equal(t, replaced.Reason, "no answer to a probe", "%s was replaced", replaced.Lost)
		for _, e := range c.engines {
			if e.id == replaced.Lost {
				lost = append(lost, e)
			}
		}
	}
	return lost
}
