package bench

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the longest duration that a histogram holds; longer ones
	// are recorded as this value.
	maxLatencyMicros = 120_000_000
	// significantDigits is the resolution of a histogram.
	significantDigits = 3
)

// latencyHistogram is a histogram of durations.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (l latencyHistogram) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// percentileMillis returns a percentile in milliseconds, or NaN if the histogram
// is empty.
func (l latencyHistogram) percentileMillis(percentile float64) float64 {
	if l.histogram.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(l.histogram.ValueAtPercentile(percentile)) / 1000
}

// loadSummary summarizes the results of the requests of a load.
type loadSummary struct {
	offered, answeredInTime, completed int
	// worthRatio is the worth of the requests answered in time divided by that of
	// all offered requests.
	worthRatio float64
	// tokensPerSecond is the rate of the tokens that arrived while load was
	// offered.
	tokensPerSecond           float64
	firstToken, betweenTokens latencyHistogram
	attempts                  int
}

// summarize computes the summary of a load that was offered for a duration. A
// request is answered in time if it completed, its first token arrived within
// firstTokenLimit and its end within deadline.
func summarize(results []requestResult, worthPerRequest float64, firstTokenLimit, deadline, duration time.Duration) loadSummary {
	summary := loadSummary{offered: len(results), firstToken: newLatencyHistogram(), betweenTokens: newLatencyHistogram()}
	tokensUnderLoad := 0
	for _, r := range results {
		summary.attempts += r.attempts
		if r.completed {
			summary.completed++
		}
		if r.completed && r.firstToken <= firstTokenLimit && r.end <= deadline {
			summary.answeredInTime++
		}
		if r.firstToken > 0 {
			summary.firstToken.add(r.firstToken)
		}
		for i, arrival := range r.tokens {
			if r.job.arrival+arrival <= duration {
				tokensUnderLoad++
			}
			if i > 0 {
				summary.betweenTokens.add(arrival - r.tokens[i-1])
			}
		}
	}
	summary.worthRatio = float64(summary.answeredInTime) * worthPerRequest / (float64(summary.offered) * worthPerRequest)
	summary.tokensPerSecond = float64(tokensUnderLoad) / duration.Seconds()
	return summary
}
