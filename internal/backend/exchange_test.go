package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer starts a TCP server that runs handle for each connection, numbered
// from 0, and returns its address.
func startServer(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request and discards its body.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// response returns a complete response with the given Id header.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newPostRequest returns a POST request with the given Id header.
func newPostRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	}
}

func testOptions(id string) Options {
	return Options{
		Deadline: time.Now().Add(5 * time.Second), MaxIdle: time.Second,
		Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id },
	}
}

// doExchange sends a request with the given Id header and returns the body of the
// matching response.
func doExchange(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	return exchangeWith(t, p, address, id, testOptions(id))
}

// exchangeWith is doExchange with other options.
func exchangeWith(t *testing.T, p *Pool, address, id string, o Options) (string, error) {
	t.Helper()
	x, err := p.Do(context.Background(), address, newPostRequest(id), o)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x.Response.Body)
	if err != nil {
		x.Abort()
		return "", err
	}
	x.Finish()
	return string(body), nil
}

// Guards against a late or duplicate response of one request that is taken for
// the response of the next request on the same connection.
func TestResponsesOfOtherRequestsAreSkipped(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		last := ""
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if last != "" {
				_, _ = io.WriteString(c, response(last, "late"))
			}
			_, _ = io.WriteString(c, response(id, "for "+id))
			last = id
		}
	})
	p := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := doExchange(t, p, address, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "for "+id)
	}
}

// Guards against a response with a status outside the protocol that counts as an answer, or as an interim
// response, for which the exchange waits until its deadline or takes what follows. MIXED of issue 43.
func TestStatusOutsideTheProtocolIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "+20", "101", "600", "700", "999", "20", "2000", "abc", "-01"} {
		for name, rest := range map[string]string{
			"no body": "Id: 1\r\nContent-Length: 0\r\n\r\n", "a body": "Id: 1\r\nContent-Length: 4\r\n\r\nbody",
			"no end": "Id: 1\r\n\r\n", "a sound response behind": "Id: 1\r\n\r\n" + response("1", "sound"),
			"a response behind a length": "Id: 1\r\nContent-Length: 0\r\n\r\n" + response("1", "sound"),
		} {
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := readRequest(r); err == nil {
						_, _ = io.WriteString(c, interim+"HTTP/1.1 "+status+" Status\r\n"+rest)
						_, _ = r.ReadByte() // until the connection is closed
					}
				})
				options := testOptions("1")
				options.Deadline = time.Now().Add(time.Minute)
				started := time.Now()
				body, err := exchangeWith(t, NewPool(), address, "1", options)
				assert.ErrorIs(t, err, ErrExchangeFailed, "status %s with %s: %q", status, name, body)
				assert.Assert(t, time.Since(started) < time.Minute, "status %s with %s ended at the deadline", status, name)
			}
		}
	}
}

// Guards against interim responses that count as a failure.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Interim\r\n\r\n"+response("1", "sound"))
			}
		})
		body, err := doExchange(t, NewPool(), address, "1")
		assert.NilError(t, err, status)
		assert.Equal(t, body, "sound", status)
	}
}

// Guards against reuse of a connection on which unsolicited data follows the
// response.
func TestConnectionsWithExtraBytesAreClosed(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response("1", fmt.Sprint("connection ", n))+"extra")
		_, _ = readRequest(r)
	})
	p := NewPool()
	for n := range 2 {
		body, err := doExchange(t, p, address, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, fmt.Sprint("connection ", n))
	}
}

// Guards against truncated or malformed responses that are taken for complete
// ones, and against reporting a request as not sent although it may have run.
func TestIncompleteResponses(t *testing.T) {
	tests := []struct {
		name, answer string
	}{
		{"no response", ""},
		{"not HTTP", "garbage\r\n\r\n"},
		{"short body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort"},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tt.answer)
			})
			_, err := doExchange(t, NewPool(), address, "1")
			assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
		})
	}
}

// Guards against a request that is reported as sent although the connection was
// refused.
func TestFailedDialIsReportedNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = doExchange(t, NewPool(), address, "1")
	assert.ErrorIs(t, err, ErrNotSent)
}

