// Package httpclient holds what the HTTP clients share that must tell whether
// a failed request may have been processed.
package httpclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// maxIdleConnections bounds the idle connections to one server.
const maxIdleConnections = 8

// New returns a client that uses no proxy and returns a redirect as the
// response: following one would send a write a second time.
func New() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnections
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// TraceSent returns a context for one PUT, POST or DELETE. sent reports whether
// any byte of the request may have been written. net/http repeats such a
// request only if it wrote nothing to the previous connection, so the request
// is unsent again when it asks for another one.
func TraceSent(ctx context.Context) (traced context.Context, sent func() bool) {
	var flag atomic.Bool
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { flag.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { flag.Store(true) },
	})
	return traced, flag.Load
}
