package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Whole responses of an instance. The IDs are those of the requests.
const (
	lengthResponse  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer"
	chunkedResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n"
	streamResponse  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"f\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n"
	interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + lengthResponse
)

// serveRaw starts an instance that answers its first requests, answersWhole of them, with whole. It
// answers each further one with text and closes the connection, also if the gateway has opened another
// one, because the first was unused for too long.
func serveRaw(t *testing.T, text, whole string, answersWhole int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if requests.Add(1) > int64(answersWhole) {
						_, _ = io.WriteString(conn, text)
						return
					}
					_, _ = io.WriteString(conn, whole)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a response that an instance broke off, at any byte of its head or body, and that
// looks whole to the client.
func TestEveryPrefixOfAResponseIsNoWholeOne(t *testing.T) {
	for _, tt := range []struct {
		name  string
		route routing.Route
		whole string
		// before is the number of whole responses on the connection before.
		before int
	}{
		{"plain request", routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1}, lengthResponse, 0},
		{"chunked response", routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1}, chunkedResponse, 0},
		{"response after an interim one", routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1}, interimResponse, 0},
		{"repeat", routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, lengthResponse, 0},
		{"stream", routing.Route{Kind: routing.Streaming, MaxAttempts: 1}, streamResponse, 0},
		{"continued stream", routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Resumable: true}, streamResponse, 0},
		{"second response of a connection", routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1}, lengthResponse, 1},
		{"second stream of a connection", routing.Route{Kind: routing.Streaming, MaxAttempts: 1}, streamResponse, 1},
	} {
		for part := range prefixParts {
			t.Run(fmt.Sprint(tt.name, " part ", part), func(t *testing.T) {
				t.Parallel()
				checkPrefixes(t, tt.route, tt.whole, tt.before, part)
			})
		}
	}
}

// prefixParts is the number of parts that are checked side by side.
const prefixParts = 8

// checkPrefixes checks every prefixParts-th prefix of a response.
func checkPrefixes(t *testing.T, route routing.Route, response string, before, part int) {
	for length := part; length <= len(response); length += prefixParts {
		status, whole := requestPrefix(t, route, response, length, before)
		if length == len(response) {
			assert.Assert(t, whole && status == http.StatusOK, "the whole response: status %d", status)
			continue
		}
		assert.Assert(t, !whole || status == http.StatusBadGateway, "the first %d bytes: status %d, whole %v", length, status, whole)
	}
}

// requestPrefix sends a request to a gateway whose instance breaks its response off after length
// bytes. It returns the status that the client gets, and whether the response looks whole.
func requestPrefix(t *testing.T, route routing.Route, response string, length, before int) (status int, whole bool) {
	t.Helper()
	route.Timeout = 5 * time.Second
	g := newTestGateway(t, route, http.NotFoundHandler())
	g.budget = retry.NewBudget(retry.Limits{Window: time.Second, Reserve: 100}, func() int { return 1 }, time.Time{})
	address := serveRaw(t, response[:length], response, before)
	g.directory.Update([]fleet.Record{{ID: "i", Revision: 2, Instance: &fleet.Instance{
		ID: "i", Service: "s", Slots: 1, Address: address,
	}}}, time.Now())
	_, clients := serveClients(t, g)
	c := dialClient(t, clients)
	for range before {
		c.write(clientRequest)
		resp, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	c.write(clientRequest)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || strings.Contains(strings.Join(resp.TransferEncoding, ","), "chunked")
	assert.Assert(t, framed || err != nil, "a response without a frame: %s", strconv.Quote(string(body)))
	return resp.StatusCode, err == nil
}
