// Package peer implements the protocol between the system's own processes:
// typed frames in CBOR over WebSocket connections.
package peer

import (
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// ProtocolVersion is the version of the frame set. Processes with different
// versions refuse connections to each other.
const ProtocolVersion = 1

// Type identifies a frame on the wire. Numbers are never reused.
type Type uint8

// Frame types.
const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypePing
	TypePong
	TypeConfigRequest
	TypeConfigChanges
	TypeConfigSnapshot
	TypeDrain
	TypeOpenSequence
	TypeSequenceOpened
	TypeResumeSequence
	TypeStep
	TypeToken
	TypeSequenceFailed
	TypeCloseSequence
	TypeCall
	TypeCallResult
	TypeCancelCall
	TypeOrder
	TypeOrderResult
)

// Frame is the body of a frame of one type.
type Frame interface {
	// Type returns the frame's wire type.
	Type() Type
}

// Role is the kind of a process.
type Role string

const (
	// RoleEntry is an entry process.
	RoleEntry Role = "entry"
	// RoleSidecar is a sidecar process.
	RoleSidecar Role = "sidecar"
)

// Hello is the first frame in each direction.
type Hello struct {
	Version int  `cbor:"1,keyasint"`
	Role    Role `cbor:"2,keyasint"`
	// ID is the id of the process's instance.
	ID string `cbor:"3,keyasint"`
	// Process is a random id of the process, which distinguishes a restarted
	// process from the previous one on the same instance.
	Process       string              `cbor:"4,keyasint"`
	Address       string              `cbor:"5,keyasint"`
	FailureDomain string              `cbor:"6,keyasint"`
	Upstream      upstream.Descriptor `cbor:"7,keyasint"`
	State         upstream.State      `cbor:"8,keyasint"`
}

// Heartbeat reports state and load, periodically and on change.
type Heartbeat struct {
	State upstream.State `cbor:"1,keyasint"`
	Load  upstream.Load  `cbor:"2,keyasint"`
	// Teams holds the load of each team that has requests in the process.
	Teams []TeamLoad `cbor:"3,keyasint,omitempty"`
	// Links holds the measured round-trip times to the peers that the process
	// dialed.
	Links []LinkDelay `cbor:"4,keyasint,omitempty"`
	// Upstream is set when the descriptor changed since Hello.
	Upstream *upstream.Descriptor `cbor:"5,keyasint,omitempty"`
}

// TeamLoad is the load of one team in one process.
type TeamLoad struct {
	Team string `cbor:"1,keyasint" json:"team"`
	// InFlight is the number of requests being served.
	InFlight int `cbor:"2,keyasint,omitempty" json:"in_flight"`
	// QueuedTokens is the cost of the queued requests in tokens.
	QueuedTokens int `cbor:"3,keyasint,omitempty" json:"queued_tokens"`
	// TokensPerSecond is the smoothed rate of served tokens.
	TokensPerSecond float64 `cbor:"4,keyasint,omitempty" json:"tokens_per_second"`
	// Admitted and Refused count requests since the process started.
	Admitted uint64 `cbor:"5,keyasint,omitempty" json:"admitted"`
	Refused  uint64 `cbor:"6,keyasint,omitempty" json:"refused"`
}

// LinkDelay is the measured round-trip time to a peer.
type LinkDelay struct {
	Address   string `cbor:"1,keyasint"`
	RTTMicros int64  `cbor:"2,keyasint"`
}

// Ping asks for a Pong with the same number.
type Ping struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping.
type Pong struct {
	Number uint64 `cbor:"1,keyasint"`
}

// ConfigRequest asks for the changes after a revision.
type ConfigRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// ConfigChanges carries consecutive changes as encoded by the configuration
// package, oldest first.
type ConfigChanges struct {
	Changes []byte `cbor:"1,keyasint"`
}

// ConfigSnapshot carries an encoded snapshot of the whole configuration.
type ConfigSnapshot struct {
	Snapshot []byte `cbor:"1,keyasint"`
}

