// Package metrics provides the root scope for the metrics of a process and the
// handler of its Prometheus endpoint /metrics.
package metrics

import (
	"io"
	"net/http"
	"time"
	"unicode"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// namePrefix is the prefix of all metric names.
	namePrefix = "nutmegroute"
	// reportInterval is the time between transfers of values from the scope to
	// the registry. Values on /metrics are at most that old.
	reportInterval = time.Second
)

// LatencyBuckets are the bucket bounds of durations, from a short network round
// trip between processes to the deadline of a profile. They include the target
// latencies of 26 ms between tokens and 470 ms to the first token.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 26 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 470 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second, 60 * time.Second,
}

// sanitizer keeps tag values unchanged. Tally's default replaces each '-' and
// '/' by '_', so that the names of different teams or instances could become
// equal.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewScope returns a root scope that adds tags to all metrics, the handler of
// /metrics, and a closer that reports the last values and stops reporting. The
// handler also serves the metrics of the Go runtime and the process. Metrics
// that can't be registered are logged and omitted.
func NewScope(tags map[string]string, log *events.Logger) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		// ScopeOptions.DefaultBuckets doesn't apply to timers.
		DefaultHistogramBuckets: LatencyBuckets.AsValues(),
		OnRegisterError: func(err error) {
			log.Log(events.MetricsRejected).Err(err).Send()
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		DefaultBuckets:         LatencyBuckets,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
