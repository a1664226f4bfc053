package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Errors of a sequence.
var (
	// errCallerLeft is returned when the caller has left.
	errCallerLeft = errors.New("entry: the caller left")
	// errSequenceFailed is returned when a stage reports a failure that
	// replacing a stage can't repair.
	errSequenceFailed = errors.New("entry: sequence failed")
	// errDeadlinePassed is returned when the deadline passed before a step ran.
	errDeadlinePassed = errors.New("entry: the deadline passed in the queue")
	// errStageLost is returned when a stage was lost and can't be replaced.
	errStageLost = errors.New("entry: a stage was lost")
)

// chainRetryInterval is the delay before the first chain is chosen again after
// a failure.
const chainRetryInterval = 20 * time.Millisecond

// stageBinding is a stage of the current chain with its connection. nextPosition
// is the first position that the stage has not run; opened is true once the
// stage has answered OpenSequence of the current attempt.
type stageBinding struct {
	planner.Stage
	conn         peer.Sender
	nextPosition request.Position
	opened       bool
}

// sequenceEvent is a frame for a sequence, or the loss of a connection if frame
// is nil.
type sequenceEvent struct {
	conn  peer.Sender
	frame peer.Frame
}

// sequence drives one language-model request over a chain of stages. Only the
// sequence increments the attempt.
type sequence struct {
	dialer  peer.Dialer
	chooser chooser
	random  *rand.Rand

	id                    request.ID
	team                  string
	model                 string
	domains               planner.Domains
	prompt                string
	estimatedPromptTokens int
	maxTokens             int
	priority              int
	firstTokenTarget      time.Duration
	deadline              time.Time
	noResume              bool
	starForwarding        bool

	attempt request.Attempt
	chain   planner.Chain
	stages  []stageBinding
	// excluded holds the upstreams that must not be chosen.
	excluded []upstream.InstanceID
	answer   *request.Assembler
	tokens   []int
	// stepUnresolved is true once a step was sent to the first stage, until that
	// stage reports that it dropped the step without running it; mayHaveRunStep
	// is true once an engine may have run a step.
	stepUnresolved bool
	mayHaveRunStep bool
	ended          bool

	countedPromptTokens int
	// markSuspect marks an upstream as suspect; nil in tests.
	markSuspect func(*upstream.Upstream)
	retries     *team.RetryBudgets
	outliers    *outliers
	trace       *trace
	metrics     *metrics
	log         *events.Logger
	// lastTokenAt is when the latest token arrived; stageLostAt is when a stage
	// was lost since then. Zero if none.
	lastTokenAt time.Time
	stageLostAt time.Time

	// mu guards events.
	mu     sync.Mutex
	events []sequenceEvent
	// notify is signalled when an event was queued.
	notify chan struct{}
}

func (s *sequence) init() {
	s.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.answer = request.NewAssembler()
	s.notify = make(chan struct{}, 1)
}

// postEvent queues an event for the sequence. It never blocks.
func (s *sequence) postEvent(e sequenceEvent) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// takeEvents returns the queued events and removes them from the queue.
func (s *sequence) takeEvents() []sequenceEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.events
	s.events = nil
	return events
}

// run drives the sequence to its end and calls deliver for each piece of the
// answer.
func (s *sequence) run(ctx context.Context, deliver func(request.Piece) error) error {
	defer s.closeStages()
	if err := s.chooseChain(ctx); err != nil {
		return err
	}
	for {
		if err := s.bind(ctx); err != nil {
			return err
		}
		s.resume()
		lost, err := s.relayTokens(ctx, deliver)
		if err != nil || s.ended {
			return err
		}
		if s.noResume && s.mayHaveRun() {
			return fmt.Errorf("%w: the profile forbids resuming", errStageLost)
		}
		if err := s.replaceLost(ctx, lost); err != nil {
			return err
		}
	}
}

