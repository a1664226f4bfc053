package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// Guards against a watch that hears nothing for so long that a configuration
// is late: the platform counts a gateway as in touch again 3 s after its store
// has recovered, and a disturbance lasts a second at least. A wait of 4 s broke
// CONFIG on ggra-nutmeg, scale-2 --seed 11.
func TestDeafWatchIsNoticedInTime(t *testing.T) {
	const inTouchAgain = 4 * time.Second
	const margin = 500 * time.Millisecond
	assert.Assert(t, watchWait+feed.WatchTimeoutMargin+margin <= inTouchAgain)
}
