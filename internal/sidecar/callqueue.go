package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/team"
)

// callQueue limits the concurrent calls to a plain service and shares the slots
// fairly among teams. Every call has the same cost.
type callQueue struct {
	// mu guards queue and running.
	mu      sync.Mutex
	slots   int
	queue   *team.FairQueue[chan struct{}]
	running int
}

func newCallQueue(slots int) *callQueue {
	return &callQueue{slots: slots, queue: team.NewFairQueue[chan struct{}](team.QueueLimits{})}
}

// acquire waits for a free slot. It returns ctx.Err() if ctx ends first.
func (q *callQueue) acquire(ctx context.Context, teamName string) error {
	q.mu.Lock()
	if q.running < q.slots {
		q.running++
		q.mu.Unlock()
		return nil
	}
	grant := make(chan struct{})
	ticket, err := q.queue.Push(team.Item[chan struct{}]{Team: teamName, Cost: 1, Value: grant})
	q.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-grant:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	removed := q.queue.Remove(ticket)
	q.mu.Unlock()
	if !removed {
		// release granted the slot concurrently with the end of ctx.
		q.release()
	}
	return ctx.Err()
}

// release passes the slot to the next waiting call, or frees it if none waits.
func (q *callQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	next, _ := q.queue.Pop(time.Now(), 1)
	if len(next) == 0 {
		q.running--
		return
	}
	close(next[0].Value)
}

// setWeight sets a team's weight in the fair queue.
func (q *callQueue) setWeight(teamName string, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetWeight(teamName, weight)
}

// load returns the number of calls that hold a slot and, for each team, the
// number of waiting calls.
func (q *callQueue) load() (running int, waitingCosts map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queue.TeamCosts()
}
