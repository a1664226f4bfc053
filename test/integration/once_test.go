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

// onceFault disturbs the path of a purchase and returns the function that ends
// the disturbance.
type onceFault struct {
	name  string
	apply func(c *cluster, random *rand.Rand) (repair func())
}

func storeFault(f standinplatform.Faults) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, random *rand.Rand) func() {
		f.Seed, f.LosePrefix = random.Uint64(), "operations/"
		c.platform.SetFaults(f)
		return func() { c.platform.SetFaults(standinplatform.Faults{}) }
	}
}

// pick returns a random process that no fault has hit.
func pick(random *rand.Rand, processes []*process) *process {
	for {
		if p := processes[random.IntN(len(processes))]; !p.frozen && p.alive() {
			return p
		}
	}
}

func killOne(of func(c *cluster) []*process) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, random *rand.Rand) func() {
		p := pick(random, of(c))
		p.kill()
		return p.start
	}
}

func accountSidecars(c *cluster) []*process { return c.accounts }
func entries(c *cluster) []*process         { return c.entries }

var onceFaults = []onceFault{
	{"kill sidecar", killOne(accountSidecars)},
	{"kill entry", killOne(entries)},
	{"freeze sidecar", func(c *cluster, random *rand.Rand) func() {
		p := pick(random, c.accounts)
		p.freeze()
		return p.thaw
	}},
	{"cut link", func(c *cluster, random *rand.Rand) func() {
		return c.links.cut(pick(random, c.entries).id, pick(random, c.accounts).id)
	}},
	{"store down", storeFault(standinplatform.Faults{Outage: standinplatform.OutageUnavailable})},
	{"store drops", storeFault(standinplatform.Faults{Outage: standinplatform.OutageCloseConnection})},
	{"store slow", storeFault(standinplatform.Faults{DelayMillis: 400})},
	{"store loses answers", storeFault(standinplatform.Faults{LoseProbability: 0.5})},
	{"service drops", func(c *cluster, _ *rand.Rand) func() {
		o := c.service.Options()
		o.DropResponses = 1
		c.service.SetOptions(o)
		return func() {}
	}},
}

// isStore reports faults of which only one can be in force.
func (f onceFault) isStore() bool { return f.name[:5] == "store" }

// purchases makes the calls of one key: two callers, one at each entry, send
// it at once, and each repeats it at the other entry until it has an answer or
// a number of attempts is used up.
func (c *cluster) purchases(ctx context.Context, key string, attempts int, refused *notRun) (answers []purchase) {
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
				refused.add(p.id, p.outcome)
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

// Guards against an operation that runs twice, and against a repeated key that
// gets another answer than the first, when processes, links and the store fail
// during the claim, the call or the recording of its outcome (I4, I3).
func TestPurchasesRunAtMostOnce(t *testing.T) {
	random := seeded(t, 2)
	const rounds, keys = 18, 5
	t.Parallel()
	c := start(t, shape{entries: 2, services: 3})
	c.service.SetOptions(standinservice.Options{DelayMillis: 20, ResponseDelayMillis: 20})
	var refused notRun
	answered := make(map[string]purchase)
	for round := range rounds {
		faults := []onceFault{onceFaults[round%len(onceFaults)]}
		if round >= len(onceFaults) {
			second := onceFaults[random.IntN(len(onceFaults))]
			if !faults[0].isStore() || !second.isStore() {
				faults = append(faults, second)
			}
		}
		moment := random.IntN(len(moments))
		name := ""
		for _, f := range faults {
			name += f.name + ", "
		}
		t.Logf("round %d: %s%s", round, name, moments[moment].name)
		holds := moments[moment].after(c)
		var wg sync.WaitGroup
		var mu sync.Mutex
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		for k := range keys {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d-%d", round, k)
				for _, p := range c.purchases(ctx, key, 2, &refused) {
					mu.Lock()
					if first, ok := answered[key]; ok && first.body != p.body {
						t.Errorf("%s: answers %q and %q", key, first.body, p.body)
					}
					answered[key] = p
					mu.Unlock()
				}
			})
		}
		c.wait(moments[moment].name, holds)
		var repairs []func()
		for _, f := range faults {
			repairs = append(repairs, f.apply(c, random))
		}
		wg.Wait()
		cancel()
		for _, repair := range repairs {
			repair()
		}
		c.ready()
		assert.Equal(t, len(c.service.Duplicates()), 0, "round %d: executed twice: %v", round, c.service.Duplicates())
	}
	c.checkReplays(t, answered)
	assert.Equal(t, len(c.service.Duplicates()), 0, "executed twice: %v", c.service.Duplicates())
	refused.check(c)
	t.Logf("%d of %d keys answered, %d executions", len(answered), rounds*keys, len(c.service.Executions()))
}

// moments are the points of a purchase at which faults begin.
var moments = []struct {
	name string
	// after returns a condition that holds once another purchase has reached
	// the point.
	after func(c *cluster) func() bool
}{
	{"at once", func(*cluster) func() bool { return func() bool { return true } }},
	{"after a claim", func(c *cluster) func() bool {
		n := len(c.platform.Objects("operations/"))
		return func() bool { return len(c.platform.Objects("operations/")) > n }
	}},
	{"after an execution", func(c *cluster) func() bool {
		n := len(c.service.Executions())
		return func() bool { return len(c.service.Executions()) > n }
	}},
}

// checkReplays repeats every answered key, which must get its first answer, and
// sends another body under it, which must be refused.
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
