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
	// batchTimeout bounds one engine call. After it the call counts as failed.
	batchTimeout = 5 * time.Second
	// A health check is requested when a batch runs longer than minSlowBatch and
	// than slowBatchFactor times the average batch. Waiting for batchTimeout
	// alone would stall every sequence of a hung engine for 5 s.
	minSlowBatch    = 250 * time.Millisecond
	slowBatchFactor = 8
	// lookupTimeout bounds the status queries for all sequences of a batch whose
	// response was lost.
	lookupTimeout = time.Second
	// lookupInterval is the delay between status queries for a sequence whose
	// step is still running.
	lookupInterval = 10 * time.Millisecond
	// cancelTimeout bounds one request to release a sequence's KV cache.
	cancelTimeout = 2 * time.Second
	// cancelQueueSize is the number of requests to release a KV cache that can
	// be queued.
	cancelQueueSize = 1024
	// decodeStepTarget is the time within which a decode step should be served.
	// It is the default target for the time between tokens.
	decodeStepTarget = 26 * time.Millisecond
	// firstTokenDivisor divides the target time to the first token; a prompt is
	// due at a stage after the quotient, so that later stages have time left.
	firstTokenDivisor = 4
	// stepSmoothing is the weight of a new sample in stepMicros.
	stepSmoothing = 0.2
	// startFractionWindow is the number of work items over which StartFraction
	// is averaged. A busy engine runs as many in about two seconds.
	startFractionWindow = 2048
)

// workItem holds one or more consecutive steps of a sequence that are queued for
// or running on the engine.
type workItem struct {
	request  request.ID
	team     string
	priority int
	deadline time.Time
	// due is when the item should be served to meet the latency targets.
	due time.Time
	// cost is in tokens.
	cost int
	// continues is false if the item contains the first step of the sequence.
	continues bool
	// promptTokens and cachedTokens are the counts that the previous stage
	// reported with the step.
	promptTokens int
	cachedTokens int
	steps        []engine.Step
	// dispatched is true once the item was taken from the queue to be sent to
	// the engine.
	dispatched bool
	// ticket identifies the item in the queue.
	ticket *team.Ticket[*workItem]
}

// stepCost returns the cost of a step in tokens.
func stepCost(promptTokens int, p request.Position) int {
	if p == 0 {
		return max(promptTokens, 1)
	}
	return 1
}

// engineSequenceID returns the ID of a sequence at the engine. It includes the
// attempt, so that a sequence that is opened again never reuses stale KV cache.
func engineSequenceID(id request.ID, attempt request.Attempt) string {
	return fmt.Sprintf("%s/%d", id, attempt)
}

// schedulerLimits are the limits of a scheduler.
type schedulerLimits struct {
	// batch bounds the work items in one engine call.
	batch int
	// items is the number of waiting work items at which new sequences are
	// refused. tokens bounds the cost of the waiting work items and the prompt
	// of a new sequence together.
	items  int
	tokens int
}

// scheduler sends batches of steps to the engine. A queue that is fair among
// teams determines their order.
type scheduler struct {
	engine     Engine
	limits     schedulerLimits
	onFinished func(*workItem, []engine.StepResult)
	onFailed   func(*workItem, peer.FailureReason, string)
	// requestProbe requests a health check. It is called when an engine call
	// fails or is slow.
	requestProbe func()
	// abortBatch cancels the engine call in progress; batchAborted is set if
	// abort cancelled the last engine call. Both are guarded by mu.
	abortBatch   context.CancelFunc
	batchAborted bool
	// fifo serves all work items in the order of arrival.
	fifo bool

	desc atomic.Pointer[upstream.Descriptor]

	// mu guards queue, waiting, running, abortBatch, batchAborted, servedCost and
	// startCost.
	mu      sync.Mutex
	queue   *team.FairQueue[*workItem]
	waiting map[request.ID]*workItem
	// running is the number of work items in the engine call in progress.
	running int
	// wakeup is signalled when an item was queued.
	wakeup chan struct{}

	counters *team.Counters
	// servedCost is a decaying sum of the cost served; startCost is the part of
	// it that was spent on first steps of sequences. Both are guarded by mu.
	servedCost, startCost float64

	// stepMicros is the moving average of the duration of an engine call, in
	// microseconds.
	stepMicros atomic.Int64
	// cancelQueue holds the engine IDs of sequences whose KV cache is to be
	// released.
	cancelQueue chan string
}

