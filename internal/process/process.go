// Package process provides helpers shared by the entry, sidecar and gateway
// processes: option defaults, HTTP servers, periodic tasks and graceful
// shutdown.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

// ErrDrainTimeout is returned by a graceful shutdown if the drain timeout expired
// before the work in progress had ended.
var ErrDrainTimeout = errors.New("process: work in progress was interrupted by the drain timeout")

const (
	// readHeaderTimeout limits the time to read request headers.
	readHeaderTimeout = 5 * time.Second
	// idlePollInterval is the time between two checks of WaitIdle.
	idlePollInterval = 20 * time.Millisecond
)

// SetDefault sets *field to value if *field is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// NewServer returns an HTTP server with a timeout for reading request headers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// Serve accepts connections until the server is closed or shut down, and then
// returns nil. It returns any other error of the server. It uses TLS if config is
// not nil.
func Serve(server *http.Server, listener net.Listener, config *tls.Config) error {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// WaitIdle polls idle until it returns true. It returns ErrDrainTimeout if ctx
// is done first.
func WaitIdle(ctx context.Context, idle func() bool) error {
	ticker := time.NewTicker(idlePollInterval)
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

// RunEvery calls work once per interval until ctx is done.
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

// IgnoreCanceled returns nil for context.Canceled, the error of work that was
// stopped on purpose, and err otherwise.
func IgnoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