// chooseChain chooses the first chain. If none is usable, it waits for one
// until the target time to the first token has passed.
func (s *sequence) chooseChain(ctx context.Context) error {
	waitUntil := time.Now().Add(s.firstTokenTarget)
	for {
		decision, err := s.chooser.chain(s.random, s.planRequest())
		if err == nil {
			s.trace.setDecision(decision)
			s.setChain(decision.Chain)
			return nil
		}
		if time.Now().After(waitUntil) {
			return err
		}
		select {
		case <-time.After(chainRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *sequence) planRequest() planner.Request {
	return planner.Request{
		Model: s.model, Domains: s.domains, Prefix: planner.PrefixKey(s.prompt),
		Exclude: planner.Exclusions{Upstreams: s.excluded},
	}
}

// setChain installs a chain whose stages have not opened the sequence yet.
func (s *sequence) setChain(chain planner.Chain) {
	s.chain = chain
	s.stages = nil
	chain.Acquire()
	for _, stage := range chain.Stages {
		s.stages = append(s.stages, stageBinding{Stage: stage})
	}
}

// sendStep sends the input of one position to the first stage.
func (s *sequence) sendStep(p request.Position) {
	step := &peer.Step{Request: s.id, Attempt: s.attempt, Position: p}
	if p == 0 {
		step.Prompt = s.prompt
	} else {
		step.Token = s.tokens[p-1]
	}
	s.stepUnresolved = true
	// A failed send closes the connection, which arrives as an event.
	_ = s.stages[0].conn.Send(step)
}

// relayTokens delivers tokens until the answer ends or a stage is lost. It
// returns the lost stages by index, with the reason.
func (s *sequence) relayTokens(ctx context.Context, deliver func(request.Piece) error) (map[int]string, error) {
	stall := newStallTimer()
	defer stall.stop()
	for {
		select {
		case <-s.notify:
		case <-stall.timer.C:
			if lost := s.checkStall(stall); len(lost) > 0 {
				return lost, nil
			}
			continue
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		stall.reset()
		lost := make(map[int]string)
		for _, e := range s.takeEvents() {
			if err := s.handleEvent(e, lost, deliver); err != nil {
				return nil, err
			}
		}
		if s.ended || len(lost) > 0 {
			return lost, nil
		}
	}
}

// handleEvent handles one event after the sequence was opened. It adds lost stages
// to lost, with the reason.
func (s *sequence) handleEvent(e sequenceEvent, lost map[int]string, deliver func(request.Piece) error) error {
	i := s.stageIndex(e.conn)
	if i < 0 || s.ended {
		return nil
	}
	switch f := e.frame.(type) {
	case *peer.Token:
		if f.Attempt != s.attempt {
			return nil
		}
		return s.handleToken(f, deliver)
	case *peer.Step:
		if f.Attempt == s.attempt && i+1 < len(s.stages) {
			_ = s.stages[i+1].conn.Send(f)
		}
	case *peer.SequenceFailed:
		if f.Attempt != s.attempt {
			return nil
		}
		return s.handleFailure(i, f, lost)
	case nil:
		lost[i] = "connection lost"
	}
	return nil
}

// handleFailure handles a failure that the stage at index i reports. It adds the
// failed stage to lost, or returns an error if the sequence can't continue.
func (s *sequence) handleFailure(i int, f *peer.SequenceFailed, lost map[int]string) error {
	stepDropped := f.Reason == peer.FailedEngine || f.Reason == peer.FailedDeadline
	if i == 0 && stepDropped && !f.MayHaveRun {
		// The first stage dropped its only step, so no step is left to run. A
		// report about the next stage does not tell whether the step runs,
		// because the step may still be in transit.
		s.stepUnresolved = false
	}
	switch f.Reason {
	case peer.FailedOutputLog:
		s.log.LogRateLimited(events.OutputLogExceeded).Str("request", string(s.id)).Str("upstream", string(s.stages[i].ID)).Send()
		return fmt.Errorf("%w: %s", errSequenceFailed, f.Detail)
	case peer.FailedDeadline:
		return errDeadlinePassed
	}
	if f.Reason == peer.FailedEngine {
		s.outliers.recordFailure(s.stages[i].Upstream)
	}
	if j := s.failedStageIndex(i, f); j >= 0 {
		lost[j] = string(f.Reason) + ": " + f.Detail
	}
	return nil
}

// handleToken adds a token to the answer, sends the next step and delivers the
// pieces of the answer that are now complete.
func (s *sequence) handleToken(f *peer.Token, deliver func(request.Piece) error) error {
	if f.Position == 0 {
		s.countedPromptTokens = f.PromptTokens
	}
	ready, err := s.answer.Add(request.Piece{
		Position: f.Position, Token: f.Token, Text: f.Text, End: f.End, Count: f.TokenCount,
	})
	if err != nil {
		return err
	}
	for _, piece := range ready {
		s.mayHaveRunStep = true
		s.recordToken(time.Now())
		s.tokens = append(s.tokens, piece.Token)
		s.ended = piece.End || len(s.tokens) >= s.maxTokens
		if !s.ended {
			// The next step is sent before the piece is delivered, so that a
			// slow caller does not delay the stages by more than one token.
			s.sendStep(request.Position(len(s.tokens)))
		}
		if err := deliver(piece); err != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, err)
		}
		if s.ended {
			return nil
		}
	}
	return nil
}

// closeStages closes the sequence at all stages.
func (s *sequence) closeStages() {
	for _, b := range s.stages {
		s.closeStage(b)
	}
}

// mayHaveRun reports whether an engine may have run a step.
func (s *sequence) mayHaveRun() bool { return s.mayHaveRunStep || s.stepUnresolved }
