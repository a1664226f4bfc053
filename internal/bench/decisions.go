package bench

import "context"

// decisions lists the Go benchmarks that measure single operations: the planner's
// choice of a chain, a push and a pop of the fair queue, and a heartbeat and a sweep
// of the upstream directory. It runs none of them.
func decisions(context.Context, params) ([]Table, error) {
	return []Table{{
		Title:   "Go benchmarks that measure the cost of single decisions; run them separately",
		Columns: []Column{{"upstreams or teams, most", "", true}},
		Rows: []Row{
			{Name: "go test -run '^$' -bench . -benchmem ./internal/planner", Values: []Number{12000}},
			{Name: "go test -run '^$' -bench . -benchmem ./internal/team", Values: []Number{260}},
			{Name: "go test -run '^$' -bench . -benchmem ./internal/upstream", Values: []Number{12000}},
		},
	}}, nil
}
