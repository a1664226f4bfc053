package upstream

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// DefaultLeaseDuration is the length of a lease.
	DefaultLeaseDuration = 10 * time.Second
	// LeaseMargin is how long before its end a holder stops using a lease, and
	// how long after its end another process waits. It covers differences in
	// clock rate and the time between a check and the order's departure.
	LeaseMargin = time.Second
)

var (
	// ErrLeaseExpired is returned to a holder whose lease has ended or is
	// within the margin of its end.
	ErrLeaseExpired = errors.New("upstream: lease expired")
	// ErrFencingStale is returned for an order with a fencing number lower than
	// the current one.
	ErrFencingStale = errors.New("upstream: outdated fencing number")
	// ErrFencingUnknown is returned while a sidecar doesn't know the current
	// fencing number.
	ErrFencingUnknown = errors.New("upstream: fencing number not known yet")
)

// LeaseRecord is the stored form of a lease. The fencing number is the version
// of the object that holds it.
type LeaseRecord struct {
	Holder InstanceID `json:"holder"`
	// Token is random for each write. A holder whose write was answered by an
	// error compares it to find out whether the write took effect.
	Token string `json:"token"`
	// DurationMillis is the length of the lease from the write on.
	DurationMillis int64 `json:"duration_ms"`
}

// Duration returns the length of the lease.
func (r LeaseRecord) Duration() time.Duration {
	return time.Duration(r.DurationMillis) * time.Millisecond
}

// Lease is the holder's view of a lease that it has written. Times must carry a
// monotonic clock reading (time.Now does).
type Lease struct {
	fencing uint64
	ends    time.Time
}

// NewLease returns a lease. started is the time before the write was sent: the
// lease can't have begun earlier, so the holder's view ends before everyone
// else's. version is the version of the written object.
func NewLease(r LeaseRecord, version uint64, started time.Time) Lease {
	return Lease{fencing: version, ends: started.Add(r.Duration() - LeaseMargin)}
}

// Check returns the fencing number for an order that is sent now. It returns
// ErrLeaseExpired if the lease is no longer certain. It must be called
// immediately before each order.
func (l Lease) Check(now time.Time) (uint64, error) {
	if !now.Before(l.ends) {
		return 0, ErrLeaseExpired
	}
	return l.fencing, nil
}

// RenewAt returns when to renew: at a third of the usable time, so that two
// renewals may fail.
func (l Lease) RenewAt(r LeaseRecord) time.Time {
	return l.ends.Add(-(r.Duration() - LeaseMargin) * 2 / 3)
}

// LeaseWatch is another process's view of a lease. It compares no clocks: the
// lease has ended once its version has not changed for the whole duration on
// the watcher's own clock.
type LeaseWatch struct {
	record  LeaseRecord
	version uint64
	seen    time.Time
}

// Observe records what a read returned. now is the time after the read.
func (w *LeaseWatch) Observe(now time.Time, r LeaseRecord, version uint64) {
	if version <= w.version {
		return
	}
	w.record, w.version, w.seen = r, version, now
}

// Expired reports whether the lease may be taken over, by an update that is
// conditional on the returned version.
func (w *LeaseWatch) Expired(now time.Time) (version uint64, ok bool) {
	return w.version, w.version > 0 && now.Sub(w.seen) >= w.record.Duration()+LeaseMargin
}

// FencingGuard admits orders by their fencing number at a sidecar, the only
// path to its engine. It refuses everything until it has learned the current
// number from the store, because a sidecar that has just started can't tell
// whether an order is outdated. It is safe for concurrent use.
type FencingGuard struct {
	mu      sync.Mutex
	known   bool
	highest uint64
}

// Learn records the number read from the store; 0 means that no lease exists.
func (g *FencingGuard) Learn(current uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = true
	g.highest = max(g.highest, current)
}

// Admit returns nil if an order with the given number may run. It returns
// ErrFencingUnknown before Learn, and ErrFencingStale for a lower number than
// the highest seen.
func (g *FencingGuard) Admit(fencing uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known {
		return ErrFencingUnknown
	}
	if fencing < g.highest {
		return fmt.Errorf("%w: %d, current is %d", ErrFencingStale, fencing, g.highest)
	}
	g.highest = fencing
	return nil
}

// Current returns the highest number seen, and false before Learn.
func (g *FencingGuard) Current() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest, g.known
}