// Drain tells a sidecar that its instance is leaving.
type Drain struct {
	Reason string `cbor:"1,keyasint"`
}

// OpenSequence binds a stage to an attempt of a sequence.
type OpenSequence struct {
	Request  request.ID      `cbor:"1,keyasint"`
	Attempt  request.Attempt `cbor:"2,keyasint"`
	Team     string          `cbor:"3,keyasint"`
	Priority int             `cbor:"4,keyasint,omitempty"`
	// DeadlineMillis is the time left until the deadline. It is relative, so
	// that clocks need not agree.
	DeadlineMillis int64               `cbor:"5,keyasint"`
	Model          string              `cbor:"6,keyasint"`
	Layers         pipeline.LayerRange `cbor:"7,keyasint"`
	// Downstream is the peer address of the next stage. It is empty if the
	// output goes to the entry.
	Downstream string `cbor:"8,keyasint,omitempty"`
	// FirstTokenMillis bounds the wait for the first step, in milliseconds.
	FirstTokenMillis int64 `cbor:"9,keyasint,omitempty"`
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int `cbor:"10,keyasint,omitempty"`
}

// RefusalReason is the reason for which a sequence or call was refused before
// it ran.
type RefusalReason string

const (
	// RefusedLeaving means the upstream is leaving.
	RefusedLeaving RefusalReason = "leaving"
	// RefusedQueueFull means the queue is full.
	RefusedQueueFull RefusalReason = "queue-full"
	// RefusedWrongUpstream means the upstream does not serve the requested model
	// or layers.
	RefusedWrongUpstream RefusalReason = "wrong-upstream"
	// RefusedStaleAttempt means the stage is already bound to a higher attempt.
	RefusedStaleAttempt RefusalReason = "stale-attempt"
	// RefusedDeadline means the deadline can no longer be met.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedUnavailable means the upstream can't be reached.
	RefusedUnavailable RefusalReason = "unavailable"
)

// SequenceOpened answers OpenSequence.
type SequenceOpened struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
	// NextPosition is the stage's cursor: the first position that the stage has
	// not finished.
	NextPosition request.Position `cbor:"3,keyasint"`
	Refused      RefusalReason    `cbor:"4,keyasint,omitempty"`
}

// ResumeSequence asks a stage to send its outputs again from a position.
type ResumeSequence struct {
	Request request.ID       `cbor:"1,keyasint"`
	Attempt request.Attempt  `cbor:"2,keyasint"`
	From    request.Position `cbor:"3,keyasint"`
}

// Step is the input of one position. The first stage receives Prompt or Token, a
// later stage receives Activation.
type Step struct {
	Request    request.ID       `cbor:"1,keyasint"`
	Attempt    request.Attempt  `cbor:"2,keyasint"`
	Position   request.Position `cbor:"3,keyasint"`
	Prompt     string           `cbor:"4,keyasint,omitempty"`
	Token      int              `cbor:"5,keyasint,omitempty"`
	Activation []byte           `cbor:"6,keyasint,omitempty"`
	// PromptTokens and CachedTokens are set for position 0.
	PromptTokens int `cbor:"7,keyasint,omitempty"`
	CachedTokens int `cbor:"8,keyasint,omitempty"`
}

// Token is the result of one position.
type Token struct {
	Request  request.ID       `cbor:"1,keyasint"`
	Attempt  request.Attempt  `cbor:"2,keyasint"`
	Position request.Position `cbor:"3,keyasint"`
	Token    int              `cbor:"4,keyasint"`
	Text     string           `cbor:"5,keyasint"`
	// End marks the end of the answer; TokenCount is then the number of generated
	// tokens.
	End          bool `cbor:"6,keyasint,omitempty"`
	TokenCount   int  `cbor:"7,keyasint,omitempty"`
	PromptTokens int  `cbor:"8,keyasint,omitempty"`
	CachedTokens int  `cbor:"9,keyasint,omitempty"`
}

