package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/request"
	standinplatform "github.com/nutmegroute/nutmegroute/internal/standin/platform"
	standinservice "github.com/nutmegroute/nutmegroute/internal/standin/service"
)

// purchaseFault is a fault on the path of a purchase. apply injects the fault and
// returns the function that repairs it.
type purchaseFault struct {
	name  string
	apply func(c *cluster, random *rand.Rand) (repair func())
}

// storeFault returns the apply function of a fault of the store. Lost responses
// affect only operation records.
func storeFault(f standinplatform.Faults) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, random *rand.Rand) func() {
		f.Seed, f.LosePrefix = random.Uint64(), "operations/"
		c.platform.SetFaults(f)
		return func() { c.platform.SetFaults(standinplatform.Faults{}) }
	}
}

// pickHealthy returns a random process that is running and not frozen.
func pickHealthy(random *rand.Rand, processes []*process) *process {
	for {
		if p := processes[random.IntN(len(processes))]; !p.frozen && p.isRunning() {
			return p
		}
	}
}

// killRandom returns the apply function that kills one of the candidates.
func killRandom(candidates func(c *cluster) []*process) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, random *rand.Rand) func() {
		p := pickHealthy(random, candidates(c))
		p.kill()
		return p.start
	}
}

func serviceSidecars(c *cluster) []*process { return c.serviceSidecars }
func entryProcesses(c *cluster) []*process  { return c.entries }

var purchaseFaults = []purchaseFault{
	{"kill sidecar", killRandom(serviceSidecars)},
	{"kill entry", killRandom(entryProcesses)},
	{"freeze sidecar", func(c *cluster, random *rand.Rand) func() {
		p := pickHealthy(random, c.serviceSidecars)
		p.freeze()
		return p.unfreeze
	}},
	{"cut link", func(c *cluster, random *rand.Rand) func() {
		return c.links.cut(pickHealthy(random, c.entries).id, pickHealthy(random, c.serviceSidecars).id)
	}},
	{"store unavailable", storeFault(standinplatform.Faults{Outage: standinplatform.OutageUnavailable})},
	{"store closes connections", storeFault(standinplatform.Faults{Outage: standinplatform.OutageCloseConnection})},
	{"store slow", storeFault(standinplatform.Faults{DelayMillis: 400})},
	{"store loses responses", storeFault(standinplatform.Faults{LoseProbability: 0.5})},
	{"service drops a response", func(c *cluster, _ *rand.Rand) func() {
		o := c.service.Options()
		o.DropResponses = 1
		c.service.SetOptions(o)
		return func() {}
	}},
}

// isStoreFault reports whether f is a fault of the store. Only one store fault can
// be active at a time.
func (f purchaseFault) isStoreFault() bool { return f.name[:5] == "store" }

// purchaseConcurrently sends the calls of one key: one caller for each entry starts
// at the same time, and each retries at the next entry until its call is completed
// or the attempts are used up. It returns the completed answers.
func (c *cluster) purchaseConcurrently(ctx context.Context, key string, attempts int, notRun *notRunRequests) (answers []purchase) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for first := range c.entries {
		wg.Go(func() {
			for i := range attempts {
				p, err := c.purchase(ctx, c.entries[(first+i)%len(c.entries)], key, `{"pack":"arabic-1"}`)
				if err != nil {
					time.Sleep(20 * time.Millisecond) // the entry is down
					continue
				}
				notRun.add(p.id, p.outcome)
				if p.outcome == request.OutcomeCompleted {
					mu.Lock()
					answers = append(answers, p)
					mu.Unlock()
					return
				}
			}
		})
	}
	wg.Wait()
	return answers
}

// Guards against an operation that runs twice, and against a repeated key that gets
// an answer other than the first, when processes, links and the store fail during
// the claim, the call or the recording of its outcome (I4, I3).
func TestPurchasesRunAtMostOnce(t *testing.T) {
	random := newRandom(t, 2)
	const rounds, keys = 18, 5
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, services: 3})
	c.service.SetOptions(standinservice.Options{DelayMillis: 20, ResponseDelayMillis: 20})
	var notRun notRunRequests
	answered := make(map[string]purchase)
	for round := range rounds {
		faults := []purchaseFault{purchaseFaults[round%len(purchaseFaults)]}
		if round >= len(purchaseFaults) {
			second := purchaseFaults[random.IntN(len(purchaseFaults))]
			if !faults[0].isStoreFault() || !second.isStoreFault() {
				faults = append(faults, second)
			}
		}
		point := random.IntN(len(faultPoints))
		name := ""
		for _, f := range faults {
			name += f.name + ", "
		}
		t.Logf("round %d: %s%s", round, name, faultPoints[point].name)
		reached := faultPoints[point].after(c)
		var wg sync.WaitGroup
		var mu sync.Mutex
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		for k := range keys {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d-%d", round, k)
				for _, p := range c.purchaseConcurrently(ctx, key, 2, &notRun) {
					mu.Lock()
					if first, ok := answered[key]; ok && first.body != p.body {
						t.Errorf("key %s has two different answers: %q and %q", key, first.body, p.body)
					}
					answered[key] = p
					mu.Unlock()
				}
			})
		}
		c.waitFor(faultPoints[point].name, reached)
		var repairs []func()
		for _, f := range faults {
			repairs = append(repairs, f.apply(c, random))
		}
		wg.Wait()
		cancel()
		for _, repair := range repairs {
			repair()
		}
		c.waitReady()
		assert.Equal(t, len(c.service.Duplicates()), 0, "round %d: executed twice: %v", round, c.service.Duplicates())
	}
	c.checkReplays(t, answered)
	assert.Equal(t, len(c.service.Duplicates()), 0, "executed twice: %v", c.service.Duplicates())
	notRun.checkNeverRun(c)
	t.Logf("%d of %d keys answered, %d executions", len(answered), rounds*keys, len(c.service.Executions()))
}

// faultPoints are the points in a purchase at which faults are injected.
var faultPoints = []struct {
	name string
	// after returns a condition that holds when a purchase that starts after the
	// call has reached the point.
	after func(c *cluster) func() bool
}{
	{"immediately", func(*cluster) func() bool { return func() bool { return true } }},
	{"after a claim", func(c *cluster) func() bool {
		n := len(c.platform.Objects("operations/"))
		return func() bool { return len(c.platform.Objects("operations/")) > n }
	}},
	{"after an execution", func(c *cluster) func() bool {
		n := len(c.service.Executions())
		return func() bool { return len(c.service.Executions()) > n }
	}},
}

// checkReplays repeats every answered call, which must get the first answer, and
// sends a different body with the same key, which must be refused.
func (c *cluster) checkReplays(t *testing.T, answered map[string]purchase) {
	for key, first := range answered {
		again, err := c.purchase(t.Context(), c.entries[0], key, `{"pack":"arabic-1"}`)
		assert.NilError(t, err)
		assert.Equal(t, again.outcome, request.OutcomeCompleted, "%s: %s", key, again.body)
		assert.Equal(t, again.body, first.body, key)
		assert.Assert(t, again.replayed, key)
		other, err := c.purchase(t.Context(), c.entries[1], key, `{"pack":"english-2"}`)
		assert.NilError(t, err)
		assert.Equal(t, other.status, http.StatusUnprocessableEntity, "%s: %s", key, other.body)
		assert.Equal(t, other.outcome, request.OutcomeNotRun, key)
	}
}
