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

// deployment is a series of gateways that report to each other.
type deployment struct {
	budgets []*Budget
	// hears says whether a gateway hears another one; nil for all.
	hears func(at, from int) bool
	// requests and repeats are those of each tick, over all gateways.
	requests, repeats []int
}

func newDeployment(count int) *deployment {
	d := &deployment{}
	for range count {
		d.budgets = append(d.budgets, NewBudget(testRatio, testWindow, testReserve, func() int { return count }))
	}
	return d
}

// play runs ticks with one request for each gateway; repeat returns how many
// repeats a gateway wants in a tick.
func (d *deployment) play(ticks int, repeat func(gateway, tick int) int) {
	const reportTicks = 10
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * testTick)
		asked, again := 0, 0
		for i, b := range d.budgets {
			b.RecordRequest("s", now)
			asked++
			for range repeat(i, tick) {
				if !b.AllowRepeat("s", Continuation, now) {
					break
				}
				again++
			}
		}
		d.requests, d.repeats = append(d.requests, asked), append(d.repeats, again)
		if tick%reportTicks == 0 {
			d.report(uint64(tick+1), now)
		}
	}
}

func (d *deployment) report(round uint64, now time.Time) {
	for i, from := range d.budgets {
		for j, to := range d.budgets {
			if i != j && (d.hears == nil || d.hears(j, i)) {
				to.SetPeerUsage(fmt.Sprint(i), round, from.Usage(now), now)
			}
		}
	}
}

// check verifies the bound in every window.
func (d *deployment) check(t *testing.T) {
	t.Helper()
	const span = int(testWindow / testTick)
	for from := 0; from+span <= len(d.requests); from++ {
		asked, again := 0, 0
		for i := from; i < from+span; i++ {
			asked += d.requests[i]
			again += d.repeats[i]
		}
		assert.Assert(t, float64(again) <= testRatio*float64(asked)+testReserve,
			"window at %d: %d of %d", from, again, asked)
	}
}

func always(int, int) int { return 1000 }

// Guards against repeats over all gateways that exceed the budget in any
// window, when every request fails.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for name, hears := range map[string]func(at, from int) bool{
		"all hear each other": nil,
		"none hears another":  func(int, int) bool { return false },
		"one is heard by all": func(_, from int) bool { return from == 0 },
		"one hears all":       func(at, _ int) bool { return at == 0 },
		"a chain":             func(at, from int) bool { return at-from == 1 || from-at == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			for _, count := range []int{1, 3, 4, 7} {
				d := newDeployment(count)
				d.hears = hears
				d.play(3000, always)
				d.check(t)
			}
		})
	}
}

// Guards against a burst of repeats after a pause that exceeds the budget.
func TestBudgetHoldsAfterAPause(t *testing.T) {
	d := newDeployment(3)
	d.play(3000, func(gateway, tick int) int {
		if tick/250%3 == gateway {
			return 1000
		}
		return 0
	})
	d.check(t)
}

// Guards against a gateway that cuts streams for lack of repeats which the
// others do not need.
func TestUnusedPartsAreShared(t *testing.T) {
	d := newDeployment(3)
	used := 0
	d.play(500, func(gateway, tick int) int {
		if gateway != 0 {
			return 0
		}
		return 1
	})
	for _, again := range d.repeats {
		used += again
	}
	equal := (testRatio*3*500 + usableReserve*testReserve) / 3
	assert.Assert(t, float64(used) > 1.5*equal, "%d of %f", used, equal)
}

// Guards against new attempts that use up what responses need that have begun.
func TestContinuationsHaveAReserve(t *testing.T) {
	b := NewBudget(0, testWindow, 100, func() int { return 1 })
	afresh := 0
	for b.AllowRepeat("s", Restart, start) {
		afresh++
	}
	assert.Assert(t, afresh > 0)
	assert.Assert(t, b.AllowRepeat("s", Continuation, start))
}

// Guards against a restarted gateway whose peers forget what it had used.
func TestRestartedPeersStillCount(t *testing.T) {
	b := NewBudget(0, testWindow, 1000, func() int { return 2 })
	b.SetPeerUsage("p", 100, []Usage{{"s", 10, 600}}, start)
	at := start.Add(2 * time.Second)
	b.SetPeerUsage("p", 1, nil, at)
	assert.Assert(t, !b.AllowRepeat("s", Continuation, at))
	at = start.Add(testWindow + time.Second)
	b.SetPeerUsage("p", 2, nil, at)
	assert.Assert(t, b.AllowRepeat("s", Continuation, at))
}

// Guards against a budget that one service uses up for another.
func TestBudgetIsPerService(t *testing.T) {
	b := NewBudget(0, time.Second, 4, func() int { return 1 })
	for b.AllowRepeat("a", Continuation, start) {
	}
	assert.Assert(t, b.AllowRepeat("b", Continuation, start))
	assert.Assert(t, b.AllowRepeat("a", Continuation, start.Add(3*time.Second)))
}
