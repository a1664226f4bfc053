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
	// idleLimit is how long an unused connection is kept.
	idleLimit = 4 * time.Second
	// idlePerAddress bounds the unused connections to one instance.
	idlePerAddress  = 64
	readBufferBytes = 4 << 10
)

// conn is a connection to an instance. One request uses it at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is the end of the last exchange, idleUntil the time at which
	// the instance may close the connection.
	idleSince, idleUntil time.Time
	used                 bool
	// stallAfter and onStall call back while a read waits.
	stallAfter time.Duration
	onStall    func(waited time.Duration) error
	deadline   time.Time
}

// Read implements io.Reader. While no data arrives it calls onStall every
// stallAfter, until that returns an error or the deadline passes.
func (c *conn) Read(p []byte) (int, error) {
	started := time.Now()
	for {
		limit := c.deadline
		if c.onStall != nil {
			if next := time.Now().Add(c.stallAfter); limit.IsZero() || next.Before(limit) {
				limit = next
			}
		}
		if err := c.Conn.SetReadDeadline(limit); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.onStall == nil {
			return n, err
		}
		if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
			return 0, err
		}
		if err := c.onStall(time.Since(started)); err != nil {
			return 0, err
		}
	}
}

// Pool keeps unused connections. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dialer: NewDialer(), idle: make(map[string][]*conn)}
}

// get returns a connection to address: an unused one that has been idle for
// less than maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	if c := p.reuse(address, maxIdle); c != nil {
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, address: address}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *Pool) reuse(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) < maxIdle && c.quiet() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// quiet reports whether the peer has neither closed the connection nor sent
// bytes that no request asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return !readable(c.Conn)
}

// put keeps a connection for further requests.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.onStall, c.deadline = nil, time.Time{}
	now := time.Now()
	c.idleSince, c.idleUntil, c.used = now, now.Add(min(keep, idleLimit)), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes connections that were unused for too long.
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

// CloseIdle closes the unused connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
