package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// Guards against a configuration that arrives late because a silent watch is
// detected too late. The platform counts a gateway as connected again 3 s after
// its store has recovered, and an outage lasts at least 1 s. A wait of 4 s
// broke the rule CONFIG (deployment ggra-nutmeg, day scale-2, seed 11).
func TestSilentWatchIsDetectedInTime(t *testing.T) {
	const reachableAgainAfter = 4 * time.Second
	const margin = 500 * time.Millisecond
	assert.Assert(t, storeWatchWait+feed.WatchTimeoutMargin+margin <= reachableAgainAfter)
}
