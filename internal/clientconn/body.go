package clientconn

import (
	"errors"
	"io"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
)

const (
	// firstBodyBytes is the first size of the memory for a body. It is multiplied by
	// knownGrowth or unknownGrowth while the body arrives, depending on whether its length is
	// known: what a client only announces takes no memory.
	firstBodyBytes = 16 << 10
	knownGrowth    = 4
	unknownGrowth  = 2
)

// ReadBody reads a body of length bytes, or of unknown length if that is negative, into memory that
// it takes for a connection. A body of known length must arrive within limit at an even rate while
// memory is short. taken is what the caller must release. It returns ErrNoMemory if none is left.
func (g *Guard) ReadBody(c *clientlimit.Connection, r io.Reader, length int64, limit time.Duration) (body []byte, taken int64, err error) {
	c.Receive(max(float64(length), 0)/limit.Seconds(), time.Now())
	var buffer int64 // the memory of a grown buffer of the kernel
	defer func() {
		taken += buffer
		if !c.Work() {
			body, err = nil, errEnded
		}
	}()
	for {
		if buffer == 0 && len(body) >= largeBodyBytes {
			buffer = g.growBuffer(c)
		}
		if len(body) == cap(body) {
			grown := max(unknownGrowth*int64(cap(body)), firstBodyBytes)
			if length >= 0 {
				if int64(len(body)) == length {
					return body, taken, nil
				}
				grown = min(max(knownGrowth*int64(cap(body)), firstBodyBytes), length)
			}
			if !g.Take(c, grown, time.Now()) { // the smaller one is kept until its content is copied
				return nil, taken, ErrNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
			c.Release(taken)
			taken = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if length >= 0 && int64(len(body)) < length {
				return nil, taken, io.ErrUnexpectedEOF
			}
			return body, taken, nil
		case err != nil:
			return nil, taken, err
		}
	}
}

// bodyFactor is how often a handler of a protected server holds a body, as it was read and decoded.
const bodyFactor = 3

// accountedBody takes memory for a body that a handler reads.
type accountedBody struct {
	io.ReadCloser
	guard *Guard
	conn  *Conn
	begun bool
	// left is how many bytes are missing, negative if it is not known; arrived is how many are not.
	left, arrived int64
}

// Read implements io.Reader.
func (b *accountedBody) Read(p []byte) (int, error) {
	account := b.conn.account
	if !b.begun {
		account.Receive(0, time.Now())
		b.begun = true
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.guard.Take(account, int64(bodyFactor*n), time.Now()) {
		b.guard.observer.RequestRefused(b.conn.RemoteAddr().String())
		return 0, ErrNoMemory
	}
	b.arrived += int64(n)
	if b.arrived >= largeBodyBytes && b.arrived-int64(n) < largeBodyBytes {
		b.guard.growBuffer(account) // until the end of the request, as all memory of the body
	}
	complete := err != nil
	if b.left > 0 {
		// A handler may stop reading at the end of the content, before the end of the body is seen.
		b.left -= int64(n)
		complete = complete || b.left == 0
	}
	if complete && !account.Work() {
		return 0, errEnded
	}
	return n, err
}
