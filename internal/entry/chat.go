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
	// bytesPerToken is used to estimate the length of a prompt before the
	// first stage has counted it.
	bytesPerToken = 4
	// retryAfterBusy is the hint for callers that were refused for load.
	retryAfterBusy = time.Second
)

// Chat implements callerapi.Backend.
func (e *Entry) Chat(ctx context.Context, r callerapi.ChatRequest, token func(text string) error) callerapi.ChatResult {
	p, ok := e.replica.State().Profile(r.Profile)
	if !ok {
		return callerapi.ChatResult{Result: refused(http.StatusNotFound, "model_not_found", "the profile does not exist")}
	}
	if e.draining() {
		return callerapi.ChatResult{Result: busy("the entry is leaving")}
	}
	e.retries.RecordRequest(r.Team, p.RetryBudget)
	s := e.newSequence(r, p)
	result := e.serveSequence(ctx, s, token)
	s.trace.end(result.Outcome)
	e.meters.requestEnded("chat", s.team, result.Outcome)
	return result
}

// serveSequence runs a sequence if admission control lets it pass.
func (e *Entry) serveSequence(ctx context.Context, s *sequence, token func(text string) error) callerapi.ChatResult {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	e.sequences.add(s)
	defer e.sequences.remove(s.id)
	if refusal := e.admit(s); refusal != nil {
		e.usage.Refuse(time.Now(), s.team)
		s.trace.add(0, traceRefused, refusal.Err.Message)
		return callerapi.ChatResult{Result: *refusal}
	}
	e.beginWork(s.team)
	err := s.run(ctx, func(p request.Piece) error {
		if p.Text == "" {
			return nil // the end of an answer carries no text
		}
		return token(p.Text)
	})
	e.endWork(s.team, len(s.tokens))
	result := s.result(err)
	if result.Outcome != request.OutcomeCompleted && ctx.Err() == nil {
		e.logFailedChat(s, result)
	}
	return result
}

// logFailedChat reports a request that did not complete although its caller
// was still waiting.
func (e *Entry) logFailedChat(s *sequence, result callerapi.ChatResult) {
	event := events.SequenceIncomplete
	if result.Outcome == request.OutcomeNotRun {
		event = events.NoChain
	}
	e.options.Log.LogLimited(event).Str("request", string(s.id)).Str("team", s.team).Str("model", s.model).
		Str("outcome", string(result.Outcome)).Str("reason", result.Err.Message).Send()
}

func (e *Entry) newSequence(r callerapi.ChatRequest, p profile.Profile) *sequence {
	prompt := joinMessages(r.Messages)
	maxTokens := p.MaxTokens
	if r.MaxTokens > 0 {
		maxTokens = min(maxTokens, r.MaxTokens)
	}
	s := &sequence{
		peers: e.node.Dialer(), chooser: e.chooser,
		id: r.ID, team: r.Team, model: p.Model, domains: planner.NewDomains(p.FailureDomains),
		prompt: prompt, promptTokens: len(prompt)/bytesPerToken + 1, maxTokens: maxTokens,
		priority:   p.Priority,
		firstToken: time.Duration(p.FirstTokenMillis) * time.Millisecond,
		deadline:   time.Now().Add(time.Duration(p.DeadlineMillis) * time.Millisecond),
		noResume:   p.NoResume,
		suspect:    e.membership.suspect,
		retries:    e.retries,
		outliers:   e.outliers,
		star:       e.options.StarForwarding,
		trace:      e.traces.start(r.ID, r.Team, r.Profile),
		meters:     e.meters,
		log:        e.options.Log,
	}
	s.init()
	return s
}

// joinMessages renders a conversation as one prompt. Only a conversation of
// more than one message needs roles to tell the speakers apart.
func joinMessages(messages []callerapi.Message) string {
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

// result classifies the end of a sequence.
func (s *sequence) result(err error) callerapi.ChatResult {
	result := callerapi.ChatResult{
		PromptTokens:     s.usedPromptTokens,
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
		result.Result = busy(err.Error())
		return result
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errExpired) {
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

// refused is a request that was never dispatched and can't succeed as it is.
func refused(status int, code, message string) callerapi.Result {
	return callerapi.Result{
		Outcome: request.OutcomeNotRun,
		Err:     &callerapi.Error{Status: status, Type: "invalid_request_error", Code: code, Message: message},
	}
}

// busy is a request that was never dispatched and may be sent again.
func busy(message string) callerapi.Result {
	return callerapi.Result{
		Outcome:    request.OutcomeNotRun,
		RetryAfter: retryAfterBusy,
		Err: &callerapi.Error{
			Status: http.StatusServiceUnavailable, Type: "server_error", Code: "not_run", Message: message,
		},
	}
}
