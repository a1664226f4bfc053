// Package adminapi implements the HTTP API for operators and its client.
package adminapi

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Paths of the API. A kind, name, instance or request id follows a path that
// ends in '/'.
const (
	PathPrefix   = "/admin/v1/"
	PathObjects  = PathPrefix + "objects/"
	PathHistory  = PathPrefix + "history/"
	PathChanges  = PathPrefix + "changes"
	PathAudit    = PathPrefix + "audit"
	PathRevision = PathPrefix + "revision"
	PathStatus   = PathPrefix + "status"
	PathTeams    = PathPrefix + "teams"
	PathDrain    = PathPrefix + "drain/"
	PathExplain  = PathPrefix + "explain/"
	PathReady    = PathPrefix + "ready"
)

const (
	// MaxBodyBytes is the maximum size of a request body: one object plus the
	// other fields of a proposal.
	MaxBodyBytes = config.MaxObjectBytes + 4<<10
	// DefaultLimit is the maximum number of changes in a response of audit or
	// history if the request has no limit.
	DefaultLimit = 100
)

// Configuration is the part of the configuration service that the API exposes.
// *config.Store implements it.
type Configuration interface {
	State() *config.State
	Accept(ctx context.Context, p config.Proposal) (config.Change, error)
	Audit(ctx context.Context, after config.Revision, limit int) ([]config.Change, error)
	History(ctx context.Context, kind config.Kind, name string, limit int) ([]config.Change, error)
}

// Backend is everything that the API exposes besides the configuration. The
// entry implements it. Drain and Explain return an error that wraps ErrNotFound
// if the instance or request is unknown.
type Backend interface {
	// Status describes the process and the upstreams known to it.
	Status(ctx context.Context) (Status, error)
	// Teams returns the load of each team at each entry and on all sidecars
	// together.
	Teams(ctx context.Context) ([]TeamStatus, error)
	// Drain puts an upstream into the state leaving, in which it gets no new
	// work. operator is recorded in the log.
	Drain(ctx context.Context, instance upstream.InstanceID, operator string) error
	// Explain describes how a recent request was routed.
	Explain(ctx context.Context, id request.ID) (Explanation, error)
	// Ready returns nil if the process can serve callers.
	Ready() error
}

