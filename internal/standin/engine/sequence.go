package engine

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	api "github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

func (s *Server) run(w *work) {
	for _, step := range w.steps {
		result, err := s.step(w, step)
		if err != nil {
			result = api.StepResult{Sequence: step.Sequence, Position: step.Position, Error: err.Error()}
		}
		w.results = append(w.results, result)
	}
}

// step runs one position. It deliberately accepts a position that already ran
// or that skips others, and counts it.
func (s *Server) step(w *work, step api.Step) (api.StepResult, error) {
	switch {
	case s.closed:
		return api.StepResult{}, errClosed
	case w.cancelled:
		return api.StepResult{}, errCancelled
	}
	length, values, err := s.input(step)
	if err != nil {
		return api.StepResult{}, err
	}
	q := s.sequences[step.Sequence]
	if q == nil {
		if step.Position > 0 {
			return api.StepResult{}, errUnknownSequence
		}
		q = &sequence{kv: make([]uint64, s.layers.Len())}
	}
	if s.config.KVLimit > 0 && s.kvUsed+len(values) > s.config.KVLimit {
		return api.StepResult{}, errKVFull
	}
	s.sequences[step.Sequence] = q
	first := step.Position == 0
	if first {
		q.length, q.promptTokens = length, len(values)
	}
	outputs, cached := s.runValues(q, values, first && q.next == 0)
	q.tokens += len(values)
	s.kvUsed += len(values)
	q.next = step.Position + 1
	s.ledger.ran(step.Sequence, step.Position, s.layers)

	result := api.StepResult{Sequence: step.Sequence, Position: step.Position, CachedTokens: cached}
	if first {
		result.PromptTokens = q.promptTokens
	}
	switch {
	case s.layers.To < s.config.ModelLayers:
		result.Activation = encodeActivation(first, q.length, outputs)
	case int(step.Position) >= q.length:
		result.Token, result.End = EndToken, true
	default:
		result.Token = textToken(outputs[len(outputs)-1])
		result.Text = TokenText(result.Token)
	}
	q.last = &result
	return result, nil
}

// input returns the values that enter the engine's first layer.
func (s *Server) input(step api.Step) (length int, values []uint64, err error) {
	first := step.Position == 0
	if s.layers.From > 0 {
		return decodeActivation(first, step.Activation)
	}
	tokens := []int{step.Token}
	if first {
		tokens = tokenize(step.Prompt)
		length = AnswerLength(s.config.Model, step.Prompt)
	}
	for _, token := range tokens {
		values = append(values, embed(s.seed, token))
	}
	return length, values, nil
}

// runValues passes values through the layers, skipping a cached prefix if
// cacheable, and returns all outputs and the number of skipped values.
func (s *Server) runValues(q *sequence, values []uint64, cacheable bool) (outputs []uint64, cached int) {
	var keys []uint64
	if cacheable {
		keys = prefixKeys(s.seed, values)
		for _, b := range s.cache.lookup(keys) {
			outputs = append(outputs, b.outputs...)
			copy(q.kv, b.kv)
		}
		cached = len(outputs)
	}
	for i, value := range values[cached:] {
		outputs = append(outputs, runLayers(s.seed, s.layers, value, q.kv))
		if n := cached + i + 1; n%cacheBlock == 0 && n/cacheBlock <= len(keys) {
			s.cache.store(keys[n/cacheBlock-1], q.kv, outputs[n-cacheBlock:])
		}
	}
	return outputs, cached
}

// Sequence returns the status of a sequence. ok is false if it is unknown.
func (s *Server) Sequence(id string) (status api.SequenceStatus, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status.Pending = s.pending[id]
	q := s.sequences[id]
	if q == nil {
		return status, status.Pending > 0
	}
	status.Next, status.Last = q.next, q.last
	return status, true
}

// Cancel ends a sequence. Its accepted steps that have not finished fail.
func (s *Server) Cancel(id string) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = s.sequences[id] != nil || s.pending[id] > 0
	s.remove(id)
	for _, w := range slices.Concat(s.queue, s.running) {
		w.cancelled = w.cancelled || w.sequence == id
	}
	return known
}

// kvImage is the exported form of a sequence.
type kvImage struct {
	Model        string              `cbor:"1,keyasint"`
	Layers       pipeline.LayerRange `cbor:"2,keyasint"`
	Next         request.Position    `cbor:"3,keyasint"`
	Last         *api.StepResult     `cbor:"4,keyasint"`
	KV           []uint64            `cbor:"5,keyasint"`
	Length       int                 `cbor:"6,keyasint"`
	PromptTokens int                 `cbor:"7,keyasint"`
	Tokens       int                 `cbor:"8,keyasint"`
}

// ExportKV returns the state of a sequence.
func (s *Server) ExportKV(id string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.sequences[id]
	if q == nil {
		return nil, errUnknownSequence
	}
	return cbor.Marshal(kvImage{s.config.Model, s.layers, q.next, q.last, q.kv, q.length, q.promptTokens, q.tokens})
}

// ImportKV creates or replaces a sequence from the bytes of ExportKV.
func (s *Server) ImportKV(id string, data []byte) error {
	var image kvImage
	if err := cbor.Unmarshal(data, &image); err != nil {
		return fmt.Errorf("decode kv cache: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if image.Model != s.config.Model || image.Layers != s.layers || len(image.KV) != s.layers.Len() {
		return errKVMismatch
	}
	s.remove(id)
	s.kvUsed += image.Tokens
	s.sequences[id] = &sequence{image.Next, image.Last, image.KV, image.Length, image.PromptTokens, image.Tokens}
	s.ledger.importedUpTo(id, image.Next)
	return nil
}

// Order obeys an order, or returns an error. A new role drops all sequences
// and the prefix cache.
func (s *Server) Order(o api.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.IgnoreFencing && o.Fencing < s.fencing {
		return errStaleFencing
	}
	switch {
	case o.Kind == api.OrderLoadVersion && o.Version != "":
		s.version = o.Version
	case o.Kind == api.OrderSetRole && o.Layers != nil && o.Layers.From >= 0 && o.Layers.Len() > 0 && o.Layers.To <= s.config.ModelLayers:
		s.layers = *o.Layers
		clear(s.sequences)
		s.kvUsed = 0
		s.cache.clear()
	default:
		return errOrder
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.orders = append(s.orders, o)
	return nil
}
