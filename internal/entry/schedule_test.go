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
	// simIdleTimeout is how long one end of a connection may be frozen before
	// the other end closes it.
	simIdleTimeout = time.Second
)

// simulation runs a few sequences of an entry and the stages of a few hosts.
// Its scheduler, which draws from the seed, delivers one frame or advances one
// call at a time.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	noFaults    bool
	faultOdds   int // each case of injectFault is drawn once in faultOdds steps
	eventCounts map[string]int
	entry       *simProcess
	hosts       []*simHost
	sequences   *sequenceTable
	requests    []*simRequest
	traceHash   uint64
	step        int

	// mu guards the fields below and the state of the processes and engines.
	mu           sync.Mutex
	connEnds     []*connEnd
	pendingCalls []*simCall
	// stageHosts holds the host of the stage that ends at a layer, for each
	// request and attempt (see chainKey).
	stageHosts map[string]string
	// accepted holds the last OpenSequence that a host accepted, by host and
	// request.
	accepted map[string]acceptedOpen
	// recentFrames holds the last steps, tokens and closes between two processes.
	recentFrames map[[2]*simProcess][]peer.Frame
}

// simRequest is one request with its expected tokens and what its caller
// received.
type simRequest struct {
	*sequence
	wantTokens   []int
	gotTokens    []int
	cancelCaller context.CancelFunc
	callerLeft   bool
	done         bool
	err          error
	outcome      request.Outcome
	finalChain   []string
}

func (sim *simulation) startRequest(i int, directory *upstream.Directory) {
	prompt := string(rune('a'+i)) + strings.Repeat("x", sim.rng.IntN(9))
	deadline := time.Now().Add(time.Hour)
	if sim.rng.IntN(8) == 0 {
		deadline = time.Now().Add(time.Duration(sim.rng.Int64N(int64(10 * time.Second))))
	}
	s := newTestSequence(sim.entry, simChooser{sim}, request.ID(fmt.Sprint("request-", i)), deadline, directory, sim.rng.Uint64())
	s.prompt, s.maxTokens, s.starForwarding = prompt, 1+sim.rng.IntN(12), sim.rng.IntN(5) == 0
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	r := &simRequest{sequence: s, wantTokens: referenceTokens(prompt, s.maxTokens), cancelCaller: cancel}
	sim.requests = append(sim.requests, r)
	sim.sequences.add(s)
	delay := time.Duration(sim.rng.Int64N(int64(50 * time.Millisecond)))
	go func() {
		time.Sleep(delay)
		err := s.run(ctx, func(p request.Piece) error {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			r.gotTokens = append(r.gotTokens, p.Token)
			if n := len(r.gotTokens); n > len(r.wantTokens) || r.wantTokens[n-1] != p.Token {
				sim.t.Errorf("%s got %v, want a prefix of %v", s.id, r.gotTokens, r.wantTokens)
			}
			if last := string(s.stages[len(s.stages)-1].ID); p.Text != last {
				sim.t.Errorf("%s got token %d from %s; the last stage is %s", s.id, p.Position, p.Text, last)
			}
			if r.callerLeft {
				return errCallerLeft
			}
			return nil
		})
		sim.sequences.remove(s.id)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		r.done, r.err, r.outcome = true, err, s.chatResult(err).Outcome
		for _, b := range s.stages {
			r.finalChain = append(r.finalChain, string(b.ID))
		}
		sim.eventCounts[string(r.outcome)]++
	}()
}

// simChooser chooses connected hosts that cover the layers, at random.
type simChooser struct{ *simulation }

func (c simChooser) coverLayers(random *rand.Rand, r planner.Request, layers pipeline.LayerRange) ([]planner.Stage, error) {
	var candidates []*simHost
	for _, h := range c.hosts {
		if c.entry.Connection(h.id) != nil && h.layers.From == layers.From && h.layers.To <= layers.To && !slices.Contains(r.Exclude.Upstreams, upstream.InstanceID(h.id)) {
			candidates = append(candidates, h)
		}
	}
	for _, i := range random.Perm(len(candidates)) {
		h := candidates[i]
		stages := []planner.Stage{newStage(h.upstream)}
		if h.layers.To == layers.To {
			return stages, nil
		}
		rest, err := c.coverLayers(random, r, pipeline.LayerRange{From: h.layers.To, To: layers.To})
		if err == nil {
			return append(stages, rest...), nil
		}
	}
	return nil, planner.ErrNoChain
}

