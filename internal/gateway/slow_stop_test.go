package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// timedOut is how a request ends that may have run and met its deadline.
const timedOut ending = "timed out"

// Guards against requests that a stopping gateway sends late, because their instance is expected to
// answer in time, and interrupts, because it is sound but slower: those that have waited for the
// instance as well as new ones. Only a deadline before the end of the stop lets them be sent.
func TestSlowInstanceInAStop(t *testing.T) {
	const (
		stopTime = 6400 * time.Millisecond // the last answers are given after 5.9 s
		freeAt   = 3 * time.Second         // after the start of the stop
		workTime = 5 * time.Second
		long     = 20 * time.Second
	)
	tests := []struct {
		name string
		// held is true if another request holds the instance until freeAt.
		held    bool
		sentAt  time.Duration
		timeout time.Duration
		want    ending
	}{
		{"waits since before the stop", true, -100 * time.Millisecond, long, refused},
		{"waits since its start", true, time.Second, long, refused},
		{"waits, with a deadline before the end", true, 2800 * time.Millisecond, 2500 * time.Millisecond, timedOut},
		{"sent at the start", false, time.Second, long, unknown},
		{"sent late", false, freeAt, long, refused},
		{"sent late, with a deadline before the end", false, freeAt, 700 * time.Millisecond, timedOut},
	}
	for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Streaming} {
		for _, tt := range tests {
			t.Run(fmt.Sprint(kind, " ", tt.name), func(t *testing.T) {
				t.Parallel()
				var got atomic.Bool
				released := make(chan struct{})
				g := newTestGateway(t, routing.Route{Kind: kind, Timeout: long, MaxAttempts: 1},
					http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						w.Header().Set("Id", r.Header.Get("Id"))
						if r.Header.Get("Id") == "2" {
							sendEventsUntil(w, released)
							return
						}
						got.Store(true)
						select {
						case <-time.After(workTime):
						case <-r.Context().Done():
						}
					}))
				g.settings.DrainTimeout = stopTime
				server, address := serveClients(t, g)
				c, holder, unfinished := dialClient(t, address), dialClient(t, address), dialClient(t, address)
				unfinished.write("POST /x HTTP/1.1\r\nHost: h\r\nId: 3\r\nContent-Length: 4\r\n\r\n") // keeps the gateway from an early exit
				if tt.held {
					holder.write(holderRequest[:4])
					holder.startHolder(g)
				}
				begin := time.Now().Add(max(-tt.sentAt, 0))
				time.AfterFunc(time.Until(begin.Add(freeAt)), func() { close(released) })
				drained := make(chan error, 1)
				go func() {
					sleepUntil(begin)
					drained <- g.drain(server, begin)
				}()
				request := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTimeout: %v\r\nContent-Length: 0\r\n\r\n", tt.timeout)
				// The gateway closes connections on which no part of a request has arrived.
				c.write(request[:1])
				sleepUntil(begin.Add(tt.sentAt))
				c.write(request[1:])
				ended, err := c.readEnding(&got)
				assert.Equal(t, ended, tt.want, "%v", err)
				if err := <-drained; tt.want != unknown {
					assert.NilError(t, err, "work on a request was interrupted")
				}
			})
		}
	}
}

// sendEventsUntil sends events until the channel is closed: a silent instance would count as lost.
func sendEventsUntil(w http.ResponseWriter, end <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(50 * time.Millisecond):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
}
