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

// oneSlot returns an admission over a service that runs one request at a time.
func oneSlot() (*admission, *routing.Service) {
	d := fleet.NewDirectory()
	d.Update([]fleet.Record{{ID: "p", Revision: 1, Instance: &fleet.Instance{
		ID: "p", Service: "s", Slots: 1, Domain: "a",
	}}}, time.Now())
	return newAdmission(chain.NewLedger(), d), &routing.Service{Name: "s"}
}

const long = 10 * time.Second

func (a *admission) waitFor(t *testing.T, count int) {
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
	t.Fatalf("not %d requests wait", count)
}

// Guards against a less urgent request that is served before a more urgent
// one, and against one that overtakes an earlier one of its rank.
func TestAdmissionOrder(t *testing.T) {
	a, s := oneSlot()
	ctx := context.Background()
	held, err := a.Acquire(ctx, claim{service: s, urgency: 1, maxWait: long})
	assert.NilError(t, err)
	var mu sync.Mutex
	var order []string
	var wait sync.WaitGroup
	for i, w := range []struct {
		name    string
		urgency int
	}{{"low-1", 2}, {"high-1", 1}, {"low-2", 2}, {"high-2", 1}, {"running", continueUrgency}} {
		wait.Go(func() {
			g, err := a.Acquire(ctx, claim{service: s, urgency: w.urgency, maxWait: long})
			assert.Check(t, err == nil)
			mu.Lock()
			order = append(order, w.name)
			mu.Unlock()
			a.Release(g)
		})
		a.waitFor(t, i+1)
	}
	a.Release(held)
	wait.Wait()
	assert.DeepEqual(t, order, []string{"running", "high-1", "high-2", "low-1", "low-2"})
}

// Guards against requests that wait though nothing could serve them, and
// against waits without end.
func TestAdmissionRefuses(t *testing.T) {
	a, s := oneSlot()
	ctx := context.Background()
	_, err := a.Acquire(ctx, claim{service: &routing.Service{Name: "other"}, urgency: 1, maxWait: long})
	assert.ErrorIs(t, err, chain.ErrNoInstance)
	_, err = a.Acquire(ctx, claim{service: s, urgency: 1, maxWait: long})
	assert.NilError(t, err)
	_, err = a.Acquire(ctx, claim{service: s, urgency: 1, maxWait: 10 * time.Millisecond})
	assert.ErrorIs(t, err, chain.ErrFull)
	left, cancel := context.WithCancel(ctx)
	cancel()
	_, err = a.Acquire(left, claim{service: s, urgency: 1, maxWait: long})
	assert.Assert(t, err != nil)
	a.waitFor(t, 0)
}

// Guards against a running stream that is given up at once when its chain is
// broken, though another instance appears soon.
func TestAdmissionWaitsForRunningStreams(t *testing.T) {
	a, _ := oneSlot()
	s := &routing.Service{Name: "late"}
	go func() {
		a.waitFor(t, 1)
		a.directory.Update([]fleet.Record{{ID: "q", Revision: 2, Instance: &fleet.Instance{
			ID: "q", Service: "late", Slots: 1,
		}}}, time.Now())
		a.dispatch()
	}()
	_, err := a.Acquire(context.Background(), claim{service: s, urgency: continueUrgency, maxWait: long, patient: true})
	assert.NilError(t, err)
}

// Guards against a load pattern in which requests for one full service keep
// those of another from being served.
func TestFullServiceDoesNotBlockOthers(t *testing.T) {
	a, s := oneSlot()
	a.directory.Update([]fleet.Record{{ID: "q", Revision: 2, Instance: &fleet.Instance{
		ID: "q", Service: "free", Slots: 1,
	}}}, time.Now())
	ctx := context.Background()
	_, err := a.Acquire(ctx, claim{service: s, urgency: 1, maxWait: long})
	assert.NilError(t, err)
	go func() { _, _ = a.Acquire(ctx, claim{service: s, urgency: 0, maxWait: 200 * time.Millisecond}) }()
	a.waitFor(t, 1)
	_, err = a.Acquire(ctx, claim{service: &routing.Service{Name: "free"}, urgency: 9, maxWait: long})
	assert.NilError(t, err)
}

// Guards against a burst in which every request is served late: those that are
// served must have waited less than their limit, the others are refused then.
func TestBurstIsServedInTimeOrRefused(t *testing.T) {
	a, s := oneSlot()
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
			g, err := a.Acquire(context.Background(), claim{service: s, urgency: 1, maxWait: maxWait})
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
	// A grant may be in flight when the limit passes.
	assert.Assert(t, waits[len(waits)-1] < long, "%v", waits[len(waits)-1])
}
