package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

const (
	// reportTimeout bounds one call of Engines.Report.
	reportTimeout = 250 * time.Millisecond
	// maxStallReportAge, maxSlownessReportAge and maxLayerReportAge are how
	// long a report is reused: to find the cause of a stalled request, for the
	// slowness of an instance, and for the layers that it holds.
	maxStallReportAge    = 200 * time.Millisecond
	maxSlownessReportAge = time.Second
	maxLayerReportAge    = 300 * time.Millisecond
)

// faultFinder finds out why a stream is silent by requesting reports from the
// instances of its path. Streams share the reports.
type faultFinder struct {
	control   *control
	tracker   *chain.InstanceTracker
	directory *fleet.Directory
	log       *events.Logger

	// mu guards answers, which holds the latest answer of each instance by
	// address.
	mu      sync.Mutex
	answers map[string]*reportAnswer
}

// reportAnswer is the latest answer of an instance to a report request, or the
// request while it is in progress.
type reportAnswer struct {
	// done is closed when report and err are set; they may be read only
	// afterwards.
	done chan struct{}
	// at is when the report was requested.
	at     time.Time
	report Report
	err    error
	// counted is true once a missing answer was recorded. Many streams share it.
	counted atomic.Bool
}

func newFaultFinder(c *control, t *chain.InstanceTracker, d *fleet.Directory, log *events.Logger) *faultFinder {
	return &faultFinder{control: c, tracker: t, directory: d, log: log, answers: make(map[string]*reportAnswer)}
}

// Locate returns the instance of path p that keeps request id from progressing,
// or "" if there is none. If the first instance wants no calls, it returns errBackoff. That instance gets no new work for a while.
func (f *faultFinder) Locate(ctx context.Context, p chain.Path, id string, now time.Time) (string, error) {
	first := p.First()
	answer := f.fetchReport(ctx, first.Instance, first.Address, now, maxStallReportAge)
	if answer.err != nil {
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		if errors.Is(answer.err, errBackoff) {
			return "", answer.err
		}
		if answer.counted.CompareAndSwap(false, true) {
			f.tracker.RecordUnreachable(first.Instance, now)
		}
		return first.Instance, nil
	}
	address, stalled := answer.report.Stalled[id]
	if !stalled {
		return "", nil
	}
	for _, stage := range p {
		if stage.Address == address {
			f.tracker.RecordLost(stage.Instance, now)
			return stage.Instance, nil
		}
	}
	return "", nil
}

// SlowestStage returns the slowest instance of a path and its slowness factor.
// It requests reports from the instances whose slowness is not known.
func (f *faultFinder) SlowestStage(ctx context.Context, p chain.Path, now time.Time) (string, float64) {
	var wait sync.WaitGroup
	for _, stage := range p {
		if _, known := f.tracker.Slowness(stage.Instance, now); known {
			continue
		}
		wait.Go(func() {
			if answer := f.fetchReport(ctx, stage.Instance, stage.Address, now, maxSlownessReportAge); answer.err == nil {
				f.tracker.RecordSlowness(stage.Instance, answer.report.Slowness, now)
			}
		})
	}
	wait.Wait()
	slowest, worst := "", 1.0
	for _, stage := range p {
		if factor, _ := f.tracker.Slowness(stage.Instance, now); factor > worst {
			slowest, worst = stage.Instance, factor
		}
	}
	return slowest, worst
}

// maxReportDelay is how much older than the request for a report the values in
// the report may be.
const maxReportDelay = 400 * time.Millisecond

// ObserveLayers asks an instance which layers it holds.
func (f *faultFinder) ObserveLayers(ctx context.Context, in fleet.Instance, now time.Time) (fleet.Observation, error) {
	answer := f.fetchReport(ctx, in.ID, in.Address, now, maxLayerReportAge)
	if answer.err != nil {
		return fleet.Observation{}, answer.err
	}
	return fleet.Observation{ID: in.ID, Layers: answer.report.Layers, At: answer.at.Add(-maxReportDelay)}, nil
}

