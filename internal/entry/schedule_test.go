package entry

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/sidecar"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

var (
	firstSeed = flag.Uint64("entry.seed", 1, "first seed of the schedule test")
	schedules = flag.Uint64("entry.schedules", 2000, "number of schedules to run")
	verbose   = flag.Bool("entry.trace", false, "print the events of each schedule")
)

const (
	simLayers = 6
	// simIdle is the silence after which a connection is closed.
	simIdle = time.Second
)

// simulation runs the driver of a few sequences and the stages of a few hosts.
// The scheduler, which draws from the seed, delivers one frame or answers one
// call at a time.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	calm  bool
	rare  int // one in rare steps is a fault of each kind
	count map[string]int
	entry *simProcess
	hosts []*host
	table *sequenceTable
	runs  []*run
	trace uint64
	step  int

	mu    sync.Mutex
	ends  []*end
	calls []*simCall
	// chains holds, for each request and attempt, the host that ends at a layer.
	chains map[string]string
	bound  map[string]acceptance
	// recent holds the last steps, tokens and closes between two processes.
	recent map[[2]*simProcess][]peer.Frame
}

// run is one request and what its caller got.
type run struct {
	*sequence
	want   []int
	got    []int
	leave  context.CancelFunc
	left   bool
	done   bool
	err    error
	result request.Outcome
	chain  []string
}

func (sim *simulation) startRun(i int, directory *upstream.Directory) {
	prompt := string(rune('a'+i)) + strings.Repeat("x", sim.rng.IntN(9))
	deadline := time.Now().Add(time.Hour)
	if sim.rng.IntN(8) == 0 {
		deadline = time.Now().Add(time.Duration(sim.rng.Int64N(int64(10 * time.Second))))
	}
	s := newTestSequence(sim.entry, simChooser{sim}, request.ID(fmt.Sprint("request-", i)), deadline, directory, sim.rng.Uint64())
	s.prompt, s.maxTokens, s.star = prompt, 1+sim.rng.IntN(12), sim.rng.IntN(5) == 0
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	r := &run{sequence: s, want: reference(prompt, s.maxTokens), leave: cancel}
	sim.runs = append(sim.runs, r)
	sim.table.add(s)
	delay := time.Duration(sim.rng.Int64N(int64(50 * time.Millisecond)))
	go func() {
		time.Sleep(delay)
		err := s.run(ctx, func(p request.Piece) error {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			r.got = append(r.got, p.Token)
			if n := len(r.got); n > len(r.want) || r.want[n-1] != p.Token {
				sim.t.Errorf("%s got %v, want a prefix of %v", s.id, r.got, r.want)
			}
			if last := string(s.stages[len(s.stages)-1].ID); p.Text != last {
				sim.t.Errorf("%s got token %d of %s; the last stage is %s", s.id, p.Position, p.Text, last)
			}
			if r.left {
				return errAbandoned
			}
			return nil
		})
		sim.table.remove(s.id)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		r.done, r.err, r.result = true, err, s.result(err).Outcome
		for _, b := range s.stages {
			r.chain = append(r.chain, string(b.ID))
		}
		sim.count[string(r.result)]++
	}()
}

// simChooser chooses any connected hosts that cover the layers.
type simChooser struct{ *simulation }

func (c simChooser) cover(random *rand.Rand, r planner.Request, layers pipeline.LayerRange) ([]planner.Stage, error) {
	var found []*host
	for _, h := range c.hosts {
		if c.entry.Connection(h.id) != nil && h.layers.From == layers.From && h.layers.To <= layers.To && !slices.Contains(r.Exclude.Upstreams, upstream.InstanceID(h.id)) {
			found = append(found, h)
		}
	}
	for _, i := range random.Perm(len(found)) {
		h := found[i]
		stages := []planner.Stage{newStage(h.upstream)}
		if h.layers.To == layers.To {
			return stages, nil
		}
		rest, err := c.cover(random, r, pipeline.LayerRange{From: h.layers.To, To: layers.To})
		if err == nil {
			return append(stages, rest...), nil
		}
	}
	return nil, planner.ErrNoChain
}

