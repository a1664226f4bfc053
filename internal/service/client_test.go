package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reporting a call that may have run as not sent, which could
// cause a purchase to run twice, and against unbounded responses.
func TestCall(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name          string
		ctx           context.Context
		operation     string
		handler       http.HandlerFunc
		want          error
		status, calls int
	}{
		{"answered", t.Context(), "buy", respond(200, "ok"), nil, 200, 1},
		{"failing status", t.Context(), "buy", respond(500, "no"), nil, 500, 1},
		{"status outside the protocol", t.Context(), "buy", respond(600, "no"), ErrNoResponse, 0, 1},
		{"redirect", t.Context(), "buy", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, nil, http.StatusTemporaryRedirect, 1},
		{"connection refused", t.Context(), "buy", nil, ErrNotSent, 0, 0},
		{"invalid operation", t.Context(), "..", respond(200, ""), ErrNotSent, 0, 0},
		{"cancelled before sending", cancelled, "buy", respond(200, ""), ErrNotSent, 0, 0},
		{"connection closed without response", t.Context(), "buy", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrNoResponse, 0, 1},
		{"truncated response", t.Context(), "buy", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") }, ErrNoResponse, 200, 1},
		{"response too large", t.Context(), "buy", respond(200, strings.Repeat("x", MaxResponseBytes+1)), ErrResponseTooLarge, 200, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				calls.Add(1)
				tt.handler(w, r)
			}))
			defer server.Close()
			if tt.handler == nil {
				server.Close()
			}
			got, err := NewClient(server.URL, server.Client()).Call(tt.ctx, Request{Operation: tt.operation, IdempotencyKey: "k"})
			assert.ErrorIs(t, err, tt.want)
			assert.Equal(t, got.Status, tt.status)
			assert.Equal(t, int(calls.Load()), tt.calls)
		})
	}
}
