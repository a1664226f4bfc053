// Package callerapi serves the HTTP API for callers: OpenAI-compatible chat
// completions and calls to plain services.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// ChatRequest is a validated chat completion request.
type ChatRequest struct {
	ID      request.ID
	Team    string
	Profile string
	// Messages is the conversation, oldest first.
	Messages []Message
	// MaxTokens limits the generated tokens; 0 if the caller set no limit.
	MaxTokens int
}

// FinishReason is the finish_reason of the OpenAI API: why generation stopped.
type FinishReason string

const (
	// FinishStop means the model ended its output.
	FinishStop FinishReason = "stop"
	// FinishLength means the output reached the token limit.
	FinishLength FinishReason = "length"
)

// Result holds the outcome of a chat completion or service call.
type Result struct {
	Outcome request.Outcome
	// Err is nil if Outcome is completed.
	Err *Error
	// RetryAfter is the time after which the caller may retry a not-run
	// request. Zero selects defaultRetryAfter for status 429 and 5xx and no
	// Retry-After header for others.
	RetryAfter time.Duration
}

// ChatResult is the result of a chat completion. The generated text is passed
// to the callback of Backend.Chat.
type ChatResult struct {
	Result
	Finish           FinishReason
	PromptTokens     int
	CompletionTokens int
}

// ServiceRequest is a validated call to a plain service.
type ServiceRequest struct {
	ID             request.ID
	Team           string
	Service        string
	Operation      string
	Method         string
	IdempotencyKey string
	ContentType    string
	Body           []byte
}

// ServiceResult is the result of a service call. If Err is nil, Status,
// ContentType and Body are those of the upstream's response.
type ServiceResult struct {
	Result
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the response is the recorded response of an earlier
	// call with the same idempotency key.
	Replayed bool
}

// TeamLoad is the load of one team over all entries and upstreams.
type TeamLoad struct {
	Team   string  `json:"team"`
	Weight float64 `json:"weight"`
	// InFlight is the number of requests being served.
	InFlight int `json:"in_flight"`
	// QueuedTokens is the cost of the queued requests in tokens.
	QueuedTokens    int     `json:"queued_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Backend authenticates callers and runs their requests. The entry implements
// it.
type Backend interface {
	// Authenticate returns the team that owns key, or false.
	Authenticate(key string) (team string, ok bool)
	// Profiles returns the names of the profiles that callers may select.
	Profiles() []string
	// TeamLoads returns the load of every team, sorted by team name.
	TeamLoads() []TeamLoad
	// Chat runs a chat completion. It calls token with each piece of generated
	// text, in order, from one goroutine, and stops early if token returns an
	// error or ctx is cancelled.
	Chat(ctx context.Context, r ChatRequest, token func(text string) error) ChatResult
	// RequiresIdempotencyKey reports whether an operation of a service is
	// non-idempotent, so that calls need an idempotency key.
	RequiresIdempotencyKey(service, operation string) bool
	// Call runs a call to a plain service.
	Call(ctx context.Context, r ServiceRequest) ServiceResult
	// Ready returns nil if the process can serve callers.
	Ready() error
	// Metrics returns the handler of /metrics, or nil if there is none.
	Metrics() http.Handler
}

// Error is the error object of the OpenAI API.
type Error struct {
	// Status is the HTTP status.
	Status  int    `json:"-"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }
