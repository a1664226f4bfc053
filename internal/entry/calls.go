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
	// cancelGrace is how long after the deadline an entry tries to find out
	// whether a call ran.
	cancelGrace = 2 * time.Second
	// redispatchPause is the wait before the upstreams of a service are tried
	// again after all have been tried.
	redispatchPause = 100 * time.Millisecond
	// callPatience is how long a call waits while no upstream of the service is
	// usable. In a rolling restart of a small pool the entry may learn of the
	// restarted upstream only after the next one has begun to leave.
	callPatience = 2 * time.Second
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
	// patience is until when the call waits for a usable upstream.
	patience time.Time

	attempt request.Attempt
	tried   []upstream.InstanceID
	random  *rand.Rand
	// uncertain is true once a dispatch ended without an answer, so that the
	// call may have run or may still run.
	uncertain bool
	refusal   string
	trace     *trace
}

// NeedsKey implements callerapi.Backend.
func (e *Entry) NeedsKey(service, op string) bool {
	s, ok := e.replica.State().Service(service)
	return !ok || !s.Operation(op).Idempotent
}

// Call implements callerapi.Backend.
func (e *Entry) Call(ctx context.Context, r callerapi.ServiceRequest) callerapi.ServiceResult {
	s, ok := e.replica.State().Service(r.Service)
	if !ok {
		return callerapi.ServiceResult{Result: refused(http.StatusNotFound, "service_not_found", "the service does not exist")}
	}
	if e.draining() {
		return callerapi.ServiceResult{Result: busy("the entry is leaving")}
	}
	op := s.Operation(r.Operation)
	now := time.Now()
	c := &call{
		entry: e, request: r, op: op,
		deadline: now.Add(time.Duration(op.DeadlineMillis) * time.Millisecond),
		patience: now.Add(callPatience),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		trace:    e.traces.start(r.ID, r.Team, r.Service+"/"+r.Operation),
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	e.openCalls.Add(1)
	defer e.openCalls.Add(-1)
	e.retries.RecordRequest(r.Team, callRetryFraction)
	e.beginWork(r.Team)
	defer e.endWork(r.Team, 0)
	result := c.run(ctx)
	c.trace.end(result.Outcome)
	e.meters.requestEnded("service", r.Team, result.Outcome)
	return result
}

// run dispatches until one dispatch is answered. Repeating a non-idempotent
// call is safe, because the sidecars claim it under the same key.
func (c *call) run(ctx context.Context) callerapi.ServiceResult {
	for ctx.Err() == nil {
		u := c.choose()
		if u == nil {
			if (!c.uncertain && time.Now().After(c.patience)) || !c.pause(ctx) {
				break
			}
			continue
		}
		c.tried = append(c.tried, u.ID)
		if c.attempt > 0 && !c.mayRetry(ctx) {
			break
		}
		result := c.dispatch(ctx, u)
		switch {
		case result == nil:
			c.uncertain = true
			c.trace.add(c.attempt, traceLost, string(u.ID)+": no answer")
		case result.Refused != "":
			if result.Refused == peer.RefusedUnavailable {
				c.entry.outliers.failed(u)
			}
			c.refusal = "refused: " + string(result.Refused)
			c.trace.add(c.attempt, traceRefused, string(u.ID)+": "+string(result.Refused))
		case result.Outcome == request.OutcomeNotRun && c.uncertain:
			// This dispatch did not run, but an earlier one may have.
			c.refusal = result.Detail
			return c.settle(ctx)
		default:
			return serviceResult(result)
		}
	}
	return c.settle(ctx)
}

// mayRetry waits for the backoff of another dispatch. It returns false if the
// team's retry budget is spent or the deadline comes first.
func (c *call) mayRetry(ctx context.Context) bool {
	delay, err := c.entry.retries.TakeRetry(time.Now(), c.deadline, c.random, c.request.Team, int(c.attempt))
	if err != nil {
		c.refusal = err.Error()
		c.trace.add(c.attempt, traceRefused, c.refusal)
		logRetryBudget(c.entry.options.Log, c.request.Team, err)
		return false
	}
	c.entry.meters.redispatched.Inc(1)
	pause(ctx, delay)
	return ctx.Err() == nil
}

// pause waits before all upstreams are tried again.
func (c *call) pause(ctx context.Context) bool {
	c.tried = nil
	select {
	case <-time.After(redispatchPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// choose returns a usable upstream that has not been tried, or nil.
func (c *call) choose() *upstream.Upstream {
	u, _, err := c.entry.planner.ChooseService(time.Now(), c.random, c.request.Service, planner.Exclusions{Upstreams: c.tried})
	if err != nil {
		return nil
	}
	return u
}

// dispatch sends the call to one upstream. It returns nil if the call was
// sent and no answer came.
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
	id := callID{c.request.ID, c.attempt}
	pending := c.entry.calls.add(id, conn)
	defer c.entry.calls.remove(id)
	if err := conn.Send(c.frame()); err != nil {
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

func (c *call) frame() *peer.Call {
	return &peer.Call{
		Request: c.request.ID, Attempt: c.attempt, Team: c.request.Team,
		Service: c.request.Service, Operation: c.request.Operation, Method: c.request.Method,
		ContentType: c.request.ContentType, Body: c.request.Body,
		NonIdempotent: !c.op.Idempotent, IdempotencyKey: c.request.IdempotencyKey,
		DeadlineMillis: time.Until(c.deadline).Milliseconds(),
	}
}

// settle decides the outcome when no dispatch was answered. It answers not-run
// only with proof.
func (c *call) settle(ctx context.Context) callerapi.ServiceResult {
	if !c.uncertain {
		message := c.refusal
		if message == "" {
			message = "no usable upstream of the service"
		}
		return callerapi.ServiceResult{Result: busy(message)}
	}
	if c.op.Idempotent {
		return callerapi.ServiceResult{Result: unknownOutcome("no upstream answered in time")}
	}
	r, err := operation.NewRequest(c.request.ID, c.request.Team, c.request.Service, c.request.Operation,
		c.request.IdempotencyKey, c.request.Body)
	if err != nil {
		return callerapi.ServiceResult{Result: unknownOutcome(err.Error())}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline.Add(cancelGrace))
	defer cancel()
	done := c.entry.canceller.Cancel(ctx, r)
	c.trace.add(c.attempt, traceSettled, string(done.Outcome))
	if done.Outcome == request.OutcomeUnknown {
		c.entry.options.Log.Log(events.OperationUnknown).Str("request", string(c.request.ID)).
			Str("team", c.request.Team).Str("operation", c.request.Service+"/"+c.request.Operation).Err(done.Err).Send()
	}
	return settledResult(done)
}

func settledResult(done operation.Result) callerapi.ServiceResult {
	switch done.Outcome {
	case request.OutcomeNotRun:
		return callerapi.ServiceResult{Result: busy("the call was cancelled before it ran")}
	case request.OutcomeCompleted, request.OutcomeFailed:
		return callerapi.ServiceResult{
			Result: callerapi.Result{Outcome: done.Outcome},
			Status: done.Response.Status, ContentType: done.Response.ContentType, Body: done.Response.Body,
			Replayed: done.Replayed,
		}
	}
	return callerapi.ServiceResult{Result: unknownOutcome("it is not known whether the call ran")}
}

func unknownOutcome(message string) callerapi.Result {
	return callerapi.Result{
		Outcome: request.OutcomeUnknown,
		Err: &callerapi.Error{
			Status: http.StatusGatewayTimeout, Type: "server_error", Code: "unknown_outcome", Message: message,
		},
	}
}

// serviceResult turns a sidecar's answer into the caller's.
func serviceResult(f *peer.CallResult) callerapi.ServiceResult {
	switch {
	case f.Conflict:
		return callerapi.ServiceResult{Result: refused(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the idempotency key was used with another body")}
	case f.Outcome == request.OutcomeNotRun:
		return callerapi.ServiceResult{Result: busy(f.Detail)}
	case f.Outcome == request.OutcomeUnknown:
		return callerapi.ServiceResult{Result: unknownOutcome(f.Detail)}
	}
	return callerapi.ServiceResult{
		Result: callerapi.Result{Outcome: f.Outcome},
		Status: f.Status, ContentType: f.ContentType, Body: f.Body, Replayed: f.Replayed,
	}
}
