package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// maxFaults bounds each list of a RunReport.
const maxFaults = 1000

// RunViolation is one position and layer that ran more or less than once.
type RunViolation struct {
	Request  string           `json:"request"`
	Position request.Position `json:"position"`
	Layer    int              `json:"layer"`
	Runs     int              `json:"runs"`
}

// RunReport sums up what an engine ran. Sequences of the same request id count
// as one.
type RunReport struct {
	Requests  int    `json:"requests"`
	Positions uint64 `json:"positions"`
	LayerRuns uint64 `json:"layer_runs"`
	// DuplicateCount and GapCount count all faults; the lists hold the first
	// 1000.
	DuplicateCount int            `json:"duplicate_count"`
	GapCount       int            `json:"gap_count"`
	Duplicates     []RunViolation `json:"duplicates,omitempty"`
	Gaps           []RunViolation `json:"gaps,omitempty"`
}

// RequestRuns tells what an engine ran for one request.
type RequestRuns struct {
	Sequences []string `json:"sequences"`
	// Imported is the number of positions that came with imported KV cache.
	Imported int `json:"imported,omitempty"`
	// Runs holds the number of runs by layer and position.
	Runs map[int][]int `json:"runs"`
}

// ledger counts runs by request id. A step runs all layers of the engine's
// range at once, so one counter for each range and position is enough.
type ledger struct {
	requests             map[string]*requestLedger
	positions, layerRuns uint64
}

type requestLedger struct {
	sequences []string
	imported  int
	counts    map[pipeline.LayerRange][]uint8
}

// requestID returns the part of a sequence id before the first slash.
func requestID(sequence string) string {
	id, _, _ := strings.Cut(sequence, "/")
	return id
}

func (l *ledger) request(sequence string) *requestLedger {
	id := requestID(sequence)
	r := l.requests[id]
	if r == nil {
		r = &requestLedger{counts: make(map[pipeline.LayerRange][]uint8)}
		l.requests[id] = r
	}
	if !slices.Contains(r.sequences, sequence) {
		r.sequences = append(r.sequences, sequence)
	}
	return r
}

func (l *ledger) ran(sequence string, position request.Position, layers pipeline.LayerRange) {
	r := l.request(sequence)
	counts := r.counts[layers]
	for len(counts) <= int(position) {
		counts = append(counts, 0)
	}
	if counts[position] < 255 {
		counts[position]++
	}
	r.counts[layers] = counts
	l.positions++
	l.layerRuns += uint64(layers.Len())
}

func (l *ledger) importedUpTo(sequence string, next request.Position) {
	r := l.request(sequence)
	r.imported = max(r.imported, int(next))
}

func (r *requestLedger) byLayer() map[int][]int {
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

func (l *ledger) report() RunReport {
	report := RunReport{Requests: len(l.requests), Positions: l.positions, LayerRuns: l.layerRuns}
	for id, r := range l.requests {
		runs := r.byLayer()
		for _, layer := range slices.Sorted(maps.Keys(runs)) {
			for p, n := range runs[layer] {
				fault := RunViolation{Request: id, Position: request.Position(p), Layer: layer, Runs: n}
				switch {
				case n > 1:
					report.DuplicateCount++
					report.Duplicates = appendFault(report.Duplicates, fault)
				case n == 0 && p >= r.imported:
					report.GapCount++
					report.Gaps = appendFault(report.Gaps, fault)
				}
			}
		}
	}
	return report
}

func appendFault(faults []RunViolation, f RunViolation) []RunViolation {
	if len(faults) == maxFaults {
		return faults
	}
	return append(faults, f)
}
