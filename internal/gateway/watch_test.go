package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// Guards against a configuration that arrives late because a watch whose
// connection is dead is aborted too late. The connection may die at the start of
// an outage. The shortest outage lasts 1 s, and the platform counts a gateway as
// connected again 3 s after its store has recovered. The watch must be aborted
// before that. A watch that waited for 4 s broke the rule CONFIG (deployment
// ggra-nutmeg, day scale-2 of the users' test bench, seed 11).
func TestDeadWatchIsAbortedInTime(t *testing.T) {
	// reachableAgainAfter is the shortest outage (1 s) plus the 3 s after it.
	const reachableAgainAfter = 4 * time.Second
	const margin = 500 * time.Millisecond
	assert.Assert(t, storeWatchWait+feed.WatchTimeoutMargin+margin <= reachableAgainAfter)
}

// Guards against a gateway that counts as connected and has an old configuration in force, because it has
// not noticed that its connection to the store went silent, while the store goes on and new connections
// work (review/8). The platform counts it as connected 3 s later.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	const contactTime = 3 * time.Second
	const listTime = 150 * time.Millisecond // the pause before the list, and the list
	assert.Assert(t, storeWatchWait+feed.WatchTimeoutMargin+listTime < contactTime)
}