func (c simChooser) chain(random *rand.Rand, r planner.Request) (planner.Decision, error) {
	stages, err := c.cover(random, r, pipeline.LayerRange{To: simLayers})
	return planner.Decision{Chain: planner.Chain{Model: "m", Layers: simLayers, Stages: stages}}, err
}

func (c simChooser) replace(random *rand.Rand, chain planner.Chain, i int, r planner.Request) ([]planner.Stage, error) {
	r.Exclude.Upstreams = append(slices.Clone(r.Exclude.Upstreams), chain.Stages[i].ID)
	return c.cover(random, r, chain.Stages[i].Layers)
}

func (sim *simulation) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	h := fnv.New64a()
	_, _ = h.Write([]byte(line))
	sim.trace = mix(sim.trace, h.Sum64())
	if *verbose {
		sim.t.Logf("%6d %v %s", sim.step, time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)), line)
	}
}

// connect makes a connection from p to q. Steps and tokens of an earlier one may
// arrive again.
func (sim *simulation) connect(p, q *simProcess, address string) *end {
	a := &end{simProcess: p, number: len(sim.ends), address: address}
	b := &end{simProcess: q, number: len(sim.ends) + 1, remote: a}
	a.remote = b
	p.dialed[address] = a
	sim.ends = append(sim.ends, a, b)
	for _, e := range []*end{a, b} {
		if again := sim.recent[[2]*simProcess{e.remote.simProcess, e.simProcess}]; len(again) > 0 && sim.rng.IntN(2) == 0 {
			e.inbox = slices.Clone(again)
			sim.count["duplicate"] += len(again)
		}
	}
	return a
}

func (e *end) delay(longest time.Duration) {
	e.delayed = time.Now().Add(time.Duration(e.rng.Int64N(int64(longest))))
}

// cut ends a connection. Each side still gets a part of what was sent to it.
func (sim *simulation) cut(e *end) {
	for _, e := range []*end{e, e.remote} {
		if !e.cut {
			e.cut = true
			if sim.rng.IntN(2) == 0 {
				e.delay(time.Second)
			}
			e.inbox = append(slices.Clone(e.inbox[:sim.rng.IntN(len(e.inbox)+1)]), nil, nil)
		}
	}
}

func (sim *simulation) startSidecar(h *host) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &simProcess{simulation: sim, name: fmt.Sprint(h.id, "#", sim.step), host: h, cancel: cancel, dialed: map[string]*end{}}
	p.stage = sidecar.NewStage(p, engineClient{p}, h.upstream.Descriptor, sidecar.StageOptions{
		MaxBatch: 4, MaxQueue: 64, MaxQueueTokens: 1 << 20, OutputLogBytes: 1 << 20, StepwiseReplay: sim.rng.IntN(4) == 0,
		Healthy: func() bool { return true }, RequestProbe: func() {},
	})
	h.process = p
	go p.stage.Run(ctx)
}

// kill ends a sidecar, or its engine, or both.
func (sim *simulation) kill(h *host, withSidecar, withEngine bool) {
	sim.note("kill %s %v %v", h.id, withSidecar, withEngine)
	for _, c := range slices.Clone(sim.calls) {
		if c.simProcess == h.process && (withSidecar || c.address == "") {
			sim.loseBatch(c, withEngine)
			sim.answer(c, peer.ErrClosed)
		}
	}
	if withEngine {
		h.engine = newSimEngine(h)
		h.engines = append(h.engines, h.engine)
	}
	if withSidecar {
		h.process.dead = true
		h.process.cancel()
		for _, e := range sim.ends {
			if e.simProcess == h.process {
				sim.cut(e)
			}
		}
		h.process = nil
	}
}

func (sim *simulation) hostOf(id string) *host {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.id == id })]
}

