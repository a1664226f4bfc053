package request

import "errors"

// ErrBufferFull is returned when more pieces arrive ahead of a missing one than
// the assembler holds.
var ErrBufferFull = errors.New("request: too many early pieces")

// maxEarlyPieces bounds the pieces held while an earlier one is missing. A
// stage produces one token at a time, so more than a few mean a faulty peer.
const maxEarlyPieces = 64

// Piece is one token of an answer.
type Piece struct {
	Position Position
	Token    int
	Text     string
	// End marks the last piece; Count is then the number of pieces.
	End   bool
	Count int
}

// Assembler puts the pieces of one answer in order. Each position is passed on
// once, whatever is delayed, duplicated or reordered on the way.
type Assembler struct {
	next  Position
	early map[Position]Piece
	ended bool
}

// NewAssembler returns an Assembler that expects position 0 first.
func NewAssembler() *Assembler {
	return &Assembler{early: make(map[Position]Piece)}
}

// NextPosition returns the first position that has not been passed on.
func (a *Assembler) NextPosition() Position { return a.next }

// Add takes one piece and returns the pieces that are now in order. Duplicates
// and pieces after the end return none. It returns ErrTooEarly if the buffer
// is full.
func (a *Assembler) Add(p Piece) ([]Piece, error) {
	if a.ended || p.Position < a.next {
		return nil, nil
	}
	if p.Position > a.next {
		if len(a.early) >= maxEarlyPieces {
			return nil, ErrBufferFull
		}
		a.early[p.Position] = p
		return nil, nil
	}
	var ready []Piece
	for ok := true; ok && !a.ended; p, ok = a.early[a.next] {
		delete(a.early, p.Position)
		ready = append(ready, p)
		a.next++
		a.ended = p.End
	}
	return ready, nil
}

// Complete reports whether the answer has ended and holds as many pieces as
// its end says.
func (a *Assembler) Complete(count int) bool {
	return a.ended && int(a.next) == count
}
