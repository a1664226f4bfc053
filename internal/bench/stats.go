package bench

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros bounds what a histogram holds; longer times count as this.
	maxMicros = 120_000_000
	// significantDigits is the resolution of a histogram.
	significantDigits = 3
)

// latencies is a histogram of durations.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxMicros, significantDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// millis returns a percentile in milliseconds, or NaN if nothing was added.
func (l latencies) millis(percentile float64) float64 {
	if l.h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(l.h.ValueAtPercentile(percentile)) / 1000
}

// outcome sums up the answers of a load.
type outcome struct {
	offered, answered, completed int
	// worth is the worth of answered requests over that of offered ones.
	worth float64
	// tokensPerSecond counts the tokens that arrived while load was offered.
	tokensPerSecond float64
	first, between  latencies
	attempts        int
}

// judge sums up answers. A request is answered if it is complete, its first
// token came within the target and its end before the deadline.
func judge(answers []answer, worth float64, firstToken, deadline, lasting time.Duration) outcome {
	o := outcome{offered: len(answers), first: newLatencies(), between: newLatencies()}
	inTime := 0
	for _, a := range answers {
		o.attempts += a.attempts
		if a.completed {
			o.completed++
		}
		if a.completed && a.firstToken <= firstToken && a.end <= deadline {
			o.answered++
		}
		if a.firstToken > 0 {
			o.first.add(a.firstToken)
		}
		for i, at := range a.tokens {
			if a.job.at+at <= lasting {
				inTime++
			}
			if i > 0 {
				o.between.add(at - a.tokens[i-1])
			}
		}
	}
	o.worth = float64(o.answered) * worth / (float64(o.offered) * worth)
	o.tokensPerSecond = float64(inTime) / lasting.Seconds()
	return o
}
