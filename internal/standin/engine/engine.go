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
	errInvalidOrder    = errors.New("invalid order")
	errKVMismatch      = errors.New("kv cache of another model or layer range")
)

// frozenPollInterval is the interval at which a frozen engine checks whether
// Controls.Frozen is cleared.
const frozenPollInterval = 2 * time.Millisecond

// Config describes the engine to simulate. With zero costs every iteration takes no
// time.
type Config struct {
	Model       string
	Version     string
	ModelLayers int
	Layers      pipeline.LayerRange
	Accelerator string
	// MaxBatch is the maximum number of sequences in one iteration. Default 16.
	MaxBatch int
	// MaxQueue bounds the queued sequences; a batch that exceeds it is refused.
	// Default 0, unlimited.
	MaxQueue int

	// An iteration takes BaseCost plus the costs of its step groups. A group is
	// consecutive steps of one sequence. A group of one step after position 0
	// costs DecodeCost. In every other group, a step at position 0 costs
	// PrefillCost for each prompt token that is not cached, and each other step
	// costs PrefillCost once.
	BaseCost, DecodeCost, PrefillCost time.Duration

	// KVLimit bounds the tokens in the KV caches of all sequences. Default 0,
	// unlimited.
	KVLimit int
	// CacheLimit bounds the prefix cache in tokens. Default 0, no cache.
	CacheLimit int
	// LoadReportInterval is the interval at which the load report is updated.
	// Default 0, always current.
	LoadReportInterval time.Duration
	// CacheEventDelay is the time from a change of the prefix cache to the
	// publication of its event.
	CacheEventDelay time.Duration
	// CacheEventLossRate is the fraction of cache events that are never published.
	CacheEventLossRate float64
	// Seed determines which cache events are lost.
	Seed uint64
	// IgnoreFencing makes the engine execute orders with stale fencing tokens.
	IgnoreFencing bool
}

// Controls change the behaviour of an engine at run time.
type Controls struct {
	// Slowdown multiplies the duration of iterations. Default 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Frozen suspends iterations and responses until Frozen is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Down makes the engine refuse every request to its API with 503.
	Down bool `json:"down,omitempty"`
	// LoseResponses is the number of following batches that run but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose_responses,omitempty"`
}

// Server is a stand-in engine. It is safe for concurrent use.
type Server struct {
	config     Config
	seed       uint64
	stop       chan struct{}
	goroutines sync.WaitGroup

	// mu guards closed, controls, version, layers, fencing, orders, sequences,
	// pending, kvUsed, queue, running, cache, runs, load and loadTime.
	mu           sync.Mutex
	queueChanged *sync.Cond
	closed       bool
	controls     Controls
	version      string
	layers       pipeline.LayerRange
	fencing      uint64
	orders       []api.Order
	sequences    map[string]*sequence
	// pending counts the queued and running steps of each sequence.
	pending map[string]int
	// kvUsed is the number of tokens in the KV caches of all sequences.
	kvUsed int
	// queue is sorted by descending priority, then by arrival.
	queue    []*stepGroup
	running  []*stepGroup
	cache    *prefixCache
	runs     runCounter
	load     api.LoadReport
	loadTime time.Time
}

// sequence is the state of one sequence. next is the position after the last one
// that ran.
type sequence struct {
	next         request.Position
	lastResult   *api.StepResult
	kv           []uint64
	answerLength int
	promptTokens int
	kvTokens     int
}

// stepGroup holds consecutive steps of one sequence that run in the same iteration.
type stepGroup struct {
	sequence  string
	priority  int
	steps     []api.Step
	results   []api.StepResult
	cancelled bool
	done      chan struct{}
}

// NewServer starts an engine. Close stops it.
func NewServer(c Config) *Server {
	if c.MaxBatch == 0 {
		c.MaxBatch = 16
	}
	s := &Server{
		config: c, seed: xxhash.Sum64String(c.Model), stop: make(chan struct{}),
		controls: Controls{Slowdown: 1}, version: c.Version, layers: c.Layers,
		sequences: make(map[string]*sequence), pending: make(map[string]int),
		cache: newPrefixCache(c), runs: runCounter{requests: make(map[string]*requestCounter)},
		loadTime: time.Now(),
	}
	s.load = s.currentLoad()
	s.queueChanged = sync.NewCond(&s.mu)
	s.goroutines.Go(s.runIterations)
	if c.LoadReportInterval > 0 {
		s.goroutines.Go(s.sampleLoad)
	}
	return s
}

// Close stops the engine. Queued and running steps fail.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.stop)
		s.queueChanged.Broadcast()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Runs returns the report of the runs of all requests.
func (s *Server) Runs() RunReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.report()
}

// RequestRuns returns the runs of one request id.
func (s *Server) RequestRuns(id string) RequestRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs.requests[id]
	if r == nil {
		return RequestRuns{}
	}
	return RequestRuns{Sequences: slices.Clone(r.sequences), Imported: r.imported, Runs: r.runsByLayer()}
}

