package operation

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

var (
	firstSeed = flag.Uint64("operation.seed", 1, "first seed of the schedule test")
	schedules = flag.Uint64("operation.schedules", 3000, "number of schedules to run")
)

// simulation runs claimers, cancellers and a sweeper concurrently on one key.
// Each actor suspends before and after every store call and execution.
// runActors resumes one actor at a time, chosen by the seeded rng.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	store         *fakeStore
	key           string
	maxPause      time.Duration // upper bound of a long pause; also scales clock skews and delays
	faultInterval int           // mean number of steps between crashes, and between pauses of each kind
	// The store is unavailable until downUntil; most calls have a fault until
	// flakyUntil.
	downUntil, flakyUntil time.Time

	// mu guards the fields below while actors run.
	mu           sync.Mutex
	actors       []*actor
	blocked      []*suspension
	logicalClock int64
	history      []porcupine.Operation
	executions   []callInput
	eventCounts  map[string]int
}

// actor is a goroutine that runs a Claimer, a Canceller or a Sweeper.
type actor struct {
	*simulation
	id          int
	rng         *rand.Rand
	clockSkew   time.Duration
	pausedUntil time.Time // not resumed before this time
	suspensions int
	crashed     bool
	done        bool
}

// suspension is a point at which an actor waits to be resumed by runActors.
type suspension struct {
	*actor
	number int
	resume chan struct{}
}

// callInput and callOutput describe one call in the recorded history.
type callInput struct {
	actor   int
	cancel  bool
	request Request
}

type callOutput struct {
	Result
	ran bool // the actor executed the operation
}

// suspend suspends the actor until runActors resumes it. It ends the goroutine of a
// crashed actor.
func (a *actor) suspend() {
	a.mu.Lock()
	if a.crashed {
		a.mu.Unlock()
		runtime.Goexit()
	}
	a.suspensions++
	s := &suspension{a, a.suspensions, make(chan struct{})}
	a.blocked = append(a.blocked, s)
	a.mu.Unlock()
	<-s.resume
	if a.crashed {
		runtime.Goexit()
	}
}

// newClient returns a client that suspends the actor before and after each store
// call and injects faults at random.
func (a *actor) newClient() storeClient {
	return storeClient{fakeStore: a.store, onReturn: a.suspend, chooseFault: func() fault {
		a.suspend()
		switch now := time.Now(); {
		case now.Before(a.downUntil):
			return faultUnavailable
		case now.Before(a.flakyUntil):
			return fault(a.rng.IntN(5))
		}
		return max(faultNone, fault(a.rng.IntN(20))-15)
	}}
}

func (a *actor) options() Options {
	tokens := 0
	var mu sync.Mutex
	jitter := rand.New(rand.NewPCG(a.rng.Uint64(), 0))
	return Options{
		Now:    func() time.Time { return time.Now().Add(a.clockSkew) },
		Jitter: func() float64 { mu.Lock(); defer mu.Unlock(); return jitter.Float64() },
		Token:  func() (Token, error) { tokens++; return testToken(a.id*100 + tokens), nil },
	}
}

// start runs f as an actor after a random delay and adds its call to the history.
// The call of a crashed actor is recorded without a result.
func (sim *simulation) start(in callInput, f func(a *actor) Result) {
	a := &actor{simulation: sim, id: len(sim.actors) + 1, rng: rand.New(rand.NewPCG(sim.rng.Uint64(), 0))}
	a.clockSkew = time.Duration(a.rng.Int64N(int64(sim.maxPause/3))) - sim.maxPause/6
	in.actor = a.id
	sim.actors = append(sim.actors, a)
	go func() {
		defer func() {
			sim.mu.Lock()
			a.done = true
			sim.mu.Unlock()
		}()
		maxDelay := []time.Duration{3 * time.Second, 3 * time.Second, sim.maxPause / 3}[a.rng.IntN(3)]
		time.Sleep(time.Duration(a.rng.Int64N(int64(maxDelay))))
		sim.mu.Lock()
		sim.logicalClock++
		call := sim.logicalClock
		op := porcupine.Operation{ClientId: a.id, Input: in, Call: call, Return: math.MaxInt64}
		sim.mu.Unlock()
		finished := false
		defer func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			out := callOutput{ran: slices.ContainsFunc(sim.executions, func(e callInput) bool { return e.actor == a.id })}
			if finished && !a.crashed {
				sim.logicalClock++
				out.Result = op.Output.(Result)
				if !in.cancel || out.Outcome != request.OutcomeUnknown {
					op.Return = sim.logicalClock // else a delayed write may still be applied
				}
				sim.eventCounts[fmt.Sprintf("cancel=%v %s replayed=%v", in.cancel, out.Outcome, out.Replayed)]++
			}
			op.Output = out
			sim.history = append(sim.history, op)
		}()
		op.Output = f(a)
		finished = true
	}()
}

