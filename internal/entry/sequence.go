package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
)

const (
	// openTimeout bounds the answers to OpenSequence.
	openTimeout = 1500 * time.Millisecond
	// rebindPause is the wait before a chain is tried again when no other
	// upstream is left.
	rebindPause = 100 * time.Millisecond
	// freeReplacements is the number of times that lost stages are replaced
	// without drawing on the team's retry budget.
	freeReplacements = 2
	// chainRetry is the wait before a chain is looked for again.
	chainRetry = 20 * time.Millisecond
)

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
	retries          *team.RetryBudget
	outliers         *outliers
	trace            *trace
	meters           *meters
	log              *events.Logger
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
		if err := s.resume(); err != nil {
			return err
		}
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
		Exclude: planner.Exclude{Upstreams: s.excluded},
	}
}

// errStageLost is returned when a stage was lost and can't be replaced.
var errStageLost = errors.New("entry: a stage was lost")

// setChain installs a chain whose stages hold nothing yet.
func (s *sequence) setChain(chain planner.Chain) {
	s.chain = chain
	s.stages = nil
	chain.Acquire()
	for _, stage := range chain.Stages {
		s.stages = append(s.stages, binding{Stage: stage})
	}
}

// bind opens the sequence at every stage under a new attempt. Stages that
// refuse or can't be reached are replaced.
func (s *sequence) bind(ctx context.Context) error {
	for {
		s.attempt++
		lost := s.openAll(ctx)
		if len(lost) == 0 {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := s.replaceLost(ctx, lost); err != nil {
			return err
		}
	}
}

// openAll sends OpenSequence to all stages and waits for the answers. It
// returns the indexes of the stages that are lost.
func (s *sequence) openAll(ctx context.Context) map[int]string {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	lost := s.dialAll(ctx)
	for i := range s.stages {
		b := &s.stages[i]
		b.opened = false
		if _, bad := lost[i]; bad {
			continue
		}
		if err := b.conn.Send(s.openFrame(i)); err != nil {
			lost[i] = err.Error()
		}
	}
	for !s.allAnswered(lost) {
		select {
		case <-s.notify:
			s.handleOpenEvents(lost)
		case <-ctx.Done():
			s.markUnanswered(lost)
			return lost
		}
	}
	return lost
}

// dialAll connects to all stages at once.
func (s *sequence) dialAll(ctx context.Context) map[int]string {
	lost := make(map[int]string)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range s.stages {
		b := &s.stages[i]
		if b.conn = s.peers.Connection(b.Address); b.conn != nil {
			continue
		}
		wg.Go(func() {
			conn, err := s.peers.Dial(ctx, b.Address)
			mu.Lock()
			defer mu.Unlock()
			b.conn = conn
			if err != nil {
				lost[i] = err.Error()
			}
		})
	}
	wg.Wait()
	return lost
}

func (s *sequence) openFrame(i int) *peer.OpenSequence {
	b := s.stages[i]
	open := &peer.OpenSequence{
		Request: s.id, Attempt: s.attempt, Team: s.team, Priority: s.priority,
		DeadlineMillis:   time.Until(s.deadline).Milliseconds(),
		FirstTokenMillis: s.firstToken.Milliseconds(),
		Model:            s.model, Layers: b.Layers, PromptTokens: s.promptTokens,
	}
	if !s.star && i+1 < len(s.stages) {
		open.Downstream = s.stages[i+1].Address
	}
	return open
}

func (s *sequence) allAnswered(lost map[int]string) bool {
	for i := range s.stages {
		if _, bad := lost[i]; !bad && !s.stages[i].opened {
			return false
		}
	}
	return true
}

func (s *sequence) markUnanswered(lost map[int]string) {
	for i := range s.stages {
		if _, bad := lost[i]; !bad && !s.stages[i].opened {
			lost[i] = "no answer to open"
		}
	}
}

func (s *sequence) handleOpenEvents(lost map[int]string) {
	for _, e := range s.takeEvents() {
		i := s.stageOf(e.conn)
		if i < 0 {
			continue
		}
		switch f := e.frame.(type) {
		case *peer.SequenceOpened:
			if f.Attempt != s.attempt {
				continue
			}
			if f.Refused != "" {
				lost[i] = "refused: " + string(f.Refused)
				continue
			}
			s.stages[i].next = f.Next
			s.stages[i].opened = true
		case *peer.SequenceFailed:
			if j := s.blame(i, f); f.Attempt == s.attempt && j >= 0 {
				lost[j] = string(f.Reason) + ": " + f.Detail
				// A stage that reports the next one has answered. It is opened
				// again with the replacement.
				s.stages[i].opened = true
			}
		case nil:
			lost[i] = "connection lost"
		}
	}
}

// stageOf returns the index of the stage behind conn, or -1.
func (s *sequence) stageOf(conn peer.Sender) int {
	for i := range s.stages {
		if s.stages[i].conn == conn {
			return i
		}
	}
	return -1
}

// blame returns the index of the stage that a report says is lost.
func (s *sequence) blame(sender int, f *peer.SequenceFailed) int {
	if f.Reason != peer.FailedDownstream {
		return sender
	}
	for i := range s.stages {
		if s.stages[i].Address == f.Downstream {
			return i
		}
	}
	return -1
}

// resume has every stage send what its successor has not run yet, then feeds
// the first stage from the entry's own log.
func (s *sequence) resume() error {
	if s.attempt > 1 {
		for i := range s.stages {
			from := s.answer.Next()
			if i+1 < len(s.stages) {
				from = s.stages[i+1].next
			}
			_ = s.stages[i].conn.Send(&peer.ResumeSequence{Request: s.id, Attempt: s.attempt, From: from})
		}
	}
	for p := s.stages[0].next; int(p) <= len(s.tokens); p++ {
		s.sendStep(p)
	}
	return nil
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
	for {
		select {
		case <-s.notify:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
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

// errSequenceFailed is returned when a stage reports a failure that no other
// stage can repair.
var errSequenceFailed = errors.New("entry: sequence failed")

// errExpired is returned when the deadline passed before a step ran.
var errExpired = errors.New("entry: the deadline passed in the queue")

func (s *sequence) handleFailure(i int, f *peer.SequenceFailed, lost map[int]string) error {
	dropped := f.Reason == peer.FailedEngine || f.Reason == peer.FailedDeadline
	if i == 0 && dropped && !f.Ran {
		// The first stage dropped its only step, so nothing is left to run. A
		// report about the next stage says nothing about the step, which may
		// still be on its way.
		s.unresolved = false
	}
	switch f.Reason {
	case peer.FailedLog:
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
		Position: f.Position, Token: f.Token, Text: f.Text, End: f.End, Count: f.Count,
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

// replaceLost puts replacements in the place of lost stages. A stage without
// another upstream is tried again after a pause; it keeps its cursor if it is
// alive, and starts anew otherwise.
func (s *sequence) replaceLost(ctx context.Context, lost map[int]string) error {
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
	for _, i := range slices.Sorted(maps.Keys(lost)) {
		s.trace.add(s.attempt, traceLost, fmt.Sprintf("%s: %s", s.stages[i].ID, lost[i]))
		s.excluded = append(s.excluded, s.stages[i].ID)
		if i == 0 && s.unresolved {
			s.ran = true
		}
	}
	stages := make([]binding, 0, len(s.stages))
	exhausted := false
	for i, b := range s.stages {
		if _, bad := lost[i]; !bad {
			stages = append(stages, b)
			continue
		}
		replacements, err := s.chooser.replace(s.random, s.chain, i, s.planRequest())
		if err != nil {
			exhausted = true
			// The connection is kept, so that the stage is told if the sequence
			// ends before it is opened again.
			stages = append(stages, binding{Stage: b.Stage, conn: b.conn})
			continue
		}
		s.abandon(b)
		for _, r := range replacements {
			s.stageReplaced(b.ID, r.ID, lost[i])
			r.Upstream.Acquire()
			stages = append(stages, binding{Stage: r})
		}
	}
	s.stages = stages
	s.chain.Stages = nil
	for _, b := range stages {
		s.chain.Stages = append(s.chain.Stages, b.Stage)
	}
	if exhausted {
		return s.waitForUpstream(ctx)
	}
	return s.backOff(ctx)
}

// backOff delays and limits repeated replacements. The first freeReplacements
// of a sequence are immediate and not counted, because the loss of one upstream
// hits many sequences at once and each of their callers is waiting.
func (s *sequence) backOff(ctx context.Context) error {
	repeated := int(s.attempt) - freeReplacements
	if repeated <= 0 {
		return nil
	}
	delay, err := s.retries.Retry(time.Now(), s.deadline, s.random, s.team, repeated)
	if err != nil {
		logRetryBudget(s.log, s.team, err)
		return fmt.Errorf("%w: %w", errStageLost, err)
	}
	pause(ctx, delay)
	return ctx.Err()
}

// waitForUpstream pauses when every upstream that could take over has been
// tried, and forgets which ones were.
func (s *sequence) waitForUpstream(ctx context.Context) error {
	s.excluded = nil
	select {
	case <-time.After(rebindPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abandon tells a lost stage to stop working for the sequence.
func (s *sequence) abandon(b binding) {
	b.Upstream.Release()
	if b.conn != nil {
		_ = b.conn.Send(&peer.CloseSequence{Request: s.id, Attempt: s.attempt})
	}
}

// release ends the sequence at all stages.
func (s *sequence) release() {
	for _, b := range s.stages {
		s.abandon(b)
	}
}

// mayHaveRun reports whether an engine may have run a step.
func (s *sequence) mayHaveRun() bool { return s.ran || s.unresolved }