func (c simChooser) chain(random *rand.Rand, r planner.Request) (planner.Decision, error) {
	stages, err := c.coverLayers(random, r, pipeline.LayerRange{To: simLayers})
	return planner.Decision{Chain: planner.Chain{Model: "m", Layers: simLayers, Stages: stages}}, err
}

func (c simChooser) replace(random *rand.Rand, chain planner.Chain, i int, r planner.Request) ([]planner.Stage, error) {
	r.Exclude.Upstreams = append(slices.Clone(r.Exclude.Upstreams), chain.Stages[i].ID)
	return c.coverLayers(random, r, chain.Stages[i].Layers)
}

// recordEvent adds an event to traceHash and logs it if verbose.
func (sim *simulation) recordEvent(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	h := fnv.New64a()
	_, _ = h.Write([]byte(line))
	sim.traceHash = hashValues(sim.traceHash, h.Sum64())
	if *verbose {
		sim.t.Logf("%6d %v %s", sim.step, time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)), line)
	}
}

// connect connects p to q. Recent frames of an earlier connection may be
// delivered again.
func (sim *simulation) connect(p, q *simProcess, address string) *connEnd {
	a := &connEnd{simProcess: p, number: len(sim.connEnds), address: address}
	b := &connEnd{simProcess: q, number: len(sim.connEnds) + 1, remote: a}
	a.remote = b
	p.connections[address] = a
	sim.connEnds = append(sim.connEnds, a, b)
	for _, e := range []*connEnd{a, b} {
		if resent := sim.recentFrames[[2]*simProcess{e.remote.simProcess, e.simProcess}]; len(resent) > 0 && sim.rng.IntN(2) == 0 {
			e.inbox = slices.Clone(resent)
			sim.eventCounts["duplicate"] += len(resent)
		}
	}
	return a
}

func (e *connEnd) delayDelivery(maxDelay time.Duration) {
	e.delayedUntil = time.Now().Add(time.Duration(e.rng.Int64N(int64(maxDelay))))
}

// cut ends a connection. Each end still receives a part of the frames that were
// sent to it.
func (sim *simulation) cut(e *connEnd) {
	for _, e := range []*connEnd{e, e.remote} {
		if !e.cut {
			e.cut = true
			if sim.rng.IntN(2) == 0 {
				e.delayDelivery(time.Second)
			}
			e.inbox = append(slices.Clone(e.inbox[:sim.rng.IntN(len(e.inbox)+1)]), nil, nil)
		}
	}
}

func (sim *simulation) startSidecar(h *simHost) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &simProcess{simulation: sim, name: fmt.Sprint(h.id, "#", sim.step), host: h, cancel: cancel, connections: map[string]*connEnd{}}
	p.stage = sidecar.NewStage(p, engineClient{p}, h.upstream.Descriptor, sidecar.StageOptions{
		MaxBatch: 4, MaxQueue: 64, MaxQueueTokens: 1 << 20, OutputLogBytes: 1 << 20, StepwiseReplay: sim.rng.IntN(4) == 0,
		Healthy: func() bool { return true }, RequestProbe: func() {},
	})
	h.process = p
	go p.stage.Run(ctx)
}

// kill kills a sidecar, its engine, or both.
func (sim *simulation) kill(h *simHost, withSidecar, withEngine bool) {
	sim.recordEvent("kill %s %v %v", h.id, withSidecar, withEngine)
	for _, c := range slices.Clone(sim.pendingCalls) {
		if c.simProcess == h.process && (withSidecar || c.address == "") {
			sim.resolveLostBatch(c, withEngine)
			sim.finishCall(c, peer.ErrClosed)
		}
	}
	if withEngine {
		h.engine = newSimEngine(h)
		h.allEngines = append(h.allEngines, h.engine)
	}
	if withSidecar {
		h.process.dead = true
		h.process.cancel()
		for _, e := range sim.connEnds {
			if e.simProcess == h.process {
				sim.cut(e)
			}
		}
		h.process = nil
	}
}

func (sim *simulation) hostByID(id string) *simHost {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h.id == id })]
}