func (sim *simulation) startClaimer(r Request) {
	sim.start(callInput{request: r}, func(a *actor) Result {
		c, wait := NewClaimer(a.newClient(), a.options()), a.rng.IntN(2) == 0
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		res := c.Run(ctx, r, func(context.Context) (Response, error) {
			a.suspend()
			switch a.rng.IntN(6) {
			case 0:
				return Response{}, ErrNotSent
			case 1:
				a.execute(r)
				return Response{}, errors.New("connection reset")
			}
			return a.execute(r), nil
		})
		if wait {
			assert.NilError(a.t, c.Wait(context.Background()))
		}
		return res
	})
}

// execute adds an execution of r to executions and returns the response.
func (a *actor) execute(r Request) Response {
	a.mu.Lock()
	// After a deletion the cancelled list may come from a Cancel that found its
	// key expired and returned unknown. checkInvariants covers that case.
	if a.store.deletions == 0 && a.store.record(r.Key.Path()).IsCancelled(r.RequestID) {
		a.t.Errorf("cancelled request %s was executed", r.RequestID)
	}
	a.executions = append(a.executions, callInput{actor: a.id, request: r})
	a.mu.Unlock()
	a.suspend()
	return Response{Status: 200 + 209*(a.id%2), Body: fmt.Appendf(nil, "response of %d", a.id)}
}

func (sim *simulation) startCanceller(r Request) {
	sim.start(callInput{cancel: true, request: r}, func(a *actor) Result {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return NewCanceller(a.newClient(), a.options()).Cancel(ctx, r)
	})
}

func (sim *simulation) startSweeper() {
	sim.start(callInput{cancel: true}, func(a *actor) Result {
		s := NewSweeper(a.newClient(), SweeperOptions{Now: a.options().Now})
		for range 8 {
			time.Sleep(time.Duration(a.rng.Int64N(int64(sim.maxPause / 3))))
			removed, _ := s.Sweep(context.Background())
			a.mu.Lock()
			sim.eventCounts["removed"] += removed
			a.mu.Unlock()
		}
		return unknownResult(nil)
	})
}

// runActors resumes one actor at a time and injects faults, until all actors have
// ended and all delayed writes are applied.
func (sim *simulation) runActors() {
	for idleSleep := time.Millisecond; ; {
		synctest.Wait()
		sim.mu.Lock()
		var ready []*suspension
		for _, s := range sim.blocked {
			if s.crashed || !time.Now().Before(s.pausedUntil) {
				ready = append(ready, s)
			}
		}
		ended := !slices.ContainsFunc(sim.actors, func(a *actor) bool { return !a.done }) && len(sim.blocked) == 0
		sim.mu.Unlock()
		slices.SortFunc(ready, func(a, b *suspension) int { return (a.id-b.id)*1000 + a.number - b.number })
		n := len(sim.store.delayedCalls)
		switch {
		case n > 0 && (ended || sim.rng.IntN(10) == 0):
			i := sim.rng.IntN(n)
			apply := sim.store.delayedCalls[i]
			sim.store.delayedCalls = slices.Delete(sim.store.delayedCalls, i, i+1)
			apply()
			continue
		case ended:
			// Background writes of a Run end within the grace period.
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			if len(sim.blocked)+len(sim.store.delayedCalls) == 0 {
				return
			}
			continue
		case len(ready) == 0:
			time.Sleep(idleSleep)
			idleSleep *= 2
			continue
		case sim.rng.IntN(200) == 0:
			sim.downUntil = time.Now().Add(time.Duration(sim.rng.Int64N(int64(8 * time.Second))))
		case sim.rng.IntN(200) == 0:
			sim.flakyUntil = time.Now().Add(time.Duration(sim.rng.Int64N(int64(20 * time.Second))))
		case sim.rng.IntN(10) == 0:
			time.Sleep(time.Duration(sim.rng.Int64N(int64(100 * time.Millisecond))))
			continue
		}
		idleSleep = time.Millisecond
		s := ready[sim.rng.IntN(len(ready))]
		switch sim.rng.IntN(sim.faultInterval) {
		case 0:
			s.pausedUntil = time.Now().Add(time.Duration(sim.rng.Int64N(int64(10 * time.Second))))
			continue
		case 1:
			s.pausedUntil = time.Now().Add(time.Duration(sim.rng.Int64N(int64(sim.maxPause))))
			sim.eventCounts["long pause"]++
			continue
		case 2:
			s.crashed = true
			sim.eventCounts["crash"]++
		}
		sim.mu.Lock()
		sim.blocked = slices.DeleteFunc(sim.blocked, func(w *suspension) bool { return w == s })
		sim.mu.Unlock()
		close(s.resume)
	}
}

// modelState is the state of the sequential model: at most one execution, and a
// set of cancelled request IDs.
type modelState struct {
	ran        bool
	executedBy callInput
	cancelled  [8]bool
}

