package pipeline

import (
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// ErrLogTruncated is returned when an output is no longer held because the
// logs exceeded their byte budget.
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

// LogBudget bounds the memory of all output logs of a process. It is not safe
// for concurrent use.
type LogBudget struct {
	limit int
	used  int
}

// NewLogBudget returns a budget of limit bytes.
func NewLogBudget(limit int) *LogBudget { return &LogBudget{limit: limit} }

// Used returns the bytes held by all logs.
func (b *LogBudget) Used() int { return b.used }

// OutputLog keeps what a stage handed to its successor, so that a replacement
// of the successor can be fed again. It is not safe for concurrent use.
type OutputLog struct {
	budget    *LogBudget
	bytes     int
	outputs   []Output
	truncated bool
}

// NewOutputLog returns an empty log that draws on budget.
func NewOutputLog(budget *LogBudget) *OutputLog {
	return &OutputLog{budget: budget}
}

// Append stores the output of the next position. A log that finds the budget
// used up drops everything and stays truncated, so that one sequence loses its
// resumption instead of every sequence being refused.
func (l *OutputLog) Append(output Output) {
	if l.truncated {
		return
	}
	size := output.size()
	if l.budget.used+size > l.budget.limit {
		l.Release()
		l.truncated = true
		return
	}
	l.outputs = append(l.outputs, output)
	l.bytes += size
	l.budget.used += size
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

// Release returns the log's memory to the budget.
func (l *OutputLog) Release() {
	l.budget.used -= l.bytes
	l.bytes = 0
	l.outputs = nil
}
