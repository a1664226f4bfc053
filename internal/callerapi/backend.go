// Package callerapi serves the HTTP API for callers.
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
	// MaxTokens is 0 if the caller set none.
	MaxTokens int
}

// FinishReason says why an answer ended, in the words of the OpenAI API.
type FinishReason string

const (
	// FinishStop means the model ended the answer.
	FinishStop FinishReason = "stop"
	// FinishLength means the answer reached the token limit.
	FinishLength FinishReason = "length"
)

// Result is the end of a chat completion or service call.
type Result struct {
	Outcome request.Outcome
	// Err is nil if Outcome is completed.
	Err *Error
	// RetryAfter is a hint for not-run outcomes; zero means none.
	RetryAfter time.Duration
}

// ChatResult is the end of a chat completion.
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

// ServiceResult is the end of a service call. Status and Body are the
// upstream's if Err is nil.
type ServiceResult struct {
	Result
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the answer is the recorded one of an earlier call
	// with the same idempotency key.
	Replayed bool
}

// TeamLoad is the load of one team over all entries and upstreams.
type TeamLoad struct {
	Team   string  `json:"team"`
	Weight float64 `json:"weight"`
	// InFlight is the number of requests being served.
	InFlight int `json:"in_flight"`
	// QueuedTokens is the cost of the waiting work in tokens.
	QueuedTokens    int     `json:"queued_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Backend is what the API serves. The entry implements it.
type Backend interface {
	// Authenticate returns the team that owns key, or false.
	Authenticate(key string) (team string, ok bool)
	// Profiles returns the names of the profiles that callers may use.
	Profiles() []string
	// TeamLoads returns the load of every team, in order of name.
	TeamLoads() []TeamLoad
	// Chat runs a request. It calls token for each piece of text, in order,
	// from one goroutine, and stops early if token returns an error or ctx
	// ends.
	Chat(ctx context.Context, r ChatRequest, token func(text string) error) ChatResult
	// RequiresIdempotencyKey reports whether the operation is non-idempotent.
	RequiresIdempotencyKey(service, operation string) bool
	// Call runs a call to a plain service.
	Call(ctx context.Context, r ServiceRequest) ServiceResult
	// Ready returns nil if the process can serve callers.
	Ready() error
	// Metrics serves the metrics page.
	Metrics() http.Handler
}

// Error is an error body in the OpenAI form.
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
