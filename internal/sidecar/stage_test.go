package sidecar

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// fakeEntry is the entry's end of a connection.
type fakeEntry struct {
	frames []peer.Frame
	closed bool
}

func (e *fakeEntry) Send(f peer.Frame) error {
	if e.closed {
		return peer.ErrClosed
	}
	e.frames = append(e.frames, f)
	return nil
}

// fakeNext is a dialer whose dials end when answer is closed.
type fakeNext struct{ answer chan struct{} }

func (fakeNext) Connection(string) peer.Sender { return nil }

func (n fakeNext) Dial(context.Context, string) (peer.Sender, error) {
	<-n.answer
	return &fakeEntry{}, nil
}

// recordingEngine records the inputs of the steps that it runs.
type recordingEngine struct {
	Engine
	inputs []string
}

func (e *recordingEngine) Cancel(context.Context, string) error { return nil }

func (e *recordingEngine) Batch(_ context.Context, b engine.BatchRequest) (engine.BatchResponse, error) {
	var r engine.BatchResponse
	for _, s := range b.Steps {
		e.inputs = append(e.inputs, string(s.Activation))
		r.Results = append(r.Results, engine.StepResult{Sequence: s.Sequence, Position: s.Position})
	}
	return r, nil
}

var testLayers = pipeline.LayerRange{From: 2, To: 4}

// withStage runs f with a stage of the last layers of a model.
func withStage(t *testing.T, peers peer.Dialer, f func(t *testing.T, s *Stage, e *recordingEngine)) {
	synctest.Test(t, func(t *testing.T) {
		e := &recordingEngine{}
		s := NewStage(peers, e, upstream.Descriptor{Model: "m", ModelLayers: 4, Layers: testLayers}, StageOptions{
			MaxBatch: 4, MaxQueue: 16, MaxQueueTokens: 1024, OutputLogBytes: 1 << 20, Healthy: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		f(t, s, e)
	})
}

func open(a int) *peer.OpenSequence {
	return &peer.OpenSequence{Request: "r", Attempt: request.Attempt(a), Model: "m", Layers: testLayers, DeadlineMillis: 600_000}
}

// Guards against a stage that runs a step which a replaced stage sent ahead.
func TestNewAttemptDropsWaitingSteps(t *testing.T) {
	withStage(t, fakeNext{}, func(t *testing.T, s *Stage, e *recordingEngine) {
		entry := &fakeEntry{}
		s.Open(entry, open(1))
		s.Step(&peer.Step{Request: "r", Attempt: 1, Position: 1, Activation: []byte("old 1")})
		s.Open(entry, open(2))
		for p, input := range []string{"new 0", "new 1"} {
			s.Step(&peer.Step{Request: "r", Attempt: 2, Position: request.Position(p), Activation: []byte(input)})
			synctest.Wait()
		}
		assert.DeepEqual(t, e.inputs, []string{"new 0", "new 1"})
	})
}

// Guards against a sequence that stays open until its deadline because its
// entry was lost while the next stage was dialed.
func TestEntryLostDuringDial(t *testing.T) {
	next := fakeNext{answer: make(chan struct{})}
	withStage(t, next, func(t *testing.T, s *Stage, _ *recordingEngine) {
		entry, o := &fakeEntry{}, open(1)
		o.Downstream = "next"
		s.Open(entry, o)
		entry.closed = true
		s.Disconnected(entry, "")
		close(next.answer)
		synctest.Wait()
		time.Sleep(2 * orphanGrace)
		s.Sweep()
		assert.Equal(t, s.Len(), 0)
	})
}

// Guards against an old attempt that opens a closed sequence again, when
// frames of an earlier connection are handled after those of a later one.
func TestLateCloseKeepsHighestAttempt(t *testing.T) {
	withStage(t, fakeNext{}, func(t *testing.T, s *Stage, _ *recordingEngine) {
		entry := &fakeEntry{}
		s.Open(entry, open(3))
		s.Close(&peer.CloseSequence{Request: "r", Attempt: 3})
		s.Close(&peer.CloseSequence{Request: "r", Attempt: 1})
		s.Open(entry, open(2))
		assert.Equal(t, s.Len(), 0)
		refused := slices.ContainsFunc(entry.frames, func(f peer.Frame) bool {
			o, ok := f.(*peer.SequenceOpened)
			return ok && o.Refused == peer.RefusedStaleAttempt
		})
		assert.Assert(t, refused)
	})
}

// Guards against a sequence that ends because a log was given up of which the
// next receiver needs nothing.
func TestResumeNeedsTheLogOnlyForMissingOutputs(t *testing.T) {
	withStage(t, fakeNext{}, func(t *testing.T, s *Stage, _ *recordingEngine) {
		s.logs = pipeline.NewLogBudget(0)
		entry := &fakeEntry{}
		for attempt := range request.Attempt(2) {
			s.Open(entry, &peer.OpenSequence{Request: "r", Attempt: attempt + 1, Model: "m", Layers: testLayers, DeadlineMillis: 1000})
			s.Resume(&peer.ResumeSequence{Request: "r", Attempt: attempt + 1, From: request.Position(attempt)})
			s.Step(&peer.Step{Request: "r", Attempt: attempt + 1, Position: request.Position(attempt)})
			synctest.Wait()
		}
		for _, f := range entry.frames {
			_, failed := f.(*peer.SequenceFailed)
			assert.Assert(t, !failed, "%+v", f)
		}
		s.Resume(&peer.ResumeSequence{Request: "r", Attempt: 2, From: 0})
		last, failed := entry.frames[len(entry.frames)-1].(*peer.SequenceFailed)
		assert.Assert(t, failed && last.Reason == peer.FailedLog)
	})
}
