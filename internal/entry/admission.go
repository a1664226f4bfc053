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

// admissionInterval is the time between two updates of admission control.
const admissionInterval = 100 * time.Millisecond

// admissions holds the admission control of each model.
type admissions struct {
	board   *loadBoard
	replica *config.Replica

	mu      sync.Mutex
	byModel map[string]*team.Admission
}

func newAdmissions(board *loadBoard, replica *config.Replica) *admissions {
	return &admissions{board: board, replica: replica, byModel: make(map[string]*team.Admission)}
}

// model returns the admission control of a model.
func (a *admissions) model(name string) *team.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	control := a.byModel[name]
	if control == nil {
		control = team.NewAdmission()
		a.byModel[name] = control
	}
	return control
}

// update installs the latest load reports.
func (a *admissions) update() {
	a.mu.Lock()
	models := make(map[string]*team.Admission, len(a.byModel))
	for name, control := range a.byModel {
		models[name] = control
	}
	a.mu.Unlock()
	state := a.replica.State()
	for name, control := range models {
		control.Update(a.board.snapshot(name, state))
	}
}

// Run updates the controls until ctx ends.
func (a *admissions) Run(ctx context.Context) {
	process.Every(ctx, admissionInterval, func(_ time.Time) { a.update() })
}

// admit decides about a sequence before anything is dispatched. It returns nil
// if the sequence is admitted.
func (e *Entry) admit(s *sequence) *callerapi.Result {
	if e.inFlight() > e.options.MaxInFlight {
		result := busy("the entry has too many requests in progress")
		return &result
	}
	if e.options.RoundRobin {
		return nil // the baseline has no admission control
	}
	weight := 0.0
	if t, ok := e.replica.State().Team(s.team); ok {
		weight = t.Weight
	}
	_, err := e.admissions.model(s.model).Admit(team.AdmissionRequest{
		Team: s.team, Weight: weight, Cost: s.promptTokens,
		FirstToken: s.firstToken, Remaining: time.Until(s.deadline),
	})
	var refusal *team.RefusedError
	if !errors.As(err, &refusal) {
		return nil
	}
	event := events.TeamRefused
	if refusal.Reason == team.RefusedDeadline {
		event = events.DeadlineUnreachable
	}
	e.options.Log.LogLimited(event).Str("team", s.team).Str("model", s.model).
		Dur("wait_ms", refusal.Wait).Float64("load", refusal.Load).Float64("share", refusal.Share).Send()
	return &callerapi.Result{
		Outcome: request.OutcomeNotRun, RetryAfter: refusal.RetryAfter,
		Err: &callerapi.Error{
			Status: http.StatusTooManyRequests, Type: "rate_limit_error", Code: "not_run", Message: refusal.Error(),
		},
	}
}

// inFlight returns the number of requests in progress.
func (e *Entry) inFlight() int { return e.sequences.len() + int(e.openCalls.Load()) }
