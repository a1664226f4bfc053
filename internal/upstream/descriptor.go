// Package upstream holds the rules about upstream instances: what they serve,
// their state and load, ejection of outliers, leases and fencing numbers.
package upstream

import "github.com/nutmegroute/nutmegroute/internal/pipeline"

// InstanceID names one instance. It is unique within a deployment.
type InstanceID string

// Kind says what an upstream serves.
type Kind string

const (
	// KindEngine is a model engine that holds a layer range.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"
)

// State is the life-cycle state of an upstream as its sidecar reports it.
type State string

const (
	// StateJoining means the sidecar runs but its upstream is not usable yet.
	StateJoining State = "joining"
	// StateReady means the upstream takes new work.
	StateReady State = "ready"
	// StateLeaving means the upstream finishes its work and takes nothing new.
	StateLeaving State = "leaving"
)

// Descriptor says what an upstream is. It is constant while the upstream holds
// the same model, adapter and layer range.
type Descriptor struct {
	Kind Kind `cbor:"1,keyasint" json:"kind"`
	// Group names the upstreams that are ordered under one lease.
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
	// MaxBatch is the number of steps the upstream runs at once.
	MaxBatch int `cbor:"8,keyasint,omitempty" json:"max_batch,omitempty"`
	// Version is the model version or adapter that is loaded.
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
	// StepMicros is the smoothed duration of one step in microseconds.
	StepMicros int64 `cbor:"4,keyasint" json:"step_us"`
	// AgeMillis is the age of the upstream's own report in milliseconds.
	AgeMillis int64 `cbor:"5,keyasint" json:"age_ms"`
	// StartFraction is the part of the served cost that started sequences, 0 to
	// 1. 0 means that it isn't known.
	StartFraction float64 `cbor:"6,keyasint,omitempty" json:"start_fraction"`
}
