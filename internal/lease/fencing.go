package lease

import (
	"errors"
	"fmt"
	"sync"
)

var (
	// ErrFencingStale is returned for an order with a fencing token lower than
	// the current one.
	ErrFencingStale = errors.New("lease: outdated fencing number")
	// ErrFencingUnknown is returned while the current fencing token is unknown.
	ErrFencingUnknown = errors.New("lease: fencing number not known yet")
)

// FencingGuard checks the fencing tokens of orders at a sidecar, through which
// all orders to its engine pass. It refuses every order until Observe is called
// with the token in the store, because a sidecar that has just started can't
// tell whether an order is outdated. It is safe for concurrent use.
type FencingGuard struct {
	// mu guards known and highestSeen.
	mu          sync.Mutex
	known       bool
	highestSeen uint64
}

// Observe records the fencing token read from the store. 0 means that the lease
// was never acquired.
func (g *FencingGuard) Observe(current uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = true
	g.highestSeen = max(g.highestSeen, current)
}

// Admit returns nil if an order with the given fencing token may run. It returns
// ErrFencingUnknown before the first call of Observe, and ErrFencingStale if the
// token is lower than the highest one seen.
func (g *FencingGuard) Admit(fencing uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known {
		return ErrFencingUnknown
	}
	if fencing < g.highestSeen {
		return fmt.Errorf("%w: %d, current is %d", ErrFencingStale, fencing, g.highestSeen)
	}
	g.highestSeen = fencing
	return nil
}

// Current returns the highest fencing token seen, and false before the first
// call of Observe.
func (g *FencingGuard) Current() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestSeen, g.known
}
