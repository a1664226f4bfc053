// Package pipeline implements the layer ranges, cursors and output logs that are
// needed to run a model as a chain of stages.
package pipeline

import (
	"errors"
	"fmt"
)

// ErrLayerCoverage is returned by ValidateChain if the ranges do not cover every
// layer exactly once and in order.
var ErrLayerCoverage = errors.New("pipeline: layer ranges do not cover the model exactly once")

// LayerRange is the half-open range [From, To) of model layers.
type LayerRange struct {
	From int `cbor:"1,keyasint" json:"from"`
	To   int `cbor:"2,keyasint" json:"to"`
}

// Len returns the number of layers in r.
func (r LayerRange) Len() int { return r.To - r.From }

// String formats r as "[from,to)".
func (r LayerRange) String() string { return fmt.Sprintf("[%d,%d)", r.From, r.To) }

// ValidateChain returns ErrLayerCoverage unless the ranges, in order, cover the
// layers 0 to layers-1 exactly once.
func ValidateChain(layers int, ranges []LayerRange) error {
	next := 0
	for _, r := range ranges {
		if r.From != next || r.Len() <= 0 {
			return fmt.Errorf("%w: %s after layer %d", ErrLayerCoverage, r, next)
		}
		next = r.To
	}
	if next != layers {
		return fmt.Errorf("%w: %d of %d layers", ErrLayerCoverage, next, layers)
	}
	return nil
}
