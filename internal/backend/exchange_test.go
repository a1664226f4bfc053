package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve accepts connections and answers each with a function of its own; it
// returns the address.
func serve(t *testing.T, answer func(n int, c net.Conn, r *bufio.Reader)) string {
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
				answer(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func post(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	}
}

func options(id string) Options {
	return Options{
		Deadline: time.Now().Add(5 * time.Second), MaxIdle: time.Second,
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// exchange sends a request and returns the body of its response.
func exchange(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	x, err := p.Do(context.Background(), address, post(id), options(id))
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

// Guards against a late response of one request that is taken for that of the
// next request on the connection.
func TestResponsesOfOtherRequestsAreSkipped(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
		body, err := exchange(t, p, address, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "for "+id)
	}
}

// Guards against a connection that is used again after bytes that belong to no
// request.
func TestConnectionsWithExtraBytesAreClosed(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response("1", fmt.Sprint("connection ", n))+"extra")
		_, _ = readRequest(r)
	})
	p := NewPool()
	for n := range 2 {
		body, err := exchange(t, p, address, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, fmt.Sprint("connection ", n))
	}
}

// Guards against truncated responses that look complete, and against errors
// that do not say whether the request may have run.
func TestBrokenExchanges(t *testing.T) {
	tests := []struct {
		name, answer string
	}{
		{"no answer", ""},
		{"not HTTP", "garbage\r\n\r\n"},
		{"short body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort"},
		{"unfinished chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tt.answer)
			})
			_, err := exchange(t, NewPool(), address, "1")
			assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
		})
	}
}

// Guards against a request that counts as sent though nothing accepted it.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = exchange(t, NewPool(), address, "1")
	assert.ErrorIs(t, err, ErrNotSent)
}

// Guards against an unused connection that its peer has closed: a request that
// may not be repeated would be lost on it.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, response("1", "ok"))
	})
	p := NewPool()
	for range 3 {
		_, err := exchange(t, p, address, "1")
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a wait for a silent instance that nothing can end, and
// against a stall check that loses bytes.
func TestStallChecks(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nab")
		<-release
		_, _ = io.WriteString(c, "cd")
	})
	o := options("1")
	checks := 0
	o.StallInterval = 20 * time.Millisecond
	o.OnStall = func(time.Duration) error {
		if checks++; checks == 3 {
			close(release)
		}
		return nil
	}
	x, err := NewPool().Do(context.Background(), address, post("1"), o)
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "abcd")
	x.Finish()

	stop := errors.New("stop")
	silent := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r); _, _ = readRequest(r) })
	o.OnStall = func(time.Duration) error { return stop }
	_, err = NewPool().Do(context.Background(), silent, post("1"), o)
	assert.ErrorIs(t, err, stop)
}

// Guards against an instance that works on after the client has left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, address, post("1"), options("1"))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}
