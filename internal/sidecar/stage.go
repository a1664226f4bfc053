package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// maxPendingSteps bounds the steps of one sequence that wait for an
	// earlier one. A replacement stage receives a whole log at once.
	maxPendingSteps = 1 << 16
	// orphanTimeout is how long a sequence outlives the connection of its entry,
	// so that an entry that was paused or cut off briefly can bind it again.
	orphanTimeout = 3 * time.Second
	// closedRetention is how long the id of a closed sequence is remembered, so
	// that a late OpenSequence of an old attempt can't open it again.
	closedRetention = 2 * time.Minute
	// dialTimeout bounds the connection to the next stage.
	dialTimeout = time.Second
)

// sequence is one request's state at this stage.
type sequence struct {
	open     peer.OpenSequence
	entry    peer.Sender
	cursor   pipeline.Cursor
	log      *pipeline.OutputLog
	pending  map[request.Position]*peer.Step
	engineID string
	deadline time.Time
	// orphanedAt is when the entry's connection ended, or zero.
	orphanedAt time.Time
}

// Stage runs the sequences of one engine. It owns their cursors and output
// logs.
type Stage struct {
	dialer    peer.Dialer
	scheduler *scheduler
	logBudget *pipeline.LogBudget
	now       func() time.Time
	// healthy reports whether the engine answers.
	healthy   func() bool
	onRefused func(peer.RefusalReason)
	// stepwiseReplay runs the steps of a replayed log one by one.
	stepwiseReplay bool

	mu              sync.Mutex
	sequences       map[request.ID]*sequence
	closedSequences map[request.ID]closedSequence
	// draining refuses sequences that the stage does not hold yet.
	draining bool
	// paused refuses them for the time of an order to the engine.
	paused bool
}

// closedSequence remembers a sequence that ended.
type closedSequence struct {
	attempt  request.Attempt
	closedAt time.Time
}

// StageOptions configure a Stage. Options describes the fields with the same
// names.
type StageOptions struct {
	MaxBatch       int
	MaxQueue       int
	MaxQueueTokens int
	OutputLogBytes int
	FIFO           bool
	StepwiseReplay bool
	// Healthy reports whether the engine answers.
	Healthy func() bool
	// OnRefused is called when a new sequence is refused; nil means no call.
	OnRefused func(peer.RefusalReason)
	// RequestProbe is called after a call that the engine did not answer.
	RequestProbe func()
}

// NewStage returns a Stage that runs steps on the engine that desc describes.
// It serves once Run is called.
func NewStage(dialer peer.Dialer, engineClient Engine, desc upstream.Descriptor, options StageOptions) *Stage {
	s := newScheduler(engineClient, desc, schedulerLimits{batch: options.MaxBatch, items: options.MaxQueue, tokens: options.MaxQueueTokens})
	stage := &Stage{
		dialer:          dialer,
		scheduler:       s,
		logBudget:       pipeline.NewLogBudget(options.OutputLogBytes),
		now:             time.Now,
		healthy:         options.Healthy,
		stepwiseReplay:  options.StepwiseReplay,
		onRefused:       options.OnRefused,
		sequences:       make(map[request.ID]*sequence),
		closedSequences: make(map[request.ID]closedSequence),
	}
	s.fifo = options.FIFO
	s.requestProbe = options.RequestProbe
	s.onFinished = stage.finishItem
	s.onFailed = stage.failItem
	return stage
}

// Run feeds the engine until ctx ends.
func (s *Stage) Run(ctx context.Context) { s.scheduler.Run(ctx) }

// Open binds the stage to an attempt and answers with the cursor, after the
// connection to the next stage stands. A sequence that the stage holds is
// accepted even while the upstream is leaving.
func (s *Stage) Open(entry peer.Sender, open *peer.OpenSequence) {
	if open.Downstream == "" || s.dialer.Connection(open.Downstream) != nil {
		s.bind(entry, open)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if _, err := s.dialer.Dial(ctx, open.Downstream); err != nil {
			_ = entry.Send(&peer.SequenceFailed{
				Request: open.Request, Attempt: open.Attempt,
				Reason: peer.FailedDownstream, Downstream: open.Downstream, Detail: err.Error(),
			})
			return
		}
		s.bind(entry, open)
	}()
}

func (s *Stage) bind(entry peer.Sender, open *peer.OpenSequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opened := &peer.SequenceOpened{Request: open.Request, Attempt: open.Attempt}
	seq, reason := s.bindLocked(entry, open)
	opened.Refused = reason
	if reason != "" && s.onRefused != nil {
		s.onRefused(reason)
	}
	if seq != nil {
		opened.Next = seq.cursor.Next()
	}
	if err := entry.Send(opened); err != nil && seq != nil {
		// The connection ended while the next stage was dialed, so Disconnected
		// has already run for it.
		seq.orphanedAt = s.now()
	}
}

