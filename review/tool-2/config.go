package main

// The names of the installation of all cases.
const (
	host     = "desk.example"
	apiKey   = "key-0123456789abcdef"
	tenant   = "members"
	llm      = "speech-lm"
	accounts = "accounts"
)

// route is one route of a configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Service     string  `json:"service"`
	Kind        string  `json:"kind"`
	TimeoutMS   float64 `json:"timeout_ms"`
	SLOMS       float64 `json:"slo_ms"`
	GapSLOMS    float64 `json:"gap_slo_ms,omitempty"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	Resumable   bool    `json:"resumable,omitempty"`
	Sticky      bool    `json:"sticky,omitempty"`
}

// plainService is the entry of a configuration for a service without layers: each server runs a
// request alone.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health"}
}

// configuration returns a configuration of the operator.
func configuration(version int, model map[string]any, routes ...route) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{model, plainService(accounts)},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	}
}

// The routes of the cases, with the figures of the sheets.
var (
	streamRoute = route{
		Name: "pron-guide", Host: host, PathPrefix: "/guide/", Service: llm, Kind: "streaming", TimeoutMS: 20000,
		SLOMS: 500, GapSLOMS: 200, Priority: 1, MaxAttempts: 2, Resumable: true, Sticky: true,
	}
	lookupRoute = route{
		Name: "licence-check", Host: host, PathPrefix: "/licence/", Service: accounts, Kind: "idempotent", TimeoutMS: 1200,
		SLOMS: 150, Priority: 2, MaxAttempts: 2,
	}
	purchaseRoute = route{
		Name: "pack-purchase", Host: host, PathPrefix: "/purchase/", Service: accounts, Kind: "non_idempotent", TimeoutMS: 1200,
		SLOMS: 150, Priority: 2, MaxAttempts: 1,
	}
)