// Guards against reuse of an idle connection that the instance has closed. A
// non-idempotent request sent on such a connection would be lost, because it
// can't be retried.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, response("1", "ok"))
	})
	p := NewPool()
	for range 3 {
		_, err := doExchange(t, p, address, "1")
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a stalled read that loses bytes when data arrives after calls of
// OnStall, and against a read from an unresponsive instance that continues
// although OnStall returned an error.
func TestStallCallbacks(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nab")
		<-release
		_, _ = io.WriteString(c, "cd")
	})
	o := testOptions("1")
	stallCalls := 0
	o.StallInterval = 20 * time.Millisecond
	o.OnStall = func(time.Duration) (time.Duration, error) {
		if stallCalls++; stallCalls == 3 {
			close(release)
		}
		return 0, nil
	}
	x, err := NewPool().Do(context.Background(), address, newPostRequest("1"), o)
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "abcd")
	x.Finish()

	errStop := errors.New("stop")
	// The second read keeps the connection open until the client closes it.
	unresponsiveAddress := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r); _, _ = readRequest(r) })
	o.OnStall = func(time.Duration) (time.Duration, error) { return 0, errStop }
	_, err = NewPool().Do(context.Background(), unresponsiveAddress, newPostRequest("1"), o)
	assert.ErrorIs(t, err, errStop)
}

// Guards against an instance that keeps running a request whose client has
// disconnected: cancelling the context must close the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, address, newPostRequest("1"), testOptions("1"))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after the context was cancelled")
	}
}

// endless writes text to c until the other side closes the connection.
func endless(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Guards against memory and time without bound when a server sends bytes without end
// that are no answer, in a status line, a header field, header fields, interim
// responses, or the body of a response of another request.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	for name, answer := range map[string][2]string{
		"status line":       {"", "x"},
		"header field":      {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "x"},
		"header fields":     {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body of another":   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer[0])
				endless(c, answer[1])
			})
			// The deadline is so late that only a limit can end the exchange before it.
			o := testOptions("1")
			o.Deadline = time.Now().Add(time.Minute)
			_, err := exchangeWith(t, NewPool(), address, "1", o)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "ended by the deadline, not by a limit: %v", err)
		})
	}
}

// Guards against a server that stalls but sends a byte now and then, and so never
// counts as stalled.
func TestTrickledBytesAreNoProgress(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100000\r\n\r\n")
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	stalled := errors.New("stalled")
	o := testOptions("1")
	o.StallInterval, o.ProgressBytes = 200*time.Millisecond, 1000
	o.OnStall = func(time.Duration) (time.Duration, error) { return 0, stalled }
	x, err := NewPool().Do(t.Context(), address, newPostRequest("1"), o)
	assert.NilError(t, err)
	defer x.Abort()
	_, err = io.ReadAll(x.Response.Body)
	assert.ErrorIs(t, err, stalled)
}

// Guards against a slow but sound response that counts as stalled: whenever enough
// bytes arrive within the interval, it makes progress.
func TestSlowResponseMakesProgress(t *testing.T) {
	const pieces, pieceBytes = 40, 1000
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes)
		for range pieces {
			_, _ = c.Write(make([]byte, pieceBytes))
			time.Sleep(10 * time.Millisecond)
		}
	})
	o := testOptions("1")
	o.StallInterval, o.ProgressBytes = 200*time.Millisecond, 1000
	o.OnStall = func(time.Duration) (time.Duration, error) { return 0, errors.New("stalled") }
	x, err := NewPool().Do(t.Context(), address, newPostRequest("1"), o)
	assert.NilError(t, err)
	defer x.Abort()
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), pieces*pieceBytes)
}

// Guards against a late response without an id on a connection in use again: only the
// first request of a connection can't have been preceded by another one.
func TestResponseIsMatchedOnReusedConnections(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := NewPool()
	o := testOptions("1")
	o.Matches = func(_ *http.Response, reused bool) bool { return !reused }
	for n := range 2 {
		x, err := p.Do(t.Context(), address, newPostRequest("1"), o)
		if n == 0 {
			assert.NilError(t, err)
			_, _ = io.ReadAll(x.Response.Body)
			x.Finish()
			continue
		}
		assert.Assert(t, err != nil)
	}
}

// Guards against a repeat of a request, which carries the same id, on a connection where its
// first answer may be written once more.
func TestNewConnectionIsNotReused(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, response("1", fmt.Sprint("connection ", n)))
		}
	})
	p := NewPool()
	for _, want := range []string{"connection 0", "connection 0"} {
		body, err := doExchange(t, p, address, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
	o := testOptions("1")
	o.NewConnection = true
	body, err := exchangeWith(t, p, address, "1", o)
	assert.NilError(t, err)
	assert.Equal(t, body, "connection 1")
}
