// Package httpclient provides the common parts of HTTP clients that must know
// whether a failed request may have been processed.
package httpclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// maxIdleConnections is the maximum number of idle connections to one server.
const maxIdleConnections = 8

// New returns a client that uses no proxy and does not follow redirects, but
// returns them as responses: following a redirect would send a write a second
// time. A response whose status is not final is an error.
func New() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnections
	return &http.Client{
		Transport:     CheckedTransport{Next: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// TraceSent returns a context for one PUT, POST or DELETE request. The function
// sent reports whether any byte of the request may have been written: it returns
// true as soon as net/http has obtained a connection for the request. net/http
// retries such a request only if it wrote nothing to the previous connection, so
// sent returns false once net/http asks for another connection.
func TraceSent(ctx context.Context) (traced context.Context, sent func() bool) {
	var mayHaveSent atomic.Bool
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { mayHaveSent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { mayHaveSent.Store(true) },
	})
	return traced, mayHaveSent.Load
}
