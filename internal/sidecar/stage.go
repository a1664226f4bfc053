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
	// maxPendingSteps bounds the steps of one sequence that wait for an earlier
	// step. It is large because a replacement stage receives all steps of an
	// output log at once.
	maxPendingSteps = 1 << 16
	// orphanTimeout is how long a sequence is kept after its entry's connection
	// was lost, so that an entry that was paused or disconnected briefly can
	// bind it again. It also delays the removal of sequences past their deadline.
	orphanTimeout = 3 * time.Second
	// closedRetention is how long the ID of a closed sequence is kept, so that a
	// delayed OpenSequence frame of an old attempt can't open it again.
	closedRetention = 2 * time.Minute
	// dialTimeout bounds a dial to the next stage.
	dialTimeout = time.Second
)

// sequence is the state of one sequence at this stage.
type sequence struct {
	// open is the OpenSequence frame of the current attempt, and entry the
	// connection that it arrived on.
	open   peer.OpenSequence
	entry  peer.Sender
	cursor pipeline.Cursor
	log    *pipeline.OutputLog
	// pending holds the steps that arrived before an earlier step, by position.
	pending map[request.Position]*peer.Step
	// engineID is the ID of the sequence at the engine (see engineSequenceID).
	engineID string
	deadline time.Time
	// orphanedAt is the time at which the entry's connection was lost; zero while
	// the entry is connected.
	orphanedAt time.Time
}

// Stage runs the sequences of one engine and holds their cursors and output
// logs.
type Stage struct {
	dialer    peer.Dialer
	scheduler *scheduler
	logBudget *pipeline.LogBudget
	now       func() time.Time
	// healthy reports whether the engine answers.
	healthy   func() bool
	onRefused func(peer.RefusalReason)
	// stepwiseReplay runs the steps of a replayed output log one by one.
	stepwiseReplay bool

	// mu guards the fields below and the sequences in them.
	mu              sync.Mutex
	sequences       map[request.ID]*sequence
	closedSequences map[request.ID]closedSequence
	// draining and paused make the stage refuse sequences that it doesn't hold
	// yet. draining is set when the sidecar begins to drain, and paused while an
	// order to the engine is in progress.
	draining bool
	paused   bool
}

// closedSequence holds the highest attempt of a closed sequence and the time at
// which it was closed.
type closedSequence struct {
	attempt  request.Attempt
	closedAt time.Time
}

// StageOptions configure a Stage. Fields that are also in Options have the
// meaning described there.
type StageOptions struct {
	MaxBatch       int
	MaxQueue       int
	MaxQueueTokens int
	OutputLogBytes int
	FIFO           bool
	StepwiseReplay bool
	// Healthy reports whether the engine answers.
	Healthy func() bool
	// OnRefused, if not nil, is called when a new sequence is refused.
	OnRefused func(peer.RefusalReason)
	// RequestProbe requests a health check of the engine. It is called when an
	// engine call fails or is slow.
	RequestProbe func()
}

// NewStage returns a Stage that runs steps on the engine that desc describes.
// Steps are sent to the engine while Run runs.
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

// Run sends steps to the engine until ctx ends.
func (s *Stage) Run(ctx context.Context) { s.scheduler.Run(ctx) }

// Open binds a sequence to an attempt and sends the entry the sequence's next
// position. If there is no connection to the next stage, Open dials it first. A
// sequence that the stage already holds is accepted even while the upstream is
// leaving.
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

// bind binds a sequence to an attempt and sends the entry the answer to its
// OpenSequence.
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
		opened.NextPosition = seq.cursor.Next()
	}
	if err := entry.Send(opened); err != nil && seq != nil {
		// The entry's connection was lost during the dial of the next stage.
		// Disconnected has already run for it and didn't mark this sequence.
		seq.orphanedAt = s.now()
	}
}

