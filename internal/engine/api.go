// Package engine defines the HTTP API of a model engine and its client.
package engine

import (
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Paths of the engine's HTTP API.
const (
	PathInfo        = "/v1/info"
	PathBatch       = "/v1/batch"
	PathSequences   = "/v1/sequences/"
	PathLoadReport  = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
)

// Info describes an engine.
type Info struct {
	Model       string              `json:"model"`
	Version     string              `json:"version"`
	ModelLayers int                 `json:"model_layers"`
	Layers      pipeline.LayerRange `json:"layers"`
	Accelerator string              `json:"accelerator"`
	MaxBatch    int                 `json:"max_batch"`
}

// Step is the input of one position of one sequence. The first stage receives
// Prompt at position 0 and Token at later positions; later stages receive
// Activation. Steps of different sequences run in descending order of Priority,
// steps of the same sequence in the order in which they are given.
type Step struct {
	Sequence   string           `json:"sequence"`
	Position   request.Position `json:"position"`
	Priority   int              `json:"priority,omitempty"`
	Prompt     string           `json:"prompt,omitempty"`
	Token      int              `json:"token,omitempty"`
	Activation []byte           `json:"activation,omitempty"`
}

// StepResult is the output of one step. An engine that holds the model's last
// layer sets Token, Text and End; any other engine sets Activation. If the step
// didn't run, Error is set and none of these.
type StepResult struct {
	Sequence   string           `json:"sequence"`
	Position   request.Position `json:"position"`
	Activation []byte           `json:"activation,omitempty"`
	Token      int              `json:"token,omitempty"`
	Text       string           `json:"text,omitempty"`
	// End is true if Token is the model's end-of-sequence token.
	End bool `json:"end,omitempty"`
	// PromptTokens is the length of the prompt in tokens. It is set at position 0.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is the number of prompt tokens that were found in the prefix
	// cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Error is the reason if the step didn't run, else empty.
	Error string `json:"error,omitempty"`
}

// BatchRequest is the body of POST /v1/batch. Steps of the same sequence run
// in the given order.
type BatchRequest struct {
	Steps []Step `json:"steps"`
}

// BatchResponse is the response to a BatchRequest, with one result for each step.
type BatchResponse struct {
	Results []StepResult `json:"results"`
}

// SequenceStatus is the response to GET /v1/sequences/ID. Next is the first
// position that has not finished.
type SequenceStatus struct {
	Next request.Position `json:"next"`
	// Last is the result of position Next-1.
	Last *StepResult `json:"last,omitempty"`
	// Pending is the number of accepted steps that have not finished. While it is
	// above zero, Next can advance without another request.
	Pending int `json:"pending,omitempty"`
}

// LoadReport is the response to GET /v1/load. It lags behind the engine's actual
// load; AgeMillis is its age.
type LoadReport struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	KVUsed    int   `json:"kv_used_tokens"`
	KVLimit   int   `json:"kv_limit_tokens"`
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent reports a prompt prefix that was added to or evicted from the prefix
// cache. Number increases with each event. Events are published with a delay, and
// some events are never published, so that their numbers are missing.
type CacheEvent struct {
	Number  uint64 `json:"number"`
	Prefix  string `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEventsResponse is the response to GET /v1/cache-events?after=NUMBER: the
// events with a higher number, in order.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// OrderKind is the kind of an order.
type OrderKind string

const (
	// OrderLoadVersion loads a model version or adapter.
	OrderLoadVersion OrderKind = "load-version"
	// OrderSetLayers changes the engine's layer range.
	OrderSetLayers OrderKind = "set-role"
)

// Order is the body of POST /v1/orders. Engines that check fencing tokens reject an
// order (HTTP 409) whose token is lower than the highest that they have seen.
type Order struct {
	Fencing uint64               `json:"fencing"`
	Kind    OrderKind            `json:"kind"`
	Version string               `json:"version,omitempty"`
	Layers  *pipeline.LayerRange `json:"layers,omitempty"`
}
