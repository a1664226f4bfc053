package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against responses that are cut because a configuration takes their route and service away, or the
// list of instances their instance, while they flow, also if a stop begins in between.
func TestResponsesFlowOnWithoutTheirRoute(t *testing.T) {
	for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Streaming} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, " stop ", stops), func(t *testing.T) {
				t.Parallel()
				begun, rest := make(chan struct{}), make(chan struct{})
				route := routing.Route{Kind: kind, Timeout: 20 * time.Second, MaxAttempts: 1}
				g := newTestGateway(t, route, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Id", r.Header.Get("Id"))
					_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
					_ = http.NewResponseController(w).Flush()
					close(begun)
					<-rest
					_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
				}))
				g.settings.DrainTimeout = 6 * time.Second
				g.platform.Lease = &leaseWithEras{}
				release := sync.OnceFunc(func() { close(rest) })
				t.Cleanup(release)
				server, address := serveClients(t, g)
				c := dialClient(t, address)
				c.write(clientRequest)
				<-begun
				drained := make(chan error, 1)
				if stops {
					go func() { drained <- g.drain(server, time.Now()) }()
				} else {
					drained <- nil
				}
				(&configHandler{g}).install(routing.Configuration{Version: 2}, 2)
				(&instanceHandler{g}).Replace(feed.Batch[fleet.Record]{Revision: 9}, false)
				assert.Equal(t, len(g.directory.View().Instances), 0)
				time.Sleep(3 * evacuateInterval)
				release()
				resp, err := http.ReadResponse(c.reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
				assert.NilError(t, <-drained)
			})
		}
	}
}
