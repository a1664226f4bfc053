package sidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
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

// errQueueFull is returned when the step queue is at its limit.
var errQueueFull = errors.New("sidecar: step queue full")

const (
	// batchTimeout bounds one engine call. An engine that is silent for longer
	// counts as failed.
	batchTimeout = 5 * time.Second
	// probeTimeout bounds the look-up of a sequence after a lost response.
	probeTimeout = time.Second
	// cancelTimeout bounds the release of a sequence's KV cache.
	cancelTimeout = 2 * time.Second
	// stepSmoothing is the weight of a new sample of the step duration.
	stepSmoothing = 0.2
)

// work is one step that waits for or runs on the engine.
type work struct {
	request      request.ID
	team         string
	priority     int
	deadline     time.Time
	cost         int
	promptTokens int
	cachedTokens int
	step         engine.Step
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
	return string(id) + "/" + attemptString(attempt)
}

// scheduler feeds the engine with batches of steps.
type scheduler struct {
	engine   Engine
	maxBatch int
	maxQueue int
	finished func(*work, engine.StepResult)
	failed   func(*work, peer.FailureReason, string)

	desc atomic.Pointer[upstream.Descriptor]

	mu      sync.Mutex
	queue   []*work
	queued  int
	running int
	wakeup  chan struct{}

	stepMicros atomic.Int64
	cancels    chan string
}

func newScheduler(e Engine, desc upstream.Descriptor, maxBatch, maxQueue int) *scheduler {
	s := &scheduler{
		engine:   e,
		maxBatch: maxBatch,
		maxQueue: maxQueue,
		wakeup:   make(chan struct{}, 1),
		cancels:  make(chan string, 1024),
	}
	s.desc.Store(&desc)
	return s
}

func (s *scheduler) descriptor() upstream.Descriptor { return *s.desc.Load() }

// admit decides whether a new sequence may be opened.
func (s *scheduler) admit(open *peer.OpenSequence) peer.RefusalReason {
	d := s.descriptor()
	if open.Model != d.Model || open.Layers != d.Layers {
		return peer.RefusedWrongUpstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.maxQueue {
		return peer.RefusedQueueFull
	}
	return ""
}

// push queues a step. It returns errQueueFull.
func (s *scheduler) push(w *work) error {
	s.mu.Lock()
	if len(s.queue) >= s.maxQueue {
		s.mu.Unlock()
		return errQueueFull
	}
	s.queue = append(s.queue, w)
	s.queued += w.cost
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	return nil
}

func (s *scheduler) pop() []*work {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), s.maxBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	for _, w := range batch {
		s.queued -= w.cost
	}
	s.running = n
	return batch
}

// Run feeds the engine until ctx ends.
func (s *scheduler) Run(ctx context.Context) {
	go s.cancelLoop(ctx)
	for {
		batch := s.pop()
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

func (s *scheduler) runBatch(ctx context.Context, batch []*work) {
	steps := make([]engine.Step, len(batch))
	for i, w := range batch {
		steps[i] = w.step
	}
	start := time.Now()
	bctx, cancel := context.WithTimeout(ctx, batchTimeout)
	response, err := s.engine.Batch(bctx, engine.BatchRequest{Steps: steps})
	cancel()
	s.observeStep(time.Since(start))
	for i, w := range batch {
		switch {
		case err != nil:
			s.recoverStep(ctx, w, err)
		case response.Results[i].Error != "":
			s.failed(w, peer.FailedEngine, response.Results[i].Error)
		default:
			s.finished(w, response.Results[i])
		}
	}
}

// recoverStep asks the engine what became of a step whose response was lost.
// The step is never sent again, because the engine may be running it.
func (s *scheduler) recoverStep(ctx context.Context, w *work, cause error) {
	pctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := s.engine.Sequence(pctx, w.step.Sequence)
	if err == nil && status.Last != nil && status.Last.Position == w.step.Position {
		s.finished(w, *status.Last)
		return
	}
	s.failed(w, peer.FailedEngine, cause.Error())
}

func (s *scheduler) observeStep(d time.Duration) {
	old := s.stepMicros.Load()
	sample := d.Microseconds()
	if old == 0 {
		s.stepMicros.Store(sample)
		return
	}
	s.stepMicros.Store(old + int64(stepSmoothing*float64(sample-old)))
}

// cancel frees a sequence's KV cache in the background. If the backlog is
// full, the engine's own eviction frees it.
func (s *scheduler) cancel(id string) {
	select {
	case s.cancels <- id:
	default:
	}
}

func (s *scheduler) cancelLoop(ctx context.Context) {
	for {
		select {
		case id := <-s.cancels:
			cctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = s.engine.Cancel(cctx, id)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// load returns the scheduler's part of the load report.
func (s *scheduler) load() upstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return upstream.Load{Queued: s.queued, Running: s.running, StepMicros: s.stepMicros.Load()}
}
