package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/clocktest"
)

// Guards against recent load that is forgotten, or kept, because the time of day jumped: the
// gateways then place their requests on the same instances.
func TestRecentLoadIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	begun := time.Now()
	for _, jump := range []int64{3, -3, 0} {
		var r recentLoad
		r.add(1, begun)
		r.advance(clocktest.AfterJump(t, begun.Add(recentSlot/2), jump))
		assert.Equal(t, r.requests+r.previousRequests, 1, "in the same slot, jump of %d s", jump)
		r.advance(clocktest.AfterJump(t, begun.Add(recentSlot*3/2), jump))
		assert.Equal(t, r.previousRequests, 1, "in the next slot, jump of %d s", jump)
		r.advance(clocktest.AfterJump(t, begun.Add(recentSlot*5), jump))
		assert.Equal(t, r.requests+r.previousRequests, 0, "later, jump of %d s", jump)
	}
}