// deliverNext delivers the first frame in an inbox to its process.
func (sim *simulation) deliverNext(e *connEnd) {
	f := e.inbox[0]
	e.inbox = e.inbox[1:]
	pair := [2]*simProcess{e.remote.simProcess, e.simProcess}
	switch f.(type) {
	case *peer.Step, *peer.Token, *peer.CloseSequence:
		sim.recentFrames[pair] = append(sim.recentFrames[pair], f)
		sim.recentFrames[pair] = sim.recentFrames[pair][max(0, len(sim.recentFrames[pair])-8):]
	case nil:
		if e.closed {
			break
		}
		e.closed = true
		if e.connections[e.address] == e {
			delete(e.connections, e.address)
		}
		return
	}
	sim.mu.Unlock()
	defer sim.mu.Lock()
	if e.stage == nil {
		if f == nil {
			sim.sequences.connectionLost(e)
			return
		}
		sim.sequences.deliver(e, requestID(f), f)
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

// requestID returns the request id of a frame of a sequence.
func requestID(f peer.Frame) request.ID {
	return reflect.ValueOf(f).Elem().FieldByName("Request").Interface().(request.ID)
}

// waitIdle waits until all goroutines are blocked and sorts new frames and
// calls into an order that does not depend on the Go scheduler. Frames of one
// request keep their order.
func (sim *simulation) waitIdle() {
	sim.mu.Unlock()
	synctest.Wait()
	sim.mu.Lock()
	for _, e := range sim.connEnds {
		if len(e.unsortedFrames) > 0 {
			slices.SortStableFunc(e.unsortedFrames, func(a, b peer.Frame) int { return cmp.Compare(requestID(a), requestID(b)) })
			if !e.cut {
				e.inbox = append(e.inbox, e.unsortedFrames...)
			}
			e.unsortedFrames = nil
		}
	}
	slices.SortStableFunc(sim.pendingCalls, func(a, b *simCall) int { return strings.Compare(a.key(), b.key()) })
}

func (sim *simulation) sleep(d time.Duration) {
	sim.mu.Unlock()
	time.Sleep(d)
	sim.mu.Lock()
	sim.waitIdle()
	for _, h := range sim.hosts {
		if h.process != nil && !h.process.frozen() {
			stage := h.process.stage
			sim.mu.Unlock()
			stage.RemoveExpired()
			sim.mu.Lock()
		}
	}
	for _, e := range sim.connEnds {
		if p := e.remote.simProcess; p.frozen() && !e.simProcess.frozen() && !e.cut && time.Since(p.frozenAt) > simIdleTimeout {
			e.inbox = nil
			sim.cut(e)
		}
	}
}

// checkInvariants compares the positions that the engines ran and the results
// of the requests with the invariants.
func (sim *simulation) checkInvariants() {
	for _, r := range sim.requests {
		ran := false
		completeLayers := map[int]bool{} // layers that ran every position
		for _, h := range sim.hosts {
			ranAll := false
			for _, e := range h.allEngines {
				for id, positions := range e.ranPositions {
					if !strings.HasPrefix(id, string(r.id)+"/") {
						continue
					}
					ran = true
					ranAll = ranAll || len(positions) == len(r.gotTokens)
					if r.outcome == request.OutcomeCompleted && len(positions) > len(r.gotTokens) {
						sim.t.Errorf("%s completed with %d tokens, but %s ran %v", r.id, len(r.gotTokens), h.id, positions)
					}
				}
			}
			for l := h.layers.From; ranAll && l < h.layers.To; l++ {
				completeLayers[l] = true
			}
			if r.outcome == request.OutcomeCompleted && r.finalChain[len(r.finalChain)-1] == h.id && !ranAll {
				sim.t.Errorf("%s completed with %d tokens, which the last stage %s did not run", r.id, len(r.gotTokens), h.id)
			}
		}
		// A stage that replaced another one may still be replaying, but then
		// the replaced one ran all positions.
		if r.outcome == request.OutcomeCompleted && len(completeLayers) != simLayers {
			sim.t.Errorf("%s completed with %d tokens, which only the layers %v ran", r.id, len(r.gotTokens), completeLayers)
		}
		if r.outcome == request.OutcomeNotRun && ran {
			sim.t.Errorf("%s was reported as not run, but an engine ran it (%v)", r.id, r.err)
		}
		if r.outcome == request.OutcomeCompleted && !slices.Equal(r.gotTokens, r.wantTokens) {
			sim.t.Errorf("%s completed with %v, want %v", r.id, r.gotTokens, r.wantTokens)
		}
		expired := errors.Is(r.err, context.DeadlineExceeded) || errors.Is(r.err, errDeadlinePassed) || errors.Is(r.err, team.ErrNoTimeForRetry)
		if r.err != nil && !r.callerLeft && !expired && !errors.Is(r.err, team.ErrRetryBudget) && !errors.Is(r.err, planner.ErrNoChain) {
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

// simulate runs the schedule of a seed and returns the hash of its events.
func simulate(t *testing.T, seed uint64, eventCounts map[string]int) (hash uint64) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			t: t, rng: rand.New(rand.NewPCG(seed, 0)), eventCounts: eventCounts, sequences: newSequenceTable(events.Nop()),
			stageHosts: map[string]string{}, accepted: map[string]acceptedOpen{}, recentFrames: map[[2]*simProcess][]peer.Frame{},
		}
		sim.entry = &simProcess{simulation: sim, name: "entry", connections: map[string]*connEnd{}}
		sim.faultOdds = []int{100, 200, 400}[sim.rng.IntN(3)]
		directory := upstream.NewDirectory(upstream.DirectoryConfig{})
		stages, replicas := 2+sim.rng.IntN(2), 2+sim.rng.IntN(2)
		size := simLayers / stages
		addHost := func(from, to int) {
			h := &simHost{id: fmt.Sprintf("h%d-%d-%d", from, to, len(sim.hosts)), layers: pipeline.LayerRange{From: from, To: to}}
			h.upstream, _ = directory.Register(time.Now(), upstream.Registration{ID: upstream.InstanceID(h.id), Process: h.id, Address: h.id,
				Descriptor: upstream.Descriptor{Kind: upstream.KindEngine, Model: "m", ModelLayers: simLayers, Layers: h.layers}})
			h.engine = newSimEngine(h)
			h.allEngines = []*simEngine{h.engine}
			sim.hosts = append(sim.hosts, h)
			sim.startSidecar(h)
			sim.connect(sim.entry, h.process, h.id)
		}
		for i := range stages {
			for range replicas {
				addHost(i*size, (i+1)*size)
			}
		}
		if sim.rng.IntN(2) == 0 { // two stages that can replace one
			from := sim.rng.IntN(stages) * size
			addHost(from, from+1)
			addHost(from+1, from+size)
		}
		for i := range 1 + sim.rng.IntN(3) {
			sim.startRequest(i, directory)
		}
		sim.runSchedule()
		if !t.Failed() {
			sim.checkInvariants()
		}
		if t.Failed() {
			t.Logf("reproduce with: go test -run TestSchedules ./internal/entry -entry.seed=%d -entry.schedules=1 -entry.trace", seed)
		}
		sim.stop()
		hash = sim.traceHash
	})
	return hash
}

// stop ends all callers, processes and waiting calls, so that a failed schedule
// ends too.
func (sim *simulation) stop() {
	for _, r := range sim.requests {
		r.cancelCaller()
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
	for sim.waitIdle(); len(sim.pendingCalls) > 0; sim.waitIdle() {
		sim.finishCall(sim.pendingCalls[0], peer.ErrClosed)
	}
}

// Guards against gaps, repeats and wrong tokens in an answer, layers that run a
// position twice, outputs of replaced stages, requests wrongly reported as not
// run, and sequences that hang or stay open. The schedules cut connections,
// kill and freeze processes, fail engine calls, duplicate frames and let
// callers leave.
func TestSchedules(t *testing.T) {
	eventCounts := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		hash := simulate(t, seed, eventCounts)
		if seed%50 == 0 && !t.Failed() {
			assert.Equal(t, simulate(t, seed, map[string]int{}), hash, "seed %d is not reproducible", seed)
		}
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %v", *schedules, eventCounts)
	if *schedules < 1000 {
		return
	}
	for _, event := range []string{"kill", "engine killed", "freeze", "cut", "delay", "left", "hang", "lost response", "engine error",
		"duplicate", "completed", "failed", "not-run"} {
		assert.Assert(t, eventCounts[event] > 0, "no schedule had the event %q", event)
	}
}
