package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// testProtocol is a Protocol with a single header, the ID of the attempt.
type testProtocol struct{}

func (testProtocol) Inbound(h http.Header) Inbound { return Inbound{ID: h.Get("Id")} }

func (testProtocol) Outbound(client http.Header, _ Outbound) http.Header {
	return http.Header{"Id": client["Id"]}
}

func (testProtocol) Reply(resp *http.Response) Reply {
	return Reply{ID: resp.Header.Get("Id"), Sealed: true}
}

func (testProtocol) SetOwnHeaders(http.Header, string) {}

// failingEngines is an Engines whose calls all fail.
type failingEngines struct{}

var errDown = errors.New("engine down")

func (failingEngines) Report(context.Context, string) (Report, error) { return Report{}, errDown }

func (failingEngines) OrderLayers(context.Context, fleet.Instance, fleet.LayerRange, int64) error {
	return errDown
}

func (failingEngines) Reroute(context.Context, string, string, chain.Path) error { return errDown }

// newTestGateway returns a gateway with one route to one instance, whose
// requests the given handler serves.
func newTestGateway(t *testing.T, route routing.Route, instance http.Handler) *Gateway {
	t.Helper()
	server := httptest.NewServer(instance)
	t.Cleanup(server.Close)
	g := New(Settings{RetryWindow: time.Second}, Platform{Protocol: testProtocol{}, Engines: failingEngines{}},
		events.Nop(), tally.NoopScope)
	route.Host, route.Prefix, route.Backends = "h", "/", []routing.Backend{{Service: "s", Weight: 1}}
	table, err := routing.NewTable(routing.Configuration{
		Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}},
	})
	assert.NilError(t, err)
	g.activeTable.Install(table)
	close(g.synced)
	g.directory.Update([]fleet.Record{{ID: "i", Revision: 1, Instance: &fleet.Instance{
		ID: "i", Service: "s", Slots: 1, Address: strings.TrimPrefix(server.URL, "http://"),
	}}}, time.Now())
	return g
}

// Guards against capacity that is never released after a stream is cut: each
// cut stream would reduce the capacity of the deployment.
func TestCutStreamsReleaseCapacity(t *testing.T) {
	route := routing.Route{Kind: routing.Streaming, Timeout: 5 * time.Second, MaxAttempts: 1}
	g := newTestGateway(t, route, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	frontend := httptest.NewServer(g)
	defer frontend.Close()
	req, err := http.NewRequest(http.MethodPost, frontend.URL+"/x", nil)
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.Assert(t, err != nil, "a cut stream must not look complete")
	for range 100 {
		if len(g.tracker.LocalReport(time.Now()).Loads) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("still reserved: %v", g.tracker.LocalReport(time.Now()).Loads)
}
