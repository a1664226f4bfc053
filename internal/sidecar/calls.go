package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/service"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Service is the part of the service client that a sidecar uses.
type Service interface {
	Call(ctx context.Context, r service.Request) (service.Response, error)
	// Probe returns an error if the service is unreachable.
	Probe(ctx context.Context) error
}

// callID identifies one dispatch of a request: each attempt is a separate call.
type callID struct {
	request request.ID
	attempt request.Attempt
}

// callRunner runs the calls to one plain service.
type callRunner struct {
	service  Service
	claimer  *operation.Claimer
	maxCalls int
	queue    *callQueue
	counters *team.Counters
	health   *healthCheck
	log      *events.Logger

	// mu guards active and draining.
	mu sync.Mutex
	// active holds the cancel functions of the calls in progress.
	active map[callID]context.CancelFunc
	// draining is set when the sidecar begins to drain; new calls are refused
	// from then on.
	draining bool
}

// newCallRunner returns a callRunner that sends at most maxRunning calls to the
// service at once and accepts at most maxCalls, running and waiting.
func newCallRunner(s Service, claimer *operation.Claimer, maxRunning, maxCalls int, health *healthCheck, log *events.Logger) *callRunner {
	return &callRunner{
		service: s, claimer: claimer, maxCalls: maxCalls, health: health, log: log,
		queue:    newCallQueue(maxRunning),
		counters: team.NewCounters(time.Now()),
		active:   make(map[callID]context.CancelFunc),
	}
}

// Start runs a call in the background and sends its result to the entry.
func (c *callRunner) Start(entry peer.Sender, call *peer.Call) {
	id := callID{call.Request, call.Attempt}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.DeadlineMillis)*time.Millisecond)
	refusal, duplicate := c.admit(id, cancel)
	if duplicate {
		// The first dispatch sends the result. The entry would take a refusal
		// of the duplicate for that result and could report not-run for a call
		// that is running.
		cancel()
		return
	}
	if refusal != "" {
		cancel()
		_ = entry.Send(&peer.CallResult{
			Request: call.Request, Attempt: call.Attempt, Outcome: request.OutcomeNotRun, Refused: refusal,
		})
		return
	}
	go func() {
		result := c.run(ctx, call)
		// The result is queued for sending before the call is removed, so that
		// a draining sidecar doesn't see itself idle and close the connection
		// first.
		_ = entry.Send(result)
		cancel()
		c.remove(id)
	}()
}

// admit registers a call, or returns the reason to refuse it. duplicate is true
// if the same dispatch is already in progress.
func (c *callRunner) admit(id callID, cancel context.CancelFunc) (refusal peer.RefusalReason, duplicate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.active[id] != nil:
		return "", true
	case c.draining:
		return peer.RefusedLeaving, false
	case !c.health.healthy():
		return peer.RefusedUnavailable, false
	case len(c.active) >= c.maxCalls:
		return peer.RefusedQueueFull, false
	}
	c.active[id] = cancel
	return "", false
}

func (c *callRunner) remove(id callID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, id)
}

// Cancel cancels a call whose caller has gone. A non-idempotent call that was
// already sent to the service runs to its end, so that its outcome is recorded.
func (c *callRunner) Cancel(f *peer.CancelCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.active[callID{f.Request, f.Attempt}]; cancel != nil {
		cancel()
	}
}

// Drain makes the runner refuse new calls.
func (c *callRunner) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// load returns the service's total load and the load of each team.
func (c *callRunner) load() (upstream.Load, []peer.TeamLoad) {
	running, waiting := c.queue.load()
	load := upstream.Load{Running: running}
	for _, n := range waiting {
		load.Queued += n
	}
	return load, teamLoads(c.counters, waiting)
}

// Len returns the number of calls in progress.
func (c *callRunner) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

func (c *callRunner) run(ctx context.Context, call *peer.Call) *peer.CallResult {
	result := &peer.CallResult{Request: call.Request, Attempt: call.Attempt}
	if err := c.queue.acquire(ctx, call.Team); err != nil {
		c.counters.Refuse(time.Now(), call.Team)
		result.Outcome, result.Refused = request.OutcomeNotRun, peer.RefusedDeadline
		return result
	}
	defer c.queue.release()
	c.counters.Admit(time.Now(), call.Team)
	defer c.counters.Serve(time.Now(), call.Team, 1)
	if call.NonIdempotent {
		c.runClaimed(ctx, call, result)
	} else {
		c.runIdempotent(ctx, call, result)
	}
	return result
}

