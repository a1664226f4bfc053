package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is closed after a pause of this process, or of
// all processes of a machine, before the peer had one ping interval to answer. The
// entry then replaces stages that work, whose replacements run the same positions
// again. A peer that stays silent must be detected one interval after the pause.
func TestPeerHasOneIntervalToAnswerAfterPause(t *testing.T) {
	const (
		interval = 250 * time.Millisecond
		idle     = time.Second
		// pauseStart is the first tick; the pause is longer than idle and ends
		// between two ticks.
		pauseStart = interval
		pauseEnd   = 9*interval + interval/2
	)
	for name, answers := range map[string]bool{"answer": true, "silence": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				// A clock that does not return during the pause stops the ping
				// loop like a suspended process.
				now := func() time.Time {
					if since := time.Since(start); since >= pauseStart && since < pauseEnd {
						time.Sleep(pauseEnd - since)
					}
					return time.Now()
				}
				n := NewNode(Hello{}, newRecorder(), func() uint64 { return 0 }, Options{PingInterval: interval, IdleTimeout: idle, Now: now})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := &Conn{node: n, dialedAddress: "peer", wakeup: make(chan struct{}, 1), cancel: cancel}
				c.lastRead.Store(start.UnixNano())
				go n.pingLoop(ctx, c)
				time.Sleep(pauseEnd + interval*4/5)
				synctest.Wait()
				assert.Assert(t, !c.TimedOut(), "the connection was closed less than one interval after the pause")
				if answers {
					c.lastRead.Store(time.Now().UnixNano())
				}
				time.Sleep(interval / 2)
				synctest.Wait()
				assert.Equal(t, c.TimedOut(), !answers)
			})
		})
	}
}