// stepModel returns the possible states after a call, or none if its output is
// wrong. A cancellation with an unknown outcome may have been applied.
func stepModel(state, input, output any) []any {
	s, in, out := state.(modelState), input.(callInput), output.(callOutput)
	id := int(in.request.RequestID[len(in.request.RequestID)-1] - '0')
	next, allowed := s, true
	switch {
	case out.Replayed:
		allowed = s.ran && s.executedBy.request.BodyDigest == in.request.BodyDigest &&
			string(out.Response.Body) == fmt.Sprintf("response of %d", s.executedBy.actor)
	case out.ran:
		allowed = !s.ran && !s.cancelled[id]
		next.ran, next.executedBy = true, in
	case in.cancel:
		next.cancelled[id] = true
		allowed = !s.ran || s.cancelled[id] || errors.Is(out.Err, ErrBodyMismatch) && s.executedBy.request.RequestID != in.request.RequestID
		if out.Outcome != request.OutcomeNotRun && allowed {
			return []any{s, next}
		} else if out.Outcome != request.OutcomeNotRun {
			return []any{s}
		}
	}
	if !allowed {
		return nil
	}
	return []any{next}
}

// checkInvariants checks the executions and the results of the calls, and that the
// history is linearizable.
func (sim *simulation) checkInvariants() {
	assert.Assert(sim.t, len(sim.executions) <= 1, "%d executions: %+v", len(sim.executions), sim.executions)
	linearized := sim.history[:0:0]
	for _, op := range sim.history {
		in, out := op.Input.(callInput), op.Output.(callOutput)
		if in.request.RequestID == "" {
			continue // a call of the sweeper
		}
		linearized = append(linearized, op)
		for _, e := range sim.executions {
			if out.Outcome == request.OutcomeNotRun {
				assert.Assert(sim.t, e.actor != in.actor, "actor %d returned not-run but executed the operation", in.actor)
				assert.Assert(sim.t, !in.cancel || e.request.RequestID != in.request.RequestID,
					"request %s was cancelled with not-run but executed by actor %d", e.request.RequestID, e.actor)
			}
		}
		if out.Outcome == request.OutcomeCompleted || out.Outcome == request.OutcomeFailed {
			assert.Equal(sim.t, len(sim.executions), 1, "response without an execution")
			assert.Equal(sim.t, string(out.Response.Body), fmt.Sprintf("response of %d", sim.executions[0].actor))
			assert.Equal(sim.t, out.Outcome, out.Response.Outcome())
		}
	}
	model := porcupine.NondeterministicModel{Init: func() []any { return []any{modelState{}} }, Step: stepModel}
	assert.Assert(sim.t, porcupine.CheckOperations(model.ToModel(), linearized), "history is not linearizable: %+v", linearized)
}

// Guards against two executions of an operation, a wrong not-run, the execution of
// a cancelled request and a changed response. Faults are lost responses, delayed,
// dropped and rejected writes, crashes, pauses of any length, removals of records
// and clock differences. Every history must be linearizable against the
// sequential model.
func TestSchedules(t *testing.T) {
	eventCounts := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d; repeat with: go test -run TestSchedules ./internal/operation -operation.seed=%d -operation.schedules=1", seed, seed)
				}
			}()
			sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 0)), store: newFakeStore(), eventCounts: eventCounts}
			sim.key, sim.maxPause, sim.faultInterval = "opaque", time.Minute, 60
			sweep := sim.rng.IntN(3) == 0
			if sweep {
				// The key expires during the run and its record is removed.
				sim.maxPause, sim.faultInterval = 72*time.Hour, 20
				sim.key = uuidV7(time.Now().Add(-Retention + time.Duration(sim.rng.Int64N(int64(20*time.Hour))) - 10*time.Hour))
				sim.startSweeper()
			}
			bodies := []string{"a", "a", "a", []string{"a", "b"}[sim.rng.IntN(2)]}
			for range 2 + sim.rng.IntN(4) {
				id := sim.rng.IntN(3) + 1
				sim.startClaimer(testRequest(t, sim.key, id, bodies[id]))
			}
			for range sim.rng.IntN(4) {
				id := sim.rng.IntN(3) + 1
				sim.startCanceller(testRequest(t, sim.key, id, bodies[id]))
			}
			sim.runActors()
			sim.checkInvariants()
			eventCounts["executions"] += len(sim.executions)
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %v", *schedules, eventCounts)
	if *schedules < 1000 {
		return
	}
	for _, event := range []string{"executions", "removed", "crash", "long pause", "cancel=true not-run replayed=false",
		"cancel=true completed replayed=true", "cancel=false failed replayed=true", "cancel=false unknown replayed=false"} {
		assert.Assert(t, eventCounts[event] > 0, "no schedule had the event %q", event)
	}
}