// deliver hands the first frame of a connection to its process.
func (sim *simulation) deliver(e *end) {
	f := e.inbox[0]
	e.inbox = e.inbox[1:]
	pair := [2]*simProcess{e.remote.simProcess, e.simProcess}
	switch f.(type) {
	case *peer.Step, *peer.Token, *peer.CloseSequence:
		sim.recent[pair] = append(sim.recent[pair], f)
		sim.recent[pair] = sim.recent[pair][max(0, len(sim.recent[pair])-8):]
	case nil:
		if e.closed {
			break
		}
		e.closed = true
		if e.dialed[e.address] == e {
			delete(e.dialed, e.address)
		}
		return
	}
	sim.mu.Unlock()
	defer sim.mu.Lock()
	if e.stage == nil {
		if f == nil {
			sim.table.lost(e)
			return
		}
		sim.table.deliver(e, requestOf(f), f)
		return
	}
	switch f := f.(type) {
	case nil:
		e.stage.Disconnected(e, e.address)
	case *peer.OpenSequence:
		e.stage.Open(e, f)
	case *peer.ResumeSequence:
		e.stage.Resume(f)
	case *peer.CloseSequence:
		e.stage.Close(f)
	case *peer.Step:
		e.stage.HandleStep(f)
	}
}

// requestOf returns the id that every frame of a sequence holds.
func requestOf(f peer.Frame) request.ID {
	return reflect.ValueOf(f).Elem().FieldByName("Request").Interface().(request.ID)
}

// settle waits until nothing runs and puts what was sent in an order that does
// not depend on the runtime's scheduler. Frames of one request keep their order.
func (sim *simulation) settle() {
	sim.mu.Unlock()
	synctest.Wait()
	sim.mu.Lock()
	for _, e := range sim.ends {
		if len(e.fresh) > 0 {
			slices.SortStableFunc(e.fresh, func(a, b peer.Frame) int { return cmp.Compare(requestOf(a), requestOf(b)) })
			if !e.cut {
				e.inbox = append(e.inbox, e.fresh...)
			}
			e.fresh = nil
		}
	}
	slices.SortStableFunc(sim.calls, func(a, b *simCall) int { return strings.Compare(a.key(), b.key()) })
}

func (sim *simulation) sleep(d time.Duration) {
	sim.mu.Unlock()
	time.Sleep(d)
	sim.mu.Lock()
	sim.settle()
	for _, h := range sim.hosts {
		if h.process != nil && !h.process.frozen() {
			stage := h.process.stage
			sim.mu.Unlock()
			stage.RemoveExpired()
			sim.mu.Lock()
		}
	}
	for _, e := range sim.ends {
		if p := e.remote.simProcess; p.frozen() && !e.simProcess.frozen() && !e.cut && time.Since(p.frozenAt) > simIdle {
			e.inbox = nil
			sim.cut(e)
		}
	}
}

// check compares the ledgers and results with the invariants.
func (sim *simulation) check() {
	for _, r := range sim.runs {
		ran := false
		complete := map[int]bool{} // layers that ran every position
		for _, h := range sim.hosts {
			exact := false
			for _, e := range h.engines {
				for id, positions := range e.ledger {
					if !strings.HasPrefix(id, string(r.id)+"/") {
						continue
					}
					ran = true
					exact = exact || len(positions) == len(r.got)
					if r.result == request.OutcomeCompleted && len(positions) > len(r.got) {
						sim.t.Errorf("%s completed with %d tokens, but %s ran %v", r.id, len(r.got), h.id, positions)
					}
				}
			}
			for l := h.layers.From; exact && l < h.layers.To; l++ {
				complete[l] = true
			}
			if r.result == request.OutcomeCompleted && r.chain[len(r.chain)-1] == h.id && !exact {
				sim.t.Errorf("%s completed with %d tokens, which the last stage %s did not run", r.id, len(r.got), h.id)
			}
		}
		// A stage that joined late may still be catching up, but then the one
		// before it ran all positions.
		if r.result == request.OutcomeCompleted && len(complete) != simLayers {
			sim.t.Errorf("%s completed with %d tokens, which only the layers %v ran", r.id, len(r.got), complete)
		}
		if r.result == request.OutcomeNotRun && ran {
			sim.t.Errorf("%s was reported as not run, but an engine ran it (%v)", r.id, r.err)
		}
		if r.result == request.OutcomeCompleted && !slices.Equal(r.got, r.want) {
			sim.t.Errorf("%s completed with %v, want %v", r.id, r.got, r.want)
		}
		expired := errors.Is(r.err, context.DeadlineExceeded) || errors.Is(r.err, errExpired) || errors.Is(r.err, team.ErrRetryDeadline)
		if r.err != nil && !r.left && !expired && !errors.Is(r.err, team.ErrRetryBudget) && !errors.Is(r.err, planner.ErrNoChain) {
			sim.t.Errorf("%s failed: %v", r.id, r.err)
		}
	}
	for _, h := range sim.hosts {
		if n := h.process.stage.Len(); n > 0 {
			sim.t.Errorf("%s still holds %d sequences", h.id, n)
		}
		if n := h.upstream.InFlight(); n != 0 {
			sim.t.Errorf("%s still counts %d sequences in flight", h.id, n)
		}
	}
}

