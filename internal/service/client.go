// Package service implements the HTTP client for plain services.
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

	"github.com/nutmegroute/nutmegroute/internal/httpclient"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

var (
	// ErrNotSent is returned if nothing was sent to the service. The call has not
	// run.
	ErrNotSent = eris.New("service: nothing was sent")
	// ErrNoResponse is returned if the call may have reached the service but no
	// complete response was received, also if its headers arrived and its body
	// broke off. The call may have run.
	ErrNoResponse = eris.New("service: no response")
	// ErrResponseTooLarge is returned if the call ran but the body of its
	// response exceeds MaxResponseBytes.
	ErrResponseTooLarge = eris.New("service: response too large")
)

// MaxResponseBytes is the maximum size of a response body in bytes. The response
// is stored in an operation record, which as a whole is subject to the
// platform's limit of 1 MB per value.
const MaxResponseBytes = 256 << 10

// HeaderIdempotencyKey and HeaderRequestID are the names of the headers that
// identify a call to the service.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Nutmegroute-Request-Id"
)

// Request describes one call of an operation of the service.
type Request struct {
	ID        request.ID
	Operation string
	// Method is the HTTP method. Default POST.
	Method         string
	IdempotencyKey string
	// ContentType is the media type of Body. Default application/json.
	ContentType string
	Body        []byte
}

// Response is the service's response, with any status.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls one plain service. It is safe for concurrent use. It sets no
// timeouts; the context of each call bounds its duration.
type Client struct {
	baseURL string
	http    http.Client
}

// NewClient returns a client for the service at baseURL, for example
// "http://127.0.0.1:8000". The client uses a copy of httpClient or, if httpClient
// is nil, an HTTP client without a proxy. Redirects are never followed, and
// connections are never reused if the transport is an *http.Transport.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/")}
	if httpClient != nil {
		c.http = *httpClient
	}
	// Connections are not reused, because net/http automatically retries a request
	// with an Idempotency-Key header if a reused connection breaks. It does not
	// retry if a new connection breaks.
	switch t := c.http.Transport.(type) {
	case nil:
		c.http.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	case *http.Transport:
		t = t.Clone()
		t.DisableKeepAlives = true
		c.http.Transport = t
	}
	c.http.Transport = httpclient.CheckedTransport{Next: c.http.Transport}
	// Following a redirect with status 307 or 308 would send the call again.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Call sends one call at most once. Its errors are ErrNotSent, ErrNoResponse and
// ErrResponseTooLarge. With the latter two, Response holds the status and the
// content type if they were received.
func (c *Client) Call(ctx context.Context, call Request) (Response, error) {
	var mayHaveSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayHaveSent.Store(true) },
	})
	r, err := c.newRequest(ctx, call)
	if err != nil {
		return Response{}, eris.Wrapf(ErrNotSent, "operation %q: %v", call.Operation, err)
	}
	httpResponse, err := c.http.Do(r)
	if err != nil {
		errorClass := ErrNotSent
		if mayHaveSent.Load() {
			errorClass = ErrNoResponse
		}
		return Response{}, eris.Wrapf(errorClass, "operation %q: %v", call.Operation, err)
	}
	defer httpResponse.Body.Close()
	response := Response{Status: httpResponse.StatusCode, ContentType: httpResponse.Header.Get("Content-Type")}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, MaxResponseBytes+1))
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
	// Without GetBody, the transport can't send the body again.
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

// Probe opens and closes a connection to the service without sending data. It
// returns ErrNotSent if the connection can't be established or the URL of the
// service is invalid.
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
