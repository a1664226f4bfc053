// Package profile defines profiles, their defaults and their validation.
package profile

// Profile describes how a class of requests is served. Operators publish and
// revise profiles; a caller picks one by name.
type Profile struct {
	Name string `json:"name"`
	// Model is the model that serves the requests.
	Model string `json:"model"`
	// Priority orders the requests of a team; higher priorities are served
	// first. Default 0, range 0 to 9.
	Priority int `json:"priority,omitempty"`
	// FirstTokenMillis is the target time to the first token in milliseconds.
	// Default 470.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// BetweenTokensMillis is the target time between tokens in milliseconds.
	// Default 26.
	BetweenTokensMillis int `json:"between_tokens_ms,omitempty"`
	// DeadlineMillis bounds the whole request in milliseconds. Default 60000.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
	// Worth is the agreed value of one answered request. Default 1.
	Worth float64 `json:"worth,omitempty"`
	// MaxTokens bounds the generated tokens of one request. Default 1024.
	MaxTokens int `json:"max_tokens,omitempty"`
	// RetryBudget is the fraction of a team's requests that may be retried, 0 to
	// 1. Default 0.2.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// FailureDomains restricts the upstreams to those in these failure domains.
	// If it is empty, all upstreams may be used.
	FailureDomains []string `json:"failure_domains,omitempty"`
	// NoResume forbids resuming a partial response on other stages after a
	// failure. Default false.
	NoResume bool `json:"no_resume,omitempty"`
}
