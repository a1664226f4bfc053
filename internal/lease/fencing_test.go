package lease

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against admitting orders with an outdated fencing token, or before the
// current token is known.
func TestFencingGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g FencingGuard
		assert.ErrorIs(t, g.Admit(math.MaxUint64), ErrFencingUnknown)
		highest := rapid.Uint64Range(0, 9).Draw(t, "current")
		g.Observe(highest)
		for range 20 {
			n := rapid.Uint64Range(0, 9).Draw(t, "token")
			if err := g.Admit(n); n < highest {
				assert.ErrorIs(t, err, ErrFencingStale)
			} else {
				assert.NilError(t, err)
				highest = n
			}
		}
	})
}
