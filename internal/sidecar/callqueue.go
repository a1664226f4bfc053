package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/team"
)

// callQueue shares a bounded number of places at a plain service fairly among
// teams. Every call costs the same.
type callQueue struct {
	mu      sync.Mutex
	slots   int
	queue   *team.FairQueue[chan struct{}]
	running int
}

func newCallQueue(slots int) *callQueue {
	return &callQueue{slots: slots, queue: team.NewFairQueue[chan struct{}](team.QueueLimits{})}
}

// acquire waits for a place. It returns the error of ctx.
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
		// The place was granted at the same moment.
		q.release()
	}
	return ctx.Err()
}

// release gives a place to the next waiting call.
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

// setWeight sets the share of a team.
func (q *callQueue) setWeight(teamName string, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetWeight(teamName, weight)
}

// load returns the calls at the service and the waiting calls of each team.
func (q *callQueue) load() (running int, waitingCosts map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queue.TeamCosts()
}
