package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// newTestSequence returns a sequence whose random source is seeded with seed.
func newTestSequence(dialer peer.Dialer, c chooser, id request.ID, deadline time.Time, directory *upstream.Directory, seed uint64) *sequence {
	s := &sequence{
		dialer: dialer, chooser: c, id: id, team: string(id), model: "m", prompt: "p", estimatedPromptTokens: 1, maxTokens: 4,
		firstTokenTarget: 10 * time.Second, deadline: deadline, retries: team.NewRetryBudgets(),
		outliers: newOutliers(directory, events.Nop()), metrics: newMetrics(tally.NoopScope), log: events.Nop(),
		trace: newTraces().start(id, string(id), ""),
	}
	s.init()
	s.random = rand.New(rand.NewPCG(seed, 0))
	return s
}

// script is a chooser and a peer.Dialer of scripted stages: a, then b1 or b2.
type script struct {
	*sequence
	stages         map[string]*scriptedStage
	hasReplacement bool // b2 may replace b1
}

// scriptedStage is the sequence's connection to a scripted stage. respond
// returns the response to a frame, or nil.
type scriptedStage struct {
	*script
	stage   planner.Stage
	frames  []peer.Frame
	respond func(f peer.Frame) peer.Frame
}

func (s *scriptedStage) Send(f peer.Frame) error {
	s.frames = append(s.frames, f)
	if r := s.respond(f); r != nil {
		s.postEvent(sequenceEvent{conn: s, frame: r})
	}
	return nil
}

// closed reports whether the stage has received CloseSequence.
func (s *scriptedStage) closed() bool {
	return slices.ContainsFunc(s.frames, func(f peer.Frame) bool { return f.Type() == peer.TypeCloseSequence })
}

// acceptOpen accepts OpenSequence and ignores other frames.
func acceptOpen(f peer.Frame) peer.Frame {
	if o, ok := f.(*peer.OpenSequence); ok {
		return &peer.SequenceOpened{Request: o.Request, Attempt: o.Attempt}
	}
	return nil
}

func (s *script) Connection(address string) peer.Sender { return s.stages[address] }

func (s *script) Dial(context.Context, string) (peer.Sender, error) { return nil, peer.ErrUnreachable }

func (s *script) chain(*rand.Rand, planner.Request) (planner.Decision, error) {
	return planner.Decision{Chain: planner.Chain{Stages: []planner.Stage{s.stages["a"].stage, s.stages["b1"].stage}}}, nil
}

func (s *script) replace(_ *rand.Rand, c planner.Chain, i int, _ planner.Request) ([]planner.Stage, error) {
	if !s.hasReplacement || c.Stages[i].ID != "b1" {
		return nil, planner.ErrNoChain
	}
	return []planner.Stage{s.stages["b2"].stage}, nil
}

func newScript() *script {
	s := &script{stages: make(map[string]*scriptedStage)}
	directory := upstream.NewDirectory(upstream.DirectoryConfig{})
	for id, layers := range map[string]pipeline.LayerRange{"a": {From: 0, To: 1}, "b1": {From: 1, To: 2}, "b2": {From: 1, To: 2}} {
		u, _ := directory.Register(time.Now(), upstream.Registration{ID: upstream.InstanceID(id), Process: id, Address: id,
			Descriptor: upstream.Descriptor{Kind: upstream.KindEngine, Model: "m", ModelLayers: 2, Layers: layers}})
		s.stages[id] = &scriptedStage{script: s, stage: newStage(u), respond: acceptOpen}
	}
	s.sequence = newTestSequence(s, s, "r", time.Now().Add(time.Hour), directory, 1)
	return s
}

// runFor runs the sequence until its caller leaves after d.
func (s *script) runFor(t *testing.T, d time.Duration) request.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	err := s.run(ctx, func(request.Piece) error { return errors.New("unexpected token") })
	return s.chatResult(err).Outcome
}

// Guards against a stage that keeps a sequence until its deadline, because the
// caller left while the sequence waited to be opened there again.
func TestCloseReachesStageAwaitingReopen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript()
		s.stages["b1"].respond = func(peer.Frame) peer.Frame { return nil }
		s.runFor(t, openTimeout+rebindDelay/2)
		assert.Assert(t, s.stages["a"].closed())
		assert.Assert(t, s.stages["b1"].closed())
	})
}

// Guards against a request wrongly reported as not run: the first stage reports
// that it can't reach the next stage before it has received the step, which it
// may still run.
func TestFailureBeforeStepIsNotReportedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript()
		s.stages["a"].respond = func(f peer.Frame) peer.Frame {
			if step, ok := f.(*peer.Step); ok {
				return &peer.SequenceFailed{Request: step.Request, Attempt: step.Attempt, Reason: peer.FailedDownstream, Downstream: "b1"}
			}
			return acceptOpen(f)
		}
		assert.Equal(t, s.runFor(t, rebindDelay/2), request.OutcomeFailed)
	})
}

// Guards against the replacement of a working stage, and a wait of 1.5 s, when
// that stage can't reach the next one while the sequence is opened.
func TestOnlyUnreachableStageIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript()
		s.hasReplacement = true
		s.stages["a"].respond = func(f peer.Frame) peer.Frame {
			if o, ok := f.(*peer.OpenSequence); ok && o.Downstream == "b1" {
				return &peer.SequenceFailed{Request: o.Request, Attempt: o.Attempt, Reason: peer.FailedDownstream, Downstream: "b1"}
			}
			return acceptOpen(f)
		}
		s.runFor(t, openTimeout/2)
		// The chain with b2 is bound and its first step was sent. The last
		// frame is CloseSequence.
		step, ok := s.stages["a"].frames[len(s.stages["a"].frames)-2].(*peer.Step)
		assert.Assert(t, ok, "%T", s.stages["a"].frames)
		assert.Equal(t, step.Attempt, request.Attempt(2))
	})
}
