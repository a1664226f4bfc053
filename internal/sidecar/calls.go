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

// Service is the part of the plain service's client that a sidecar uses.
type Service interface {
	Call(ctx context.Context, r service.Request) (service.Response, error)
	// Probe returns an error if the service can't be reached.
	Probe(ctx context.Context) error
}

// callID identifies one dispatch of a request.
type callID struct {
	request request.ID
	attempt request.Attempt
}

// callRunner runs the callRunner to one plain service.
type callRunner struct {
	service  Service
	claimer  *operation.Claimer
	maxCalls int
	queue    *callQueue
	counters *team.Counters
	health   *healthCheck
	log      *events.Logger

	mu     sync.Mutex
	active map[callID]context.CancelFunc
	// draining is closed to new calls once set.
	draining bool
}

// newCallRunner returns calls with at most running calls at the service and limit
// calls in all.
func newCallRunner(s Service, claimer *operation.Claimer, maxRunning, maxCalls int, health *healthCheck, log *events.Logger) *callRunner {
	return &callRunner{
		service: s, claimer: claimer, maxCalls: maxCalls, health: health, log: log,
		queue:    newCallQueue(maxRunning),
		counters: team.NewCounters(time.Now()),
		active:   make(map[callID]context.CancelFunc),
	}
}

// Start runs a call in the background and answers on the entry's connection.
func (c *callRunner) Start(entry peer.Sender, call *peer.Call) {
	id := callID{call.Request, call.Attempt}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.DeadlineMillis)*time.Millisecond)
	refusal, duplicate := c.admit(id, cancel)
	if duplicate {
		// The first dispatch answers. A refusal of this one would be taken for
		// its answer, and the entry could report not-run for a call that runs.
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
		// The answer is queued before the call counts as ended, so that a
		// leaving sidecar does not close the connection in between.
		_ = entry.Send(result)
		cancel()
		c.remove(id)
	}()
}

// admit decides whether a call may run, and registers it. It reports a
// duplicate if the same dispatch is in progress.
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

// Cancel ends a call that nobody waits for. A call that is already at the
// service runs to its end, so that its outcome is recorded.
func (c *callRunner) Cancel(f *peer.CancelCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.active[callID{f.Request, f.Attempt}]; cancel != nil {
		cancel()
	}
}

// Drain refuses new calls.
func (c *callRunner) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// load returns the load of the service and of each team.
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

// runIdempotent runs a call that may be repeated.
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

// callService calls the service and asks for a probe if it did not answer.
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

// runClaimed runs a call under a claim in the platform's store.
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

// logClaimResult reports the ends of claimed calls that an operator wants to know.
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
		// The claim is released, so another sidecar may take it.
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
