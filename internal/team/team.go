// Package team holds the rules about teams: their keys and weights, fair
// queueing between them, admission and retry budgets.
package team

// Team is one customer of the deployment.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share relative to other teams. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// KeyHashes are the hexadecimal SHA-256 digests of the team's API keys.
	KeyHashes []string `json:"key_hashes"`
}
