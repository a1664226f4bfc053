package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	// bytesPerToken is used to estimate the number of prompt tokens before the
	// first stage has counted them.
	bytesPerToken = 4
	// unavailableRetryAfter is the retry delay suggested to callers whose
	// request did not run and may be sent again.
	unavailableRetryAfter = time.Second
)

// Chat implements callerapi.Backend.
func (e *Entry) Chat(ctx context.Context, r callerapi.ChatRequest, sendToken func(text string) error) callerapi.ChatResult {
	p, ok := e.replica.State().Profile(r.Profile)
	if !ok {
		return callerapi.ChatResult{Result: invalidRequestResult(http.StatusNotFound, "model_not_found", "the profile does not exist")}
	}
	if e.draining() {
		return callerapi.ChatResult{Result: unavailableResult("the entry is leaving")}
	}
	e.retries.RecordRequest(r.Team, p.RetryBudget)
	s := e.newSequence(r, p)
	result := e.serveSequence(ctx, s, sendToken)
	s.trace.end(result.Outcome)
	e.metrics.countRequest("chat", s.team, result.Outcome)
	return result
}

// serveSequence runs a sequence if admission control admits it.
func (e *Entry) serveSequence(ctx context.Context, s *sequence, sendToken func(text string) error) callerapi.ChatResult {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	e.sequences.add(s)
	defer e.sequences.remove(s.id)
	if refusal := e.admit(s); refusal != nil {
		e.usage.Refuse(time.Now(), s.team)
		s.trace.add(0, traceRefused, refusal.Err.Message)
		return callerapi.ChatResult{Result: *refusal}
	}
	e.countAdmitted(s.team)
	err := s.run(ctx, func(p request.Piece) error {
		if p.Text == "" {
			return nil // the end of an answer carries no text
		}
		return sendToken(p.Text)
	})
	e.countFinished(s.team, len(s.tokens))
	result := s.chatResult(err)
	if result.Outcome != request.OutcomeCompleted && ctx.Err() == nil {
		e.logIncompleteChat(s, result)
	}
	return result
}

// logIncompleteChat logs a request that did not complete although its caller
// was still waiting.
func (e *Entry) logIncompleteChat(s *sequence, result callerapi.ChatResult) {
	event := events.SequenceIncomplete
	if result.Outcome == request.OutcomeNotRun {
		event = events.NoChain
	}
	e.options.Log.LogRateLimited(event).Str("request", string(s.id)).Str("team", s.team).Str("model", s.model).
		Str("outcome", string(result.Outcome)).Str("reason", result.Err.Message).Send()
}

func (e *Entry) newSequence(r callerapi.ChatRequest, p profile.Profile) *sequence {
	prompt := renderPrompt(r.Messages)
	maxTokens := p.MaxTokens
	if r.MaxTokens > 0 {
		maxTokens = min(maxTokens, r.MaxTokens)
	}
	s := &sequence{
		dialer: e.node.Dialer(), chooser: e.chooser,
		id: r.ID, team: r.Team, model: p.Model, domains: planner.NewDomains(p.FailureDomains),
		prompt: prompt, estimatedPromptTokens: len(prompt)/bytesPerToken + 1, maxTokens: maxTokens,
		priority:         p.Priority,
		firstTokenTarget: time.Duration(p.FirstTokenMillis) * time.Millisecond,
		deadline:         time.Now().Add(time.Duration(p.DeadlineMillis) * time.Millisecond),
		noResume:         p.NoResume,
		markSuspect:      e.membership.markSuspect,
		retries:          e.retries,
		outliers:         e.outliers,
		starForwarding:   e.options.StarForwarding,
		trace:            e.traces.start(r.ID, r.Team, r.Profile),
		metrics:          e.metrics,
		log:              e.options.Log,
	}
	s.init()
	return s
}

// renderPrompt joins the messages of a conversation into one prompt. A single
// message needs no role, because there is no other speaker to distinguish.
func renderPrompt(messages []callerapi.Message) string {
	if len(messages) == 1 {
		return messages[0].Content
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// chatResult converts the end of a sequence, with the error that run returned,
// to the result for the caller.
func (s *sequence) chatResult(err error) callerapi.ChatResult {
	result := callerapi.ChatResult{
		PromptTokens:     s.countedPromptTokens,
		CompletionTokens: len(s.tokens),
		Finish:           callerapi.FinishStop,
	}
	if err == nil {
		result.Outcome = request.OutcomeCompleted
		if !s.answer.Complete(len(s.tokens)) {
			result.Finish = callerapi.FinishLength
		}
		return result
	}
	if !s.mayHaveRun() {
		result.Result = unavailableResult(err.Error())
		return result
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errDeadlinePassed) {
		status = http.StatusGatewayTimeout
	}
	result.Result = callerapi.Result{
		Outcome: request.OutcomeFailed,
		Err: &callerapi.Error{
			Status: status, Type: "server_error", Code: "incomplete",
			Message: "the answer is incomplete: " + err.Error(),
		},
	}
	return result
}

// invalidRequestResult returns the result of a request that was not dispatched
// and can't succeed unless it is changed.
func invalidRequestResult(status int, code, message string) callerapi.Result {
	return callerapi.Result{
		Outcome: request.OutcomeNotRun,
		Err:     &callerapi.Error{Status: status, Type: "invalid_request_error", Code: code, Message: message},
	}
}

// unavailableResult returns the result of a request that did not run and may be
// sent again.
func unavailableResult(message string) callerapi.Result {
	return callerapi.Result{
		Outcome:    request.OutcomeNotRun,
		RetryAfter: unavailableRetryAfter,
		Err: &callerapi.Error{
			Status: http.StatusServiceUnavailable, Type: "server_error", Code: "not_run", Message: message,
		},
	}
}
