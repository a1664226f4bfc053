package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/overload"
)

// gatewayMetrics holds the metrics of the gateway.
type gatewayMetrics struct {
	scope         tally.Scope
	latency       tally.Histogram
	firstEvent    tally.Histogram
	admissionWait tally.Histogram
	repeats       tally.Counter
	cuts          tally.Counter
	interrupted   tally.Counter
	unanswered    tally.Counter
	quarantined   tally.Gauge
	refusedParts  tally.Counter
	limited       tally.Gauge
	inFlight      tally.Gauge
	clientMemory  tally.Gauge
	clientConns   tally.Gauge
	storeAge      tally.Gauge
	placeRound    tally.Histogram
	placeOrders   tally.Counter
	placeMoves    tally.Counter
	placeLoads    tally.Gauge
	exchange      exchangeMetrics
}

// exchangeMetrics holds the metrics of the exchange with other gateways.
type exchangeMetrics struct {
	timerDelay                               tally.Histogram
	oldestReport, cells                      tally.Gauge
	sent, sentBytes, received, receivedBytes tally.Counter
}

func newMetrics(scope tally.Scope, buckets tally.DurationBuckets) *gatewayMetrics {
	scope = scope.SubScope("gateway")
	return &gatewayMetrics{
		scope:         scope,
		latency:       scope.Histogram("request_duration", buckets),
		firstEvent:    scope.Histogram("first_event", buckets),
		admissionWait: scope.Histogram("admission_wait", buckets),
		repeats:       scope.Counter("repeats"),
		cuts:          scope.Counter("streams_cut"),
		interrupted:   scope.Counter("responses_interrupted"),
		unanswered:    scope.Counter("requests_unanswered_at_instance_end"),
		quarantined:   scope.Gauge("quarantined_parts"),
		refusedParts:  scope.Counter("requests_refused_for_part"),
		limited:       scope.Gauge("limited_instances"),
		inFlight:      scope.Gauge("requests_in_flight"),
		clientMemory:  scope.Gauge("client_memory_bytes"),
		clientConns:   scope.Gauge("client_connections"),
		storeAge:      scope.Gauge("store_age_seconds"),
		placeRound:    scope.Histogram("placement_round", buckets),
		placeOrders:   scope.Counter("placement_orders"),
		placeMoves:    scope.Counter("placement_moves"),
		placeLoads:    scope.Gauge("placement_loads"),
		exchange: exchangeMetrics{
			timerDelay: scope.Histogram("timer_delay", buckets), oldestReport: scope.Gauge("oldest_report_age_seconds"),
			cells: scope.Gauge("cells"), sent: scope.Counter("datagrams_sent"), sentBytes: scope.Counter("datagram_bytes_sent"),
			received: scope.Counter("datagrams_received"), receivedBytes: scope.Counter("datagram_bytes_received"),
		},
	}
}

// recordDivision records how the capacity of a service is divided, and was before.
func (m *gatewayMetrics) recordDivision(service string, before, v *overload.Division) {
	scope := m.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("overload_pressure").Update(v.Pressure)
	scope.Gauge("overload_capacity_tokens").Update(v.Capacity)
	scope.Gauge("overload_teams_above_share").Update(float64(len(v.TeamsAbove)))
	for rank, r := range v.Demand.Ranks {
		if r.Offered < 1 && (before == nil || before.Demand.Ranks[rank].Offered < 1) {
			continue // a rank without demand since the last time, or that the service does not have
		}
		byRank := scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
		byRank.Gauge("overload_offered_tokens_per_second").Update(r.Offered)
		byRank.Gauge("overload_granted_tokens_per_second").Update(r.Granted)
		byRank.Gauge("overload_reserved_share").Update(v.Margins[rank])
	}
}

// recordResponse records a finished call; status is 0 if the client
// disconnected before a response.
func (m *gatewayMetrics) recordResponse(status int, latency, wait time.Duration) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("responses").Inc(1)
	m.latency.RecordDuration(latency)
	m.admissionWait.RecordDuration(wait)
}

// recordExchange records the exchange with other gateways.
func (m *gatewayMetrics) recordExchange(s gossip.Stats, state exchangeState) {
	m.exchange.timerDelay.RecordDuration(state.delay)
	m.exchange.oldestReport.Update(s.OldestReport.Seconds())
	m.exchange.cells.Update(float64(s.Cells))
	m.exchange.sent.Inc(state.sent)
	m.exchange.sentBytes.Inc(state.sentBytes)
	m.exchange.received.Inc(state.received)
	m.exchange.receivedBytes.Inc(state.receivedBytes)
}

// recordOwnResponse counts a response that the gateway itself produced.
func (m *gatewayMetrics) recordOwnResponse(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("own_responses").Inc(1)
}

func (m *gatewayMetrics) recordFirstEvent(d time.Duration) { m.firstEvent.RecordDuration(d) }

func (m *gatewayMetrics) recordRepeat() { m.repeats.Inc(1) }

// recordInterruption counts a response that an instance broke off, and a request that
// an instance had not begun to answer when it ended.
func (m *gatewayMetrics) recordInterruption(unansweredAtEnd bool) {
	m.interrupted.Inc(1)
	if unansweredAtEnd {
		m.unanswered.Inc(1)
	}
}

// recordHedge counts an event of a hedge in the counter with the given name.
func (m *gatewayMetrics) recordHedge(counter, service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter(counter).Inc(1)
}

// recordHedgeDenied counts a late attempt that was not hedged.
func (m *gatewayMetrics) recordHedgeDenied(service, reason string) {
	m.scope.Tagged(map[string]string{"service": service, "reason": reason}).Counter("hedges_denied").Inc(1)
}

func (m *gatewayMetrics) recordCut() { m.cuts.Inc(1) }

// recordPlacementRound records the duration of a round of the placement and the number of loads in
// progress.
func (m *gatewayMetrics) recordPlacementRound(d time.Duration, loads int) {
	m.placeRound.RecordDuration(d)
	m.placeLoads.Update(float64(loads))
}

// recordOrder counts an order to hold layers. A move improves a placement in which all layers have
// holders.
func (m *gatewayMetrics) recordOrder(move bool) {
	m.placeOrders.Inc(1)
	if move {
		m.placeMoves.Inc(1)
	}
}

// recordLimited counts what a limit of clients did: a connection or a request that was refused, or a
// connection that was closed.
func (m *gatewayMetrics) recordLimited(what string) {
	m.scope.Tagged(map[string]string{"what": what}).Counter("client_limit").Inc(1)
}
