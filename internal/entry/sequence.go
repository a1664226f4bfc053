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
	// errAbandoned is returned when the caller left.
	errAbandoned = errors.New("entry: the caller left")
	// errSequenceFailed is returned when a stage reports a failure that no
	// other stage can repair.
	errSequenceFailed = errors.New("entry: sequence failed")
	// errExpired is returned when the deadline passed before a step ran.
	errExpired = errors.New("entry: the deadline passed in the queue")
	// errStageLost is returned when a stage was lost and can't be replaced.
	errStageLost = errors.New("entry: a stage was lost")
)

// chainRetry is the wait before a first chain is looked for again.
const chainRetry = 20 * time.Millisecond

// binding is a stage bound to the current attempt.
type binding struct {
	planner.Stage
	conn   peer.Sender
	next   request.Position
	opened bool
}

// sequenceEvent is a frame for a sequence, or the loss of a connection.
type sequenceEvent struct {
	conn  peer.Sender
	frame peer.Frame
}

// sequence drives one language-model request over a chain of stages. It is
// the only process that raises the attempt.
type sequence struct {
	peers   peer.Dialer
	chooser chooser
	random  *rand.Rand

	id           request.ID
	team         string
	model        string
	domains      planner.Domains
	prompt       string
	promptTokens int
	maxTokens    int
	priority     int
	firstToken   time.Duration
	deadline     time.Time
	noResume     bool
	star         bool

	attempt  request.Attempt
	chain    planner.Chain
	stages   []binding
	excluded []upstream.InstanceID
	answer   *request.Assembler
	tokens   []int
	// unresolved is true while a step is at a first stage that has not said
	// whether it ran; ran is true once an engine may have run a step.
	unresolved bool
	ran        bool
	ended      bool

	usedPromptTokens int
	// suspect marks an upstream as suspect; nil in tests.
	suspect  func(*upstream.Upstream)
	retries  *team.RetryBudget
	outliers *outliers
	trace    *trace
	meters   *meters
	log      *events.Logger
	// lastToken is when the latest token arrived, and lostAt when a stage was
	// lost since then; zero if none.
	lastToken time.Time
	lostAt    time.Time

	mu     sync.Mutex
	events []sequenceEvent
	notify chan struct{}
}

func (s *sequence) init() {
	s.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.answer = request.NewAssembler()
	s.notify = make(chan struct{}, 1)
}

// post hands an event to the sequence. It never blocks.
func (s *sequence) post(e sequenceEvent) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *sequence) takeEvents() []sequenceEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.events
	s.events = nil
	return events
}

// run drives the sequence to its end and calls deliver for each piece.
func (s *sequence) run(ctx context.Context, deliver func(request.Piece) error) error {
	defer s.release()
	if err := s.chooseChain(ctx); err != nil {
		return err
	}
	for {
		if err := s.bind(ctx); err != nil {
			return err
		}
		s.resume()
		lost, err := s.follow(ctx, deliver)
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
	patience := time.Now().Add(s.firstToken)
	for {
		decision, err := s.chooser.chain(s.random, s.planRequest())
		if err == nil {
			s.trace.chose(decision)
			s.setChain(decision.Chain)
			return nil
		}
		if time.Now().After(patience) {
			return err
		}
		select {
		case <-time.After(chainRetry):
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

// setChain installs a chain whose stages hold nothing yet.
func (s *sequence) setChain(chain planner.Chain) {
	s.chain = chain
	s.stages = nil
	chain.Acquire()
	for _, stage := range chain.Stages {
		s.stages = append(s.stages, binding{Stage: stage})
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
	s.unresolved = true
	// A failed send closes the connection, which arrives as an event.
	_ = s.stages[0].conn.Send(step)
}

// follow passes tokens on until the answer ends or a stage is lost. It
// returns the indexes of lost stages.
func (s *sequence) follow(ctx context.Context, deliver func(request.Piece) error) (map[int]string, error) {
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
		stall.progress()
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

func (s *sequence) handleEvent(e sequenceEvent, lost map[int]string, deliver func(request.Piece) error) error {
	i := s.stageOf(e.conn)
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

func (s *sequence) handleFailure(i int, f *peer.SequenceFailed, lost map[int]string) error {
	dropped := f.Reason == peer.FailedEngine || f.Reason == peer.FailedDeadline
	if i == 0 && dropped && !f.MayHaveRun {
		// The first stage dropped its only step, so nothing is left to run. A
		// report about the next stage says nothing about the step, which may
		// still be on its way.
		s.unresolved = false
	}
	switch f.Reason {
	case peer.FailedOutputLog:
		s.log.LogLimited(events.OutputLogExceeded).Str("request", string(s.id)).Str("upstream", string(s.stages[i].ID)).Send()
		return fmt.Errorf("%w: %s", errSequenceFailed, f.Detail)
	case peer.FailedDeadline:
		return errExpired
	}
	if f.Reason == peer.FailedEngine {
		s.outliers.failed(s.stages[i].Upstream)
	}
	if j := s.blame(i, f); j >= 0 {
		lost[j] = string(f.Reason) + ": " + f.Detail
	}
	return nil
}

func (s *sequence) handleToken(f *peer.Token, deliver func(request.Piece) error) error {
	if f.Position == 0 {
		s.usedPromptTokens = f.PromptTokens
	}
	ready, err := s.answer.Add(request.Piece{
		Position: f.Position, Token: f.Token, Text: f.Text, End: f.End, Count: f.TokenCount,
	})
	if err != nil {
		return err
	}
	for _, piece := range ready {
		s.ran = true
		s.observeToken(time.Now())
		s.tokens = append(s.tokens, piece.Token)
		s.ended = piece.End || len(s.tokens) >= s.maxTokens
		if !s.ended {
			// The next step leaves before the caller is served, so that a slow
			// caller does not delay the stages by more than one token.
			s.sendStep(request.Position(len(s.tokens)))
		}
		if err := deliver(piece); err != nil {
			return fmt.Errorf("%w: %w", errAbandoned, err)
		}
		if s.ended {
			return nil
		}
	}
	return nil
}

// release ends the sequence at all stages.
func (s *sequence) release() {
	for _, b := range s.stages {
		s.abandon(b)
	}
}

// mayHaveRun reports whether an engine may have run a step.
func (s *sequence) mayHaveRun() bool { return s.ran || s.unresolved }
