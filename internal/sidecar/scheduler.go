package sidecar

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Engine is the part of the engine client that a sidecar uses.
type Engine interface {
	Info(ctx context.Context) (engine.Info, error)
	Batch(ctx context.Context, batch engine.BatchRequest) (engine.BatchResponse, error)
	Sequence(ctx context.Context, id string) (engine.SequenceStatus, error)
	Cancel(ctx context.Context, id string) error
	Order(ctx context.Context, order engine.Order) error
}

const (
	// batchTimeout bounds one engine call. An engine that is silent for longer
	// counts as failed.
	batchTimeout = 5 * time.Second
	// minSlowBatch and slowFactor, a multiple of the usual duration, are when a
	// batch without a response has the engine probed. Waiting for batchTimeout
	// alone would stall every sequence of a frozen engine for 5 s.
	minSlowBatch    = 250 * time.Millisecond
	slowBatchFactor = 8
	// lookupTimeout bounds the look-up of all sequences of a batch after a lost
	// response.
	lookupTimeout = time.Second
	// lookupInterval is the wait between two look-ups while the engine still
	// runs the step.
	lookupInterval = 10 * time.Millisecond
	// cancelTimeout bounds the release of a sequence's KV cache.
	cancelTimeout = 2 * time.Second
	// cancelBacklog bounds the releases that wait for the engine.
	cancelBacklog = 1024
	// decodeStepTarget is when a decode step is due: the default target between tokens.
	decodeStepTarget = 26 * time.Millisecond
	// firstTokenDivisor divides the target time to the first token: a prompt is due at
	// each stage after that part, so that the later stages have time left.
	firstTokenDivisor = 4
	// stepSmoothing is the weight of a new sample of the step duration.
	stepSmoothing = 0.2
	// startFractionWindow is the number of work items over which the part that starts
	// sequences is averaged: about two seconds of a busy engine.
	startFractionWindow = 2048
)

// workItem is one or more consecutive steps of a sequence that wait for or run on
// the engine.
type workItem struct {
	request      request.ID
	team         string
	priority     int
	deadline     time.Time
	due          time.Time
	cost         int
	continues    bool
	promptTokens int
	cachedTokens int
	steps        []engine.Step
	// dispatched is true once the steps were sent to the engine.
	dispatched bool
	ticket     *team.Ticket[*workItem]
}

// stepCost returns the cost of a step in tokens.
func stepCost(promptTokens int, p request.Position) int {
	if p == 0 {
		return max(promptTokens, 1)
	}
	return 1
}

// engineSequenceID names a sequence at the engine. The attempt is part of it,
// so that a stage that is opened anew never meets old KV state.
func engineSequenceID(id request.ID, attempt request.Attempt) string {
	return fmt.Sprintf("%s/%d", id, attempt)
}

// schedulerLimits bound a scheduler's queue.
type schedulerLimits struct {
	batch  int
	items  int
	tokens int
}

// scheduler feeds the engine with batches of steps, in the order of a fair
// queue over teams.
type scheduler struct {
	engine     Engine
	limits     schedulerLimits
	onFinished func(*workItem, []engine.StepResult)
	onFailed   func(*workItem, peer.FailureReason, string)
	// requestProbe is called after a call that the engine did not answer.
	requestProbe func()
	// abortBatch ends the call in progress; aborted is set if it was ended.
	// Guarded by mu.
	abortBatch   context.CancelFunc
	batchAborted bool
	// fifo serves all work in the order of arrival.
	fifo bool

	desc atomic.Pointer[upstream.Descriptor]

	mu      sync.Mutex
	queue   *team.FairQueue[*workItem]
	waiting map[request.ID]*workItem
	running int
	wakeup  chan struct{}

	counters *team.Counters
	// servedCost and startCost are decaying sums of the served cost, and of the
	// part of it that started sequences. Guarded by mu.
	servedCost, startCost float64

	stepMicros  atomic.Int64
	cancelQueue chan string
}

func newScheduler(e Engine, desc upstream.Descriptor, limits schedulerLimits) *scheduler {
	s := &scheduler{
		engine: e,
		limits: limits,
		// Only new sequences are refused for load (see admit); a step of an
		// open sequence always finds room, because a refusal would cut an
		// answer in progress.
		queue:       team.NewFairQueue[*workItem](team.QueueLimits{}),
		waiting:     make(map[request.ID]*workItem),
		wakeup:      make(chan struct{}, 1),
		counters:    team.NewCounters(time.Now()),
		cancelQueue: make(chan string, cancelBacklog),
	}
	s.desc.Store(&desc)
	return s
}

