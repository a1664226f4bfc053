package gateway

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

const (
	// meterInterval is the interval of the timer whose delay is measured, and of the metrics of
	// the exchange with other gateways.
	meterInterval = 100 * time.Millisecond
	// maxTimerDelay is the delay of the timer above which the process is reported as short of
	// processor time. Other gateways drop a gateway that is silent for a second.
	maxTimerDelay = 500 * time.Millisecond
	// maxReportAge is the age of the latest report of any other gateway above which reports are
	// reported as late.
	maxReportAge = time.Second
)

// exchangeMeter tells a lack of processor time from late reports. It measures how late a timer
// is, and how old the reports of other gateways are.
type exchangeMeter struct {
	// due is when the timer was to fire next.
	due  time.Time
	last gossip.Stats
	// late is true while reports are late.
	late bool
}

// exchangeState is what an exchangeMeter finds.
type exchangeState struct {
	// delay is how late the timer fired.
	delay time.Duration
	// sent to receivedBytes are the counts since the measurement before.
	sent, sentBytes, received, receivedBytes int64
	// cellChanged is true if the own cell is another one, reportsLate if reports have become late.
	cellChanged, reportsLate bool
}

// measure evaluates one tick of the timer. Reports that are late because the process had no processor
// time don't count as late.
func (m *exchangeMeter) measure(s gossip.Stats, now time.Time) exchangeState {
	state := exchangeState{
		sent: s.Sent - m.last.Sent, sentBytes: s.SentBytes - m.last.SentBytes,
		received: s.Received - m.last.Received, receivedBytes: s.ReceivedBytes - m.last.ReceivedBytes,
		cellChanged: s.Cell != m.last.Cell && (s.Cells > 1 || m.last.Cells > 1),
	}
	if !m.due.IsZero() {
		state.delay = max(now.Sub(m.due), 0)
	}
	late := s.LatestReport > maxReportAge && state.delay < maxTimerDelay
	state.reportsLate = late && !m.late
	m.late, m.due, m.last = late, now.Add(meterInterval), s
	return state
}

// watchExchange updates the metrics of the exchange with other gateways, and logs changes of the own cell, a
// lack of processor time and late reports, until ctx ends.
func (g *Gateway) watchExchange(ctx context.Context) {
	var meter exchangeMeter
	process.RunEvery(ctx, meterInterval, func(time.Time) {
		// The time of the tick may be that at which it was due.
		now := time.Now()
		var s gossip.Stats
		if r := g.reporter.Load(); r != nil {
			s = r.Stats(now)
		}
		state := meter.measure(s, now)
		g.metrics.recordExchange(s, state)
		if state.cellChanged {
			g.log.Log(events.CellChanged).Str("cell", s.Cell).Int("cells", s.Cells).Send()
		}
		if state.delay >= maxTimerDelay {
			g.log.LogRateLimited(events.ProcessDelayed).Int64("delay_ms", state.delay.Milliseconds()).
				Int64("latest_report_ms", s.LatestReport.Milliseconds()).Send()
		}
		if state.reportsLate {
			g.log.Log(events.ReportsLate).Int64("latest_report_ms", s.LatestReport.Milliseconds()).
				Int64("delay_ms", state.delay.Milliseconds()).Send()
		}
	})
}
