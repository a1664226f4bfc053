// Package process holds what the entry and the sidecar have in common as
// processes: defaults of options, HTTP servers and planned stops.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

// ErrDrainTimeout is returned by a process whose planned stop interrupted work
// in progress because the drain timeout passed.
var ErrDrainTimeout = errors.New("process: work in progress was interrupted by the drain timeout")

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 5 * time.Second
	// idlePoll is how often WaitIdle looks.
	idlePoll = 20 * time.Millisecond
)

// SetDefault sets a field that has its zero value.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// NewServer returns an HTTP server with bounded header reading.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// Serve serves until the server is closed, over TLS if config is set. It
// returns nil after a planned close.
func Serve(server *http.Server, listener net.Listener, config *tls.Config) error {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// WaitIdle waits until idle returns true. It returns ErrDrainTimeout if ctx
// ends first.
func WaitIdle(ctx context.Context, idle func() bool) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for !idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrDrainTimeout
		}
	}
	return nil
}

// RunEvery calls work at each interval until ctx ends.
func RunEvery(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work(now)
		}
	}
}

// IgnoreCanceled drops the error of a context that was cancelled on purpose.
func IgnoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
