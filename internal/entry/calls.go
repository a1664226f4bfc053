package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// cancelGracePeriod is how long after a call's deadline the entry still
	// tries to cancel the call and to determine whether it ran.
	cancelGracePeriod = 2 * time.Second
	// redispatchDelay is the delay before the upstreams of a service are tried
	// again after all of them have been tried.
	redispatchDelay = 100 * time.Millisecond
	// upstreamWaitTimeout is how long a call waits while no upstream of the
	// service is usable. In a rolling restart of a small pool the entry may
	// learn that a restarted upstream is usable only after the next one has
	// begun to leave.
	upstreamWaitTimeout = 2 * time.Second
	// callRetryFraction is the share of a team's calls to plain services that
	// may be dispatched again.
	callRetryFraction = 0.2
)

// call drives one request to a plain service.
type call struct {
	entry    *Entry
	request  callerapi.ServiceRequest
	op       config.Operation
	deadline time.Time
	// upstreamWaitDeadline is when the call stops waiting for a usable
	// upstream.
	upstreamWaitDeadline time.Time

	// attempt is the number of dispatches so far. tried holds the upstreams
	// that were tried since all upstreams were last made eligible.
	attempt request.Attempt
	tried   []upstream.InstanceID
	random  *rand.Rand
	// mayHaveRun is true once a dispatch ended without an answer, so that the
	// call may have run or may still run.
	mayHaveRun bool
	// notRunReason is the reason why the latest dispatch did not run or was not
	// made.
	notRunReason string
	trace        *trace
}

// RequiresIdempotencyKey implements callerapi.Backend.
func (e *Entry) RequiresIdempotencyKey(service, op string) bool {
	s, ok := e.replica.State().Service(service)
	return !ok || !s.Operation(op).Idempotent
}

