package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// refusingProtocol is a testProtocol in which the header Not-Run marks a response to a
// request that was not run, and a response is sealed if it has the header Seal.
type refusingProtocol struct{ testProtocol }

func (refusingProtocol) Inbound(h http.Header) Inbound {
	return Inbound{ID: h.Get("Id"), LastEvent: h.Get("Last")}
}

func (refusingProtocol) Outbound(client http.Header, o Outbound) http.Header {
	return http.Header{"Id": client["Id"], "Last": {o.LastEvent}}
}

func (refusingProtocol) Reply(resp *http.Response) Reply {
	return Reply{
		ID: resp.Header.Get("Id"), Sealed: resp.Header.Get("Seal") != "",
		NotExecuted: resp.Header.Get("Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// rawInstance is an instance whose responses are written as they are to the connection,
// which is then closed. $ID stands for the id of the request.
type rawInstance struct {
	// respond returns the response to a request that continues after the event last.
	respond func(last string) string

	mu   sync.Mutex
	lost []string
}

func (i *rawInstance) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (i *rawInstance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	last := r.Header.Get("Last")
	i.mu.Lock()
	i.lost = append(i.lost, last)
	i.mu.Unlock()
	_, _ = io.WriteString(conn, strings.ReplaceAll(i.respond(last), "$ID", r.Header.Get("Id")))
}

// requests returns the last events of the requests to an instance.
func (i *rawInstance) requests() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string{}, i.lost...)
}

const (
	headOK     = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
	headStream = headOK + "Content-Type: text/event-stream\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

// events returns the events of a test stream from first to last.
func eventText(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// chunks returns a text as the chunks of a body that ends, or that breaks off.
func chunks(text string, ends bool) string {
	encoded := ""
	if text != "" {
		encoded = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	if ends {
		encoded += "0\r\n\r\n"
	}
	return encoded
}

func withLength(head, body string) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// brokenStream is a stream of six events that breaks off after the third.
func brokenStream(string) string { return headStream + chunked + chunks(eventText(1, 3), false) }

// newContinuationGateway returns a gateway with an instance whose stream breaks off, and
// one that answers the continuation. The second one becomes known when the first one has
// been asked.
func newContinuationGateway(t *testing.T, maxAttempts int, instances ...*rawInstance) *Gateway {
	t.Helper()
	route := routing.Route{Kind: routing.Streaming, Timeout: 5 * time.Second, MaxAttempts: maxAttempts, Resumable: true}
	g := newTestGateway(t, route, http.NotFoundHandler())
	g.protocol = refusingProtocol{}
	g.budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second, Reserve: 100}, func() int { return 1 }, time.Time{})
	records := []fleet.Record{{ID: "i", Revision: 9}}
	for n, in := range instances {
		id := fmt.Sprint("c", n)
		records = append(records, fleet.Record{ID: id, Revision: 9, Instance: &fleet.Instance{
			ID: id, Service: "s", Slots: 1, Address: in.start(t),
		}})
	}
	g.directory.Update(records, time.Now())
	return g
}

// read reads a stream to its end.
func readStream(t *testing.T, g *Gateway, last string) (body string, status int, err error) {
	t.Helper()
	frontend := httptest.NewServer(g)
	defer frontend.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, frontend.URL+"/x", nil)
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "1")
	if last != "" {
		req.Header.Set("Last", last)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.StatusCode, err
}

const httpHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"

// oddContinuations holds responses to a request that continues a stream after its third
// event, none of which completes the stream.
func oddContinuations() map[string]string {
	status := func(text, headers, body string) string {
		return withLength("HTTP/1.1 "+text+"\r\nId: $ID\r\n"+headers, body)
	}
	long := strings.Repeat("data: error\n\n", 3*maxBufferedBytes/13)
	return map[string]string{
		"500 short":               status("500 Internal Server Error", "", "data: failed\n\n"),
		"500 short, sealed":       status("500 Internal Server Error", "Seal: s\r\n", "failed"),
		"500 long":                status("500 Internal Server Error", "", long),
		"500 long, chunked":       "HTTP/1.1 500 Error\r\nId: $ID\r\n" + chunked + chunks(long, true),
		"500 until close":         "HTTP/1.1 500 Error\r\nId: $ID\r\n\r\nfailed",
		"502 as events":           status("502 Bad Gateway", "Content-Type: text/event-stream\r\n", eventText(4, 6)),
		"400":                     status("400 Bad Request", "", "data: failed\n\n"),
		"404":                     status("404 Not Found", "", "failed"),
		"429":                     status("429 Too Many Requests", "", "failed"),
		"503 not run":             status("503 Service Unavailable", "Not-Run: 1\r\n", "failed"),
		"421":                     status("421 Misdirected Request", "", "failed"),
		"204":                     "HTTP/1.1 204 No Content\r\nId: $ID\r\n\r\n",
		"204, sealed":             "HTTP/1.1 204 No Content\r\nId: $ID\r\nSeal: s\r\n\r\n",
		"206":                     status("206 Partial Content", "Seal: s\r\nContent-Type: text/event-stream\r\n", eventText(4, 6)),
		"302":                     status("302 Found", "Location: /y\r\n", eventText(4, 6)),
		"200, no seal":            status("200 OK", "Content-Type: text/event-stream\r\n", eventText(4, 6)),
		"200, JSON":               withLength(headOK+"Content-Type: application/json\r\n", `{"error":"failed"}`+"\n\n"),
		"200, JSON as events":     withLength(headOK+"Content-Type: application/json\r\n", eventText(4, 6)),
		"200, no type":            withLength(headOK, "data: failed\n\n"),
		"200, encoded":            withLength(headStream+"Content-Encoding: gzip\r\n", eventText(4, 6)),
		"empty, length":           withLength(headStream, ""),
		"empty, chunked":          headStream + chunked + chunks("", true),
		"empty, until close":      headStream + "\r\n",
		"breaks off":              headStream + chunked + chunks(eventText(4, 4)+"id: 5\nda", false),
		"breaks off, length":      headStream + "Content-Length: 500\r\n\r\n" + eventText(4, 5),
		"closed at once":          "",
		"no response":             "failed\r\n\r\n",
		"ids again from 1, short": headStream + chunked + chunks(eventText(1, 2), true),
		"ids with a gap":          headStream + chunked + chunks(eventText(5, 6), true),
		"no ids":                  headStream + chunked + chunks("data: token\n\n", true),
		"no id, after events":     headStream + chunked + chunks(eventText(4, 5)+"data: failed\n\n", true),
		"head as an event":        headStream + chunked + chunks(httpHead, true),
		"head after events":       headStream + chunked + chunks(eventText(4, 5)+httpHead+"\n\n", true),
		"head within an event":    headStream + chunked + chunks(eventText(4, 5)+"id: 6\ndata: tok"+httpHead+"\n\n", true),
		"head with an id":         headStream + chunked + chunks("HTTP/1.1 500 Error\r\nid: 4\r\n\r\nfailed\r\n\r\n", true),
		"head, until close":       headStream + "\r\n" + eventText(4, 5) + httpHead + "\n\n",
		"text as an event":        headStream + chunked + chunks("upstream failed\n\n", true),
		"JSON as an event":        headStream + chunked + chunks(`{"error":"failed"}`+"\n\n", true),
		"only comments":           headStream + chunked + chunks(":\n\n:\n\n", true),
	}
}

// Guards against a stream that has begun and goes on with anything but its events, or
// whose end looks complete although it is not, when the instance that continues it
// answers otherwise than with the rest of the stream.
func TestOddContinuationsDoNotReachTheClient(t *testing.T) {
	for name, response := range oddContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := &rawInstance{}
			in.respond = func(last string) string {
				if last == "" {
					return brokenStream("")
				}
				return response
			}
			body, status, err := readStream(t, newContinuationGateway(t, 2, in, &rawInstance{respond: in.respond}), "")
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, err != nil, "the stream looks complete: %q", body)
			comments := strings.ReplaceAll(body, ":\n\n", "")
			assert.Assert(t, strings.HasPrefix(eventText(1, 6), comments), "%q", body)
			assert.Assert(t, strings.HasPrefix(body, eventText(1, 3)), "%q", body)
		})
	}
}