// FailureReason is the reason for which a stage can't continue a sequence.
type FailureReason string

const (
	// FailedEngine means the engine failed or does not answer.
	FailedEngine FailureReason = "engine"
	// FailedDownstream means the next stage can't be reached.
	FailedDownstream FailureReason = "downstream"
	// FailedDeadline means the deadline passed while the step was queued.
	FailedDeadline FailureReason = "deadline"
	// FailedOutputLog means the output log no longer holds the outputs that must
	// be resent.
	FailedOutputLog FailureReason = "output-log"
	// FailedUnknownSequence means the stage does not hold the sequence.
	FailedUnknownSequence FailureReason = "unknown-sequence"
	// FailedQueueFull means the queue was full when the step arrived.
	FailedQueueFull FailureReason = "queue-full"
)

// SequenceFailed reports that a stage can't continue a sequence.
type SequenceFailed struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
	Reason  FailureReason   `cbor:"3,keyasint"`
	// MayHaveRun is true if the stage's engine may have run a step of the sequence.
	MayHaveRun bool `cbor:"4,keyasint,omitempty"`
	// Downstream is the unreachable address if Reason is FailedDownstream.
	Downstream string `cbor:"5,keyasint,omitempty"`
	Detail     string `cbor:"6,keyasint,omitempty"`
}

// CloseSequence ends a sequence at a stage. Frames of attempts up to Attempt
// are refused afterwards.
type CloseSequence struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
}

// Call is one call to a plain service.
type Call struct {
	Request        request.ID `cbor:"1,keyasint"`
	Team           string     `cbor:"2,keyasint"`
	Service        string     `cbor:"3,keyasint"`
	Operation      string     `cbor:"4,keyasint"`
	Method         string     `cbor:"5,keyasint"`
	ContentType    string     `cbor:"6,keyasint,omitempty"`
	Body           []byte     `cbor:"7,keyasint,omitempty"`
	NonIdempotent  bool       `cbor:"8,keyasint,omitempty"`
	IdempotencyKey string     `cbor:"9,keyasint,omitempty"`
	DeadlineMillis int64      `cbor:"10,keyasint"`
	// Attempt distinguishes repeated dispatches of one request.
	Attempt request.Attempt `cbor:"11,keyasint"`
}

// CallResult answers a Call.
type CallResult struct {
	Request     request.ID      `cbor:"1,keyasint"`
	Attempt     request.Attempt `cbor:"2,keyasint"`
	Outcome     request.Outcome `cbor:"3,keyasint"`
	Status      int             `cbor:"4,keyasint,omitempty"`
	ContentType string          `cbor:"5,keyasint,omitempty"`
	Body        []byte          `cbor:"6,keyasint,omitempty"`
	Replayed    bool            `cbor:"7,keyasint,omitempty"`
	// Refused is set if the sidecar refused the call before it ran.
	Refused RefusalReason `cbor:"8,keyasint,omitempty"`
	Detail  string        `cbor:"9,keyasint,omitempty"`
	// Conflict is true if the idempotency key was already used with another body.
	Conflict bool `cbor:"10,keyasint,omitempty"`
}

// CancelCall tells a sidecar that the caller no longer waits for a call. The
// sidecar drops the call if it has not started.
type CancelCall struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
}

// Order tells a sidecar to send an order to its engine.
type Order struct {
	Number  uint64              `cbor:"1,keyasint"`
	Group   string              `cbor:"2,keyasint"`
	Fencing uint64              `cbor:"3,keyasint"`
	Kind    string              `cbor:"4,keyasint"`
	Version string              `cbor:"5,keyasint,omitempty"`
	Layers  pipeline.LayerRange `cbor:"6,keyasint"`
}

// OrderResult answers an Order.
type OrderResult struct {
	Number uint64 `cbor:"1,keyasint"`
	// Stale is true if the order's fencing token was lower than the highest
	// known one.
	Stale bool   `cbor:"2,keyasint,omitempty"`
	Error string `cbor:"3,keyasint,omitempty"`
}
