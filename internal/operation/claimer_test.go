package operation

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// faults returns a before function that plays the list, then no fault.
func faults(list ...fault) func() fault {
	return func() (f fault) {
		if len(list) > 0 {
			f, list = list[0], list[1:]
		}
		return f
	}
}

// Guards against a second execution, a false not-run and a lost outcome in the
// single-fault cases of section 6.
func TestRun(t *testing.T) {
	ok := func(context.Context) (Response, error) { return Response{Status: 200, Body: []byte("first")}, nil }
	fails := func(err error) func(context.Context) (Response, error) {
		return func(context.Context) (Response, error) { return Response{}, err }
	}
	prior := func(end func(Record) (Record, error)) Record {
		rec, err := Record{}.Claim(testRequest(t, "k", 9, "a"), tokenN(9), testNow)
		assert.NilError(t, err)
		rec, err = end(rec)
		assert.NilError(t, err)
		return rec
	}
	claimed := prior(func(r Record) (Record, error) { return r, nil })
	released := prior(func(r Record) (Record, error) { return r.Release(tokenN(9), testNow) })
	done := prior(func(r Record) (Record, error) {
		return r.Complete(tokenN(9), Response{Status: 409, Body: []byte("old")}, testNow)
	})
	cancelled, err := Record{}.Cancel(testRequest(t, "k", 1, "a"))
	assert.NilError(t, err)
	lost := errors.New("connection reset")
	for name, c := range map[string]struct {
		before  Record
		body    string
		faults  []fault
		execute func(context.Context) (Response, error)
		want    request.Outcome
		err     error
		after   State
		calls   int // 0: not checked
	}{
		"no contention costs 2 calls": {body: "a", execute: ok, want: "completed", after: StateCompleted, calls: 2},
		"replay":                      {before: done, body: "a", execute: ok, want: "failed", after: StateFailed, calls: 2},
		"other body":                  {before: done, body: "b", execute: ok, want: "not-run", err: ErrBodyMismatch, after: StateFailed},
		"other body after release":    {before: released, body: "b", execute: ok, want: "not-run", err: ErrBodyMismatch, after: StateReleased},
		"released is claimed again":   {before: released, body: "a", execute: ok, want: "completed", after: StateCompleted},
		"cancelled":                   {before: cancelled, body: "a", execute: ok, want: "not-run", err: ErrRequestCancelled, after: StateCancelled},
		"no outcome":                  {before: claimed, body: "a", execute: ok, want: "unknown", err: ErrNoOutcome, after: StateClaimed},
		"no byte sent":                {body: "a", execute: fails(fmt.Errorf("dial: %w", ErrNotSent)), want: "not-run", err: ErrNotSent, after: StateReleased},
		"answer lost":                 {body: "a", execute: fails(lost), want: "unknown", err: lost, after: StateClaimed},
		"store down":                  {body: "a", faults: []fault{faultDown}, execute: ok, want: "not-run", err: ErrUnavailable, calls: 1},
		"claim response lost":         {body: "a", faults: []fault{faultLost, faultDown}, execute: ok, want: "completed", after: StateCompleted},
		"claim dropped":               {body: "a", faults: []fault{faultDropped}, execute: ok, want: "completed", after: StateCompleted},
		"outcome retried":             {body: "a", faults: []fault{faultNone, faultDown, faultDown, faultDropped}, execute: ok, want: "completed", after: StateCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storeView{fakeStore: newFakeStore(), before: faults(c.faults...)}
				req := testRequest(t, "k", 1, c.body)
				if c.before.State != StateAbsent {
					value, err := Encode(c.before)
					assert.NilError(t, err)
					_, err = store.write(req.Key.Path(), value, 0)
					assert.NilError(t, err)
				}
				claimer := NewClaimer(store, Options{})
				res := claimer.Run(t.Context(), req, c.execute)
				assert.NilError(t, claimer.Wait(t.Context()))
				assert.Equal(t, res.Outcome, c.want, "%v", res.Err)
				assert.ErrorIs(t, res.Err, c.err)
				assert.Equal(t, store.record(req.Key.Path()).State, c.after)
				assert.Assert(t, c.calls == 0 || store.calls == c.calls, "%d calls", store.calls)
			})
		})
	}
}

// Guards against an unconfirmed claim that blocks its key for good: the claim
// is delayed past the deadline while the store is down for reads.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var up atomic.Bool
		first := faults(faultDelayed)
		store := storeView{fakeStore: newFakeStore(), before: func() fault {
			if f := first(); f != faultNone || up.Load() {
				return f
			}
			return faultDown
		}}
		claimer, req := NewClaimer(store, Options{}), testRequest(t, "k", 1, "a")
		res := claimer.Run(t.Context(), req, nil)
		assert.Equal(t, res.Outcome, request.OutcomeNotRun)
		assert.ErrorIs(t, res.Err, ErrClaimUndetermined)
		up.Store(true)
		assert.NilError(t, claimer.Wait(t.Context()))
		store.delayed[0]()
		assert.Equal(t, store.record(req.Key.Path()).State, StateReleased)
	})
}

