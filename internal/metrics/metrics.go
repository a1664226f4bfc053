// Package metrics provides the root scope of a process's metrics and the
// handler of its /metrics page.
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
	// prefix begins the name of each metric of the project.
	prefix = "nutmegroute"
	// reportInterval is the time between transfers from the scope to the
	// registry, and so the greatest age of a value on the page.
	reportInterval = time.Second
)

// LatencyBuckets are the bounds for durations from a fast hop between
// processes to a profile's deadline. They hold the targets of 26 ms between
// tokens and 470 ms to the first token.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 26 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 470 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second, 60 * time.Second,
}

// sanitizer leaves the values of tags as they are. Tally's default turns each
// '-' and '/' into '_', so that names of teams or instances could collide.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewScope returns a root scope whose metrics carry tags, the handler of
// /metrics, and a closer that ends the reporting after a last report. The
// page includes the metrics of the Go runtime and the process. Metrics that
// can't be registered are logged and left out.
func NewScope(tags map[string]string, log *events.Logger) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		// The scope's default buckets don't apply to timers.
		DefaultHistogramBuckets: LatencyBuckets.AsValues(),
		OnRegisterError: func(err error) {
			log.Log(events.MetricsRejected).Err(err).Send()
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		DefaultBuckets:         LatencyBuckets,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
