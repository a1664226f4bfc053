package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// Guards against a crash that names no part, because the instance that ended was a successor.
func TestEndOfASuccessorIsNoticed(t *testing.T) {
	g := newGatewayWithRepeats(t, resumableRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writePieces(w, r, streamPieces, -1)
		time.Sleep(time.Second)
	}))
	var crashing *httptest.Server
	crashed := make(chan struct{})
	crashing = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = crashing.Listener.Close()
		close(crashed)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(crashing.Close)
	g.directory.Update([]fleet.Record{{ID: "j", Revision: 2, Instance: &fleet.Instance{
		ID: "j", Service: "s", Slots: 1000, Address: strings.TrimPrefix(crashing.URL, "http://"),
	}}}, time.Now())
	resp := get(t, g)
	_, _ = io.ReadAll(resp.Body)
	<-crashed
	time.Sleep(time.Second)
	assert.Assert(t, g.tracker.IsLost("j", time.Now()), "the end of the successor was not noticed")
}
