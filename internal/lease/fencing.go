package lease

import (
	"errors"
	"fmt"
	"sync"
)

var (
	// ErrFencingStale is returned for an order with a fencing number lower than
	// the current one.
	ErrFencingStale = errors.New("lease: outdated fencing number")
	// ErrFencingUnknown is returned while a sidecar doesn't know the current
	// fencing number.
	ErrFencingUnknown = errors.New("lease: fencing number not known yet")
)

// FencingGuard admits orders by their fencing number at a sidecar, the only
// path to its engine. It refuses everything until it has learned a number
// from the store, because a sidecar that has just started can't tell whether an
// order is outdated. It is safe for concurrent use.
type FencingGuard struct {
	mu      sync.Mutex
	known   bool
	highest uint64
}

// Observe records the number read from the store; 0 means that no lease exists.
func (g *FencingGuard) Observe(current uint64) {
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
