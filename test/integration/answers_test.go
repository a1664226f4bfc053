package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Guards against an answer that holds another caller's text, is cut without a
// word, or is called complete although it is not, when many streams pass
// slow links and dying stages (I2). It also checks I3 and I1 under load.
func TestAnswersStayApart(t *testing.T) {
	random := seeded(t, 3)
	t.Parallel()
	const streams = 200
	c := start(t, shape{entries: 2, replicas: 3})
	var refused notRun
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	var progress sync.WaitGroup
	progress.Add(streams / 2)
	for i := range streams {
		wg.Go(func() {
			first := sync.OnceFunc(func() {
				if i < streams/2 {
					progress.Done()
				}
			})
			// Every fourth answer must not be resumed, so that some end with an error.
			profile := "speech"
			if i%4 == 0 {
				profile = "restart"
			}
			answers[i] = c.chat(t.Context(), c.entries[i/4%2], profile, prompt(i, 40+i%20), func(_ *answer, n int) {
				if n == 3 {
					first()
				}
			})
			first()
		})
	}
	progress.Wait()
	c.disturb(random, 8)
	wg.Wait()
	c.ready()
	whole, failed := 0, 0
	for _, a := range answers {
		assert.Assert(t, !a.silent(), "request %s ended without a word after %d tokens", a.id, len(a.tokens))
		refused.add(a.id, a.outcome)
		assert.Assert(t, a.prefix(), "request %s got text that is not its own: %q", a.id, a.tokens)
		if a.failed && a.outcome == request.OutcomeFailed {
			failed++
		}
		if a.done {
			assert.NilError(t, a.whole())
			assert.NilError(t, c.atMostOnce(a))
			whole++
		}
	}
	t.Logf("%d of %d answers are whole, %d failed", whole, streams, failed)
	refused.check(c)
}

// disturb brings faults about one after another and repairs each: a stage is
// killed or frozen, or a link is limited to 20 KB/s or delayed.
func (c *cluster) disturb(random *rand.Rand, faults int) {
	for i := range faults {
		e := c.busiest(random.IntN(stages))
		var repair func()
		switch i % 4 {
		case 0:
			e.kill()
			repair = e.start
		case 1:
			e.freeze()
			repair = e.thaw
		case 2:
			repair = c.links.toxic(c.entries[random.IntN(2)].id, e.id, "bandwidth", `{"rate":20}`)
		default:
			repair = c.links.toxic(c.entries[random.IntN(2)].id, e.id, "latency", `{"latency":40,"jitter":20}`)
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) // the length of the fault, not a wait
		repair()
	}
}

// busiest returns the engine of a stage that has served the most requests. The
// planner may leave others idle, where a fault shows nothing.
func (c *cluster) busiest(stage int) (found *engineNode) {
	for _, e := range c.engines {
		if e.stage == stage && (found == nil || e.report().Requests > found.report().Requests) {
			found = e
		}
	}
	return found
}

// atMostOnce returns an error if an engine ran a position of a sequence twice.
func (c *cluster) atMostOnce(a answer) error {
	for _, e := range c.engines {
		for _, s := range e.servers() {
			if report := s.RequestRuns(a.id); len(report.Sequences) == 1 {
				for layer, counts := range report.Runs {
					for p, n := range counts {
						if n > 1 {
							return fmt.Errorf("%s ran position %d, layer %d of request %s %d times", e.id, p, layer, a.id, n)
						}
					}
				}
			}
		}
	}
	return nil
}

// Guards against a request that is answered not-run although its first step
// was still on the way to an engine that ran it (I3). The link to the first
// stage delays the step; meanwhile the link to the second stage breaks, for
// which there is no replacement before the deadline.
func TestStepInFlightIsNotDenied(t *testing.T) {
	t.Parallel()
	c := start(t, shape{entries: 1, replicas: 1})
	first, second := c.engines[0], c.engines[1]
	// The warm-up makes the link between the stages.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", prompt(0, 5), nil).whole())
	defer c.links.oneWay(c.entries[0].id, first.id, "latency", `{"latency":400}`, "upstream")()
	var refused notRun
	for i := range 3 {
		done := make(chan answer)
		go func() { done <- c.chat(t.Context(), c.entries[0], "brief", prompt(1+i, 5), nil) }()
		// The fault begins between the arrival of OpenSequence and of the step.
		time.Sleep(time.Duration(450+100*i) * time.Millisecond)
		restore := c.links.cut(first.id, second.id)
		a := <-done
		restore()
		refused.add(a.id, a.outcome)
		c.wait("the answer after the repair", func() bool {
			return c.chat(t.Context(), c.entries[0], "speech", prompt(100+i, 5), nil).whole() == nil
		})
	}
	refused.check(c)
}
