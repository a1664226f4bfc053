package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// newSingleSlotAdmission returns an admission over a service with one instance
// that runs one request at a time.
func newSingleSlotAdmission() (*admission, *routing.Service) {
	d := fleet.NewDirectory()
	d.Update([]fleet.Record{{ID: "p", Revision: 1, Instance: &fleet.Instance{
		ID: "p", Service: "s", Slots: 1, Domain: "a",
	}}}, time.Now())
	return newAdmission(chain.NewInstanceTracker(), d), &routing.Service{Name: "s"}
}

const longWait = 10 * time.Second

// waitForQueueLength waits until count requests are queued.
func (a *admission) waitForQueueLength(t *testing.T, count int) {
	t.Helper()
	for range 1000 {
		a.mu.Lock()
		n := len(a.waiting)
		a.mu.Unlock()
		if n == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the queue does not reach a length of %d", count)
}

// Guards against a less urgent request that is served before a more urgent one,
// and against a request that is served before an earlier one of the same
// urgency.
func TestAdmissionOrder(t *testing.T) {
	a, s := newSingleSlotAdmission()
	ctx := context.Background()
	held, err := a.Acquire(ctx, admitRequest{service: s, urgency: 1, maxWait: longWait})
	assert.NilError(t, err)
	var mu sync.Mutex
	var order []string
	var wait sync.WaitGroup
	for i, w := range []struct {
		name    string
		urgency int
	}{{"low-1", 2}, {"high-1", 1}, {"low-2", 2}, {"high-2", 1}, {"running", continueUrgency}} {
		wait.Go(func() {
			g, err := a.Acquire(ctx, admitRequest{service: s, urgency: w.urgency, maxWait: longWait})
			assert.Check(t, err == nil)
			mu.Lock()
			order = append(order, w.name)
			mu.Unlock()
			a.Release(g)
		})
		a.waitForQueueLength(t, i+1)
	}
	a.Release(held)
	wait.Wait()
	assert.DeepEqual(t, order, []string{"running", "high-1", "high-2", "low-1", "low-2"})
}

// Guards against requests that wait although no instance could serve them, and
// against requests that wait for longer than maxWait or after their context has
// ended.
func TestAdmissionRefusesUnservableAndExpired(t *testing.T) {
	a, s := newSingleSlotAdmission()
	ctx := context.Background()
	_, err := a.Acquire(ctx, admitRequest{service: &routing.Service{Name: "other"}, urgency: 1, maxWait: longWait})
	assert.ErrorIs(t, err, chain.ErrNoInstance)
	_, err = a.Acquire(ctx, admitRequest{service: s, urgency: 1, maxWait: longWait})
	assert.NilError(t, err)
	_, err = a.Acquire(ctx, admitRequest{service: s, urgency: 1, maxWait: 10 * time.Millisecond})
	assert.ErrorIs(t, err, chain.ErrFull)
	left, cancel := context.WithCancel(ctx)
	cancel()
	_, err = a.Acquire(left, admitRequest{service: s, urgency: 1, maxWait: longWait})
	assert.Assert(t, err != nil)
	a.waitForQueueLength(t, 0)
}

// Guards against a running stream that is cut as soon as its chain breaks,
// although another instance registers shortly afterwards.
func TestAdmissionWaitsForRunningStreams(t *testing.T) {
	a, _ := newSingleSlotAdmission()
	s := &routing.Service{Name: "late"}
	go func() {
		a.waitForQueueLength(t, 1)
		a.directory.Update([]fleet.Record{{ID: "q", Revision: 2, Instance: &fleet.Instance{
			ID: "q", Service: "late", Slots: 1,
		}}}, time.Now())
		a.dispatch()
	}()
	_, err := a.Acquire(context.Background(), admitRequest{service: s, urgency: continueUrgency,
		maxWait: longWait, waitIfUnservable: true})
	assert.NilError(t, err)
}

// Guards against requests for a full service that block requests for another
// service.
func TestFullServiceDoesNotBlockOthers(t *testing.T) {
	a, s := newSingleSlotAdmission()
	a.directory.Update([]fleet.Record{{ID: "q", Revision: 2, Instance: &fleet.Instance{
		ID: "q", Service: "free", Slots: 1,
	}}}, time.Now())
	ctx := context.Background()
	_, err := a.Acquire(ctx, admitRequest{service: s, urgency: 1, maxWait: longWait})
	assert.NilError(t, err)
	go func() { _, _ = a.Acquire(ctx, admitRequest{service: s, urgency: 0, maxWait: 200 * time.Millisecond}) }()
	a.waitForQueueLength(t, 1)
	_, err = a.Acquire(ctx, admitRequest{service: &routing.Service{Name: "free"}, urgency: 9, maxWait: longWait})
	assert.NilError(t, err)
}

// Guards against a burst in which every request is served late: a request is
// either served within its limit or refused when the limit has passed.
func TestBurstIsServedOrRefused(t *testing.T) {
	a, s := newSingleSlotAdmission()
	const (
		requests = 200
		work     = 5 * time.Millisecond
		maxWait  = 60 * time.Millisecond
	)
	var mu sync.Mutex
	var waits []time.Duration
	refused := 0
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() {
			begin := time.Now()
			g, err := a.Acquire(context.Background(), admitRequest{service: s, urgency: 1, maxWait: maxWait})
			waited := time.Since(begin)
			mu.Lock()
			if err != nil {
				refused++
			} else {
				waits = append(waits, waited)
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(work)
				a.Release(g)
			}
		})
	}
	wait.Wait()
	assert.Equal(t, len(waits)+refused, requests)
	assert.Assert(t, len(waits) > 0 && refused > 0)
	slices.Sort(waits)
	// The bound is generous because a grant may be in flight when the limit
	// passes.
	assert.Assert(t, waits[len(waits)-1] < longWait, "%v", waits[len(waits)-1])
}
