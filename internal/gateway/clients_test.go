package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against idle client connections that are never closed, and against
// connections that are closed while a request is served.
func TestIdleConnections(t *testing.T) {
	idle, idlePeer := net.Pipe()
	active, activePeer := net.Pipe()
	defer func() { _ = idlePeer.Close(); _ = activePeer.Close(); _ = active.Close() }()
	closed := 0
	onClose := func(net.Conn, time.Duration) { closed++ }
	conns := newIdleConnections()
	conns.track(idle, http.StateActive)
	conns.track(idle, http.StateIdle)
	conns.track(active, http.StateIdle)
	conns.track(active, http.StateActive)
	conns.closeIdle(time.Minute, time.Now(), onClose)
	assert.Equal(t, len(conns.idleSince), 1)
	assert.Equal(t, closed, 0)
	conns.closeIdle(time.Minute, time.Now().Add(2*time.Minute), onClose)
	_, err := idle.Write([]byte("x"))
	assert.ErrorContains(t, err, "closed")
	assert.NilError(t, active.SetDeadline(time.Time{}))
	assert.Equal(t, len(conns.idleSince), 0)
	assert.Equal(t, closed, 1)
}

// Guards against a header size that is computed too small.
func TestHeaderBytes(t *testing.T) {
	assert.Equal(t, headerBytes(http.Header{"A": {"1", "22"}, "Bc": {""}}), int64(len("A: 1\r\nA: 22\r\nBc: \r\n")))
}
