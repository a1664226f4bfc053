// Package upstream keeps track of upstream instances: what they serve, their
// state and load, the links between failure domains, and the ejection of
// outliers.
package upstream

import "github.com/nutmegroute/nutmegroute/internal/pipeline"

// InstanceID identifies one instance. It is unique within a deployment.
type InstanceID string

// Kind is the kind of an upstream.
type Kind string

const (
	// KindEngine is a model engine that holds a layer range.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"
)

// State is the life-cycle state of an upstream. A sidecar reports StateJoining,
// StateReady or StateLeaving.
type State string

const (
	// StateJoining means the sidecar runs but its upstream is not usable yet.
	StateJoining State = "joining"
	// StateReady means the upstream takes new work.
	StateReady State = "ready"
	// StateLeaving means the upstream finishes its work and takes no new work.
	StateLeaving State = "leaving"
)

// Descriptor describes what an upstream serves. It is constant while the
// upstream holds the same model, adapter and layer range.
type Descriptor struct {
	Kind Kind `cbor:"1,keyasint" json:"kind"`
	// Group is the name of a group of upstreams whose orders are issued under one
	// lease.
	Group string `cbor:"2,keyasint,omitempty" json:"group,omitempty"`
	// Model is set for engines.
	Model string `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	// ModelLayers is the number of layers of the whole model.
	ModelLayers int                 `cbor:"4,keyasint,omitempty" json:"model_layers,omitempty"`
	Layers      pipeline.LayerRange `cbor:"5,keyasint,omitempty" json:"layers,omitzero"`
	// Service is set for plain services.
	Service string `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	// Accelerator names the kind of accelerator.
	Accelerator string `cbor:"7,keyasint,omitempty" json:"accelerator,omitempty"`
	// MaxBatch is the number of steps that the upstream runs at once.
	MaxBatch int `cbor:"8,keyasint,omitempty" json:"max_batch,omitempty"`
	// Version is the loaded model version or adapter.
	Version string `cbor:"9,keyasint,omitempty" json:"version,omitempty"`
}

// Load is a sidecar's report of its upstream's load.
type Load struct {
	// Queued is the cost of the waiting work in tokens.
	Queued int `cbor:"1,keyasint" json:"queued_tokens"`
	// Running is the number of steps or calls being executed.
	Running int `cbor:"2,keyasint" json:"running"`
	// Sequences is the number of open sequences.
	Sequences int `cbor:"3,keyasint" json:"sequences"`
	// StepMicros is the moving average of the duration of one step in
	// microseconds.
	StepMicros int64 `cbor:"4,keyasint" json:"step_us"`
	// AgeMillis is the age of the upstream's own report in milliseconds.
	AgeMillis int64 `cbor:"5,keyasint" json:"age_ms"`
	// StartFraction is the fraction of the served cost that was spent on starting
	// sequences, 0 to 1. 0 means that it isn't known.
	StartFraction float64 `cbor:"6,keyasint,omitempty" json:"start_fraction"`
}