// runIdempotent calls the service without a claim, because the call is safe to
// repeat.
func (c *callRunner) runIdempotent(ctx context.Context, call *peer.Call, result *peer.CallResult) {
	response, err := c.callService(ctx, call)
	switch {
	case err == nil:
		result.Outcome = statusOutcome(response.Status)
		result.Status, result.ContentType, result.Body = response.Status, response.ContentType, response.Body
	case errors.Is(err, service.ErrNotSent):
		result.Outcome, result.Refused, result.Detail = request.OutcomeNotRun, peer.RefusedUnavailable, err.Error()
	default:
		result.Outcome, result.Detail = request.OutcomeUnknown, err.Error()
	}
}

// callService calls the service and requests a health check if the call fails.
func (c *callRunner) callService(ctx context.Context, call *peer.Call) (service.Response, error) {
	response, err := c.service.Call(ctx, serviceRequest(call))
	if err != nil {
		c.health.requestProbe()
	}
	return response, err
}

func statusOutcome(status int) request.Outcome {
	if status >= 400 {
		return request.OutcomeFailed
	}
	return request.OutcomeCompleted
}

// runClaimed runs a non-idempotent call under a claim in the platform's store,
// so that it runs at most once.
func (c *callRunner) runClaimed(ctx context.Context, call *peer.Call, result *peer.CallResult) {
	r, err := operation.NewRequest(call.Request, call.Team, call.Service, call.Operation, call.IdempotencyKey, call.Body)
	if err != nil {
		result.Outcome, result.Detail = request.OutcomeNotRun, err.Error()
		return
	}
	claimResult := c.claimer.Run(ctx, r, func(ctx context.Context) (operation.Response, error) {
		response, err := c.callService(ctx, call)
		if errors.Is(err, service.ErrNotSent) {
			return operation.Response{}, errors.Join(operation.ErrNotSent, err)
		}
		return operation.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body}, err
	})
	fillCallResult(result, claimResult)
	c.logClaimResult(call, claimResult)
}

// logClaimResult logs the results of claimed calls that matter to an operator:
// refused, released, replayed, conflicting and unknown ones.
func (c *callRunner) logClaimResult(call *peer.Call, claimResult operation.Result) {
	var event events.Event
	switch {
	case errors.Is(claimResult.Err, operation.ErrBodyMismatch):
		event = events.RecordMismatch
	case claimResult.Outcome == request.OutcomeUnknown:
		event = events.OperationUnknown
	case claimResult.Outcome == request.OutcomeNotRun && errors.Is(claimResult.Err, operation.ErrUnavailable):
		event = events.OperationRefused
	case claimResult.Outcome == request.OutcomeNotRun && errors.Is(claimResult.Err, operation.ErrNotSent):
		event = events.OperationReleased
	case claimResult.Replayed:
		event = events.OperationReplayed
	default:
		return
	}
	c.log.Log(event).Str("request", string(call.Request)).Str("team", call.Team).
		Str("operation", call.Service+"/"+call.Operation).Err(claimResult.Err).Send()
}

func fillCallResult(result *peer.CallResult, claimResult operation.Result) {
	result.Outcome = claimResult.Outcome
	result.Replayed = claimResult.Replayed
	result.Conflict = errors.Is(claimResult.Err, operation.ErrBodyMismatch)
	if claimResult.Err != nil {
		result.Detail = claimResult.Err.Error()
	}
	if claimResult.Outcome == request.OutcomeNotRun && errors.Is(claimResult.Err, operation.ErrNotSent) {
		// The claim was released, so the entry may retry at another sidecar.
		result.Refused = peer.RefusedUnavailable
	}
	result.Status, result.ContentType, result.Body = claimResult.Response.Status, claimResult.Response.ContentType, claimResult.Response.Body
}

func serviceRequest(call *peer.Call) service.Request {
	return service.Request{
		ID: call.Request, Operation: call.Operation, Method: call.Method,
		IdempotencyKey: call.IdempotencyKey, ContentType: call.ContentType, Body: call.Body,
	}
}
