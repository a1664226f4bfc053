package chain

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a path over an instance that claims to hold layers which the model does
// not have.
func TestClaimsOfOtherLayersAreNotUsed(t *testing.T) {
	for _, claim := range []testInstance{
		{"a0", "large", "a", 0, 81}, {"a0", "large", "a", -1, 20}, {"a0", "large", "a", math.MinInt, math.MaxInt},
	} {
		tracker := NewInstanceTracker()
		g, err := tracker.Choose(newView(append([]testInstance{claim}, twoChains...)...), testService(), Demand{Tokens: 100, Domain: "a"}, start)
		assert.NilError(t, err)
		assert.Assert(t, !g.Path.Uses("a0"), "%v", g.Path)
		_, err = NewInstanceTracker().Choose(newView(claim), testService(), Demand{Domain: "a"}, start)
		assert.ErrorIs(t, err, ErrNoInstance)
	}
}
