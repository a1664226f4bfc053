package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against repeats over all gateways that exceed the budget in any
// window, when every request fails.
func TestRepeatBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		gateways = 4
		ratio    = 0.2
		reserve  = 196
		window   = 10 * time.Second
		tick     = 20 * time.Millisecond
		ticks    = 3000
	)
	var budgets []*repeatBudget
	for range gateways {
		budgets = append(budgets, newRepeatBudget(ratio, window, reserve, func() int { return gateways }))
	}
	requests, repeats := make([]int, ticks), make([]int, ticks)
	for i := range ticks {
		now := start.Add(time.Duration(i) * tick)
		for _, b := range budgets {
			b.Request("s", now)
			requests[i]++
			for b.Repeat("s", now) {
				repeats[i]++
			}
		}
	}
	const span = int(window / tick)
	for from := 0; from+span <= ticks; from++ {
		asked, again := 0, 0
		for i := from; i < from+span; i++ {
			asked += requests[i]
			again += repeats[i]
		}
		assert.Assert(t, float64(again) <= ratio*float64(asked)+reserve, "window at %d: %d of %d", from, again, asked)
	}
}

// Guards against a budget that one service uses up for another.
func TestRepeatBudgetIsPerService(t *testing.T) {
	b := newRepeatBudget(0, time.Second, 2, func() int { return 1 })
	assert.Assert(t, b.Repeat("a", start))
	assert.Assert(t, !b.Repeat("a", start))
	assert.Assert(t, b.Repeat("b", start))
	assert.Assert(t, b.Repeat("a", start.Add(3*time.Second)))
}
