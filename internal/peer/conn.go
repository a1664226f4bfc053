package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// Errors of a connection.
var (
	// ErrClosed is returned by Send on a closed connection.
	ErrClosed = errors.New("peer: connection closed")
	// ErrSendQueueFull is returned by Send if the peer reads too slowly or not
	// at all. Send then closes the connection, because dropping one frame would
	// leave a gap in the stream of frames.
	ErrSendQueueFull = errors.New("peer: send queue full")
)

const (
	// sendQueueBytes bounds the encoded frames in the send queue of one
	// connection.
	sendQueueBytes = 32 << 20
	// coalesceBytes bounds the frames that are combined into one message. A
	// single larger frame is sent as a message.
	coalesceBytes = 256 << 10
	// writeTimeout bounds one WebSocket write. A peer that has stopped and does
	// not read is detected earlier, by its missing heartbeats and pongs.
	writeTimeout = 10 * time.Second
	// minPingInterval is the minimum time between two pings of one connection.
	// Many sequences may call Ping at the same time.
	minPingInterval = 50 * time.Millisecond
	// rttSmoothing is the weight of a new sample in the smoothed round-trip
	// time.
	rttSmoothing = 0.25
)

// Conn is one authenticated connection to a peer. It is safe for concurrent
// use. Frames arrive at the peer in the order of the calls of Send.
type Conn struct {
	node          *Node
	ws            *websocket.Conn
	peerHello     Hello
	dialedAddress string

	// mu guards queue, queuedBytes and closed. queuedBytes is the size of the
	// frames that are not written yet.
	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	closed      bool
	// wakeup signals the write loop that a frame is queued.
	wakeup  chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	doneErr error

	peerRevision atomic.Uint64
	rttMicros    atomic.Int64
	lastRead     atomic.Int64
	sentBytes    atomic.Uint64
	sentMessages atomic.Uint64
	timedOut     atomic.Bool

	// pingMu guards pingNumber and pingSent, which belong to the last ping.
	pingMu     sync.Mutex
	pingNumber uint64
	pingSent   time.Time
}

// Hello returns the Hello frame that the peer sent.
func (c *Conn) Hello() Hello { return c.peerHello }

// PeerRevision returns the highest configuration revision in the peer's frames.
func (c *Conn) PeerRevision() uint64 { return c.peerRevision.Load() }

// RTT returns the smoothed round-trip time, or 0 before the first sample.
func (c *Conn) RTT() time.Duration {
	return time.Duration(c.rttMicros.Load()) * time.Microsecond
}

// LastRead returns when the last message arrived, by the local clock.
func (c *Conn) LastRead() time.Time { return time.Unix(0, c.lastRead.Load()) }

// TimedOut reports whether the connection was closed because nothing arrived
// from the peer within the idle timeout.
func (c *Conn) TimedOut() bool { return c.timedOut.Load() }

// DialedAddress returns the address that this process dialed, or "" if the peer
// dialed.
func (c *Conn) DialedAddress() string { return c.dialedAddress }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send adds f to the send queue and does not wait for the network. It returns
// ErrClosed, ErrSendQueueFull or an encoding error.
func (c *Conn) Send(f Frame) error {
	data, err := encodeFrame(f, c.node.revision())
	if err != nil {
		return err
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	if c.queuedBytes+len(data) > sendQueueBytes {
		c.mu.Unlock()
		c.Close()
		return ErrSendQueueFull
	}
	c.queue = append(c.queue, data)
	c.queuedBytes += len(data)
	c.mu.Unlock()
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	return nil
}

// Close ends the connection. It does not wait for queued frames.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
}

// Flush waits until all queued frames are written, the connection ends, or ctx
// ends.
func (c *Conn) Flush(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		empty := c.queuedBytes == 0 || c.closed
		c.mu.Unlock()
		if empty {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-c.done:
			return
		}
	}
}

