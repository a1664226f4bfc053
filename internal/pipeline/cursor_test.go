package pipeline

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Guards against a step that runs twice or out of order when frames are
// duplicated, reordered, or belong to a previous attempt.
func TestCursorRunsEachPositionOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Cursor
		var ran []request.Position
		highest := request.Attempt(0)
		for range rapid.IntRange(1, 200).Draw(t, "frames") {
			attempt := request.Attempt(rapid.IntRange(0, 5).Draw(t, "attempt"))
			if rapid.Bool().Draw(t, "bind") {
				err := c.Bind(attempt)
				assert.Equal(t, err != nil, attempt < highest)
				highest = max(highest, attempt)
				continue
			}
			position := request.Position(rapid.IntRange(0, 20).Draw(t, "position"))
			if c.Running() > 0 && rapid.Bool().Draw(t, "finish") {
				c.Finish()
			}
			if c.Classify(attempt, position) == StepReady {
				assert.Equal(t, attempt, highest)
				n := rapid.IntRange(1, 3).Draw(t, "run together")
				for i := range n {
					ran = append(ran, position+request.Position(i))
				}
				c.Start(n)
			}
		}
		for i, p := range ran {
			assert.Equal(t, p, request.Position(i))
		}
	})
}

// Guards against chains that omit, repeat or reorder layers.
func TestValidateChain(t *testing.T) {
	tests := []struct {
		name   string
		ranges []LayerRange
		ok     bool
	}{
		{"three stages", []LayerRange{{0, 10}, {10, 20}, {20, 30}}, true},
		{"gap", []LayerRange{{0, 10}, {11, 30}}, false},
		{"overlap", []LayerRange{{0, 10}, {9, 30}}, false},
		{"last layers missing", []LayerRange{{0, 10}}, false},
		{"empty stage", []LayerRange{{0, 10}, {10, 10}, {10, 30}}, false},
		{"no stage", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := ValidateChain(30, tt.ranges)
			assert.Equal(t, err == nil, tt.ok)
			assert.Assert(t, tt.ok || errors.Is(err, ErrLayerCoverage))
		})
	}
}

// Guards against a replay from a log that lost outputs, and against logs that
// together exceed the budget or never return memory to it.
func TestOutputLogBudget(t *testing.T) {
	budget := NewLogBudget(2 * (outputOverheadBytes + 4))
	log, other := NewOutputLog(budget), NewOutputLog(budget)
	log.Append(Output{Activation: []byte("abcd")})
	log.Append(Output{Activation: []byte("efgh")})
	outputs, err := log.From(1)
	assert.NilError(t, err)
	assert.Equal(t, string(outputs[0].Activation), "efgh")
	other.Append(Output{Activation: []byte("i")})
	_, err = other.From(0)
	assert.ErrorIs(t, err, ErrLogTruncated)
	log.Release()
	assert.Equal(t, budget.Used(), 0)
}
