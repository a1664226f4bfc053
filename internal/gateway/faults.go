package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

const (
	// reportTimeout bounds the question to the first instance of a path.
	reportTimeout = 250 * time.Millisecond
	// reportAge is how long an answer about stalled requests serves other
	// streams, slownessAge how long one about slowness does.
	reportAge   = 200 * time.Millisecond
	slownessAge = time.Second
	// observationAge is how long one about layers does.
	observationAge = 300 * time.Millisecond
)

// faultFinder finds the cause of a silent stream by asking the instances of
// its path. Streams share the answers.
type faultFinder struct {
	engines   Engines
	ledger    *chain.Ledger
	directory *fleet.Directory
	log       *events.Logger

	mu      sync.Mutex
	answers map[string]*engineAnswer
}

// engineAnswer is the latest answer of one instance, or the question to it.
type engineAnswer struct {
	done chan struct{}
	at   time.Time
	// report and err may be read when done is closed.
	report Report
	err    error
}

func newFaultFinder(e Engines, l *chain.Ledger, d *fleet.Directory, log *events.Logger) *faultFinder {
	return &faultFinder{engines: e, ledger: l, directory: d, log: log, answers: make(map[string]*engineAnswer)}
}

// Locate returns the instance that keeps the request from going on, "" if none
// does. Instances at fault get no new work for a while.
func (f *faultFinder) Locate(ctx context.Context, p chain.Path, id string, now time.Time) (string, error) {
	first := p.First()
	answer := f.ask(ctx, first.Address, now, reportAge)
	if answer.err != nil {
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		f.ledger.RecordUnreachable(first.Instance, now)
		return first.Instance, nil
	}
	address, waits := answer.report.Stalled[id]
	if !waits {
		return "", nil
	}
	for _, part := range p {
		if part.Address == address {
			f.ledger.RecordFault(part.Instance, now)
			return part.Instance, nil
		}
	}
	return "", nil
}

// SlowPart asks the instances of a path how slow they are, unless that is
// known, and returns the slowest with its factor.
func (f *faultFinder) SlowPart(ctx context.Context, p chain.Path, now time.Time) (string, float64) {
	var wait sync.WaitGroup
	for _, part := range p {
		if _, known := f.ledger.Slowness(part.Instance, now); known {
			continue
		}
		wait.Go(func() {
			if answer := f.ask(ctx, part.Address, now, slownessAge); answer.err == nil {
				f.ledger.RecordSlowness(part.Instance, answer.report.Slowness, now)
			}
		})
	}
	wait.Wait()
	slowest, worst := "", 1.0
	for _, part := range p {
		if factor, _ := f.ledger.Slowness(part.Instance, now); factor > worst {
			slowest, worst = part.Instance, factor
		}
	}
	return slowest, worst
}

// reportLag is how old the values of an answer are at most.
const reportLag = 400 * time.Millisecond

// Observe asks an instance which layers it holds.
func (f *faultFinder) Observe(ctx context.Context, in fleet.Instance, now time.Time) (fleet.Observation, error) {
	answer := f.ask(ctx, in.Address, now, observationAge)
	if answer.err != nil {
		return fleet.Observation{}, answer.err
	}
	return fleet.Observation{ID: in.ID, Layers: answer.report.Layers, At: answer.at.Add(-reportLag)}, nil
}

const (
	// roomyKVCache is the part of the KV cache in use below which a refusal is
	// not for lack of memory.
	roomyKVCache = 0.5
	// roomySlots is the same for the requests that an instance runs at once.
	roomySlots = 0.5
)

// Refused finds out why an instance of a model refused a request. One that has
// room for it leaves, though its entry does not say so yet; one that does not
// answer is lost.
func (f *faultFinder) Refused(ctx context.Context, in fleet.Instance, now time.Time) {
	answer := f.ask(ctx, in.Address, now, reportAge)
	r := answer.report
	switch {
	case answer.err != nil:
		f.ledger.RecordRecheck(in.ID, false, time.Now())
		f.log.LogLimited(events.InstanceLost).Str("instance", in.ID).Err(answer.err).Send()
	case r.KVCacheUsed < roomyKVCache && float64(r.Requests) < roomySlots*float64(in.Slots):
		f.ledger.RecordLeaving(in.ID, time.Now())
		f.log.LogLimited(events.InstanceLost).Str("instance", in.ID).Float64("kv_cache_used", r.KVCacheUsed).
			Int("requests", r.Requests).Int("from", r.Layers.From).Int("to", r.Layers.To).Send()
	}
}

// Recheck asks the lost instances whether they are back.
func (f *faultFinder) Recheck(ctx context.Context, view *fleet.View, now time.Time) {
	for _, id := range f.ledger.DueRechecks(now) {
		in, known := view.Instances[id]
		if !known {
			continue
		}
		go func() {
			answer := f.ask(ctx, in.Address, now, 0)
			f.ledger.RecordRecheck(id, answer.err == nil, time.Now())
		}()
	}
}

// Remeasure asks the instances that were slow again, so that they are neither
// avoided longer than necessary nor used because a measurement grew old.
func (f *faultFinder) Remeasure(ctx context.Context, view *fleet.View, now time.Time) {
	for _, id := range f.ledger.DueMeasurements(now) {
		in, known := view.Instances[id]
		if !known {
			continue
		}
		if answer := f.ask(ctx, in.Address, now, slownessAge); answer.err == nil {
			f.ledger.RecordSlowness(id, answer.report.Slowness, now)
		}
	}
}

// ask returns an answer of the instance that is not older than age.
func (f *faultFinder) ask(ctx context.Context, address string, now time.Time, age time.Duration) *engineAnswer {
	f.mu.Lock()
	a := f.answers[address]
	if a == nil || now.Sub(a.at) > age {
		a = &engineAnswer{done: make(chan struct{}), at: now}
		f.answers[address] = a
		f.mu.Unlock()
		f.call(ctx, address, a)
		return a
	}
	f.mu.Unlock()
	select {
	case <-a.done:
	case <-ctx.Done():
		return &engineAnswer{err: ctx.Err()}
	}
	return a
}

func (f *faultFinder) call(ctx context.Context, address string, a *engineAnswer) {
	// The answer serves other streams too, so it must not end with this one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	a.report, a.err = f.engines.Report(ctx, address)
	close(a.done)
}