// bindLocked returns the sequence, or the reason why it is refused. The caller
// holds s.mu.
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
		// Pending steps may come from a stage that the new attempt replaced.
		// The previous stage of the new chain sends them again.
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

// Resume sends the outputs from a position on again after a new attempt was
// bound.
func (s *Stage) Resume(r *peer.ResumeSequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.sequences[r.Request]
	if seq == nil || seq.cursor.Attempt() != r.Attempt || r.From >= seq.cursor.Next() {
		return
	}
	outputs, err := seq.log.From(r.From)
	if err != nil {
		s.reportFailure(seq, peer.FailedOutputLog, err.Error())
		return
	}
	for i, output := range outputs {
		s.sendOutput(seq, r.From+request.Position(i), output)
	}
}

// HandleStep handles the input of one position: it starts the step, keeps it
// until earlier steps have arrived, or sends the output again if it already ran.
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

// startSteps queues the next step, and the pending steps that directly follow
// it, as one work item. The caller holds s.mu.
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

// dueTime returns the time by which a step should be served to meet the
// request's latency targets.
func (s *Stage) dueTime(seq *sequence, position request.Position) time.Time {
	if position > 0 {
		return s.now().Add(decodeStepTarget)
	}
	return s.now().Add(time.Duration(seq.open.FirstTokenMillis) * time.Millisecond / firstTokenDivisor)
}

// finishItem records and sends the outputs of a work item and starts the pending
// step that follows, if any. The scheduler calls it.
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

// sequenceForItem returns the sequence of a work item, or nil if the sequence has
// ended or was opened again since. The caller holds s.mu.
func (s *Stage) sequenceForItem(w *workItem) *sequence {
	seq := s.sequences[w.request]
	if seq == nil || seq.engineID != w.steps[0].Sequence {
		return nil
	}
	return seq
}

// failItem ends the sequence of a work item that failed and reports the failure
// to the entry. The scheduler calls it.
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
	// The engine may have run the step, so this stage must not run it again.
	s.closedSequences[w.request] = closedSequence{attempt: seq.cursor.Attempt(), closedAt: s.now()}
	s.removeLocked(w.request)
}

// sendOutput sends an output under the current attempt: to the next stage, or to
// the entry if this is the last stage or the entry forwards between stages. The
// caller holds s.mu, which keeps the outputs in order.
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
		token.TokenCount = int(position) + 1
	}
	return token
}

// reportFailure tells the entry that the sequence can't continue in the current
// chain. The caller holds s.mu.
func (s *Stage) reportFailure(seq *sequence, reason peer.FailureReason, detail string) {
	_ = seq.entry.Send(&peer.SequenceFailed{
		Request: seq.open.Request, Attempt: seq.cursor.Attempt(), Reason: reason,
		MayHaveRun: seq.cursor.Next() > 0 || seq.cursor.Running() > 0, Downstream: seq.open.Downstream, Detail: detail,
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
	// Frames of an old connection may be handled after frames of a newer one, so
	// this attempt may be lower than one that was already closed.
	highest := max(closeFrame.Attempt, s.closedSequences[closeFrame.Request].attempt)
	s.closedSequences[closeFrame.Request] = closedSequence{attempt: highest, closedAt: s.now()}
	s.removeLocked(closeFrame.Request)
	s.mu.Unlock()
}

// removeLocked removes a sequence and releases its output log and KV cache. The
// caller holds s.mu.
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

// Disconnected handles the loss of a connection. Sequences whose entry was lost
// are removed after orphanTimeout unless they are bound again; sequences whose
// next stage was lost are reported to their entries as failed.
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

// Drain makes the stage refuse sequences that it doesn't hold yet.
func (s *Stage) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetPaused sets whether the stage refuses sequences that it doesn't hold yet. An
// order to the engine pauses the stage while it is in progress.
func (s *Stage) SetPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// RemoveExpired removes sequences that were orphaned or whose deadline passed more
// than orphanTimeout ago. It forgets closed sequences after closedRetention.
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
