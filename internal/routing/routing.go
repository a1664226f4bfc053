// Package routing decides to which service a request goes, how long it may
// take and which team it belongs to. It performs no I/O.
package routing

import (
	"errors"
	"time"
)

// Kind says what may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming responses are a series of events with increasing ids.
	Streaming
)

// DefaultPriority is the rank of a request whose route and team name none.
const DefaultPriority = 5

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Route is the policy of the requests below one path prefix of a host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// LatencyObjective is the latency objective: the time to the response, for
	// streams to the first event.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that
	// still counts as on time.
	GapObjective time.Duration
	// Priority is the rank, 0 is served first.
	Priority int
	Backends []Backend
	// MaxAttempts is the largest number of instances that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued on another instance.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Team is a group of callers with common API keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if it is set.
	Priority *int
}

// Accelerator is a type of accelerator of a model's engines.
type Accelerator struct {
	Name string
	// MemoryMB is the memory for layers and requests.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, PrefillFactor that of
	// reading prompt tokens.
	StepFactor, PrefillFactor float64
}

// Model describes a model whose layers are spread over instances.
type Model struct {
	Layers  int
	LayerMB float64
	// TokenLayerBytes is the KV cache of one token in one layer.
	TokenLayerBytes float64
	// StepTime is the time of a token step for all layers at StepFactor 1.
	StepTime time.Duration
	// StepTimePerSequence is added for each sequence in the batch.
	StepTimePerSequence time.Duration
	// PrefillRate is in tokens per second at PrefillFactor 1.
	PrefillRate float64
	// LoadTime is how long an instance takes to load all layers.
	LoadTime time.Duration
	// TypicalTokens is the mean of prompt and output tokens of a request.
	TypicalTokens int
	Accelerators  map[string]Accelerator
}

// Service is a set of interchangeable instances, or the instances that share
// the layers of a model.
type Service struct {
	Name string
	// Model is nil for plain services.
	Model *Model
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of all routes, services, teams and limits.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

var (
	// ErrNoRoute means that no route matches host and path.
	ErrNoRoute = errors.New("routing: no route")
	// ErrUnknownKey means that no team holds the API key.
	ErrUnknownKey = errors.New("routing: unknown API key")
	// ErrInvalid means that a configuration contradicts itself.
	ErrInvalid = errors.New("routing: invalid configuration")
)
