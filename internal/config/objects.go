// Package config holds the configuration log: a totally ordered sequence of
// changes to profiles, teams, services and placements.
package config

// Kind is the kind of a configuration object.
type Kind string

const (
	// KindProfile is a profile.Profile.
	KindProfile Kind = "profile"
	// KindTeam is a team.Team.
	KindTeam Kind = "team"
	// KindService is a Service.
	KindService Kind = "service"
	// KindPlacement is a Placement.
	KindPlacement Kind = "placement"
)

// Service describes a plain service that the system routes to.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations,omitempty"`
}

// Operation describes one operation of a plain service. An operation that is
// not listed in its service is treated as non-idempotent.
type Operation struct {
	Name string `json:"name"`
	// Idempotent is true if the operation may be repeated and needs no
	// idempotency key.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMillis bounds one call in milliseconds. Default 10000.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
}

// Placement assigns a model version or adapter to a group of upstreams.
type Placement struct {
	// Name is the group of upstreams.
	Name    string `json:"name"`
	Version string `json:"version"`
}