// InstanceReport asks an instance for its report. It returns the time at which the report was requested.
func (f *faultFinder) InstanceReport(ctx context.Context, in fleet.Instance, now time.Time) (Report, time.Time, error) {
	answer := f.fetchReport(ctx, in.ID, in.Address, now, 0)
	return answer.report, answer.at, answer.err
}

const (
	// lowKVCacheUse is the used fraction of the KV cache below which a refusal
	// is not caused by a lack of memory.
	lowKVCacheUse = 0.5
	// lowSlotUse is the ratio of an instance's requests to its slots below
	// which a refusal is not caused by a lack of slots.
	lowSlotUse = 0.5
)

// ClassifyRefusal finds out why an instance of a model refused a request. An
// instance that has capacity for the request is recorded as leaving: it is about
// to stop, although the directory does not show that yet. An instance that does
// not answer is recorded as lost.
func (f *faultFinder) ClassifyRefusal(ctx context.Context, in fleet.Instance, now time.Time) {
	answer := f.fetchReport(ctx, in.ID, in.Address, now, maxStallReportAge)
	r := answer.report
	switch {
	case errors.Is(answer.err, errBackoff):
	case answer.err != nil:
		f.tracker.RecordRecheck(in.ID, false, time.Now())
		f.log.LogRateLimited(events.InstanceLost).Str("instance", in.ID).Err(answer.err).Send()
	case r.KVCacheUsed < lowKVCacheUse && float64(r.Requests) < lowSlotUse*float64(in.Slots):
		f.tracker.RecordLeaving(in.ID, time.Now())
		f.log.LogRateLimited(events.InstanceLost).Str("instance", in.ID).Float64("kv_cache_used", r.KVCacheUsed).
			Int("requests", r.Requests).Int("from", r.Layers.From).Int("to", r.Layers.To).Send()
	}
}

// RecheckLost checks whether lost instances answer again.
func (f *faultFinder) RecheckLost(ctx context.Context, view *fleet.View, now time.Time) {
	for _, id := range f.tracker.DueRechecks(now) {
		in, known := view.Instances[id]
		if !known {
			continue
		}
		go func() {
			answer := f.fetchReport(ctx, in.ID, in.Address, now, 0)
			if errors.Is(answer.err, errBackoff) {
				return
			}
			// Instances of plain services refuse, since they have no report.
			answered := answer.err == nil || errors.Is(answer.err, ErrOrderRefused)
			f.tracker.RecordRecheck(id, answered, time.Now())
		}()
	}
}

// RemeasureSlow updates the slowness of instances that were slow, so that they
// are neither avoided for longer than necessary nor used only because their
// last measurement expired.
func (f *faultFinder) RemeasureSlow(ctx context.Context, view *fleet.View, now time.Time) {
	for _, id := range f.tracker.DueMeasurements(now) {
		in, known := view.Instances[id]
		if !known {
			continue
		}
		if answer := f.fetchReport(ctx, in.ID, in.Address, now, maxSlownessReportAge); answer.err == nil {
			f.tracker.RecordSlowness(id, answer.report.Slowness, now)
		}
	}
}

// fetchReport returns an answer of the instance that was requested at most maxAge
// ago, which may be an error. Concurrent callers share one request.
func (f *faultFinder) fetchReport(
	ctx context.Context, instance, address string, now time.Time, maxAge time.Duration,
) *reportAnswer {
	f.mu.Lock()
	a := f.answers[address]
	if a == nil || now.Sub(a.at) > maxAge {
		a = &reportAnswer{done: make(chan struct{}), at: now}
		f.answers[address] = a
		f.mu.Unlock()
		f.requestReport(ctx, instance, address, a)
		return a
	}
	f.mu.Unlock()
	select {
	case <-a.done:
	case <-ctx.Done():
		return &reportAnswer{err: ctx.Err()}
	}
	return a
}

// requestReport requests a report and stores the result in a.
func (f *faultFinder) requestReport(ctx context.Context, instance, address string, a *reportAnswer) {
	// The answer is shared with other streams, so the end of this stream must
	// not cancel the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	a.report, a.err = f.control.Report(ctx, instance, address)
	close(a.done)
}
