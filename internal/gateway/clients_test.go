package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections of clients that stay open for ever, and against
// ones that are closed while a request is served.
func TestIdleConnections(t *testing.T) {
	idle, far := net.Pipe()
	active, other := net.Pipe()
	defer func() { _ = far.Close(); _ = other.Close(); _ = active.Close() }()
	i := newIdleConnections()
	i.track(idle, http.StateActive)
	i.track(idle, http.StateIdle)
	i.track(active, http.StateIdle)
	i.track(active, http.StateActive)
	i.reap(time.Minute, time.Now())
	assert.Equal(t, len(i.since), 1)
	i.reap(time.Minute, time.Now().Add(2*time.Minute))
	_, err := idle.Write([]byte("x"))
	assert.ErrorContains(t, err, "closed")
	assert.NilError(t, active.SetDeadline(time.Time{}))
	assert.Equal(t, len(i.since), 0)
}

// Guards against headers that are counted too small.
func TestHeaderBytes(t *testing.T) {
	assert.Equal(t, headerBytes(http.Header{"A": {"1", "22"}, "Bc": {""}}), int64(len("A: 1\r\nA: 22\r\nBc: \r\n")))
}
