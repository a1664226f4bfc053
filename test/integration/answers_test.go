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

// Guards against an answer that contains another caller's text, ends without
// [DONE] or an error, or is reported complete although tokens are missing, when
// many streams pass slow links and failing stages (I2). It also checks I1 and I3
// under load.
func TestConcurrentStreamsDuringFaults(t *testing.T) {
	random := newRandom(t, 3)
	t.Parallel()
	const streams = 200
	c := startCluster(t, clusterOptions{entries: 2, replicas: 3})
	var notRun notRunRequests
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	var progress sync.WaitGroup
	progress.Add(streams / 2)
	for i := range streams {
		wg.Go(func() {
			markStarted := sync.OnceFunc(func() {
				if i < streams/2 {
					progress.Done()
				}
			})
			// The profile of every fourth request forbids resuming, so that some
			// answers end with an error.
			profile := "speech"
			if i%4 == 0 {
				profile = "restart"
			}
			answers[i] = c.chat(t.Context(), c.entries[i/4%2], profile, uniquePrompt(i, 40+i%20), func(_ *answer, n int) {
				if n == 3 {
					markStarted()
				}
			})
			markStarted()
		})
	}
	progress.Wait()
	c.injectFaults(random, 8)
	wg.Wait()
	c.waitReady()
	complete, failed := 0, 0
	for _, a := range answers {
		assert.Assert(t, !a.unterminated(), "the stream of request %s ended without [DONE] or an error after %d tokens", a.id, len(a.tokens))
		notRun.add(a.id, a.outcome)
		assert.Assert(t, a.isPrefix(), "request %s got tokens that are not a prefix of its answer: %q", a.id, a.tokens)
		if a.failed && a.outcome == request.OutcomeFailed {
			failed++
		}
		if a.done {
			assert.NilError(t, a.checkComplete())
			assert.NilError(t, c.checkAtMostOnce(a))
			complete++
		}
	}
	t.Logf("%d of %d answers are complete, %d failed", complete, streams, failed)
	notRun.checkNeverRun(c)
}

// injectFaults injects faults one after another and repairs each: it kills or
// freezes the sidecar of a stage, limits a link to 20 KB/s or delays it.
func (c *cluster) injectFaults(random *rand.Rand, faults int) {
	for i := range faults {
		e := c.busiestEngine(random.IntN(stages))
		var repair func()
		switch i % 4 {
		case 0:
			e.kill()
			repair = e.start
		case 1:
			e.freeze()
			repair = e.unfreeze
		case 2:
			repair = c.links.addToxic(c.entries[random.IntN(2)].id, e.id, "bandwidth", `{"rate":20}`)
		default:
			repair = c.links.addToxic(c.entries[random.IntN(2)].id, e.id, "latency", `{"latency":40,"jitter":20}`)
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) // the duration of the fault
		repair()
	}
}

// busiestEngine returns the engine of a stage that has served the most requests.
// The planner may leave other engines idle, and a fault of an idle engine tests
// nothing.
func (c *cluster) busiestEngine(stage int) (found *engineNode) {
	for _, e := range c.engines {
		if e.stage == stage && (found == nil || e.runReport().Requests > found.runReport().Requests) {
			found = e
		}
	}
	return found
}

// checkAtMostOnce returns an error if an engine ran a layer twice for a position of
// the answer. It skips engines that ran several attempts of the request.
func (c *cluster) checkAtMostOnce(a answer) error {
	for _, e := range c.engines {
		for _, s := range e.allServers() {
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

// Guards against a request that is answered not-run although its first step is
// still in flight to an engine that then runs it (I3). The link to the first
// stage delays the step; meanwhile the link to the second stage breaks, and no
// replacement is available before the deadline.
func TestInFlightStepIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, replicas: 1})
	first, second := c.engines[0], c.engines[1]
	// The warm-up request establishes the link between the stages.
	assert.NilError(t, c.chat(t.Context(), c.entries[0], "speech", uniquePrompt(0, 5), nil).checkComplete())
	defer c.links.addToxicToStreams(c.entries[0].id, first.id, "latency", `{"latency":400}`, "upstream")()
	var notRun notRunRequests
	for i := range 3 {
		done := make(chan answer)
		go func() { done <- c.chat(t.Context(), c.entries[0], "brief", uniquePrompt(1+i, 5), nil) }()
		// The link breaks after the arrival of OpenSequence at the first stage and
		// before the arrival of the step.
		time.Sleep(time.Duration(450+100*i) * time.Millisecond)
		restore := c.links.cut(first.id, second.id)
		a := <-done
		restore()
		notRun.add(a.id, a.outcome)
		c.waitFor("a complete answer after the repair", func() bool {
			return c.chat(t.Context(), c.entries[0], "speech", uniquePrompt(100+i, 5), nil).checkComplete() == nil
		})
	}
	notRun.checkNeverRun(c)
}
