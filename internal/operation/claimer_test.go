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

// faultSequence returns a storeClient.chooseFault that returns the faults in list
// one after another, then faultNone.
func faultSequence(list ...fault) func() fault {
	return func() (f fault) {
		if len(list) > 0 {
			f, list = list[0], list[1:]
		}
		return f
	}
}

// Guards against a second execution, a wrong not-run and a lost outcome when one
// store call or the execution fails.
func TestRun(t *testing.T) {
	succeed := func(context.Context) (Response, error) { return Response{Status: 200, Body: []byte("first")}, nil }
	failWith := func(err error) func(context.Context) (Response, error) {
		return func(context.Context) (Response, error) { return Response{}, err }
	}
	recordAfterClaim := func(end func(Record) (Record, error)) Record {
		rec, err := Record{}.Claim(testRequest(t, "k", 9, "a"), testToken(9), testNow)
		assert.NilError(t, err)
		rec, err = end(rec)
		assert.NilError(t, err)
		return rec
	}
	claimed := recordAfterClaim(func(r Record) (Record, error) { return r, nil })
	released := recordAfterClaim(func(r Record) (Record, error) { return r.Release(testToken(9), testNow) })
	done := recordAfterClaim(func(r Record) (Record, error) {
		return r.Complete(testToken(9), Response{Status: 409, Body: []byte("old")}, testNow)
	})
	cancelled, err := Record{}.Cancel(testRequest(t, "k", 1, "a"))
	assert.NilError(t, err)
	errConnReset := errors.New("connection reset")
	for name, c := range map[string]struct {
		stored    Record
		body      string
		faults    []fault
		execute   func(context.Context) (Response, error)
		want      request.Outcome
		wantErr   error
		wantState State
		wantCalls int // 0: not checked
	}{
		"two calls if no contention": {body: "a", execute: succeed, want: "completed", wantState: StateCompleted, wantCalls: 2},
		"replay":                     {stored: done, body: "a", execute: succeed, want: "failed", wantState: StateFailed, wantCalls: 2},
		"other body":                 {stored: done, body: "b", execute: succeed, want: "not-run", wantErr: ErrBodyMismatch, wantState: StateFailed},
		"other body after release":   {stored: released, body: "b", execute: succeed, want: "not-run", wantErr: ErrBodyMismatch, wantState: StateReleased},
		"released is claimed again":  {stored: released, body: "a", execute: succeed, want: "completed", wantState: StateCompleted},
		"cancelled":                  {stored: cancelled, body: "a", execute: succeed, want: "not-run", wantErr: ErrRequestCancelled, wantState: StateCancelled},
		"no outcome":                 {stored: claimed, body: "a", execute: succeed, want: "unknown", wantErr: ErrNoOutcome, wantState: StateClaimed},
		"no byte sent":               {body: "a", execute: failWith(fmt.Errorf("dial: %w", ErrNotSent)), want: "not-run", wantErr: ErrNotSent, wantState: StateReleased},
		"response lost":              {body: "a", execute: failWith(errConnReset), want: "unknown", wantErr: errConnReset, wantState: StateClaimed},
		"store unavailable":          {body: "a", faults: []fault{faultUnavailable}, execute: succeed, want: "not-run", wantErr: ErrUnavailable, wantCalls: 1},
		"claim response lost":        {body: "a", faults: []fault{faultResponseLost, faultUnavailable}, execute: succeed, want: "completed", wantState: StateCompleted},
		"claim dropped":              {body: "a", faults: []fault{faultDropped}, execute: succeed, want: "completed", wantState: StateCompleted},
		"record of outcome retried":  {body: "a", faults: []fault{faultNone, faultUnavailable, faultUnavailable, faultDropped}, execute: succeed, want: "completed", wantState: StateCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storeClient{fakeStore: newFakeStore(), chooseFault: faultSequence(c.faults...)}
				req := testRequest(t, "k", 1, c.body)
				if c.stored.State != StateAbsent {
					value, err := Encode(c.stored)
					assert.NilError(t, err)
					_, err = store.write(req.Key.Path(), value, 0)
					assert.NilError(t, err)
				}
				claimer := NewClaimer(store, Options{})
				res := claimer.Run(t.Context(), req, c.execute)
				assert.NilError(t, claimer.Wait(t.Context()))
				assert.Equal(t, res.Outcome, c.want, "%v", res.Err)
				assert.ErrorIs(t, res.Err, c.wantErr)
				assert.Equal(t, store.record(req.Key.Path()).State, c.wantState)
				assert.Assert(t, c.wantCalls == 0 || store.calls == c.wantCalls, "%d store calls", store.calls)
			})
		})
	}
}

// Guards against an unconfirmed claim that blocks its key permanently. The write of
// the claim is delayed past the deadline while reads fail.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var storeUp atomic.Bool
		firstFault := faultSequence(faultDelayed)
		store := storeClient{fakeStore: newFakeStore(), chooseFault: func() fault {
			if f := firstFault(); f != faultNone || storeUp.Load() {
				return f
			}
			return faultUnavailable
		}}
		claimer, req := NewClaimer(store, Options{}), testRequest(t, "k", 1, "a")
		res := claimer.Run(t.Context(), req, nil)
		assert.Equal(t, res.Outcome, request.OutcomeNotRun)
		assert.ErrorIs(t, res.Err, ErrClaimUnconfirmed)
		storeUp.Store(true)
		assert.NilError(t, claimer.Wait(t.Context()))
		store.delayedCalls[0]()
		assert.Equal(t, store.record(req.Key.Path()).State, StateReleased)
	})
}

