package bench

import "context"

// decisions names the benchmarks that measure single decisions.
func decisions(context.Context, params) ([]Table, error) {
	return []Table{{
		Title:   "the cost of one decision is measured by Go benchmarks",
		Columns: []Column{{"upstreams or teams, most", "", true}},
		Rows: []Row{
			{Name: "go test -run '^$' -bench . -benchmem ./internal/planner", Values: []Number{12000}},
			{Name: "go test -run '^$' -bench . -benchmem ./internal/team", Values: []Number{260}},
			{Name: "go test -run '^$' -bench . -benchmem ./internal/upstream", Values: []Number{12000}},
		},
	}}, nil
}
