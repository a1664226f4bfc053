package revision

import (
	"cmp"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a change of a former era that counts as newer than one of a later era, and
// against an order that differs from the numbers within an era.
func TestErasOrderFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) (era, number uint64, r Revision) {
			era = rapid.Uint64Range(0, MaxEra).Draw(rt, name+" era")
			number = rapid.Uint64Range(0, maxNumber).Draw(rt, name+" number")
			r = New(era, number)
			assert.Equal(rt, r.Era(), era)
			assert.Equal(rt, r.Number(), number)
			return era, number, r
		}
		eraA, numberA, a := draw("a")
		eraB, numberB, b := draw("b")
		assert.Equal(rt, cmp.Compare(a, b), cmp.Or(cmp.Compare(eraA, eraB), cmp.Compare(numberA, numberB)))
	})
}

// Guards against a number that is too high and changes the era, and against an era that is
// too high and becomes a low one.
func TestValuesAreLimited(t *testing.T) {
	assert.Equal(t, New(3, math.MaxUint64), New(3, maxNumber))
	assert.Equal(t, New(math.MaxUint64, 5), New(MaxEra, 5))
	assert.Equal(t, New(0, 7), Revision(7))
}
