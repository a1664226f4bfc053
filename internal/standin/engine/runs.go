package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// maxViolations bounds the length of each list of a RunReport.
const maxViolations = 1000

// RunViolation is a position and layer that did not run exactly once.
type RunViolation struct {
	Request  string           `json:"request"`
	Position request.Position `json:"position"`
	Layer    int              `json:"layer"`
	Runs     int              `json:"runs"`
}

// RunReport summarizes the runs of an engine. All sequences of a request id count as
// one request.
type RunReport struct {
	Requests  int    `json:"requests"`
	Positions uint64 `json:"positions"`
	LayerRuns uint64 `json:"layer_runs"`
	// DuplicateCount and GapCount count all violations. Duplicates and Gaps hold at
	// most maxViolations each.
	DuplicateCount int            `json:"duplicate_count"`
	GapCount       int            `json:"gap_count"`
	Duplicates     []RunViolation `json:"duplicates,omitempty"`
	Gaps           []RunViolation `json:"gaps,omitempty"`
}

// RequestRuns holds the runs of one request.
type RequestRuns struct {
	Sequences []string `json:"sequences"`
	// Imported is the number of positions that an imported KV cache covers.
	Imported int `json:"imported,omitempty"`
	// Runs holds the number of runs by layer and position.
	Runs map[int][]int `json:"runs"`
}

// runCounter counts runs by request id. A step runs all layers of the engine's range,
// so one count for each range and position is sufficient.
type runCounter struct {
	requests             map[string]*requestCounter
	positions, layerRuns uint64
}

// requestCounter counts the runs of one request. The index of counts is the position;
// a count stays at 255 when it reaches 255.
type requestCounter struct {
	sequences []string
	imported  int
	counts    map[pipeline.LayerRange][]uint8
}

// requestID returns the part of a sequence id before the first slash.
func requestID(sequence string) string {
	id, _, _ := strings.Cut(sequence, "/")
	return id
}

// counterOf returns the counter of the request to which a sequence belongs.
func (c *runCounter) counterOf(sequence string) *requestCounter {
	id := requestID(sequence)
	r := c.requests[id]
	if r == nil {
		r = &requestCounter{counts: make(map[pipeline.LayerRange][]uint8)}
		c.requests[id] = r
	}
	if !slices.Contains(r.sequences, sequence) {
		r.sequences = append(r.sequences, sequence)
	}
	return r
}

// recordRun counts one run of all layers for a position.
func (c *runCounter) recordRun(sequence string, position request.Position, layers pipeline.LayerRange) {
	r := c.counterOf(sequence)
	counts := r.counts[layers]
	for len(counts) <= int(position) {
		counts = append(counts, 0)
	}
	if counts[position] < 255 {
		counts[position]++
	}
	r.counts[layers] = counts
	c.positions++
	c.layerRuns += uint64(layers.Len())
}

// recordImport records that the positions before next were imported, which are
// therefore not gaps.
func (c *runCounter) recordImport(sequence string, next request.Position) {
	r := c.counterOf(sequence)
	r.imported = max(r.imported, int(next))
}

// runsByLayer returns the number of runs by layer and position.
func (r *requestCounter) runsByLayer() map[int][]int {
	runs := make(map[int][]int)
	for layers, counts := range r.counts {
		for layer := layers.From; layer < layers.To; layer++ {
			sum := runs[layer]
			for len(sum) < len(counts) {
				sum = append(sum, 0)
			}
			for p, n := range counts {
				sum[p] += int(n)
			}
			runs[layer] = sum
		}
	}
	return runs
}

func (c *runCounter) report() RunReport {
	report := RunReport{Requests: len(c.requests), Positions: c.positions, LayerRuns: c.layerRuns}
	for id, r := range c.requests {
		runs := r.runsByLayer()
		for _, layer := range slices.Sorted(maps.Keys(runs)) {
			for p, n := range runs[layer] {
				violation := RunViolation{Request: id, Position: request.Position(p), Layer: layer, Runs: n}
				switch {
				case n > 1:
					report.DuplicateCount++
					report.Duplicates = appendViolation(report.Duplicates, violation)
				case n == 0 && p >= r.imported:
					report.GapCount++
					report.Gaps = appendViolation(report.Gaps, violation)
				}
			}
		}
	}
	return report
}

// appendViolation appends v unless there are already maxViolations.
func appendViolation(violations []RunViolation, v RunViolation) []RunViolation {
	if len(violations) == maxViolations {
		return violations
	}
	return append(violations, v)
}
