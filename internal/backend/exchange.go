package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/httpclient"
)

// Request is an HTTP request to an instance. The same Request can be sent more
// than once.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the client's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

var (
	// ErrNotSent means that no part of the request was sent to the instance.
	ErrNotSent = errors.New("backend: request not sent")
	// ErrExchangeFailed means that the connection failed while the request was
	// sent or its response was received, or that the response is malformed; the
	// request may have run.
	ErrExchangeFailed = errors.New("backend: exchange broken")
	// ErrUnmatchedResponse means that a response belongs to another request and
	// that the connection can't deliver a further response, or that more than
	// maxSkippedResponses responses of other requests arrived.
	ErrUnmatchedResponse = errors.New("backend: response of another request")
)

// Options configures one exchange.
type Options struct {
	// Deadline is the time at which the exchange fails.
	Deadline time.Time
	// MaxIdle is the maximum idle time of a pooled connection that the exchange
	// reuses.
	MaxIdle time.Duration
	// NewConnection makes the exchange use a new connection.
	NewConnection bool
	// Matches reports whether a response belongs to the request. reused is true if
	// the connection carried other requests before. Other responses are skipped. If
	// nil, the first response is returned.
	Matches func(r *http.Response, reused bool) bool
	// OnStall, if set, is called every StallInterval while the exchange makes no
	// progress. If OnStall returns an error, the exchange fails. Progress is reported
	// by Exchange.Progress, and made by the arrival of ProgressBytes unless that is 0:
	// single bytes are no progress.
	StallInterval time.Duration
	OnStall       StallFunc
	ProgressBytes int
}

// StallFunc is called while an exchange makes no progress; waited is the time since the last
// progress. again is the time until the next call, 0 for Options.StallInterval. If err is not
// nil, the exchange fails with it.
type StallFunc func(waited time.Duration) (again time.Duration, err error)

// Exchange is a request that was sent and a response whose headers have been
// received.
type Exchange struct {
	Response *http.Response

	pool             *Pool
	conn             *conn
	stopContextWatch func() bool
	ended            bool
}

const (
	// maxSkippedResponses is the maximum number of responses of other requests that
	// an exchange skips, maxInterimResponses that of interim responses.
	maxSkippedResponses = 2
	maxInterimResponses = 8
	// maxCopiedBody is the size up to which the body of a request is copied behind its head.
	maxCopiedBody = 64 << 10
	// maxHeadBytes bounds the head of a response, maxSkippedBytes the body of a
	// response that is skipped. A server in trouble may send bytes without end.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 256 << 10
)

// Do sends a request and returns once the headers of its response have been
// received. The caller must call Finish or Abort on the exchange. If ctx is
// cancelled, the connection is closed. The error wraps ErrNotSent or
// ErrExchangeFailed.
func (p *Pool) Do(ctx context.Context, address string, r *Request, o Options) (*Exchange, error) {
	dialCtx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	c, err := p.get(dialCtx, address, o)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	x := &Exchange{pool: p, conn: c}
	x.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	c.begin(o)
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

// send writes the whole request. If it cannot be written completely, the exchange fails. A
// small body is written together with the head; a large one is not copied for that.
func (x *Exchange) send(r *Request, deadline time.Time) error {
	var b bytes.Buffer
	together := len(r.Body) <= maxCopiedBody
	if together {
		b.Grow(len(r.Body) + 1024)
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if together {
		b.Write(r.Body)
	}
	if err := x.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil || together {
		return err
	}
	_, err := x.conn.Write(r.Body)
	return err
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the headers of the response. It skips interim (1xx) responses
// and responses that belong to other requests. A response with a status outside the protocol is
// none, whatever follows it: the server is in trouble, and the request may have run.
func (x *Exchange) receive(r *Request, matches func(*http.Response, bool) bool) error {
	request := &http.Request{Method: r.Method}
	skipped, interim := 0, 0
	for skipped <= maxSkippedResponses && interim <= maxInterimResponses {
		resp, err := x.readHead(request)
		if err != nil {
			return err
		}
		switch httpclient.ClassifyStatus(resp.StatusCode) {
		case httpclient.StatusInvalid:
			return fmt.Errorf("%w: %q", httpclient.ErrInvalidStatus, resp.Status)
		case httpclient.StatusInterim:
			interim++
			continue
		}
		if matches == nil || matches(resp, x.conn.used) {
			x.Response = resp
			return nil
		}
		if resp.Close || endsWithConnection(resp) {
			return ErrUnmatchedResponse
		}
		if err := discard(resp.Body); err != nil {
			return err
		}
		skipped++
	}
	return ErrUnmatchedResponse
}

// readHead reads the head of a response.
func (x *Exchange) readHead(request *http.Request) (*http.Response, error) {
	x.conn.headBytesLeft = maxHeadBytes
	x.conn.limitsHead = true
	defer func() { x.conn.limitsHead = false }()
	return http.ReadResponse(x.conn.reader, request)
}

// discard reads a body to its end, which must come within maxSkippedBytes.
func discard(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxSkippedBytes+1)
	if err == nil {
		return ErrUnmatchedResponse
	}
	if errors.Is(err, io.EOF) && n <= maxSkippedBytes {
		return nil
	}
	return err
}

// Progress records that the exchange makes progress, such as after an event of a
// stream.
func (x *Exchange) Progress() { x.conn.recordProgress() }

// Finish ends an exchange whose response body has been read to its end. It
// returns the connection to the pool if it can be reused.
func (x *Exchange) Finish() {
	if x.ended {
		return
	}
	x.ended = true
	if !x.stopContextWatch() {
		// The context was cancelled, which closes the connection.
		return
	}
	if x.Response.Close || x.EndsWithConnection() || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn, keepAliveTimeout(x.Response.Header))
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so that
// the end of the connection is its end.
func (x *Exchange) EndsWithConnection() bool { return endsWithConnection(x.Response) }

func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Abort ends an exchange and closes its connection, so that the instance cancels
// the request.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.stopContextWatch()
	_ = x.conn.Close()
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, after
// which the instance closes an idle connection, minus a safety margin. The
// default is maxIdleTime.
func keepAliveTimeout(h http.Header) time.Duration {
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
	return maxIdleTime
}