// takeBatch removes frames from the queue up to coalesceBytes. The frames of a
// batch share one WebSocket message and so one system call. takeBatch returns
// nil if the queue is empty.
func (c *Conn) takeBatch() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, n := 0, 0
	for n < len(c.queue) && (n == 0 || size+len(c.queue[n]) <= coalesceBytes) {
		size += len(c.queue[n])
		n++
		if c.node.options.NoCoalescing {
			break
		}
	}
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	return batch
}

// recordWrite records that a message of size bytes was written.
func (c *Conn) recordWrite(size int) {
	c.mu.Lock()
	c.queuedBytes -= size
	c.mu.Unlock()
	c.sentBytes.Add(uint64(size))
	c.sentMessages.Add(1)
}

// writeLoop writes queued frames until a write fails or ctx ends.
func (c *Conn) writeLoop(ctx context.Context) error {
	for {
		batch := c.takeBatch()
		if batch == nil {
			select {
			case <-c.wakeup:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := c.writeBatch(ctx, batch); err != nil {
			return err
		}
	}
}

// writeBatch writes the frames of batch as one message.
func (c *Conn) writeBatch(ctx context.Context, batch [][]byte) error {
	message := batch[0]
	for _, data := range batch[1:] {
		message = append(message, data...)
	}
	wctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(wctx, websocket.MessageBinary, message); err != nil {
		return err
	}
	c.recordWrite(len(message))
	return nil
}

// readLoop reads and handles messages until a read fails or a message is
// malformed.
func (c *Conn) readLoop(ctx context.Context) error {
	for {
		kind, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			return ErrMalformedFrame
		}
		c.lastRead.Store(c.node.options.Now().UnixNano())
		if err := c.handleMessage(data); err != nil {
			return err
		}
	}
}

// handleMessage decodes and handles the frames of a message. It skips frames of
// unknown types.
func (c *Conn) handleMessage(data []byte) error {
	for len(data) > 0 {
		f, revision, rest, err := decodeFrame(data)
		data = rest
		if errors.Is(err, ErrUnknownFrame) {
			continue
		}
		if err != nil {
			return err
		}
		c.updatePeerRevision(revision)
		c.handleFrame(f)
	}
	return nil
}

// handleFrame answers pings, handles pongs and passes other frames to the
// node's handler.
func (c *Conn) handleFrame(f Frame) {
	switch f := f.(type) {
	case *Ping:
		_ = c.Send(&Pong{Number: f.Number})
	case *Pong:
		c.handlePong(f)
	default:
		c.node.handler.HandleFrame(c, f)
	}
}

// updatePeerRevision keeps the highest revision in the peer's frames. A frame
// that was queued before a change may carry a lower revision.
func (c *Conn) updatePeerRevision(revision uint64) {
	for {
		seen := c.peerRevision.Load()
		if revision <= seen || c.peerRevision.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// Ping sends a ping, which the peer answers with a pong. The pong shows that the
// peer is alive and measures the round-trip time. Ping sends nothing if less than
// minPingInterval has passed since the last ping.
func (c *Conn) Ping() {
	c.pingMu.Lock()
	now := time.Now()
	if now.Sub(c.pingSent) < minPingInterval {
		c.pingMu.Unlock()
		return
	}
	c.pingNumber++
	c.pingSent = now
	number := c.pingNumber
	c.pingMu.Unlock()
	_ = c.Send(&Ping{Number: number})
}

// handlePong adds a sample to the smoothed round-trip time if f answers the last
// ping.
func (c *Conn) handlePong(f *Pong) {
	c.pingMu.Lock()
	defer c.pingMu.Unlock()
	if f.Number != c.pingNumber {
		return
	}
	sample := time.Since(c.pingSent).Microseconds()
	old := c.rttMicros.Load()
	if old == 0 {
		c.rttMicros.Store(max(sample, 1))
		return
	}
	smoothed := float64(old) + rttSmoothing*float64(sample-old)
	c.rttMicros.Store(max(int64(smoothed), 1))
}