func newScheduler(e Engine, desc upstream.Descriptor, limits schedulerLimits) *scheduler {
	s := &scheduler{
		engine: e,
		limits: limits,
		// The queue itself has no limits. Load is limited by refusing new
		// sequences (see admit); refusing a step of an open sequence would cut
		// off a response in progress.
		queue:       team.NewFairQueue[*workItem](team.QueueLimits{}),
		waiting:     make(map[request.ID]*workItem),
		wakeup:      make(chan struct{}, 1),
		counters:    team.NewCounters(time.Now()),
		cancelQueue: make(chan string, cancelQueueSize),
	}
	s.desc.Store(&desc)
	return s
}

func (s *scheduler) descriptor() upstream.Descriptor { return *s.desc.Load() }

func (s *scheduler) setDescriptor(d upstream.Descriptor) { s.desc.Store(&d) }

// setWeight sets a team's weight in the fair queue.
func (s *scheduler) setWeight(teamName string, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetWeight(teamName, weight)
}

// admit returns the reason to refuse a new sequence, or "".
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

// queueFullFor reports whether the queue has no room for a team's prompt. A team
// with more than an average share of the queued cost can't use the last
// team.ReservedFraction of the queue, so that a large team can't fill it. The
// caller holds s.mu.
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

// estimatedWait returns the time until a new item is served if all waiting items
// are served first. The caller holds s.mu.
func (s *scheduler) estimatedWait() time.Duration {
	batches := s.queue.Len() / s.limits.batch
	return time.Duration(batches) * time.Duration(s.stepMicros.Load()) * time.Microsecond
}

// push queues a work item and wakes Run.
func (s *scheduler) push(w *workItem) {
	item := team.Item[*workItem]{
		Team: w.team, Priority: w.priority, Continues: w.continues,
		Cost: w.cost, Deadline: w.deadline, Due: w.due, Value: w,
	}
	if s.fifo {
		// The queue serves items of the same team and class in the order of
		// arrival.
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

// removeWaiting removes a sequence's work item from the queue.
func (s *scheduler) removeWaiting(id request.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[id]; w != nil {
		s.queue.Remove(w.ticket)
		delete(s.waiting, id)
	}
}

// pop removes the next batch, and the items whose deadline has passed, from the
// queue.
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

// Run sends batches to the engine until ctx ends.
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

// callEngine runs steps on the engine. It requests a health check if the call is
// unusually slow; if the engine doesn't answer the probe either, abort cancels
// the call.
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

// resolveBatch determines the results of a batch whose response was lost. All
// items share one timeout. With a separate timeout for each item, the timeouts of
// a full batch on an unreachable engine would add up.
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

// wasAborted reports whether abort cancelled the last engine call.
func (s *scheduler) wasAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchAborted
}

// abort cancels the engine call in progress after a failed health check. The
// sequences of the batch fail at once, because the engine would not answer
// status queries either.
func (s *scheduler) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abortBatch != nil {
		s.abortBatch()
		s.batchAborted = true
	}
}

// complete reports the results of a work item, or its failure if a step failed.
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

// resolveItem queries the engine for the result of a step whose response was
// lost. The step is never sent again, because the engine may be running it. The
// engine reports only the last result of a sequence, so an item of several
// steps fails.
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

// sleepCtx waits for d. It returns false if ctx ends first.
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

// observeStartFraction adds a served item to servedCost and, if it started a
// sequence, to startCost.
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

// cancel releases a sequence's KV cache in the background. If cancelQueue is
// full, the engine frees the cache by its own eviction.
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

// load returns the engine's load, without the number of open sequences, and the
// load of each team.
func (s *scheduler) load() (upstream.Load, []peer.TeamLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := upstream.Load{Queued: s.queue.Cost(), Running: s.running, StepMicros: s.stepMicros.Load()}
	if s.servedCost > 0 {
		load.StartFraction = s.startCost / s.servedCost
	}
	return load, teamLoads(s.counters, s.queue.TeamCosts())
}

// teamLoads combines each team's counters with its queued cost.
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
