package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

// admissionInterval is the time between two updates of the load that admission
// control uses.
const admissionInterval = 100 * time.Millisecond

// admissionControls holds the admission control of each model.
type admissionControls struct {
	sidecarLoads *sidecarLoadTable
	replica      *config.Replica

	// mu guards byModel.
	mu      sync.Mutex
	byModel map[string]*team.Admission
}

func newAdmissionControls(sidecarLoads *sidecarLoadTable, replica *config.Replica) *admissionControls {
	return &admissionControls{sidecarLoads: sidecarLoads, replica: replica, byModel: make(map[string]*team.Admission)}
}

// forModel returns the admission control of a model, creating it on first use.
func (a *admissionControls) forModel(name string) *team.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	control := a.byModel[name]
	if control == nil {
		control = team.NewAdmission()
		a.byModel[name] = control
	}
	return control
}

// update passes the latest load reports to the admission control of each model.
func (a *admissionControls) update() {
	a.mu.Lock()
	controls := make(map[string]*team.Admission, len(a.byModel))
	for name, control := range a.byModel {
		controls[name] = control
	}
	a.mu.Unlock()
	state := a.replica.State()
	for name, control := range controls {
		control.Update(a.sidecarLoads.snapshot(name, state))
	}
}

// Run updates the load of each model periodically until ctx ends.
func (a *admissionControls) Run(ctx context.Context) {
	process.RunEvery(ctx, admissionInterval, func(_ time.Time) { a.update() })
}

// admit applies the limit on requests in flight and, unless
// Options.RoundRobin is set, admission control to a sequence before any of its
// work is dispatched. It returns nil if the sequence is admitted, and the
// refusal otherwise.
func (e *Entry) admit(s *sequence) *callerapi.Result {
	if e.inFlight() > e.options.MaxInFlight {
		result := unavailableResult("the entry has too many requests in progress")
		return &result
	}
	if e.options.RoundRobin {
		return nil // round-robin selection, used only by benchmarks, has no admission control
	}
	weight := 0.0
	if t, ok := e.replica.State().Team(s.team); ok {
		weight = t.Weight
	}
	_, err := e.admissionControls.forModel(s.model).Admit(team.AdmissionRequest{
		Team: s.team, Weight: weight, Cost: s.estimatedPromptTokens,
		FirstToken: s.firstTokenTarget, Remaining: time.Until(s.deadline),
	})
	var refusal *team.RefusedError
	if !errors.As(err, &refusal) {
		return nil
	}
	event := events.TeamRefused
	if refusal.Reason == team.RefusedDeadline {
		event = events.DeadlineUnreachable
	}
	e.options.Log.LogRateLimited(event).Str("team", s.team).Str("model", s.model).
		Dur("wait_ms", refusal.Wait).Float64("load", refusal.Load).Float64("share", refusal.Share).Send()
	return &callerapi.Result{
		Outcome: request.OutcomeNotRun, RetryAfter: refusal.RetryAfter,
		Err: &callerapi.Error{
			Status: http.StatusTooManyRequests, Type: "rate_limit_error", Code: "not_run", Message: refusal.Error(),
		},
	}
}

// inFlight returns the number of requests in flight: sequences and calls.
func (e *Entry) inFlight() int { return e.sequences.len() + int(e.openCalls.Load()) }
