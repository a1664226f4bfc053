package engine

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	api "github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// runGroup runs the steps of a group in order.
func (s *Server) runGroup(g *stepGroup) {
	for _, step := range g.steps {
		result, err := s.runStep(g, step)
		if err != nil {
			result = api.StepResult{Sequence: step.Sequence, Position: step.Position, Error: err.Error()}
		}
		g.results = append(g.results, result)
	}
}

// runStep runs one position. It does not refuse a position that has already run or
// that skips other positions, so that the run counters show such faults.
func (s *Server) runStep(g *stepGroup, step api.Step) (api.StepResult, error) {
	switch {
	case s.closed:
		return api.StepResult{}, errClosed
	case g.cancelled:
		return api.StepResult{}, errCancelled
	}
	length, values, err := s.inputValues(step)
	if err != nil {
		return api.StepResult{}, err
	}
	seq := s.sequences[step.Sequence]
	if seq == nil {
		if step.Position > 0 {
			return api.StepResult{}, errUnknownSequence
		}
		seq = &sequence{kv: make([]uint64, s.layers.Len())}
	}
	if s.config.KVLimit > 0 && s.kvUsed+len(values) > s.config.KVLimit {
		return api.StepResult{}, errKVFull
	}
	s.sequences[step.Sequence] = seq
	first := step.Position == 0
	if first {
		seq.answerLength, seq.promptTokens = length, len(values)
	}
	outputs, cached := s.runValues(seq, values, first && seq.next == 0)
	seq.kvTokens += len(values)
	s.kvUsed += len(values)
	seq.next = step.Position + 1
	s.runs.recordRun(step.Sequence, step.Position, s.layers)

	result := api.StepResult{Sequence: step.Sequence, Position: step.Position, CachedTokens: cached}
	if first {
		result.PromptTokens = seq.promptTokens
	}
	switch {
	case s.layers.To < s.config.ModelLayers:
		result.Activation = encodeActivation(first, seq.answerLength, outputs)
	case int(step.Position) >= seq.answerLength:
		result.Token, result.End = EndToken, true
	default:
		result.Token = textToken(outputs[len(outputs)-1])
		result.Text = TokenText(result.Token)
	}
	seq.lastResult = &result
	return result, nil
}

// inputValues returns the input values of the engine's first layer and, for position
// 0, the answer length.
func (s *Server) inputValues(step api.Step) (length int, values []uint64, err error) {
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

// runValues passes values through the layers and returns all outputs. If cacheable,
// it takes the outputs of a cached prefix from the cache; cached is the number of
// these values.
func (s *Server) runValues(seq *sequence, values []uint64, cacheable bool) (outputs []uint64, cached int) {
	var keys []uint64
	if cacheable {
		keys = prefixKeys(s.seed, values)
		for _, b := range s.cache.lookup(keys) {
			outputs = append(outputs, b.outputs...)
			copy(seq.kv, b.kv)
		}
		cached = len(outputs)
	}
	for i, value := range values[cached:] {
		outputs = append(outputs, runLayers(s.seed, s.layers, value, seq.kv))
		if n := cached + i + 1; n%cacheBlock == 0 && n/cacheBlock <= len(keys) {
			s.cache.store(keys[n/cacheBlock-1], seq.kv, outputs[n-cacheBlock:])
		}
	}
	return outputs, cached
}

// Sequence returns the status of a sequence. ok is false if the sequence is unknown.
func (s *Server) Sequence(id string) (status api.SequenceStatus, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status.Pending = s.pending[id]
	seq := s.sequences[id]
	if seq == nil {
		return status, status.Pending > 0
	}
	status.Next, status.Last = seq.next, seq.lastResult
	return status, true
}

// Cancel removes a sequence. Its queued and running steps fail. known is false if the
// sequence has neither state nor steps.
func (s *Server) Cancel(id string) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = s.sequences[id] != nil || s.pending[id] > 0
	s.removeSequence(id)
	for _, g := range slices.Concat(s.queue, s.running) {
		g.cancelled = g.cancelled || g.sequence == id
	}
	return known
}

// exportedSequence is the CBOR encoding of an exported sequence.
type exportedSequence struct {
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
	seq := s.sequences[id]
	if seq == nil {
		return nil, errUnknownSequence
	}
	return cbor.Marshal(exportedSequence{s.config.Model, s.layers, seq.next, seq.lastResult, seq.kv, seq.answerLength, seq.promptTokens, seq.kvTokens})
}

// ImportKV creates or replaces a sequence from the bytes of ExportKV.
func (s *Server) ImportKV(id string, data []byte) error {
	var exported exportedSequence
	if err := cbor.Unmarshal(data, &exported); err != nil {
		return fmt.Errorf("decode kv cache: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if exported.Model != s.config.Model || exported.Layers != s.layers || len(exported.KV) != s.layers.Len() {
		return errKVMismatch
	}
	s.removeSequence(id)
	s.kvUsed += exported.Tokens
	s.sequences[id] = &sequence{exported.Next, exported.Last, exported.KV, exported.Length, exported.PromptTokens, exported.Tokens}
	s.runs.recordImport(id, exported.Next)
	return nil
}

// Order executes an order. A change of role removes all sequences and clears the
// prefix cache.
func (s *Server) Order(o api.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.IgnoreFencing && o.Fencing < s.fencing {
		return errStaleFencing
	}
	switch {
	case o.Kind == api.OrderLoadVersion && o.Version != "":
		s.version = o.Version
	case o.Kind == api.OrderSetLayers && o.Layers != nil && o.Layers.From >= 0 && o.Layers.Len() > 0 && o.Layers.To <= s.config.ModelLayers:
		s.layers = *o.Layers
		clear(s.sequences)
		s.kvUsed = 0
		s.cache.clear()
	default:
		return errInvalidOrder
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.orders = append(s.orders, o)
	return nil
}