func (s *scheduler) descriptor() upstream.Descriptor { return *s.desc.Load() }

func (s *scheduler) setDescriptor(d upstream.Descriptor) { s.desc.Store(&d) }

// setWeight sets the share of a team.
func (s *scheduler) setWeight(teamName string, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetWeight(teamName, weight)
}

// admit decides whether a new sequence may be opened.
func (s *scheduler) admit(open *peer.OpenSequence) peer.RefusalReason {
	d := s.descriptor()
	if open.Model != d.Model || open.Layers != d.Layers {
		return peer.RefusedWrongUpstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queueFullFor(open.Team, open.PromptTokens) {
		s.counters.Refuse(time.Now(), open.Team)
		return peer.RefusedQueueFull
	}
	if s.estimatedWait() > time.Duration(open.DeadlineMillis)*time.Millisecond {
		s.counters.Refuse(time.Now(), open.Team)
		return peer.RefusedDeadline
	}
	s.counters.Admit(time.Now(), open.Team)
	return ""
}

// queueFullFor reports whether the queue has no room for a team's prompt. The last
// part of the queue is kept for teams that have little waiting, so that a
// large team can't fill it.
func (s *scheduler) queueFullFor(teamName string, promptTokens int) bool {
	if s.queue.Len() >= s.limits.items {
		return true
	}
	limit := s.limits.tokens
	teams := max(len(s.queue.TeamCosts()), 1)
	if s.queue.TeamCost(teamName) > s.queue.Cost()/teams {
		limit -= int(float64(limit) * team.ReservedFraction)
	}
	return s.queue.Cost() > 0 && s.queue.Cost()+promptTokens > limit
}

// estimatedWait returns the time until a new item would be served if all
// waiting items went first.
func (s *scheduler) estimatedWait() time.Duration {
	batches := s.queue.Len() / s.limits.batch
	return time.Duration(batches) * time.Duration(s.stepMicros.Load()) * time.Microsecond
}

// push queues a work item.
func (s *scheduler) push(w *workItem) {
	item := team.Item[*workItem]{
		Team: w.team, Priority: w.priority, Continues: w.continues,
		Cost: w.cost, Deadline: w.deadline, Due: w.due, Value: w,
	}
	if s.fifo {
		// Items of one team and class are served in the order of arrival.
		item.Team, item.Priority, item.Continues = "", 0, false
	}
	s.mu.Lock()
	ticket, err := s.queue.Push(item)
	if err == nil {
		w.ticket = ticket
		s.waiting[w.request] = w
	}
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// removeWaiting removes the waiting work of a sequence.
func (s *scheduler) removeWaiting(id request.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[id]; w != nil {
		s.queue.Remove(w.ticket)
		delete(s.waiting, id)
	}
}

// pop takes the next batch and the items whose deadline passed.
func (s *scheduler) pop() (batch, expired []*workItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, overdue := s.queue.Pop(time.Now(), s.limits.batch)
	for _, item := range next {
		item.Value.dispatched = true
		delete(s.waiting, item.Value.request)
		batch = append(batch, item.Value)
	}
	for _, item := range overdue {
		delete(s.waiting, item.Value.request)
		expired = append(expired, item.Value)
	}
	s.running = len(batch)
	return batch, expired
}

// Run feeds the engine until ctx ends.
func (s *scheduler) Run(ctx context.Context) {
	go s.cancelLoop(ctx)
	for {
		batch, expired := s.pop()
		for _, w := range expired {
			s.onFailed(w, peer.FailedDeadline, "the deadline passed in the queue")
		}
		if len(batch) > 0 {
			s.runBatch(ctx, batch)
			continue
		}
		select {
		case <-s.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

func (s *scheduler) runBatch(ctx context.Context, batch []*workItem) {
	var steps []engine.Step
	for _, w := range batch {
		steps = append(steps, w.steps...)
	}
	results, err := s.callEngine(ctx, steps)
	if err != nil {
		s.resolveBatch(ctx, batch, err)
		return
	}
	for _, w := range batch {
		s.complete(w, results[:len(w.steps)])
		results = results[len(w.steps):]
	}
}

// callEngine runs steps on the engine. A call that takes unusually long has
// the engine probed; if it does not answer the probe, abort ends the call.
func (s *scheduler) callEngine(ctx context.Context, steps []engine.Step) ([]engine.StepResult, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	s.setAbort(cancel)
	defer s.setAbort(nil)
	usualDuration := time.Duration(s.stepMicros.Load()) * time.Microsecond
	slowTimer := time.AfterFunc(max(minSlowBatch, slowBatchFactor*usualDuration), s.requestProbe)
	defer slowTimer.Stop()
	response, err := s.engine.Batch(ctx, engine.BatchRequest{Steps: steps})
	if err != nil {
		s.requestProbe()
		return nil, err
	}
	s.observeStepDuration(time.Since(start))
	return response.Results, nil
}

// resolveBatch finds out what became of a batch without a response. All sequences
// share one limit, so that a full batch on an engine that has gone silent does
// not wait for each of them in turn.
func (s *scheduler) resolveBatch(ctx context.Context, batch []*workItem, cause error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	aborted := s.wasAborted()
	for _, w := range batch {
		if aborted {
			s.onFailed(w, peer.FailedEngine, cause.Error())
		} else {
			s.resolveItem(ctx, w, cause)
		}
	}
}

func (s *scheduler) setAbort(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortBatch = cancel
	if cancel != nil {
		s.batchAborted = false
	}
}

// wasAborted reports whether the last call was ended by abort.
func (s *scheduler) wasAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchAborted
}

// abort ends the call in progress, because the engine does not answer probes
// either. It would not answer a look-up of the sequences, so they fail at once.
func (s *scheduler) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abortBatch != nil {
		s.abortBatch()
		s.batchAborted = true
	}
}

// complete passes on the results of a work item.
func (s *scheduler) complete(w *workItem, results []engine.StepResult) {
	for _, r := range results {
		if r.Error != "" {
			s.onFailed(w, peer.FailedEngine, r.Error)
			return
		}
	}
	s.counters.Serve(time.Now(), w.team, w.cost)
	s.observeStartFraction(w)
	s.onFinished(w, results)
}

// resolveItem asks the engine what became of a step whose response was lost.
// The step is never sent again, because the engine may be running it. Results
// of more than one step can't be asked for, so such work fails.
func (s *scheduler) resolveItem(ctx context.Context, w *workItem, cause error) {
	step := w.steps[len(w.steps)-1]
	for len(w.steps) == 1 {
		status, err := s.engine.Sequence(ctx, step.Sequence)
		if err != nil {
			break
		}
		if status.Last != nil && status.Last.Position == step.Position {
			s.complete(w, []engine.StepResult{*status.Last})
			return
		}
		if status.Pending == 0 || !sleepCtx(ctx, lookupInterval) {
			break
		}
	}
	s.onFailed(w, peer.FailedEngine, cause.Error())
}

// sleepCtx waits for d and reports whether ctx is still alive.
func sleepCtx(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *scheduler) observeStepDuration(d time.Duration) {
	old := s.stepMicros.Load()
	sample := d.Microseconds()
	if old == 0 {
		s.stepMicros.Store(sample)
		return
	}
	s.stepMicros.Store(old + int64(stepSmoothing*float64(sample-old)))
}

// observeStartFraction averages the part of the served cost that started sequences.
func (s *scheduler) observeStartFraction(w *workItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const decay = 1 - 1.0/startFractionWindow
	s.servedCost = s.servedCost*decay + float64(w.cost)
	s.startCost *= decay
	if !w.continues {
		s.startCost += float64(w.cost)
	}
}

// cancel frees a sequence's KV cache in the background. If the backlog is
// full, the engine's own eviction frees it.
func (s *scheduler) cancel(id string) {
	select {
	case s.cancelQueue <- id:
	default:
	}
}

func (s *scheduler) cancelLoop(ctx context.Context) {
	for {
		select {
		case id := <-s.cancelQueue:
			cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = s.engine.Cancel(cancelCtx, id)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// load returns the scheduler's part of the load report.
func (s *scheduler) load() (upstream.Load, []peer.TeamLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := upstream.Load{Queued: s.queue.Cost(), Running: s.running, StepMicros: s.stepMicros.Load()}
	if s.servedCost > 0 {
		load.StartFraction = s.startCost / s.servedCost
	}
	return load, teamLoads(s.counters, s.queue.TeamCosts())
}

// teamLoads joins what was served for each team with what waits.
func teamLoads(counters *team.Counters, queuedCosts map[string]int) []peer.TeamLoad {
	var teams []peer.TeamLoad
	for _, usage := range counters.Report(time.Now()) {
		teams = append(teams, peer.TeamLoad{
			Team: usage.Team, QueuedTokens: queuedCosts[usage.Team], TokensPerSecond: usage.TokensPerSecond,
			Admitted: usage.Admitted, Refused: usage.Refused,
		})
	}
	return teams
}
