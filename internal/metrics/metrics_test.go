package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

// Guards against metrics that lose their prefix or tags, and against a page
// without the last values before the end.
func TestScope(t *testing.T) {
	scope, handler, closer := NewScope(map[string]string{"instance": "a1"}, events.Nop())
	scope.Tagged(map[string]string{"team": "packs"}).Counter("requests").Inc(3)
	assert.NilError(t, closer.Close())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `nutmegroute_requests{instance="a1",team="packs"} 3`), w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), "go_goroutines"))
}
