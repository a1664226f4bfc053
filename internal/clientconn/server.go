package clientconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// serverIdle bounds how long a connection of a protected server may be idle.
	serverIdle = 2 * time.Minute
	// serverHeaderBytes bounds the head of a request to a protected server.
	serverHeaderBytes = 16 << 10
)

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// SetTeam names the team of a request to a protected server.
func SetTeam(r *http.Request, team string) {
	if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
		conn.account.SetTeam(team)
	}
}

// Protect makes a server account for its requests. Its listener must be one of Listen. Limits
// that are set already are kept.
func (g *Guard) Protect(s *http.Server) {
	if s.IdleTimeout == 0 {
		s.IdleTimeout = serverIdle
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = serverHeaderBytes
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.SetIdle()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !conn.BeginRequest(r) {
			g.observer.RequestRefused(r.RemoteAddr)
			LimitDiscard(w, DiscardTime)
			w.Header().Set("Retry-After", "1")
			http.Error(w, ErrNoMemory.Error(), http.StatusServiceUnavailable)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &accountedBody{ReadCloser: r.Body, guard: g, conn: conn, left: r.ContentLength}
			defer LimitDiscard(w, DiscardTime)
		}
		next.ServeHTTP(w, r)
	})
}
