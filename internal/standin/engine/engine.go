package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	api "github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

var (
	errQueueFull       = errors.New("queue full")
	errUnknownSequence = errors.New("unknown sequence")
	errCancelled       = errors.New("sequence cancelled")
	errKVFull          = errors.New("kv cache full")
	errClosed          = errors.New("engine closed")
	errStaleFencing    = errors.New("stale fencing number")
	errOrder           = errors.New("invalid order")
	errKVMismatch      = errors.New("kv cache of another model or layer range")
)

// frozenPoll is how often a frozen engine checks whether it may go on.
const frozenPoll = 2 * time.Millisecond

// Config describes the engine to simulate. Zero durations make every iteration
// immediate.
type Config struct {
	Model       string
	Version     string
	ModelLayers int
	Layers      pipeline.LayerRange
	Accelerator string
	// MaxBatch is the number of sequences in one iteration. Default 16.
	MaxBatch int
	// MaxQueue bounds the waiting sequences; a batch beyond it is refused.
	// Default 0, unlimited.
	MaxQueue int

	// An iteration takes BaseCost, plus DecodeCost for each sequence with a
	// single step after the prompt, plus PrefillCost for each prompt token that
	// is not cached and for each step of a sequence with several steps.
	BaseCost, DecodeCost, PrefillCost time.Duration

	// KVLimit bounds the tokens of all sequences. Default 0, unlimited.
	KVLimit int
	// CacheLimit bounds the prefix cache in tokens. Default 0, no cache.
	CacheLimit int
	// LoadReportInterval is the interval at which the load report is renewed. Default 0,
	// always current.
	LoadReportInterval time.Duration
	// CacheEventDelay delays each cache event.
	CacheEventDelay time.Duration
	// CacheEventLossRate is the fraction of cache events that are never published.
	CacheEventLossRate float64
	// Seed determines which cache events are lost.
	Seed uint64
	// IgnoreFencing makes the engine obey orders with outdated fencing numbers.
	IgnoreFencing bool
}

// Controls changes an engine's behaviour at run time.
type Controls struct {
	// Slowdown multiplies the duration of iterations. Default 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Frozen stops iterations and responses until it is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Down makes the engine answer 503 without acting.
	Down bool `json:"down,omitempty"`
	// LoseResponses is the number of batches that run but whose connection is
	// closed instead of being answered.
	LoseResponses int `json:"lose_responses,omitempty"`
}

// Server is a stand-in engine. It is safe for concurrent use.
type Server struct {
	config Config
	seed   uint64
	stop   chan struct{}
	loops  sync.WaitGroup

	mu        sync.Mutex
	changed   *sync.Cond
	closed    bool
	controls  Controls
	version   string
	layers    pipeline.LayerRange
	fencing   uint64
	orders    []api.Order
	sequences map[string]*sequence
	pending   map[string]int
	// kvUsed is the sum of the tokens of all sequences.
	kvUsed int
	// queue is sorted by falling priority, then by arrival.
	queue    []*work
	running  []*work
	cache    *prefixCache
	ledger   ledger
	load     api.LoadReport
	loadTime time.Time
}

type sequence struct {
	next         request.Position
	last         *api.StepResult
	kv           []uint64
	length       int
	promptTokens int
	tokens       int
}

// work is a run of steps of one sequence that go through one iteration.
type work struct {
	sequence  string
	priority  int
	steps     []api.Step
	results   []api.StepResult
	cancelled bool
	done      chan struct{}
}

// NewServer starts an engine. Close ends it.
func NewServer(c Config) *Server {
	if c.MaxBatch == 0 {
		c.MaxBatch = 16
	}
	s := &Server{
		config: c, seed: xxhash.Sum64String(c.Model), stop: make(chan struct{}),
		controls: Controls{Slowdown: 1}, version: c.Version, layers: c.Layers,
		sequences: make(map[string]*sequence), pending: make(map[string]int),
		cache: newPrefixCache(c), ledger: ledger{requests: make(map[string]*requestLedger)},
		loadTime: time.Now(),
	}
	s.load = s.currentLoad()
	s.changed = sync.NewCond(&s.mu)
	s.loops.Go(s.iterate)
	if c.LoadReportInterval > 0 {
		s.loops.Go(s.sampleLoad)
	}
	return s
}

// Close stops the engine; waiting steps fail.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.stop)
		s.changed.Broadcast()
	}
	s.mu.Unlock()
	s.loops.Wait()
}

// Runs reports what the engine ran.
func (s *Server) Runs() RunReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.report()
}

// RequestRuns tells what the engine ran for one request id.
func (s *Server) RequestRuns(id string) RequestRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ledger.requests[id]
	if r == nil {
		return RequestRuns{}
	}
	return RequestRuns{Sequences: slices.Clone(r.sequences), Imported: r.imported, Runs: r.byLayer()}
}

// ResetRuns resets the counters of runs.
func (s *Server) ResetRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = ledger{requests: make(map[string]*requestLedger)}
}

// Orders returns the orders that the engine obeyed.
func (s *Server) Orders() []api.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Controls returns the current controls.
func (s *Server) Controls() Controls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls
}

