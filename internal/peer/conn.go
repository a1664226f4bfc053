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
	// ErrSendQueueFull is returned by Send if the peer does not read. The
	// connection is closed, because a frame that was dropped in the middle of
	// a stream would leave a gap.
	ErrSendQueueFull = errors.New("peer: send queue full")
)

const (
	// sendQueueBytes bounds the encoded frames waiting on one connection.
	sendQueueBytes = 32 << 20
	// coalesceBytes is the size at which a message is written although more
	// frames are waiting.
	coalesceBytes = 256 << 10
	// writeTimeout bounds one WebSocket write. A peer that is stopped and does
	// not read is found by heartbeats first.
	writeTimeout = 10 * time.Second
	// minPingInterval is the least time between two pings of one connection.
	// Many sequences may ask at the same time.
	minPingInterval = 50 * time.Millisecond
	// rttSmoothing is the weight of a new round-trip sample.
	rttSmoothing = 0.25
)

// Conn is one authenticated connection to a peer. It is safe for concurrent
// use. Frames arrive at the peer in the order of Send.
type Conn struct {
	node   *Node
	ws     *websocket.Conn
	hello  Hello
	dialed string

	mu      sync.Mutex
	queue   [][]byte
	queued  int
	closed  bool
	wakeup  chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	doneErr error

	revision  atomic.Uint64
	rttMicros atomic.Int64
	lastRead  atomic.Int64
	sentBytes atomic.Uint64
	messages  atomic.Uint64
	idle      atomic.Bool

	pingMu     sync.Mutex
	pingNumber uint64
	pingSent   time.Time
}

// Hello returns the peer's introduction.
func (c *Conn) Hello() Hello { return c.hello }

// PeerRevision returns the highest configuration revision the peer has shown.
func (c *Conn) PeerRevision() uint64 { return c.revision.Load() }

// RTT returns the smoothed round-trip time, or 0 before the first sample.
func (c *Conn) RTT() time.Duration {
	return time.Duration(c.rttMicros.Load()) * time.Microsecond
}

// LastRead returns when the last message arrived, by the local clock.
func (c *Conn) LastRead() time.Time { return time.Unix(0, c.lastRead.Load()) }

// TimedOut reports whether the connection was closed because the peer went silent.
func (c *Conn) TimedOut() bool { return c.idle.Load() }

// DialedAddress returns the address this process dialed, or "" if the peer
// dialed.
func (c *Conn) DialedAddress() string { return c.dialed }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues f. It returns ErrClosed, ErrSendQueueFull or an encoding error,
// and does not wait for the network.
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
	if c.queued+len(data) > sendQueueBytes {
		c.mu.Unlock()
		c.Close()
		return ErrSendQueueFull
	}
	c.queue = append(c.queue, data)
	c.queued += len(data)
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

// Flush waits until the queue is empty, the connection ends, or ctx ends.
func (c *Conn) Flush(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		empty := c.queued == 0 || c.closed
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

// takeBatch removes queued frames up to coalesceBytes. Frames that wait
// together share one WebSocket message and so one system call.
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

// written records that a batch reached the network.
func (c *Conn) written(size int) {
	c.mu.Lock()
	c.queued -= size
	c.mu.Unlock()
	c.sentBytes.Add(uint64(size))
	c.messages.Add(1)
}

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
	c.written(len(message))
	return nil
}

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
		c.sawRevision(revision)
		c.handleFrame(f)
	}
	return nil
}

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

// sawRevision keeps the highest revision the peer has shown; frames that were
// queued before a change may carry a lower one.
func (c *Conn) sawRevision(revision uint64) {
	for {
		seen := c.revision.Load()
		if revision <= seen || c.revision.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// Ping asks the peer for an answer, which also measures the round trip.
//
// A ping that was sent a moment ago serves for this call too.
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
