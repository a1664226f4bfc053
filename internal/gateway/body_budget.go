package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// bodyMemoryFraction is the part of Settings.MemoryLimitMB that the bodies of all requests
	// in progress may take together.
	bodyMemoryFraction = 0.25
	// defaultBodyBudget is the limit in bytes if no memory limit is set.
	defaultBodyBudget = 64 << 20
	// firstBodyBytes is the memory for a body of unknown length, which doubles while it is read.
	firstBodyBytes = 4 << 10
	// BytesPerMB is the unit of Settings.MemoryLimitMB.
	BytesPerMB = 1 << 20
)

// errBodyBudget means that the bodies of other requests take all memory for bodies.
var errBodyBudget = errors.New("gateway: no memory for another request body")

// bodyBudget bounds the memory that the bodies of all requests in progress take together. A
// limit for each body alone does not: many clients can send large ones at the same time. It is
// safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func newBodyBudget(memoryLimitMB int) *bodyBudget {
	if memoryLimitMB <= 0 {
		return &bodyBudget{limit: defaultBodyBudget}
	}
	return &bodyBudget{limit: int64(bodyMemoryFraction * float64(memoryLimitMB) * BytesPerMB)}
}

// take takes n bytes and reports whether they were left.
func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// readBody reads a body of length bytes, or of unknown length if that is negative, into memory
// that it takes from the budget. taken is what the caller must release. It returns errBodyBudget
// if no memory is left.
func (b *bodyBudget) readBody(r io.Reader, length int64) (body []byte, taken int64, err error) {
	if length >= 0 {
		if !b.take(length) {
			return nil, 0, errBodyBudget
		}
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, length, err
	}
	for {
		if len(body) == cap(body) {
			grown := max(2*int64(cap(body)), firstBodyBytes)
			if !b.take(grown) { // the smaller one is kept until its content is copied
				return nil, taken, errBodyBudget
			}
			body = append(make([]byte, 0, grown), body...)
			b.release(taken)
			taken = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, taken, nil
		}
		if err != nil {
			return nil, taken, err
		}
	}
}