func (s *Stage) bindLocked(entry peer.Sender, open *peer.OpenSequence) (*sequence, peer.RefusalReason) {
	seq := s.sequences[open.Request]
	if seq == nil {
		if closed, ok := s.closedSequences[open.Request]; ok && open.Attempt <= closed.attempt {
			return nil, peer.RefusedStaleAttempt
		}
		if s.draining {
			return nil, peer.RefusedLeaving
		}
		if s.paused || !s.healthy() {
			return nil, peer.RefusedUnavailable
		}
		if reason := s.scheduler.admit(open); reason != "" {
			return nil, reason
		}
		seq = s.newSequence(open)
	}
	if open.Attempt > seq.cursor.Attempt() {
		// Steps that wait may come from a stage that the new attempt replaced.
		// The stage before this one sends them again.
		clear(seq.pending)
	}
	if err := seq.cursor.Bind(open.Attempt); err != nil {
		return nil, peer.RefusedStaleAttempt
	}
	seq.open = *open
	seq.entry = entry
	seq.orphanedAt = time.Time{}
	return seq, ""
}

func (s *Stage) newSequence(open *peer.OpenSequence) *sequence {
	seq := &sequence{
		log:      pipeline.NewOutputLog(s.logBudget),
		pending:  make(map[request.Position]*peer.Step),
		engineID: engineSequenceID(open.Request, open.Attempt),
		deadline: s.now().Add(time.Duration(open.DeadlineMillis) * time.Millisecond),
	}
	s.sequences[open.Request] = seq
	return seq
}

// Resume sends the outputs from a position again, after a new attempt has
// been bound.
func (s *Stage) Resume(r *peer.ResumeSequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.sequences[r.Request]
	if seq == nil || seq.cursor.Attempt() != r.Attempt || r.From >= seq.cursor.Next() {
		return
	}
	outputs, err := seq.log.From(r.From)
	if err != nil {
		s.reportFailure(seq, peer.FailedLog, err.Error())
		return
	}
	for i, output := range outputs {
		s.sendOutput(seq, r.From+request.Position(i), output)
	}
}

// HandleStep takes the input of one position.
func (s *Stage) HandleStep(step *peer.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.sequences[step.Request]
	if seq == nil {
		return
	}
	switch seq.cursor.Classify(step.Attempt, step.Position) {
	case pipeline.StepReady:
		s.startSteps(seq, step)
	case pipeline.StepEarly:
		if len(seq.pending) < maxPendingSteps {
			seq.pending[step.Position] = step
		}
	case pipeline.StepDone:
		if outputs, err := seq.log.From(step.Position); err == nil && len(outputs) > 0 {
			s.sendOutput(seq, step.Position, outputs[0])
		}
	case pipeline.StepRunning, pipeline.StepStale:
	}
}

// startSteps hands the next step, and those that wait right behind it, to the
// scheduler. The caller holds s.mu.
func (s *Stage) startSteps(seq *sequence, step *peer.Step) {
	steps := []*peer.Step{step}
	for next, ok := seq.pending[step.Position+1]; ok && !s.stepwiseReplay; next, ok = seq.pending[next.Position+1] {
		delete(seq.pending, next.Position)
		steps = append(steps, next)
	}
	seq.cursor.Start(len(steps))
	w := &workItem{
		request: step.Request, team: seq.open.Team, priority: seq.open.Priority, deadline: seq.deadline,
		continues: step.Position > 0, promptTokens: step.PromptTokens, cachedTokens: step.CachedTokens,
	}
	w.due = s.dueTime(seq, step.Position)
	for _, st := range steps {
		w.cost += stepCost(seq.open.PromptTokens, st.Position)
		w.steps = append(w.steps, engine.Step{
			Sequence: seq.engineID, Position: st.Position, Priority: seq.open.Priority,
			Prompt: st.Prompt, Token: st.Token, Activation: st.Activation,
		})
	}
	s.scheduler.push(w)
}

// dueTime returns when a step should be served to meet the request's targets.
func (s *Stage) dueTime(seq *sequence, position request.Position) time.Time {
	if position > 0 {
		return s.now().Add(decodeStepTarget)
	}
	return s.now().Add(time.Duration(seq.open.FirstTokenMillis) * time.Millisecond / firstTokenDivisor)
}

// finishItem is called by the scheduler with the results of a work item.
func (s *Stage) finishItem(w *workItem, results []engine.StepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.sequenceForItem(w)
	if seq == nil {
		return
	}
	for _, result := range results {
		output := pipeline.Output{
			Activation: result.Activation, Token: result.Token, Text: result.Text, End: result.End,
			PromptTokens: max(result.PromptTokens, w.promptTokens),
			CachedTokens: max(result.CachedTokens, w.cachedTokens),
		}
		position := seq.cursor.Next()
		seq.cursor.Finish()
		seq.log.Append(output)
		s.sendOutput(seq, position, output)
	}
	if next, ok := seq.pending[seq.cursor.Next()]; ok {
		delete(seq.pending, seq.cursor.Next())
		s.startSteps(seq, next)
	}
}

