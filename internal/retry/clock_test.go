package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/clocktest"
)

// Guards against repeats beyond the budget after the time of day jumped forward, and against
// repeats that are refused for too long after it jumped back.
func TestBudgetIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	const window, service = 10 * time.Second, "s"
	for _, jump := range []int64{0, 12, -12} {
		begun := time.Now()
		b := NewBudget(Limits{Window: window, Reserve: 100}, func() int { return 1 }, time.Time{})
		takeAll := func(now time.Time) (taken int) {
			for b.TakeRepeat(service, Continuation, now) {
				taken++
			}
			return taken
		}
		all := takeAll(begun)
		assert.Assert(t, all > 0)
		assert.Equal(t, takeAll(clocktest.AfterJump(t, begun.Add(window/2), jump)), 0, "jump of %d s", jump)
		assert.Equal(t, takeAll(clocktest.AfterJump(t, begun.Add(2*window), jump)), all, "jump of %d s", jump)
	}
}
