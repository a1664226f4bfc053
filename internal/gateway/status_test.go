package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// writeRaw is an instance that writes text to the connection and keeps it open. It counts its requests.
func writeRaw(text string, requests *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
		_, _ = conn.Read(make([]byte, 1)) // until the gateway closes it
	}
}

// Guards against a status outside the protocol, or what stands behind it, that reaches a client as the
// answer, and against clients that wait for another one until their deadline (MIXED of issue 43). What
// can be repeated gets the answer of another instance.
func TestStatusOutsideTheProtocolReachesNoClient(t *testing.T) {
	routes := map[string]routing.Route{
		"once":       {Kind: routing.NonIdempotent, MaxAttempts: 1},
		"repeatable": {Kind: routing.Idempotent, MaxAttempts: 2},
		"stream":     {Kind: routing.Streaming, MaxAttempts: 1},
		"resumable":  {Kind: routing.Streaming, MaxAttempts: 2, Resumable: true},
	}
	bodies := map[string]string{
		"no body": "Content-Length: 0\r\n\r\n", "a body": "Content-Length: 4\r\n\r\nbody", "an answer": "\r\n" + lengthResponse,
	}
	for name, route := range routes {
		for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999", "20", "abc"} {
			for behind, rest := range bodies {
				t.Run(fmt.Sprint(name, " ", status, " ", behind), func(t *testing.T) {
					t.Parallel()
					checkNoStatus(t, route, "HTTP/1.1 "+status+" Status\r\nId: 1\r\n"+rest)
				})
			}
		}
	}
}

// checkNoStatus checks that the client of an instance which writes text gets the answer of another
// instance if its request can be repeated, and otherwise that its request may have run.
func checkNoStatus(t *testing.T, route routing.Route, text string) {
	route.Timeout = time.Minute
	var requests atomic.Int32
	g := newTestGateway(t, route, writeRaw(text, &requests))
	g.budget = retry.NewBudget(retry.Limits{Window: time.Second, Reserve: 100}, func() int { return 1 }, time.Time{})
	want := http.StatusBadGateway
	if route.Repeatable() {
		want = http.StatusOK
		whole := lengthResponse
		if route.Kind == routing.Streaming {
			whole = streamResponse
		}
		// Requests prefer the failure domain of the gateway.
		g.directory.Update([]fleet.Record{{ID: "j", Revision: 1, Instance: &fleet.Instance{
			ID: "j", Service: "s", Slots: 1, Address: serveRaw(t, whole, whole, 0), Domain: "elsewhere",
		}}}, time.Now())
	}
	_, clients := serveClients(t, g)
	c := dialClient(t, clients)
	c.write(clientRequest)
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, requests.Load(), int32(1), "the instance in trouble was asked once")
	assert.Equal(t, resp.StatusCode, want)
}
