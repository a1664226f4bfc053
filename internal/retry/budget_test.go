package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testRatio   = 0.2
	testReserve = 196
	testWindow  = 10 * time.Second
	testTick    = 20 * time.Millisecond
)

// deployment is a set of gateways that report their usage to each other.
type deployment struct {
	budgets []*Budget
	// receives reports whether gateway at receives the reports of gateway from.
	// If it is nil, every gateway receives all reports.
	receives func(at, from int) bool
	// requests and repeats hold the totals of all gateways for each tick.
	requests, repeats []int
}

func newDeployment(count int) *deployment {
	d := &deployment{}
	for range count {
		d.budgets = append(d.budgets, NewBudget(testRatio, testWindow, testReserve, func() int { return count }))
	}
	return d
}

// run simulates the given number of ticks with one request per gateway and tick.
// repeat returns the number of repeats that a gateway attempts in a tick.
func (d *deployment) run(ticks int, repeat func(gateway, tick int) int) {
	const reportTicks = 10
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * testTick)
		requests, repeats := 0, 0
		for i, b := range d.budgets {
			b.RecordRequest("s", now)
			requests++
			for range repeat(i, tick) {
				if !b.TakeRepeat("s", Continuation, now) {
					break
				}
				repeats++
			}
		}
		d.requests, d.repeats = append(d.requests, requests), append(d.repeats, repeats)
		if tick%reportTicks == 0 {
			d.exchangeReports(uint64(tick+1), now)
		}
	}
}

func (d *deployment) exchangeReports(round uint64, now time.Time) {
	for i, from := range d.budgets {
		for j, to := range d.budgets {
			if i != j && (d.receives == nil || d.receives(j, i)) {
				to.SetPeerUsage(fmt.Sprint(i), round, from.Usage(now), now)
			}
		}
	}
}

// checkLimit asserts that the repeats stay within the budget in every window.
func (d *deployment) checkLimit(t *testing.T) {
	t.Helper()
	const span = int(testWindow / testTick)
	for from := 0; from+span <= len(d.requests); from++ {
		requests, repeats := 0, 0
		for i := from; i < from+span; i++ {
			requests += d.requests[i]
			repeats += d.repeats[i]
		}
		assert.Assert(t, float64(repeats) <= testRatio*float64(requests)+testReserve,
			"window at tick %d: %d repeats of %d requests", from, repeats, requests)
	}
}

func unlimited(int, int) int { return 1000 }

// Guards against the repeats of all gateways together exceeding the budget in
// any window when every request fails.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for name, receives := range map[string]func(at, from int) bool{
		"all reports arrive":                      nil,
		"no reports arrive":                       func(int, int) bool { return false },
		"only one gateway's reports arrive":       func(_, from int) bool { return from == 0 },
		"only one gateway receives reports":       func(at, _ int) bool { return at == 0 },
		"only adjacent gateways exchange reports": func(at, from int) bool { return at-from == 1 || from-at == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			for _, count := range []int{1, 3, 4, 7} {
				d := newDeployment(count)
				d.receives = receives
				d.run(3000, unlimited)
				d.checkLimit(t)
			}
		})
	}
}

// Guards against repeats that exceed the budget when the gateways repeat in
// turns, each in a burst after a pause.
func TestBudgetHoldsAfterAPause(t *testing.T) {
	d := newDeployment(3)
	d.run(3000, func(gateway, tick int) int {
		if tick/250%3 == gateway {
			return 1000
		}
		return 0
	})
	d.checkLimit(t)
}

// Guards against a gateway that cuts streams for lack of repeats although the
// other gateways leave their shares of the budget unused.
func TestUnusedBudgetIsAvailableToOthers(t *testing.T) {
	d := newDeployment(3)
	used := 0
	d.run(500, func(gateway, tick int) int {
		if gateway != 0 {
			return 0
		}
		return 1
	})
	for _, repeats := range d.repeats {
		used += repeats
	}
	equal := (testRatio*3*500 + reserveFraction*testReserve) / 3
	assert.Assert(t, float64(used) > 1.5*equal, "%d repeats, equal share is %f", used, equal)
}

// Guards against restarts that use up the part of the budget that is kept for
// continuations.
func TestContinuationsHaveAReserve(t *testing.T) {
	b := NewBudget(0, testWindow, 100, func() int { return 1 })
	restarts := 0
	for b.TakeRepeat("s", Restart, start) {
		restarts++
	}
	assert.Assert(t, restarts > 0)
	assert.Assert(t, b.TakeRepeat("s", Continuation, start))
}

// Guards against the usage of a gateway being dropped by its peers when the
// gateway restarts.
func TestUsageOfARestartedPeerStillCounts(t *testing.T) {
	b := NewBudget(0, testWindow, 1000, func() int { return 2 })
	b.SetPeerUsage("p", 100, []Usage{{"s", 10, 600}}, start)
	now := start.Add(2 * time.Second)
	b.SetPeerUsage("p", 1, nil, now)
	assert.Assert(t, !b.TakeRepeat("s", Continuation, now))
	now = start.Add(testWindow + time.Second)
	b.SetPeerUsage("p", 2, nil, now)
	assert.Assert(t, b.TakeRepeat("s", Continuation, now))
}

// Guards against the repeats of one service using up the budget of another.
func TestBudgetIsPerService(t *testing.T) {
	b := NewBudget(0, time.Second, 4, func() int { return 1 })
	for b.TakeRepeat("a", Continuation, start) {
	}
	assert.Assert(t, b.TakeRepeat("b", Continuation, start))
	assert.Assert(t, b.TakeRepeat("a", Continuation, start.Add(3*time.Second)))
}