// Call implements callerapi.Backend.
func (e *Entry) Call(ctx context.Context, r callerapi.ServiceRequest) callerapi.ServiceResult {
	s, ok := e.replica.State().Service(r.Service)
	if !ok {
		return callerapi.ServiceResult{Result: invalidRequestResult(http.StatusNotFound, "service_not_found", "the service does not exist")}
	}
	if e.draining() {
		return callerapi.ServiceResult{Result: unavailableResult("the entry is leaving")}
	}
	op := s.Operation(r.Operation)
	now := time.Now()
	c := &call{
		entry: e, request: r, op: op,
		deadline:             now.Add(time.Duration(op.DeadlineMillis) * time.Millisecond),
		upstreamWaitDeadline: now.Add(upstreamWaitTimeout),
		random:               rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		trace:                e.traces.start(r.ID, r.Team, r.Service+"/"+r.Operation),
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	e.openCalls.Add(1)
	defer e.openCalls.Add(-1)
	e.retries.RecordRequest(r.Team, callRetryFraction)
	e.countAdmitted(r.Team)
	defer e.countFinished(r.Team, 0)
	result := c.run(ctx)
	c.trace.end(result.Outcome)
	e.metrics.countRequest("service", r.Team, result.Outcome)
	return result
}

// run dispatches the call until a dispatch is answered. Repeating a
// non-idempotent call is safe, because the sidecars claim it under the same
// idempotency key.
func (c *call) run(ctx context.Context) callerapi.ServiceResult {
	for ctx.Err() == nil {
		u := c.chooseUpstream()
		if u == nil {
			if (!c.mayHaveRun && time.Now().After(c.upstreamWaitDeadline)) || !c.waitForUpstream(ctx) {
				break
			}
			continue
		}
		c.tried = append(c.tried, u.ID)
		if c.attempt > 0 && !c.awaitRetry(ctx) {
			break
		}
		result := c.dispatch(ctx, u)
		switch {
		case result == nil:
			c.mayHaveRun = true
			c.trace.add(c.attempt, traceLost, string(u.ID)+": no answer")
		case result.Refused != "":
			if result.Refused == peer.RefusedUnavailable {
				c.entry.outliers.recordFailure(u)
			}
			c.notRunReason = "refused: " + string(result.Refused)
			c.trace.add(c.attempt, traceRefused, string(u.ID)+": "+string(result.Refused))
		case result.Outcome == request.OutcomeNotRun && c.mayHaveRun:
			// This dispatch did not run, but an earlier one may have.
			c.notRunReason = result.Detail
			return c.resolveOutcome(ctx)
		default:
			return serviceResult(result)
		}
	}
	return c.resolveOutcome(ctx)
}

// awaitRetry waits for the backoff before another dispatch. It returns false if
// the team's retry budget is spent or the deadline passes first.
func (c *call) awaitRetry(ctx context.Context) bool {
	delay, err := c.entry.retries.TakeRetry(time.Now(), c.deadline, c.random, c.request.Team, int(c.attempt))
	if err != nil {
		c.notRunReason = err.Error()
		c.trace.add(c.attempt, traceRefused, c.notRunReason)
		logRetryBudgetSpent(c.entry.options.Log, c.request.Team, err)
		return false
	}
	c.entry.metrics.callsRedispatched.Inc(1)
	sleepContext(ctx, delay)
	return ctx.Err() == nil
}

// waitForUpstream waits for redispatchDelay and makes all upstreams eligible
// again. It returns false if ctx ends first.
func (c *call) waitForUpstream(ctx context.Context) bool {
	c.tried = nil
	select {
	case <-time.After(redispatchDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseUpstream returns a usable upstream that has not been tried, or nil.
func (c *call) chooseUpstream() *upstream.Upstream {
	u, _, err := c.entry.planner.ChooseService(time.Now(), c.random, c.request.Service, planner.Exclusions{Upstreams: c.tried})
	if err != nil {
		return nil
	}
	return u
}

// dispatch sends the call to one upstream. It returns nil if the call was sent
// but not answered.
func (c *call) dispatch(ctx context.Context, u *upstream.Upstream) *peer.CallResult {
	notSent := &peer.CallResult{Outcome: request.OutcomeNotRun, Refused: peer.RefusedUnavailable}
	conn := c.entry.node.Connection(u.Address)
	if conn == nil {
		return notSent
	}
	u.Acquire()
	defer u.Release()
	c.attempt++
	c.trace.add(c.attempt, traceDispatch, string(u.ID))
	id := dispatchID{c.request.ID, c.attempt}
	pending := c.entry.calls.add(id, conn)
	defer c.entry.calls.remove(id)
	if err := conn.Send(c.callFrame()); err != nil {
		return notSent
	}
	select {
	case result := <-pending.result:
		return result
	case <-conn.Done():
		return nil
	case <-ctx.Done():
		_ = conn.Send(&peer.CancelCall{Request: id.request, Attempt: id.attempt})
		return nil
	}
}

func (c *call) callFrame() *peer.Call {
	return &peer.Call{
		Request: c.request.ID, Attempt: c.attempt, Team: c.request.Team,
		Service: c.request.Service, Operation: c.request.Operation, Method: c.request.Method,
		ContentType: c.request.ContentType, Body: c.request.Body,
		NonIdempotent: !c.op.Idempotent, IdempotencyKey: c.request.IdempotencyKey,
		DeadlineMillis: time.Until(c.deadline).Milliseconds(),
	}
}

// resolveOutcome determines the outcome when no dispatch was answered. It
// reports not-run only if that is proven: no dispatch may have run the call, or
// the operation record shows that it never runs.
func (c *call) resolveOutcome(ctx context.Context) callerapi.ServiceResult {
	if !c.mayHaveRun {
		message := c.notRunReason
		if message == "" {
			message = "no usable upstream of the service"
		}
		return callerapi.ServiceResult{Result: unavailableResult(message)}
	}
	if c.op.Idempotent {
		return callerapi.ServiceResult{Result: unknownOutcomeResult("no upstream answered in time")}
	}
	r, err := operation.NewRequest(c.request.ID, c.request.Team, c.request.Service, c.request.Operation,
		c.request.IdempotencyKey, c.request.Body)
	if err != nil {
		return callerapi.ServiceResult{Result: unknownOutcomeResult(err.Error())}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline.Add(cancelGracePeriod))
	defer cancel()
	result := c.entry.canceller.Cancel(ctx, r)
	c.trace.add(c.attempt, traceSettled, string(result.Outcome))
	if result.Outcome == request.OutcomeUnknown {
		c.entry.options.Log.Log(events.OperationUnknown).Str("request", string(c.request.ID)).
			Str("team", c.request.Team).Str("operation", c.request.Service+"/"+c.request.Operation).Err(result.Err).Send()
	}
	return cancellationResult(result)
}

// cancellationResult converts the result of a cancellation to the result for
// the caller.
func cancellationResult(result operation.Result) callerapi.ServiceResult {
	switch result.Outcome {
	case request.OutcomeNotRun:
		return callerapi.ServiceResult{Result: unavailableResult("the call was cancelled before it ran")}
	case request.OutcomeCompleted, request.OutcomeFailed:
		return callerapi.ServiceResult{
			Result: callerapi.Result{Outcome: result.Outcome},
			Status: result.Response.Status, ContentType: result.Response.ContentType, Body: result.Response.Body,
			Replayed: result.Replayed,
		}
	}
	return callerapi.ServiceResult{Result: unknownOutcomeResult("it is not known whether the call ran")}
}

// unknownOutcomeResult returns the result of a call that may have run.
func unknownOutcomeResult(message string) callerapi.Result {
	return callerapi.Result{
		Outcome: request.OutcomeUnknown,
		Err: &callerapi.Error{
			Status: http.StatusGatewayTimeout, Type: "server_error", Code: "unknown_outcome", Message: message,
		},
	}
}

// serviceResult converts a sidecar's answer to the result for the caller.
func serviceResult(f *peer.CallResult) callerapi.ServiceResult {
	switch {
	case f.Conflict:
		return callerapi.ServiceResult{Result: invalidRequestResult(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the idempotency key was used with another body")}
	case f.Outcome == request.OutcomeNotRun:
		return callerapi.ServiceResult{Result: unavailableResult(f.Detail)}
	case f.Outcome == request.OutcomeUnknown:
		return callerapi.ServiceResult{Result: unknownOutcomeResult(f.Detail)}
	}
	return callerapi.ServiceResult{
		Result: callerapi.Result{Outcome: f.Outcome},
		Status: f.Status, ContentType: f.ContentType, Body: f.Body, Replayed: f.Replayed,
	}
}
