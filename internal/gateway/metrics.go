package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// gatewayMetrics are the counters and histograms of the gateway.
type gatewayMetrics struct {
	scope    tally.Scope
	latency  tally.Histogram
	first    tally.Histogram
	wait     tally.Histogram
	repeats  tally.Counter
	cuts     tally.Counter
	inFlight tally.Gauge
	age      tally.Gauge
}

func newMetrics(scope tally.Scope, buckets tally.DurationBuckets) *gatewayMetrics {
	scope = scope.SubScope("gateway")
	return &gatewayMetrics{
		scope:    scope,
		latency:  scope.Histogram("request_duration", buckets),
		first:    scope.Histogram("first_event", buckets),
		wait:     scope.Histogram("admission_wait", buckets),
		repeats:  scope.Counter("repeats"),
		cuts:     scope.Counter("streams_cut"),
		inFlight: scope.Gauge("requests_in_flight"),
		age:      scope.Gauge("store_age_seconds"),
	}
}

func (m *gatewayMetrics) done(status int, latency, wait time.Duration) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("responses").Inc(1)
	m.latency.RecordDuration(latency)
	m.wait.RecordDuration(wait)
}

func (m *gatewayMetrics) refused(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("own_responses").Inc(1)
}

func (m *gatewayMetrics) firstEvent(d time.Duration) { m.first.RecordDuration(d) }

func (m *gatewayMetrics) repeated() { m.repeats.Inc(1) }

func (m *gatewayMetrics) cut() { m.cuts.Inc(1) }
