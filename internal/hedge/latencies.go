package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencySlots times latencySlot is the time over which attempts are observed. A tenth of
	// slow instances for 6 s then make up at most 1.9% of the samples, below the 4% above
	// latePercentile; a service that is slow as a whole exceeds them after 1.6 s.
	latencySlots = 5
	latencySlot  = 8 * time.Second
	// latePercentile is the percentile of the recent attempts that a late one exceeds.
	latePercentile = 96
	// lateFactor times the median is the minimum time of a late attempt. Where all attempts
	// take about as long, the percentile alone would make 4% of them late in normal operation
	// and use up the share of hedges before it is needed. With 2, the 99th percentile beside
	// slow instances would be about three times the median, as high as it may be.
	lateFactor = 1.75
	// minLate is the minimum time of a late attempt. Below it, a hedge costs more than it
	// gains.
	minLate = 10 * time.Millisecond
	// minSamples is the number of samples without which no estimate is made. Gateways that share a
	// small service get about one request a second.
	minSamples = 30
	// thresholdMaxAge is how long a computed threshold is used.
	thresholdMaxAge = 200 * time.Millisecond
	// maxLatencyMillis is the longest time that is recorded; longer ones count as this.
	maxLatencyMillis  = 60_000
	significantDigits = 2
)

// latencies holds the recent times of the attempts of a class.
type latencies struct {
	window *hdrhistogram.WindowedHistogram
	// origin is when slot 0 began, slot the number of the current one.
	origin time.Time
	slot   int64
	// late is the threshold that was computed at computedAt, known is false if there were too
	// few samples.
	late       time.Duration
	known      bool
	computedAt time.Time
	// lateShare is the moving average of late attempts.
	lateShare float64
}

func newLatencies(now time.Time) *latencies {
	return &latencies{
		window: hdrhistogram.NewWindowed(latencySlots, 1, maxLatencyMillis, significantDigits), origin: now,
	}
}

// slotAt returns the number of the slot of now.
func (l *latencies) slotAt(now time.Time) int64 { return int64(now.Sub(l.origin) / latencySlot) }

// expired reports whether all samples have left the window.
func (l *latencies) expired(now time.Time) bool { return l.slotAt(now)-l.slot >= latencySlots }

// advance removes the samples that have left the window.
func (l *latencies) advance(now time.Time) {
	slot := l.slotAt(now)
	for range min(slot-l.slot, latencySlots) {
		l.window.Rotate()
	}
	l.slot = max(l.slot, slot)
}

func (l *latencies) record(d time.Duration, now time.Time) {
	l.advance(now)
	// The value is within the range of the histogram.
	_ = l.window.Current.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMillis))
}

// threshold returns the time from which on an attempt is late.
func (l *latencies) threshold(now time.Time) (time.Duration, bool) {
	if !l.computedAt.IsZero() && now.Sub(l.computedAt) < thresholdMaxAge {
		return l.late, l.known
	}
	l.advance(now)
	l.computedAt = now
	merged := l.window.Merge()
	l.known = merged.TotalCount() >= minSamples
	if !l.known {
		return 0, false
	}
	quantile := time.Duration(merged.ValueAtPercentile(latePercentile)) * time.Millisecond
	median := time.Duration(merged.ValueAtPercentile(50)) * time.Millisecond
	l.late = max(quantile, time.Duration(lateFactor*float64(median)), minLate)
	return l.late, true
}

// recordOutcome adds an attempt to the moving average of late attempts.
func (l *latencies) recordOutcome(late bool) {
	outcome := 0.0
	if late {
		outcome = 1
	}
	l.lateShare += lateWeight * (outcome - l.lateShare)
}
