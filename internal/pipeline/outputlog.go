package pipeline

import (
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// ErrLogTruncated is returned when an output is no longer held because the
// log exceeded its byte budget.
var ErrLogTruncated = errors.New("pipeline: output log exceeded its byte budget")

// Output is what a stage produced for one position: an activation, or a token
// if the stage holds the model's last layer.
type Output struct {
	Activation   []byte
	Token        int
	Text         string
	End          bool
	PromptTokens int
	CachedTokens int
}

// outputOverheadBytes is the size of an Output without its contents.
const outputOverheadBytes = 96

// size returns the memory an output takes, in bytes.
func (o Output) size() int {
	return outputOverheadBytes + len(o.Activation) + len(o.Text)
}

// OutputLog keeps what a stage handed to its successor, so that a replacement
// of the successor can be fed again. It is not safe for concurrent use.
type OutputLog struct {
	limit     int
	bytes     int
	outputs   []Output
	truncated bool
}

// NewOutputLog returns a log that holds at most limit bytes.
func NewOutputLog(limit int) *OutputLog {
	return &OutputLog{limit: limit}
}

// Append stores the output of the next position. Once the budget is exceeded
// the log drops everything and stays truncated.
func (l *OutputLog) Append(output Output) {
	if l.truncated {
		return
	}
	if l.bytes+output.size() > l.limit {
		l.truncated = true
		l.outputs = nil
		l.bytes = 0
		return
	}
	l.outputs = append(l.outputs, output)
	l.bytes += output.size()
}

// From returns the outputs of position from and later. It returns
// ErrLogTruncated if they are no longer held.
func (l *OutputLog) From(from request.Position) ([]Output, error) {
	if l.truncated {
		return nil, ErrLogTruncated
	}
	if int(from) >= len(l.outputs) {
		return nil, nil
	}
	return l.outputs[from:], nil
}

// Bytes returns the number of bytes held.
func (l *OutputLog) Bytes() int { return l.bytes }
