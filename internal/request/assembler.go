package request

import "errors"

// ErrBufferFull is returned by Assembler.Add when the buffer for pieces whose
// predecessors are missing is full.
var ErrBufferFull = errors.New("request: too many early pieces")

// maxPendingPieces bounds the buffered pieces while an earlier piece is missing.
// A stage produces one token at a time, so that few pieces are buffered in normal
// operation. A peer that exceeds the limit is faulty.
const maxPendingPieces = 64

// Piece is one token of a response.
type Piece struct {
	Position Position
	Token    int
	Text     string
	// End marks the last piece. Count is then the number of pieces.
	End   bool
	Count int
}

// Assembler puts the pieces of one response in order. It returns each piece
// exactly once, even if pieces are delayed, duplicated or reordered in transit.
type Assembler struct {
	nextPosition Position
	pending      map[Position]Piece
	endReached   bool
}

// NewAssembler returns an Assembler that expects position 0 first.
func NewAssembler() *Assembler {
	return &Assembler{pending: make(map[Position]Piece)}
}

// NextPosition returns the first position that has not been returned by Add.
func (a *Assembler) NextPosition() Position { return a.nextPosition }

// Add adds one piece and returns the pieces that are now in order. For a
// piece that was returned before and for any piece after the end, it returns none.
// It returns ErrBufferFull if the predecessor of the piece is missing and the
// buffer is full, also for a duplicate of a buffered piece.
func (a *Assembler) Add(p Piece) ([]Piece, error) {
	if a.endReached || p.Position < a.nextPosition {
		return nil, nil
	}
	if p.Position > a.nextPosition {
		if len(a.pending) >= maxPendingPieces {
			return nil, ErrBufferFull
		}
		a.pending[p.Position] = p
		return nil, nil
	}
	var ready []Piece
	for ok := true; ok && !a.endReached; p, ok = a.pending[a.nextPosition] {
		delete(a.pending, p.Position)
		ready = append(ready, p)
		a.nextPosition++
		a.endReached = p.End
	}
	return ready, nil
}

// Complete reports whether the end of the response was returned and the response
// has count pieces.
func (a *Assembler) Complete(count int) bool {
	return a.endReached && int(a.nextPosition) == count
}