func simulate(t *testing.T, seed uint64, count map[string]int) (trace uint64) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			t: t, rng: rand.New(rand.NewPCG(seed, 0)), count: count, table: newSequenceTable(events.Nop()),
			chains: map[string]string{}, bound: map[string]acceptance{}, recent: map[[2]*simProcess][]peer.Frame{},
		}
		sim.entry = &simProcess{simulation: sim, name: "entry", dialed: map[string]*end{}}
		sim.rare = []int{100, 200, 400}[sim.rng.IntN(3)]
		directory := upstream.NewDirectory(upstream.DirectoryConfig{})
		stages, replicas := 2+sim.rng.IntN(2), 2+sim.rng.IntN(2)
		size := simLayers / stages
		add := func(from, to int) {
			h := &host{id: fmt.Sprintf("h%d-%d-%d", from, to, len(sim.hosts)), layers: pipeline.LayerRange{From: from, To: to}}
			h.upstream, _ = directory.Register(time.Now(), upstream.Registration{ID: upstream.InstanceID(h.id), Process: h.id, Address: h.id,
				Descriptor: upstream.Descriptor{Kind: upstream.KindEngine, Model: "m", ModelLayers: simLayers, Layers: h.layers}})
			h.engine = newSimEngine(h)
			h.engines = []*simEngine{h.engine}
			sim.hosts = append(sim.hosts, h)
			sim.startSidecar(h)
			sim.connect(sim.entry, h.process, h.id)
		}
		for i := range stages {
			for range replicas {
				add(i*size, (i+1)*size)
			}
		}
		if sim.rng.IntN(2) == 0 { // two stages that can replace one
			from := sim.rng.IntN(stages) * size
			add(from, from+1)
			add(from+1, from+size)
		}
		for i := range 1 + sim.rng.IntN(3) {
			sim.startRun(i, directory)
		}
		sim.schedule()
		if !t.Failed() {
			sim.check()
		}
		if t.Failed() {
			t.Logf("repeat with: go test -run TestSchedules ./internal/entry -entry.seed=%d -entry.schedules=1 -entry.trace", seed)
		}
		sim.stop()
		trace = sim.trace
	})
	return trace
}

// stop ends everything that still waits, so that a failed schedule ends too.
func (sim *simulation) stop() {
	for _, r := range sim.runs {
		r.leave()
	}
	for _, h := range sim.hosts {
		if h.process != nil {
			h.process.cancel()
			h.process.dead = true
		}
	}
	sim.entry.dead = true
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for sim.settle(); len(sim.calls) > 0; sim.settle() {
		sim.answer(sim.calls[0], peer.ErrClosed)
	}
}

// Guards against gaps, repeats and wrong tokens in an answer, layers that run
// twice, contributions of replaced stages, a false not-run, and sequences that
// hang or stay open, under cut connections, killed and frozen processes, failing
// engines, duplicated frames and callers that leave.
func TestSchedules(t *testing.T) {
	count := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		trace := simulate(t, seed, count)
		if seed%50 == 0 && !t.Failed() {
			assert.Equal(t, simulate(t, seed, map[string]int{}), trace, "seed %d is not repeatable", seed)
		}
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %v", *schedules, count)
	if *schedules < 1000 {
		return
	}
	for _, event := range []string{"kill", "engine killed", "freeze", "cut", "delay", "left", "hang", "lost response", "engine error",
		"duplicate", "completed", "failed", "not-run"} {
		assert.Assert(t, count[event] > 0, "no schedule had the event %q", event)
	}
}