// Status describes one process.
type Status struct {
	// Process is a random id that the process generates at startup.
	Process       string          `json:"process"`
	Role          string          `json:"role"`
	Instance      string          `json:"instance"`
	FailureDomain string          `json:"failure_domain"`
	Revision      config.Revision `json:"revision"`
	Ready         bool            `json:"ready"`
	// NotReadyReason is empty if Ready is true.
	NotReadyReason string           `json:"not_ready_reason,omitempty"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus describes one upstream from the point of view of the process.
type UpstreamStatus struct {
	Instance      upstream.InstanceID `json:"instance"`
	FailureDomain string              `json:"failure_domain"`
	Kind          upstream.Kind       `json:"kind"`
	// Model and Layers are set for engines, Service for plain services.
	Model   string              `json:"model,omitempty"`
	Service string              `json:"service,omitempty"`
	Layers  pipeline.LayerRange `json:"layers,omitzero"`
	// State includes "suspect" and "gone", which only an entry assigns.
	State upstream.State `json:"state"`
	Load  upstream.Load  `json:"load"`
	// Revision is the configuration revision that the sidecar last reported.
	Revision config.Revision `json:"revision"`
}

// TeamStatus is the load of one team at one entry, or on all sidecars together.
type TeamStatus struct {
	Team string `json:"team"`
	// Entry is the instance of the entry, or "all" for the load on all sidecars.
	Entry    string  `json:"entry"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_flight"`
	// QueuedTokens is the cost of the queued requests in tokens.
	QueuedTokens    int     `json:"queued_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Admitted and Refused are numbers of requests since the entry or the sidecars
	// started.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

// Explanation describes how one request was routed.
type Explanation struct {
	RequestID request.ID      `json:"request_id"`
	Team      string          `json:"team"`
	Profile   string          `json:"profile"`
	Outcome   request.Outcome `json:"outcome"`
	// Candidates are the chains that the planner compared, in ascending order of
	// their cost when the planner computed them.
	Candidates []ChainCandidate `json:"candidates"`
	// Chosen is the chain of the first attempt. Attempts lists the recorded events
	// of the request, such as replaced stages, oldest first.
	Chosen []Stage `json:"chosen"`
	// Reason is the reason for choosing the chain.
	Reason   string    `json:"reason"`
	Attempts []Attempt `json:"attempts"`
}

// ChainCandidate is a chain that the planner considered. Its stages are groups
// of upstreams.
type ChainCandidate struct {
	Groups []string `json:"groups"`
	// CostMillis is the estimated time of one step in milliseconds.
	CostMillis float64 `json:"cost_ms"`
	// Rejected is the reason why the chain was not chosen; empty for the chosen
	// chain.
	Rejected string `json:"rejected,omitempty"`
}

// Stage is one stage of a chain.
type Stage struct {
	Instance upstream.InstanceID `json:"instance"`
	Layers   pipeline.LayerRange `json:"layers"`
	// Reason is the reason for choosing the instance within its group.
	Reason string `json:"reason,omitempty"`
}

// Attempt is one event of a request: it was dispatched or refused, one of its
// stages was lost or replaced, or its outcome was determined.
type Attempt struct {
	Number request.Attempt `json:"number"`
	// OffsetMillis is the time since the request arrived in milliseconds.
	OffsetMillis float64 `json:"offset_ms"`
	// Reason is the kind of the event and its details, for example why a stage
	// failed.
	Reason string `json:"reason"`
	// Replaced is the failed upstream and Replacement its successor; both are
	// empty unless the event is the replacement of a stage.
	Replaced    upstream.InstanceID `json:"replaced,omitempty"`
	Replacement upstream.InstanceID `json:"replacement,omitempty"`
}

// Revision is the response of GET /admin/v1/revision.
type Revision struct {
	Revision config.Revision `json:"revision"`
}

// Code classifies an Error.
type Code string

// Error codes.
const (
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeChangeIDReused Code = "change_id_reused"
	CodeUnavailable    Code = "unavailable"
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeInternal       Code = "internal"
)

var (
	// ErrInvalid means a field of the request is invalid.
	ErrInvalid = errors.New("adminapi: invalid request")
	// ErrUnauthorized means the operator's key is missing or unknown.
	ErrUnauthorized = errors.New("adminapi: unauthorized")
	// ErrNotFound means the object, instance or request is unknown.
	ErrNotFound = errors.New("adminapi: not found")
	// ErrConflict means the object was changed after the base version of the
	// proposal; *Error identifies the conflicting change.
	ErrConflict = errors.New("adminapi: conflict")
	// ErrChangeIDReused means the change id is already used by a different
	// change.
	ErrChangeIDReused = errors.New("adminapi: change id belongs to another change")
	// ErrUnavailable means the request was not applied and may be retried.
	ErrUnavailable = errors.New("adminapi: unavailable")
	// ErrUnknownOutcome means a change may have been applied. *Error holds the
	// change id; a retry with the same id is safe.
	ErrUnknownOutcome = errors.New("adminapi: outcome is unknown")
	// ErrInternal is any other failure of the server.
	ErrInternal = errors.New("adminapi: internal error")
)

// Error is the body of every error response.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field is the JSON name of the invalid field.
	Field string `json:"field,omitempty"`
	// ChangeID, Author and Revision identify the conflicting change of a
	// conflict. For an unknown outcome, ChangeID is the id of the proposed
	// change.
	ChangeID string          `json:"change_id,omitempty"`
	Author   string          `json:"author,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Unwrap returns the sentinel error for the code, so that errors.Is works.
func (e *Error) Unwrap() error {
	switch e.Code {
	case CodeInvalid:
		return ErrInvalid
	case CodeUnauthorized:
		return ErrUnauthorized
	case CodeNotFound:
		return ErrNotFound
	case CodeConflict:
		return ErrConflict
	case CodeChangeIDReused:
		return ErrChangeIDReused
	case CodeUnavailable:
		return ErrUnavailable
	case CodeUnknownOutcome:
		return ErrUnknownOutcome
	}
	return ErrInternal
}
