// Package service is the HTTP client of a plain service.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

var (
	// ErrNotSent is returned when no byte was sent to the service, so the call
	// did not run.
	ErrNotSent = eris.New("service: nothing was sent")
	// ErrNoResponse is returned when the call may have reached the service but
	// no complete response came back. The call may have run.
	ErrNoResponse = eris.New("service: no response")
	// ErrResponseTooLarge is returned when the call ran but its response
	// exceeds MaxResponseBytes.
	ErrResponseTooLarge = eris.New("service: response too large")
)

// MaxResponseBytes bounds a response body in bytes. An operation record holds
// the response and shares the platform's 1 MB limit on values.
const MaxResponseBytes = 256 << 10

// HeaderIdempotencyKey and HeaderRequestID name the headers that pass a call's
// identity to the service.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Nutmegroute-Request-Id"
)

// Request is one call.
type Request struct {
	ID        request.ID
	Operation string
	// Method is the HTTP method. Default POST.
	Method         string
	IdempotencyKey string
	// ContentType of Body. Default application/json.
	ContentType string
	Body        []byte
}

// Response is what the service answered, whatever its status.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls one plain service. It is safe for concurrent use and sets no
// timeouts of its own; the caller's context bounds each call.
type Client struct {
	baseURL string
	http    http.Client
}

// NewClient returns a client of the service at baseURL, for example
// "http://127.0.0.1:8000". If httpClient is nil, a client without a proxy is
// used. Redirects are never followed and connections are never reused.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/")}
	if httpClient != nil {
		c.http = *httpClient
	}
	// net/http repeats a request with an Idempotency-Key header by itself when
	// a reused connection breaks, but never on a new connection.
	switch t := c.http.Transport.(type) {
	case nil:
		c.http.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	case *http.Transport:
		t = t.Clone()
		t.DisableKeepAlives = true
		c.http.Transport = t
	}
	// A followed 307 or 308 would send the call a second time.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Call sends one call, at most once. It returns ErrNotSent, ErrNoResponse or
// ErrResponseTooLarge; in the last two cases Response holds the status and
// headers if they arrived.
func (c *Client) Call(ctx context.Context, call Request) (Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := c.newRequest(ctx, call)
	if err != nil {
		return Response{}, eris.Wrapf(ErrNotSent, "operation %q: %v", call.Operation, err)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		class := ErrNotSent
		if sent.Load() {
			class = ErrNoResponse
		}
		return Response{}, eris.Wrapf(class, "operation %q: %v", call.Operation, err)
	}
	defer answer.Body.Close()
	response := Response{Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type")}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxResponseBytes+1))
	if err != nil {
		return response, eris.Wrapf(ErrNoResponse, "operation %q: %v", call.Operation, err)
	}
	if len(body) > MaxResponseBytes {
		return response, eris.Wrapf(ErrResponseTooLarge, "operation %q: over %d bytes", call.Operation, MaxResponseBytes)
	}
	response.Body = body
	return response, nil
}

func (c *Client) newRequest(ctx context.Context, call Request) (*http.Request, error) {
	if call.Operation == "" || call.Operation == "." || call.Operation == ".." {
		return nil, eris.New("invalid operation name")
	}
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+"/"+url.PathEscape(call.Operation), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the body again.
	r.GetBody = nil
	if call.IdempotencyKey != "" {
		r.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.ID != "" {
		r.Header.Set(HeaderRequestID, string(call.ID))
	}
	if len(call.Body) > 0 {
		contentType := call.ContentType
		if contentType == "" {
			contentType = "application/json"
		}
		r.Header.Set("Content-Type", contentType)
	}
	return r, nil
}

// Probe returns ErrNotSent if no connection to the service can be made. It
// sends nothing.
func (c *Client) Probe(ctx context.Context) error {
	u, err := url.Parse(c.baseURL)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return conn.Close()
}
