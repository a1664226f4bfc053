package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against three failures: a large team's backlog delays a small team's
// call, more calls than slots run at once, and a slot leaks when a caller
// cancels while the slot is being granted to it.
func TestCallQueueIsFairAndKeepsItsSlots(t *testing.T) {
	const slots, rounds = 2, 200
	q := newCallQueue(slots)
	for range slots {
		assert.NilError(t, q.acquire(t.Context(), "first"))
	}
	served := make(chan string)
	var wg sync.WaitGroup
	startWaiting := func(name string, queued int) {
		wg.Go(func() {
			assert.Check(t, q.acquire(t.Context(), name))
			served <- name
		})
		for {
			if _, waiting := q.load(); waiting["large"]+waiting["small"] == queued {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	for i := range 20 {
		startWaiting("large", i+1)
	}
	startWaiting("small", 21)
	position := -1
	for i := range 21 {
		q.release()
		if <-served == "small" {
			position = i
		}
	}
	wg.Wait()
	assert.Assert(t, position >= 0 && position <= 2, "the small team's call ran after %d calls of the large team", position)

	for i := range rounds {
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() {
			if q.acquire(ctx, fmt.Sprint(i%3)) == nil {
				q.release()
			}
		})
		go cancel()
		q.release()
		assert.NilError(t, q.acquire(t.Context(), "first"))
	}
	wg.Wait()
	for range slots {
		q.release()
	}
	running, _ := q.load()
	assert.Equal(t, running, 0)
}