// Guards against a claim on a record that replaced a removed one, when the
// machine was suspended during the claim: the wall clock moves on, the deadline
// does not.
func TestKeyExpiresDuringClaim(t *testing.T) {
	var asleep time.Duration
	store := storeView{fakeStore: newFakeStore(), before: func() fault { asleep = 2 * time.Hour; return faultNone }}
	claimer := NewClaimer(store, Options{Now: func() time.Time { return testNow.Add(asleep) }})
	req := testRequest(t, v7(testNow.Add(time.Hour-Retention)), 1, "a")
	res := claimer.Run(t.Context(), req, nil)
	assert.Equal(t, res.Outcome, request.OutcomeNotRun)
	assert.ErrorIs(t, res.Err, ErrKeyExpired)
	assert.NilError(t, claimer.Wait(t.Context()))
	assert.Equal(t, store.record(req.Key.Path()).State, StateReleased)
}

// Guards against an outcome that is dropped because the caller left, and
// against an execution that is aborted then.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeView{fakeStore: newFakeStore(), before: faults(faultNone, faultDown, faultDown)}
		claimer, req := NewClaimer(store, Options{}), testRequest(t, "k", 1, "a")
		ctx, leave := context.WithCancel(t.Context())
		claimer.Run(ctx, req, func(ctx context.Context) (Response, error) {
			leave()
			assert.NilError(t, ctx.Err())
			return Response{Status: 200}, nil
		})
		assert.NilError(t, claimer.Wait(t.Context()))
		assert.Equal(t, store.record(req.Key.Path()).State, StateCompleted)
		// A repeated request waits for an outcome and gets it.
		again := claimer.Run(t.Context(), req, nil)
		assert.Assert(t, again.Replayed)
	})
}

// Guards against a not-run without proof: for a claimed record, a full list, a
// key whose record may be gone, or a write with an unknown outcome.
func TestCancel(t *testing.T) {
	claimed := must(Record{}.Claim(testRequest(t, "k", 9, "a"), tokenN(9), testNow))
	full := Record{}
	for i := range MaxCancelled {
		full = must(full.Cancel(testRequest(t, "k", 100+i, "a")))
	}
	bound := must(claimed.Release(tokenN(9), testNow))
	done := must(claimed.Complete(tokenN(9), Response{Status: 200}, testNow))
	stuck := make([]fault, 1000)
	for i := range stuck {
		stuck[i] = faultDropped
	}
	for name, c := range map[string]struct {
		before    Record
		key, body string
		faults    []fault
		want      request.Outcome
		err       error
	}{
		"absent":        {key: "k", body: "a", want: "not-run", err: ErrRequestCancelled},
		"response lost": {key: "k", body: "a", faults: []fault{faultNone, faultLost}, want: "not-run", err: ErrRequestCancelled},
		"never applied": {key: "k", body: "a", faults: stuck, want: "unknown", err: ErrOutcomeUnknown},
		"released":      {before: bound, key: "k", body: "a", want: "not-run", err: ErrRequestCancelled},
		"other body":    {before: bound, key: "k", body: "b", want: "not-run", err: ErrBodyMismatch},
		"claimed":       {before: claimed, key: "k", body: "a", want: "unknown", err: ErrNoOutcome},
		"ran":           {before: done, key: "k", body: "a", want: "completed"},
		"list full":     {before: full, key: "k", body: "a", want: "unknown", err: ErrCancelledListFull},
		"key expired":   {key: v7(testNow.Add(-40 * 365 * 24 * time.Hour)), body: "a", want: "unknown", err: ErrKeyExpired},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storeView{fakeStore: newFakeStore(), before: faults(c.faults...)}
				req := testRequest(t, c.key, 1, c.body)
				if c.before.State != StateAbsent {
					value, err := Encode(c.before)
					assert.NilError(t, err)
					_, err = store.write(req.Key.Path(), value, 0)
					assert.NilError(t, err)
				}
				res := NewCanceller(store, Options{}).Cancel(t.Context(), req)
				assert.Equal(t, res.Outcome, c.want, "%v", res.Err)
				assert.ErrorIs(t, res.Err, c.err)
				listed := store.record(req.Key.Path()).IsCancelled(req.RequestID)
				assert.Equal(t, listed, c.err == ErrRequestCancelled)
			})
		})
	}
}

// Guards against a removal of a record whose key may still be used, and
// against a sweep that exceeds its rate.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeView{fakeStore: newFakeStore()}
		start := time.Now()
		for i := range 40 {
			age := Retention + RemovalMargin - time.Hour + time.Duration(i%2)*2*time.Hour
			key := v7(start.Add(-age - time.Duration(i)*time.Millisecond))
			if i == 0 {
				key = "opaque"
			}
			value, err := Encode(must(Record{}.Cancel(testRequest(t, key, 1, "a"))))
			assert.NilError(t, err)
			_, err = store.write(testRequest(t, key, 1, "a").Key.Path(), value, 0)
			assert.NilError(t, err)
		}
		removed, err := NewSweeper(store, SweeperOptions{}).Sweep(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, removed, 20)
		assert.Equal(t, len(store.objects), 20)
		assert.Equal(t, time.Since(start), time.Duration(store.calls-1)*time.Second)
	})
}

func must(rec Record, err error) Record {
	if err != nil {
		panic(err)
	}
	return rec
}