// ResetRuns sets all run counters to zero.
func (s *Server) ResetRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = runCounter{requests: make(map[string]*requestCounter)}
}

// Orders returns the orders that the engine executed.
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

// Load returns the load report, which is up to LoadReportInterval old.
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
		KVUsed: s.kvUsed + s.cache.tokenCount(), KVLimit: s.config.KVLimit,
	}
}

// removeSequence removes a sequence and frees its KV cache.
func (s *Server) removeSequence(id string) {
	if seq := s.sequences[id]; seq != nil {
		s.kvUsed -= seq.kvTokens
		delete(s.sequences, id)
	}
}

// sampleLoad updates the load report at every LoadReportInterval.
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

// Batch runs steps and returns a result for each. When ctx ends, steps that are
// still queued are removed; steps that are already running complete.
func (s *Server) Batch(ctx context.Context, steps []api.Step) ([]api.StepResult, error) {
	groups, err := s.enqueue(steps)
	if err != nil {
		return nil, err
	}
	var results []api.StepResult
	for _, g := range groups {
		select {
		case <-g.done:
		case <-ctx.Done():
			s.removeQueued(groups)
			return nil, ctx.Err()
		}
		results = append(results, g.results...)
	}
	return results, nil
}

// enqueue adds the steps to the queue, with consecutive steps of the same sequence
// in one group.
func (s *Server) enqueue(steps []api.Step) ([]*stepGroup, error) {
	var groups []*stepGroup
	for _, step := range steps {
		last := len(groups) - 1
		if last < 0 || groups[last].sequence != step.Sequence {
			groups = append(groups, &stepGroup{sequence: step.Sequence, priority: step.Priority, done: make(chan struct{})})
			last++
		}
		groups[last].steps = append(groups[last].steps, step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errClosed
	}
	if s.config.MaxQueue > 0 && len(s.queue)+len(groups) > s.config.MaxQueue {
		return nil, errQueueFull
	}
	for _, g := range groups {
		s.pending[g.sequence] += len(g.steps)
		i := len(s.queue)
		for i > 0 && s.queue[i-1].priority < g.priority {
			i--
		}
		s.queue = slices.Insert(s.queue, i, g)
	}
	s.queueChanged.Broadcast()
	return groups, nil
}

// removeQueued removes those of the groups that are still queued.
func (s *Server) removeQueued(groups []*stepGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(g *stepGroup) bool {
		if !slices.Contains(groups, g) {
			return false
		}
		s.markDone(g)
		return true
	})
}

// markDone subtracts the group's steps from the pending steps and notifies the
// waiting Batch.
func (s *Server) markDone(g *stepGroup) {
	s.pending[g.sequence] -= len(g.steps)
	if s.pending[g.sequence] == 0 {
		delete(s.pending, g.sequence)
	}
	close(g.done)
}

// runIterations runs one iteration after another until the engine is closed and
// the queue is empty.
func (s *Server) runIterations() {
	var plannedEnd time.Time
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.queueChanged.Wait()
		}
		n := min(s.config.MaxBatch, len(s.queue))
		s.running, s.queue = slices.Clone(s.queue[:n]), slices.Delete(s.queue, 0, n)
		cost := s.iterationCost(s.running)
		s.mu.Unlock()

		// The next iteration starts at the planned end of this one, so that late
		// timers do not reduce the engine's throughput.
		if now := time.Now(); plannedEnd.Before(now.Add(-cost)) {
			plannedEnd = now
		}
		plannedEnd = plannedEnd.Add(cost)
		s.sleep(time.Until(plannedEnd))
		s.waitWhileFrozen(context.Background())

		s.mu.Lock()
		for _, g := range s.running {
			s.runGroup(g)
			s.markDone(g)
		}
		s.running = nil
		if s.closed && len(s.queue) == 0 {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// sleep waits for d or until the engine is closed.
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

// waitWhileFrozen waits until the engine is not frozen, the engine is closed or ctx
// ends.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for s.Controls().Frozen && ctx.Err() == nil {
		select {
		case <-s.stop:
			return
		case <-ctx.Done():
		case <-time.After(frozenPollInterval):
		}
	}
}

// iterationCost returns the simulated duration of an iteration.
func (s *Server) iterationCost(groups []*stepGroup) time.Duration {
	cost := s.config.BaseCost
	for _, g := range groups {
		if len(g.steps) == 1 && g.steps[0].Position > 0 {
			cost += s.config.DecodeCost
			continue
		}
		for _, step := range g.steps {
			tokens := 1
			if step.Position == 0 {
				if _, values, err := s.inputValues(step); err == nil {
					tokens = len(values) - cacheBlock*len(s.cache.lookup(prefixKeys(s.seed, values)))
				}
			}
			cost += time.Duration(tokens) * s.config.PrefillCost
		}
	}
	return time.Duration(float64(cost) * s.controls.Slowdown)
}
