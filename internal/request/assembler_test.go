package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost, duplicate or reordered tokens when frames are delayed,
// duplicated and reordered.
func TestAssemblerDeliversEachPieceOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "pieces")
		frames := make([]int, 0, 2*n)
		for i := range n {
			frames = append(frames, i)
			if rapid.Bool().Draw(t, "duplicate") {
				frames = append(frames, i)
			}
		}
		frames = rapid.Permutation(frames).Draw(t, "order")
		a := NewAssembler()
		var got []Position
		for _, i := range frames {
			ready, err := a.Add(Piece{Position: Position(i), End: i == n-1, Count: n})
			assert.NilError(t, err)
			for _, p := range ready {
				got = append(got, p.Position)
			}
		}
		assert.Equal(t, len(got), n)
		for i, p := range got {
			assert.Equal(t, p, Position(i))
		}
		assert.Assert(t, a.Complete(n))
		assert.Assert(t, !a.Complete(n+1))
	})
}

// Guards against unbounded memory use when a peer sends many positions ahead of a
// missing one.
func TestAssemblerBoundsPendingPieces(t *testing.T) {
	a := NewAssembler()
	for i := 1; i <= maxPendingPieces; i++ {
		_, err := a.Add(Piece{Position: Position(i)})
		assert.NilError(t, err)
	}
	_, err := a.Add(Piece{Position: maxPendingPieces + 1})
	assert.ErrorIs(t, err, ErrBufferFull)
}
