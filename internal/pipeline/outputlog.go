package pipeline

import (
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// ErrLogTruncated is returned if outputs are no longer available because the logs
// exceeded their byte budget.
var ErrLogTruncated = errors.New("pipeline: output log exceeded its byte budget")

// Output is the result of a stage for one position: an activation, or a token if
// the stage holds the model's last layer.
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

// size returns the memory used by an output, in bytes.
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

// Used returns the number of bytes used by all logs.
func (b *LogBudget) Used() int { return b.used }

// OutputLog keeps the outputs that a stage sent to the next stage, so that they can
// be replayed to a replacement of the next stage. It is not safe for concurrent
// use.
type OutputLog struct {
	budget    *LogBudget
	bytes     int
	outputs   []Output
	truncated bool
}

// NewOutputLog returns an empty log that takes its memory from budget.
func NewOutputLog(budget *LogBudget) *OutputLog {
	return &OutputLog{budget: budget}
}

// Append stores the output of the next position. If the budget is exhausted, the
// log deletes all its outputs and stays truncated, so that one sequence can't be
// resumed instead of all further sequences being refused.
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

// From returns the outputs of position from and later. It returns ErrLogTruncated
// if the log is truncated.
func (l *OutputLog) From(from request.Position) ([]Output, error) {
	if l.truncated {
		return nil, ErrLogTruncated
	}
	if int(from) >= len(l.outputs) {
		return nil, nil
	}
	return l.outputs[from:], nil
}

// Release deletes the outputs and returns their memory to the budget.
func (l *OutputLog) Release() {
	l.budget.used -= l.bytes
	l.bytes = 0
	l.outputs = nil
}
