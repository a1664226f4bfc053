package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// stageFault breaks a stage of a request or the link to it, and returns the
// function that repairs it. before is the process that sends to the stage.
type stageFault struct {
	name  string
	apply func(c *cluster, before *process, e *engineNode) (repair func())
	// early repairs the stage as soon as its replacement has run a step;
	// otherwise it is repaired when the answer has ended.
	early bool
	// keeps is true if the stage goes on.
	keeps bool
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
	{name: "freeze", early: true, apply: func(_ *cluster, _ *process, e *engineNode) func() {
		e.freeze()
		return e.thaw
	}},
	{name: "cut", apply: func(c *cluster, before *process, e *engineNode) func() {
		return c.links.cut(before.id, e.id)
	}},
	{name: "delay", keeps: true, apply: func(c *cluster, before *process, e *engineNode) func() {
		return c.links.toxic(before.id, e.id, "latency", `{"latency":20,"jitter":10}`)
	}},
}

// Guards against a layer that runs twice, not at all or out of order for a
// token when a stage or the link to it fails anywhere in an answer (I1).
func TestLayersRunOnce(t *testing.T) {
	random := seeded(t, 1)
	for f, fault := range stageFaults {
		positions := []int{1, 2 + random.IntN(9), 11 + random.IntN(9), 20 + random.IntN(9)}
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{entries: 1, replicas: 2})
			for stage := range stages {
				for i, position := range positions {
					t.Run(fmt.Sprintf("stage %d/token %d", stage, position), func(t *testing.T) {
						c.runStageFault(t, fault, stage, position, prompt(100*f+10*stage+i, 30))
					})
				}
			}
		})
	}
}

func (c *cluster) runStageFault(t *testing.T, fault stageFault, stage, position int, prompt string) {
	var hit *engineNode
	var repair func()
	a := c.chat(t.Context(), c.entries[0], "speech", prompt, func(a *answer, n int) {
		switch {
		case n == position:
			hit = c.stageOf(a.id, stage, nil)
			before := c.entries[0]
			if stage > 0 {
				before = c.stageOf(a.id, stage-1, nil).process
			}
			repair = fault.apply(c, before, hit)
		case repair != nil && fault.early && c.stageOf(a.id, stage, hit) != nil:
			repair()
			repair = nil
		}
	})
	if repair != nil {
		repair()
	}
	assert.NilError(t, a.whole())
	if fault.keeps {
		hit = nil
	}
	c.ready()
	// A later answer passes the links on which a repaired stage may still send.
	// Neither it nor the stage may add to the first answer's runs.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", prompt+" [[tokens=5]]", nil).whole())
	assert.NilError(t, c.layersOnce(a, hit))
}