// Guards against using a claim on a record that replaced a removed one. This can
// happen if the machine is suspended during the claim: the wall clock advances,
// but the deadline's clock doesn't.
func TestKeyExpiresDuringClaim(t *testing.T) {
	var suspended time.Duration
	store := storeClient{fakeStore: newFakeStore(), chooseFault: func() fault { suspended = 2 * time.Hour; return faultNone }}
	claimer := NewClaimer(store, Options{Now: func() time.Time { return testNow.Add(suspended) }})
	req := testRequest(t, uuidV7(testNow.Add(time.Hour-Retention)), 1, "a")
	res := claimer.Run(t.Context(), req, nil)
	assert.Equal(t, res.Outcome, request.OutcomeNotRun)
	assert.ErrorIs(t, res.Err, ErrKeyExpired)
	assert.NilError(t, claimer.Wait(t.Context()))
	assert.Equal(t, store.record(req.Key.Path()).State, StateReleased)
}

// Guards against aborting an execution, or not recording its outcome, because the
// caller disconnected.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeClient{fakeStore: newFakeStore(), chooseFault: faultSequence(faultNone, faultUnavailable, faultUnavailable)}
		claimer, req := NewClaimer(store, Options{}), testRequest(t, "k", 1, "a")
		ctx, disconnect := context.WithCancel(t.Context())
		claimer.Run(ctx, req, func(ctx context.Context) (Response, error) {
			disconnect()
			assert.NilError(t, ctx.Err())
			return Response{Status: 200}, nil
		})
		assert.NilError(t, claimer.Wait(t.Context()))
		assert.Equal(t, store.record(req.Key.Path()).State, StateCompleted)
		// A repeated request gets the recorded outcome.
		repeated := claimer.Run(t.Context(), req, nil)
		assert.Assert(t, repeated.Replayed)
	})
}

// Guards against reporting not-run without proof: for a claimed record, a full
// cancelled list, a key whose record may have been removed, or a write with an
// unknown outcome.
func TestCancel(t *testing.T) {
	claimed := must(Record{}.Claim(testRequest(t, "k", 9, "a"), testToken(9), testNow))
	full := Record{}
	for i := range MaxCancelled {
		full = must(full.Cancel(testRequest(t, "k", 100+i, "a")))
	}
	released := must(claimed.Release(testToken(9), testNow))
	done := must(claimed.Complete(testToken(9), Response{Status: 200}, testNow))
	allDropped := make([]fault, 1000)
	for i := range allDropped {
		allDropped[i] = faultDropped
	}
	for name, c := range map[string]struct {
		stored    Record
		key, body string
		faults    []fault
		want      request.Outcome
		wantErr   error
	}{
		"absent":        {key: "k", body: "a", want: "not-run", wantErr: ErrRequestCancelled},
		"response lost": {key: "k", body: "a", faults: []fault{faultNone, faultResponseLost}, want: "not-run", wantErr: ErrRequestCancelled},
		"never applied": {key: "k", body: "a", faults: allDropped, want: "unknown", wantErr: ErrOutcomeUnknown},
		"released":      {stored: released, key: "k", body: "a", want: "not-run", wantErr: ErrRequestCancelled},
		"other body":    {stored: released, key: "k", body: "b", want: "not-run", wantErr: ErrBodyMismatch},
		"claimed":       {stored: claimed, key: "k", body: "a", want: "unknown", wantErr: ErrNoOutcome},
		"completed":     {stored: done, key: "k", body: "a", want: "completed"},
		"list full":     {stored: full, key: "k", body: "a", want: "unknown", wantErr: ErrCancelledListFull},
		"key expired":   {key: uuidV7(testNow.Add(-40 * 365 * 24 * time.Hour)), body: "a", want: "unknown", wantErr: ErrKeyExpired},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storeClient{fakeStore: newFakeStore(), chooseFault: faultSequence(c.faults...)}
				req := testRequest(t, c.key, 1, c.body)
				if c.stored.State != StateAbsent {
					value, err := Encode(c.stored)
					assert.NilError(t, err)
					_, err = store.write(req.Key.Path(), value, 0)
					assert.NilError(t, err)
				}
				res := NewCanceller(store, Options{}).Cancel(t.Context(), req)
				assert.Equal(t, res.Outcome, c.want, "%v", res.Err)
				assert.ErrorIs(t, res.Err, c.wantErr)
				listed := store.record(req.Key.Path()).IsCancelled(req.RequestID)
				assert.Equal(t, listed, c.wantErr == ErrRequestCancelled)
			})
		})
	}
}

// Guards against removing a record whose key may still be used, and against
// exceeding the rate limit of store calls.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeClient{fakeStore: newFakeStore()}
		start := time.Now()
		for i := range 40 {
			age := Retention + RemovalMargin - time.Hour + time.Duration(i%2)*2*time.Hour
			key := uuidV7(start.Add(-age - time.Duration(i)*time.Millisecond))
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
