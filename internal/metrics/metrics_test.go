package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

// Guards against metrics without prefix, tags or buckets, altered tag values,
// values lost when the scope is closed, and missing Go runtime metrics. The
// recorded duration of 470 ms is a bound of LatencyBuckets.
func TestScope(t *testing.T) {
	scope, handler, closer := NewScope(map[string]string{"instance": "a1"}, events.Nop())
	scope.Tagged(map[string]string{"team": "/voice-packs"}).Counter("requests").Inc(3)
	scope.Timer("wait").Record(470 * time.Millisecond)
	assert.NilError(t, closer.Close())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `nutmegroute_requests{instance="a1",team="/voice-packs"} 3`), w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), `nutmegroute_wait_bucket{instance="a1",le="0.47"} 1`), w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), "go_goroutines"))
}
