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

// fakeEntry records the frames sent to an entry. Send fails once closed is set.
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

// blockingDialer is a dialer without connections. Its dials block until proceed
// is closed, then succeed.
type blockingDialer struct{ proceed chan struct{} }

func (blockingDialer) Connection(string) peer.Sender { return nil }

func (d blockingDialer) Dial(context.Context, string) (peer.Sender, error) {
	<-d.proceed
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

// testStage runs test with a stage that holds the last layers of a model.
func testStage(t *testing.T, dialer peer.Dialer, test func(t *testing.T, s *Stage, e *recordingEngine)) {
	synctest.Test(t, func(t *testing.T) {
		e := &recordingEngine{}
		s := NewStage(dialer, e, upstream.Descriptor{Model: "m", ModelLayers: 4, Layers: testLayers}, StageOptions{
			MaxBatch: 4, MaxQueue: 16, MaxQueueTokens: 1024, OutputLogBytes: 1 << 20, Healthy: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		test(t, s, e)
	})
}

func openFrame(attempt int) *peer.OpenSequence {
	return &peer.OpenSequence{Request: "r", Attempt: request.Attempt(attempt), Model: "m", Layers: testLayers, DeadlineMillis: 600_000}
}

// Guards against running a pending step of an old attempt after a new attempt was
// bound: the step may come from a stage that was replaced.
func TestNewAttemptDropsPendingSteps(t *testing.T) {
	testStage(t, blockingDialer{}, func(t *testing.T, s *Stage, e *recordingEngine) {
		entry := &fakeEntry{}
		s.Open(entry, openFrame(1))
		s.HandleStep(&peer.Step{Request: "r", Attempt: 1, Position: 1, Activation: []byte("old 1")})
		s.Open(entry, openFrame(2))
		for p, input := range []string{"new 0", "new 1"} {
			s.HandleStep(&peer.Step{Request: "r", Attempt: 2, Position: request.Position(p), Activation: []byte(input)})
			synctest.Wait()
		}
		assert.DeepEqual(t, e.inputs, []string{"new 0", "new 1"})
	})
}

// Guards against a sequence that stays open until its deadline because the
// entry's connection was lost during the dial of the next stage.
func TestEntryLostDuringDial(t *testing.T) {
	dialer := blockingDialer{proceed: make(chan struct{})}
	testStage(t, dialer, func(t *testing.T, s *Stage, _ *recordingEngine) {
		entry, open := &fakeEntry{}, openFrame(1)
		open.Downstream = "next"
		s.Open(entry, open)
		entry.closed = true
		s.Disconnected(entry, "")
		close(dialer.proceed)
		synctest.Wait()
		time.Sleep(2 * orphanTimeout)
		s.RemoveExpired()
		assert.Equal(t, s.Len(), 0)
	})
}

// Guards against an old attempt that opens a closed sequence again. Frames of an
// old connection can be handled after frames of a newer one, so a close of a
// lower attempt may follow the close of a higher one.
func TestLateCloseKeepsHighestAttempt(t *testing.T) {
	testStage(t, blockingDialer{}, func(t *testing.T, s *Stage, _ *recordingEngine) {
		entry := &fakeEntry{}
		s.Open(entry, openFrame(3))
		s.Close(&peer.CloseSequence{Request: "r", Attempt: 3})
		s.Close(&peer.CloseSequence{Request: "r", Attempt: 1})
		s.Open(entry, openFrame(2))
		assert.Equal(t, s.Len(), 0)
		refused := slices.ContainsFunc(entry.frames, func(f peer.Frame) bool {
			o, ok := f.(*peer.SequenceOpened)
			return ok && o.Refused == peer.RefusedStaleAttempt
		})
		assert.Assert(t, refused)
	})
}

// Guards against failing a sequence whose output log was truncated although the
// receiver needs no output from it again.
func TestResumeNeedsLogOnlyForMissingOutputs(t *testing.T) {
	testStage(t, blockingDialer{}, func(t *testing.T, s *Stage, _ *recordingEngine) {
		s.logBudget = pipeline.NewLogBudget(0)
		entry := &fakeEntry{}
		for attempt := range request.Attempt(2) {
			s.Open(entry, &peer.OpenSequence{Request: "r", Attempt: attempt + 1, Model: "m", Layers: testLayers, DeadlineMillis: 1000})
			s.Resume(&peer.ResumeSequence{Request: "r", Attempt: attempt + 1, From: request.Position(attempt)})
			s.HandleStep(&peer.Step{Request: "r", Attempt: attempt + 1, Position: request.Position(attempt)})
			synctest.Wait()
		}
		for _, f := range entry.frames {
			_, failed := f.(*peer.SequenceFailed)
			assert.Assert(t, !failed, "%+v", f)
		}
		s.Resume(&peer.ResumeSequence{Request: "r", Attempt: 2, From: 0})
		last, failed := entry.frames[len(entry.frames)-1].(*peer.SequenceFailed)
		assert.Assert(t, failed && last.Reason == peer.FailedOutputLog)
	})
}