// SetControls replaces the controls.
func (s *Server) SetControls(c Controls) {
	if c.Slowdown <= 0 {
		c.Slowdown = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls = c
}

// Info describes the engine.
func (s *Server) Info() api.Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.Info{
		Model: s.config.Model, Version: s.version, ModelLayers: s.config.ModelLayers, Layers: s.layers,
		Accelerator: s.config.Accelerator, MaxBatch: s.config.MaxBatch,
	}
}

// Load returns the load report, which is up to LoadLag old.
func (s *Server) Load() api.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.LoadReportInterval == 0 {
		return s.currentLoad()
	}
	load := s.load
	load.AgeMillis = time.Since(s.loadTime).Milliseconds()
	return load
}

func (s *Server) currentLoad() api.LoadReport {
	return api.LoadReport{
		Running: len(s.running), Waiting: len(s.queue),
		KVUsed: s.kvUsed + s.cache.tokens(), KVLimit: s.config.KVLimit,
	}
}

// remove drops a sequence and frees its KV cache.
func (s *Server) remove(id string) {
	if q := s.sequences[id]; q != nil {
		s.kvUsed -= q.tokens
		delete(s.sequences, id)
	}
}

func (s *Server) sampleLoad() {
	ticker := time.NewTicker(s.config.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.load, s.loadTime = s.currentLoad(), time.Now()
		s.mu.Unlock()
	}
}

// Batch runs steps and returns a result for each. Steps that wait when ctx
// ends are dropped; steps that already run go on.
func (s *Server) Batch(ctx context.Context, steps []api.Step) ([]api.StepResult, error) {
	works, err := s.enqueue(steps)
	if err != nil {
		return nil, err
	}
	var results []api.StepResult
	for _, w := range works {
		select {
		case <-w.done:
		case <-ctx.Done():
			s.drop(works)
			return nil, ctx.Err()
		}
		results = append(results, w.results...)
	}
	return results, nil
}

// enqueue queues the steps as one work for each run of steps of one sequence.
func (s *Server) enqueue(steps []api.Step) ([]*work, error) {
	var works []*work
	for _, step := range steps {
		last := len(works) - 1
		if last < 0 || works[last].sequence != step.Sequence {
			works = append(works, &work{sequence: step.Sequence, priority: step.Priority, done: make(chan struct{})})
			last++
		}
		works[last].steps = append(works[last].steps, step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errClosed
	}
	if s.config.MaxQueue > 0 && len(s.queue)+len(works) > s.config.MaxQueue {
		return nil, errQueueFull
	}
	for _, w := range works {
		s.pending[w.sequence] += len(w.steps)
		i := len(s.queue)
		for i > 0 && s.queue[i-1].priority < w.priority {
			i--
		}
		s.queue = slices.Insert(s.queue, i, w)
	}
	s.changed.Broadcast()
	return works, nil
}

// drop removes works that still wait from the queue.
func (s *Server) drop(works []*work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(w *work) bool {
		if !slices.Contains(works, w) {
			return false
		}
		s.finish(w)
		return true
	})
}

func (s *Server) finish(w *work) {
	s.pending[w.sequence] -= len(w.steps)
	if s.pending[w.sequence] == 0 {
		delete(s.pending, w.sequence)
	}
	close(w.done)
}

// iterate runs one batch after another.
func (s *Server) iterate() {
	var end time.Time
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.changed.Wait()
		}
		n := min(s.config.MaxBatch, len(s.queue))
		s.running, s.queue = slices.Clone(s.queue[:n]), slices.Delete(s.queue, 0, n)
		cost := s.cost(s.running)
		s.mu.Unlock()

		// The next iteration starts at the planned end of this one, so that
		// timers that fire late don't slow the engine down.
		if now := time.Now(); end.Before(now.Add(-cost)) {
			end = now
		}
		end = end.Add(cost)
		s.sleep(time.Until(end))
		s.waitWhileFrozen(context.Background())

		s.mu.Lock()
		for _, w := range s.running {
			s.run(w)
			s.finish(w)
		}
		s.running = nil
		if s.closed && len(s.queue) == 0 {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

func (s *Server) waitWhileFrozen(ctx context.Context) {
	for s.Controls().Frozen && ctx.Err() == nil {
		select {
		case <-s.stop:
			return
		case <-ctx.Done():
		case <-time.After(frozenPoll):
		}
	}
}

func (s *Server) cost(works []*work) time.Duration {
	cost := s.config.BaseCost
	for _, w := range works {
		if len(w.steps) == 1 && w.steps[0].Position > 0 {
			cost += s.config.DecodeCost
			continue
		}
		for _, step := range w.steps {
			tokens := 1
			if step.Position == 0 {
				if _, values, err := s.input(step); err == nil {
					tokens = len(values) - cacheBlock*len(s.cache.lookup(prefixKeys(s.seed, values)))
				}
			}
			cost += time.Duration(tokens) * s.config.PrefillCost
		}
	}
	return time.Duration(float64(cost) * s.controls.Slowdown)
}
