package gateway

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that counts as ended because it closed one connection,
// and against one that has ended and counts as running.
func TestEndDetectorTellsEndedInstancesFromClosedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d, now := newEndDetector(), time.Now()
	assert.Assert(t, !d.Ended(t.Context(), l.Addr().String(), now))
	assert.NilError(t, l.Close())
	assert.Assert(t, d.Ended(t.Context(), l.Addr().String(), now.Add(2*endCheckMaxAge)))
}
