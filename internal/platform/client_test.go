package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestClient returns a client of a server with the given handler.
func newTestClient(t *testing.T, h http.HandlerFunc, options ...Option) *Client {
	server := httptest.NewServer(h)
	c := NewClient(server.URL, options...)
	t.Cleanup(func() { c.Close(); server.Close() })
	return c
}

// Guards against an error which says that a write was not applied although it may
// have been, and against ErrOutcomeUnknown for a write that was certainly not
// applied. Get returns ErrUnavailable where a write returns ErrOutcomeUnknown, and
// the same error as a write otherwise.
func TestWriteAndReadErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"overloaded":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, ErrUnavailable},
		"rate limited":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, ErrUnavailable},
		"server error":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, ErrOutcomeUnknown},
		"bad gateway":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, ErrOutcomeUnknown},
		"invalid":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, ErrRejected},
		"redirect":         {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) }, ErrRejected},
		"not found":        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, ErrNotFound},
		"aborted response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		"timeout":          {func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }, ErrOutcomeUnknown},
		"invalid JSON":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{") }, ErrOutcomeUnknown},
		"too large":        {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat(" ", 9999)) }, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, tc.handler, WithTimeout(200*time.Millisecond), WithMaxResponseBytes(1000))
			_, err := c.Create(context.Background(), "k", []byte("v"))
			assert.ErrorIs(t, err, tc.want)
			assert.ErrorIs(t, c.Delete(context.Background(), "k", 1), tc.want)
			if _, err = c.Get(context.Background(), "k"); errors.Is(tc.want, ErrOutcomeUnknown) {
				assert.ErrorIs(t, err, ErrUnavailable)
			} else {
				assert.ErrorIs(t, err, tc.want)
			}
		})
	}
	server := httptest.NewServer(nil)
	server.Close()
	_, err := NewClient(server.URL).Create(context.Background(), "k", nil)
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
}

// Guards against requests that do not follow the platform's HTTP API, against a
// conflict error without the stored version, and against a value above
// MaxValueBytes that is not rejected.
func TestRequests(t *testing.T) {
	// request is the method, the URL and the condition of the latest request. The
	// condition is If-Match followed by If-None-Match; at most one of them is set.
	var request string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		request = fmt.Sprint(r.Method, " ", r.URL, " ", r.Header.Get("If-Match"), r.Header.Get("If-None-Match"))
		if r.Header.Get("If-Match") == `"7"` {
			w.WriteHeader(412)
			fmt.Fprint(w, `{"key":"a/b c","version":9}`)
			return
		}
		fmt.Fprint(w, `{"version":3}`)
	})
	ctx := context.Background()
	o, err := c.Create(ctx, "a/b c", []byte("v"))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(3))
	assert.Equal(t, request, `PUT /v1/objects/a/b%20c *`)
	_, err = c.Update(ctx, "a/b c", 7, nil)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current.Version, uint64(9))
	assert.Assert(t, errors.Is(err, ErrConflict))
	_, err = c.List(ctx, "p/", "p/k", 5)
	assert.NilError(t, err)
	assert.Equal(t, request, "GET /v1/objects?after=p%2Fk&limit=5&prefix=p%2F ")
	_, err = c.Watch(ctx, "p/", 4, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, request, "GET /v1/watch?after=4&prefix=p%2F&timeout=2 ")
	_, err = c.Create(ctx, "k", make([]byte, MaxValueBytes+1))
	assert.ErrorIs(t, err, ErrRejected)
}
