package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxIdleTime is the maximum time that an idle connection is kept.
	maxIdleTime = 4 * time.Second
	// maxIdlePerAddress is the maximum number of idle connections to one
	// instance.
	maxIdlePerAddress = 64
	readBufferBytes   = 4 << 10
)

// conn is a connection to an instance. At most one request uses a connection at
// a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is the time at which the last exchange ended. The connection is
	// not reused after idleUntil, because the instance may then close it.
	idleSince, idleUntil time.Time
	// used is true if the connection has carried an exchange before.
	used bool
	// onStall, if set, is called every stallInterval without progress, or after the time
	// that its last call returned. A read fails at deadline, unless deadline is zero.
	stallInterval time.Duration
	onStall       StallFunc
	deadline      time.Time
	// progressAt is when progress was last made, nextStall when onStall is due.
	progressAt, nextStall time.Time
	// progressBytes is the number of bytes that count as progress, 0 if none do;
	// newBytes is the number of bytes since the last progress.
	progressBytes, newBytes int
	// limitsHead is true while the head of a response is read, of which at most
	// headBytesLeft more bytes may arrive.
	limitsHead    bool
	headBytesLeft int
}

// errHeadTooLong means that the head of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("backend: head of the response too long")

// begin prepares the connection for an exchange.
func (c *conn) begin(o Options) {
	c.deadline, c.stallInterval, c.onStall, c.progressBytes = o.Deadline, o.StallInterval, o.OnStall, o.ProgressBytes
	c.recordProgress()
}

func (c *conn) recordProgress() {
	c.progressAt, c.newBytes = time.Now(), 0
	c.nextStall = c.progressAt.Add(c.stallInterval)
}

// Read implements io.Reader. Without progress it calls onStall every stallInterval,
// until onStall returns an error or the deadline passes.
func (c *conn) Read(p []byte) (int, error) {
	if c.limitsHead {
		if c.headBytesLeft <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(len(p), c.headBytesLeft)]
	}
	for {
		if err := c.checkStall(); err != nil {
			return 0, err
		}
		limit := c.deadline
		if c.onStall != nil && (limit.IsZero() || c.nextStall.Before(limit)) {
			limit = c.nextStall
		}
		if err := c.Conn.SetReadDeadline(limit); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.countBytes(n)
			return n, err
		}
		expired := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.onStall == nil || expired {
			return n, err
		}
	}
}

// checkStall calls onStall if it is due.
func (c *conn) checkStall() error {
	now := time.Now()
	if c.onStall == nil || now.Before(c.nextStall) {
		return nil
	}
	again, err := c.onStall(now.Sub(c.progressAt))
	if again <= 0 {
		again = c.stallInterval
	}
	c.nextStall = time.Now().Add(again)
	return err
}

// countBytes records the arrival of n bytes.
func (c *conn) countBytes(n int) {
	c.headBytesLeft -= n
	c.newBytes += n
	if c.progressBytes > 0 && c.newBytes >= c.progressBytes {
		c.recordProgress()
	}
}

// Pool keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	// mu guards idle, which maps an address to its idle connections.
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dialer: NewDialer(), idle: make(map[string][]*conn)}
}

// get returns a connection to address: an idle one that has been idle for less
// than o.MaxIdle, or a new one.
func (p *Pool) get(ctx context.Context, address string, o Options) (*conn, error) {
	if !o.NewConnection {
		if c := p.takeIdle(address, o.MaxIdle); c != nil {
			return c, nil
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, address: address}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// takeIdle removes and returns the most recently used reusable connection to
// address, or nil. It closes the idle connections that are no longer reusable.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// reusable reports whether the instance has neither closed the connection nor
// sent unsolicited data.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return !readable(c.Conn)
}

// put returns a connection to the pool, which keeps it idle for at most
// idleTimeout or maxIdleTime, whichever is shorter.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.onStall, c.deadline = nil, time.Time{}
	now := time.Now()
	c.idleSince, c.idleUntil, c.used = now, now.Add(min(idleTimeout, maxIdleTime)), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the idle connections whose idle time has expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
