package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
)

const (
	// reportTimeout bounds the question to the first instance of a path.
	reportTimeout = 250 * time.Millisecond
	// reportAge is how long an answer serves other streams of the instance.
	reportAge = 200 * time.Millisecond
)

// faultFinder finds the instance that a silent stream waits for by asking the
// first instance of its path. Streams of one instance share the answers.
type faultFinder struct {
	engines Engines
	ledger  *chain.Ledger

	mu      sync.Mutex
	reports map[string]*stallReport
}

type stallReport struct {
	done chan struct{}
	at   time.Time
	// stalled is the address at fault by request id, err the failure to ask.
	stalled map[string]string
	err     error
}

func newFaultFinder(e Engines, l *chain.Ledger) *faultFinder {
	return &faultFinder{engines: e, ledger: l, reports: make(map[string]*stallReport)}
}

// Locate returns the instance that keeps the request from going on, "" if none
// does. Instances at fault get no new work for a while.
func (f *faultFinder) Locate(ctx context.Context, p chain.Path, id string, now time.Time) (string, error) {
	first := p.First()
	report := f.report(ctx, first.Address, now)
	if report.err != nil {
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		f.ledger.Failed(first.Instance, now)
		return first.Instance, nil
	}
	address, waits := report.stalled[id]
	if !waits {
		return "", nil
	}
	for _, part := range p {
		if part.Address == address {
			f.ledger.AtFault(part.Instance, now)
			return part.Instance, nil
		}
	}
	return "", nil
}

// report returns a recent answer of the instance or asks it.
func (f *faultFinder) report(ctx context.Context, address string, now time.Time) *stallReport {
	f.mu.Lock()
	r := f.reports[address]
	if r == nil || now.Sub(r.at) > reportAge {
		r = &stallReport{done: make(chan struct{}), at: now}
		f.reports[address] = r
		f.mu.Unlock()
		f.ask(ctx, address, r)
		return r
	}
	f.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
		return &stallReport{err: ctx.Err()}
	}
	return r
}

func (f *faultFinder) ask(ctx context.Context, address string, r *stallReport) {
	// The answer serves other streams too, so it must not end with this one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	report, err := f.engines.Report(ctx, address)
	r.stalled, r.err = report.Stalled, err
	close(r.done)
}