// sequenceForItem returns the sequence that a work item belongs to, or nil if it
// ended or was opened anew. The caller holds s.mu.
func (s *Stage) sequenceForItem(w *workItem) *sequence {
	seq := s.sequences[w.request]
	if seq == nil || seq.engineID != w.steps[0].Sequence {
		return nil
	}
	return seq
}

// failItem is called by the scheduler for a step that can't be run.
func (s *Stage) failItem(w *workItem, reason peer.FailureReason, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.sequenceForItem(w)
	if seq == nil {
		return
	}
	if !w.dispatched {
		seq.cursor.Abort()
	}
	s.reportFailure(seq, reason, detail)
	// The engine may have run the step, so this stage can't run it again.
	s.closedSequences[w.request] = closedSequence{attempt: seq.cursor.Attempt(), closedAt: s.now()}
	s.removeLocked(w.request)
}

// sendOutput sends an output under the current attempt to the next stage, or
// to the entry. The caller holds s.mu, which keeps outputs in order.
func (s *Stage) sendOutput(seq *sequence, position request.Position, output pipeline.Output) {
	attempt := seq.cursor.Attempt()
	if seq.open.Layers.To == s.scheduler.descriptor().ModelLayers {
		_ = seq.entry.Send(tokenFrame(seq.open.Request, attempt, position, output))
		return
	}
	step := &peer.Step{
		Request: seq.open.Request, Attempt: attempt, Position: position, Activation: output.Activation,
		PromptTokens: output.PromptTokens, CachedTokens: output.CachedTokens,
	}
	if seq.open.Downstream == "" {
		_ = seq.entry.Send(step)
		return
	}
	conn := s.dialer.Connection(seq.open.Downstream)
	if conn == nil || conn.Send(step) != nil {
		s.reportFailure(seq, peer.FailedDownstream, "connection lost")
	}
}

func tokenFrame(id request.ID, attempt request.Attempt, position request.Position, output pipeline.Output) *peer.Token {
	token := &peer.Token{
		Request: id, Attempt: attempt, Position: position, Token: output.Token, Text: output.Text,
		End: output.End, PromptTokens: output.PromptTokens, CachedTokens: output.CachedTokens,
	}
	if output.End {
		token.Count = int(position) + 1
	}
	return token
}

// reportFailure tells the entry that the sequence can't go on here. The
// caller holds s.mu.
func (s *Stage) reportFailure(seq *sequence, reason peer.FailureReason, detail string) {
	_ = seq.entry.Send(&peer.SequenceFailed{
		Request: seq.open.Request, Attempt: seq.cursor.Attempt(), Reason: reason,
		Ran: seq.cursor.Next() > 0 || seq.cursor.Running() > 0, Downstream: seq.open.Downstream, Detail: detail,
	})
}

// Close ends a sequence unless it is bound to a higher attempt.
func (s *Stage) Close(closeFrame *peer.CloseSequence) {
	s.mu.Lock()
	seq := s.sequences[closeFrame.Request]
	if seq != nil && seq.cursor.Attempt() > closeFrame.Attempt {
		s.mu.Unlock()
		return
	}
	// Frames of an earlier connection may be handled after those of a later one.
	highest := max(closeFrame.Attempt, s.closedSequences[closeFrame.Request].attempt)
	s.closedSequences[closeFrame.Request] = closedSequence{attempt: highest, closedAt: s.now()}
	s.removeLocked(closeFrame.Request)
	s.mu.Unlock()
}

// removeLocked drops a sequence and frees its KV cache. The caller holds s.mu.
func (s *Stage) removeLocked(id request.ID) {
	seq := s.sequences[id]
	if seq == nil {
		return
	}
	delete(s.sequences, id)
	seq.log.Release()
	s.scheduler.removeWaiting(id)
	s.scheduler.cancel(seq.engineID)
}

// Disconnected handles the end of a connection: sequences of an entry become
// orphans, and sequences whose next stage is lost are reported.
func (s *Stage) Disconnected(c peer.Sender, dialedAddress string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range s.sequences {
		if seq.entry == c {
			seq.orphanedAt = s.now()
		}
		if dialedAddress != "" && seq.open.Downstream == dialedAddress {
			s.reportFailure(seq, peer.FailedDownstream, "connection lost")
		}
	}
}

// Drain refuses sequences that the stage does not hold yet.
func (s *Stage) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetPaused refuses sequences that the stage does not hold yet while an order to
// the engine is under way.
func (s *Stage) SetPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// RemoveExpired removes orphans, sequences past their deadline, and old memories of
// closed sequences.
func (s *Stage) RemoveExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, seq := range s.sequences {
		orphan := !seq.orphanedAt.IsZero() && now.Sub(seq.orphanedAt) > orphanTimeout
		if orphan || now.After(seq.deadline.Add(orphanTimeout)) {
			s.removeLocked(id)
		}
	}
	for id, closed := range s.closedSequences {
		if now.Sub(closed.closedAt) > closedRetention {
			delete(s.closedSequences, id)
		}
	}
}

// Len returns the number of open sequences.
func (s *Stage) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sequences)
}
