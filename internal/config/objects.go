// Package config holds the configuration log: a totally ordered sequence of
// changes to profiles, teams, services and placements.
package config

// Kind names a kind of configuration object.
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

// Operation describes one operation of a plain service. Operations that are
// not listed count as non-idempotent.
type Operation struct {
	Name string `json:"name"`
	// Idempotent operations may be repeated and need no idempotency key.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMillis bounds one call in milliseconds. Default 10000.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
}

// Placement says which model version or adapter a group of upstreams holds.
type Placement struct {
	// Name is the group of upstreams.
	Name    string `json:"name"`
	Version string `json:"version"`
}