// Guards against a stream that ends although a third instance can continue it, after an
// instance that answered as if there were nothing to continue.
func TestStreamGoesOnAfterAnOddContinuation(t *testing.T) {
	for _, name := range []string{
		"500 short", "503 not run", "200, JSON", "empty, length", "empty, chunked", "no ids", "head as an event", "text as an event",
		"ids again from 1, short", "200, no seal",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			continuations := 0
			respond := func(last string) string {
				mu.Lock()
				defer mu.Unlock()
				if last == "" {
					return brokenStream("")
				}
				if continuations++; continuations == 1 {
					return oddContinuations()[name]
				}
				return headStream + chunked + chunks(eventText(4, 6), true)
			}
			g := newContinuationGateway(t, 3, &rawInstance{respond: respond}, &rawInstance{respond: respond}, &rawInstance{respond: respond})
			body, _, err := readStream(t, g, "")
			assert.NilError(t, err)
			assert.Equal(t, body, eventText(1, 6))
		})
	}
}

// Guards against sound continuations that are taken for odd ones: events that the client
// has, comments and empty lines, fields without a value, a line with the version of the
// weights, and lines that end with a carriage return.
func TestSoundContinuations(t *testing.T) {
	for name, text := range map[string]string{
		"plain":       eventText(4, 6),
		"sent before": eventText(1, 6),
		"comments":    ": ping\n\n\n" + eventText(4, 6) + ":\n\n",
		"fields":      "event: token\nretry: 5\nid: 4\ndata\ndata: token 4\n\n" + eventText(5, 6),
		"version":     "x-weight-versions: 3\nid: 4\ndata: HTTP/1.1 500 Error\n\n" + eventText(5, 6),
		"returns":     strings.ReplaceAll(eventText(4, 6), "\n", "\r\n"),
		"retry alone": "retry: 1000\n\n" + eventText(4, 6),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(last string) string {
				if last == "" {
					return brokenStream("")
				}
				return headStream + chunked + chunks(text, true)
			}
			body, _, err := readStream(t, newContinuationGateway(t, 2, &rawInstance{respond: respond}, &rawInstance{respond: respond}), "")
			assert.NilError(t, err)
			want := eventText(1, 3) + text
			if name == "sent before" {
				want = eventText(1, 6)
			}
			assert.Equal(t, body, want)
		})
	}
}

// Guards against a stream without ids that is repeated from its start after the client
// has received some of it.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	in := &rawInstance{respond: func(string) string {
		return headStream + chunked + chunks("data: a\n\ndata: b\n\n", false)
	}}
	other := &rawInstance{respond: in.respond}
	body, _, err := readStream(t, newContinuationGateway(t, 3, in, other), "")
	assert.Assert(t, err != nil)
	assert.Equal(t, body, "data: a\n\ndata: b\n\n")
	assert.Equal(t, len(in.requests())+len(other.requests()), 1)
}

// Guards against a client that resumes a stream and is told that it is complete by an
// instance that sent only events which the client has, and against one that is not told
// so if the stream has no more events.
func TestClientResumesStream(t *testing.T) {
	serve := func(text string) *rawInstance {
		return &rawInstance{respond: func(string) string { return headStream + chunked + chunks(text, true) }}
	}
	body, status, err := readStream(t, newContinuationGateway(t, 1, serve(eventText(1, 2))), "3")
	assert.Assert(t, err != nil || status >= 500, "%d %q", status, body)
	body, status, err = readStream(t, newContinuationGateway(t, 1, serve("")), "3")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "")
}
