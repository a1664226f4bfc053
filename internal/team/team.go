// Package team implements the rules for teams: API keys and weights, fair
// queueing, admission control and retry budgets.
package team

// Team is one customer of the deployment.
type Team struct {
	Name string `json:"name"`
	// Weight determines the team's share relative to other teams. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// KeyHashes are the hexadecimal SHA-256 digests of the team's API keys.
	KeyHashes []string `json:"key_hashes"`
}
