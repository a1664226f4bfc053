// Package routing determines the service that handles a request, the time limits
// of the request and the team that it belongs to. It performs no I/O.
package routing

import (
	"errors"
	"time"
)

// Kind says how the requests of a route are answered and whether they may run more
// than once.
type Kind int

const (
	// Idempotent requests get one response and may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests get one response and run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events with increasing
	// ids. They may run more than once if the route is resumable.
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// DefaultPriority is the priority of a request whose route and team set none.
const DefaultPriority = 5

// Backend is one service of a route. It gets a share of the requests in proportion
// to its weight.
type Backend struct {
	Service string
	Weight  int
}

// Route describes how requests below one path prefix of a host are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the final response.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first event
	// of a stream.
	LatencyObjective time.Duration
	// GapObjective is the target for the longest time between two events of a
	// stream.
	GapObjective time.Duration
	// Priority orders waiting requests. Lower values are served first, starting
	// with 0.
	Priority int
	Backends []Backend
	// MaxAttempts is the maximum number of instances that may run one request.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued on another instance.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Team is a group of clients with common API keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
	// Weight is the team's weight when capacity is short, 0 if none is set.
	Weight float64
}

// Accelerator describes a type of accelerator that a model's engines run on.
type Accelerator struct {
	Name string
	// MemoryMB is the memory for layers and KV cache.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, PrefillFactor the time of
	// processing prompt tokens.
	StepFactor, PrefillFactor float64
}

// Model describes a model whose layers are distributed over instances.
type Model struct {
	Layers  int
	LayerMB float64
	// TokenLayerBytes is the size of the KV cache of one token in one layer.
	TokenLayerBytes float64
	// StepTime is the time of a token step for all layers at StepFactor 1.
	StepTime time.Duration
	// StepTimePerSequence is added to StepTime for each sequence in the batch.
	StepTimePerSequence time.Duration
	// PrefillRate is the number of prompt tokens processed per second at
	// PrefillFactor 1.
	PrefillRate float64
	// LoadTime is how long an instance takes to load all layers.
	LoadTime time.Duration
	// TypicalTokens is the mean number of prompt and output tokens of a request.
	TypicalTokens int
	Accelerators  map[string]Accelerator
}

// Has reports whether the model has the layers from to to (exclusive), which may be none.
// An instance that claims others can't be used: its record comes from another writer.
func (m *Model) Has(from, to int) bool { return 0 <= from && from <= to && to <= m.Layers }

// Service is a set of interchangeable instances, or the set of instances that
// together hold the layers of a model.
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

// Configuration is one version of the routes, services, teams and limits.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	// KeysRequired is true if requests need an API key, unless their route is public. No
	// team may hold one any more.
	KeysRequired bool
	Limits       Limits
}

var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("routing: no route")
	// ErrUnknownKey means that no team has the API key.
	ErrUnknownKey = errors.New("routing: unknown API key")
	// ErrInvalid means that a configuration has an invalid route.
	ErrInvalid = errors.New("routing: invalid configuration")
)
