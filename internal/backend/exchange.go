package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request to an instance. It can be sent more than once.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

var (
	// ErrNotSent means that nothing of the request reached the instance.
	ErrNotSent = errors.New("backend: request not sent")
	// ErrExchangeFailed means that the connection ended or the response is not one;
	// the request may have run.
	ErrExchangeFailed = errors.New("backend: exchange broken")
	// ErrUnmatchedResponse means that the bytes after a response belong to no request.
	ErrUnmatchedResponse = errors.New("backend: response of another request")
)

// Options are the limits of one exchange.
type Options struct {
	// Deadline ends the exchange.
	Deadline time.Time
	// MaxIdle is the longest time that the connection may have been unused.
	MaxIdle time.Duration
	// Matches reports whether a response belongs to the request. A response
	// that doesn't is skipped.
	Matches func(*http.Response) bool
	// StallInterval and OnStall, if set, call back every StallInterval while no
	// data arrives; an error ends the exchange.
	StallInterval time.Duration
	OnStall       func(waited time.Duration) error
}

// Exchange is a request whose response has begun.
type Exchange struct {
	Response *http.Response

	pool     *Pool
	conn     *conn
	unwatch  func() bool
	finished bool
}

// maxSkipped bounds the responses of other requests that are skipped.
const maxSkipped = 2

// Do sends a request and returns when the headers of its response are in. The
// caller must end the exchange with Finish or Abort. The error wraps
// ErrNotSent or ErrExchangeFailed.
func (p *Pool) Do(ctx context.Context, address string, r *Request, o Options) (*Exchange, error) {
	dialCtx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	c, err := p.get(dialCtx, address, o.MaxIdle)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	x := &Exchange{pool: p, conn: c}
	x.unwatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	c.deadline, c.stallAfter, c.onStall = o.Deadline, o.StallInterval, o.OnStall
	if err := x.send(r, o.Deadline); err != nil {
		x.Abort()
		return nil, errors.Join(ErrExchangeFailed, err)
	}
	if err := x.receive(r, o.Matches); err != nil {
		x.Abort()
		return nil, errors.Join(ErrExchangeFailed, err)
	}
	return x, nil
}

// send writes the whole request in one call, so that it is either passed to
// the connection completely or the exchange ends.
func (x *Exchange) send(r *Request, deadline time.Time) error {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if err := x.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := x.conn.Write(b.Bytes())
	return err
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the headers of the response. Responses that belong to other
// requests are skipped.
func (x *Exchange) receive(r *Request, mine func(*http.Response) bool) error {
	request := &http.Request{Method: r.Method}
	for skipped := 0; skipped <= maxSkipped; {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if mine == nil || mine(resp) {
			x.Response = resp
			return nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return ErrUnmatchedResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		skipped++
	}
	return ErrUnmatchedResponse
}

// Finish ends an exchange whose response was read to its end, and keeps the
// connection if it can be used again.
func (x *Exchange) Finish() {
	if x.finished {
		return
	}
	x.finished = true
	if !x.unwatch() {
		// The context ended and closes the connection.
		return
	}
	resp := x.Response
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if resp.Close || !framed || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn, keepAlive(resp.Header))
}

// Abort ends an exchange and closes its connection, which makes the instance
// drop the request.
func (x *Exchange) Abort() {
	if x.finished {
		return
	}
	x.finished = true
	x.unwatch()
	_ = x.conn.Close()
}

// keepAlive returns how long the instance keeps an unused connection, less a
// margin.
func keepAlive(h http.Header) time.Duration {
	const margin = 500 * time.Millisecond
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - margin
		}
	}
	return idleLimit
}
