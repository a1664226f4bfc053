package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/sidecar"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// acceptedOpen is the attempt of the last OpenSequence that a host accepted,
// and the engine calls that were pending then. Work of earlier attempts may be
// queued behind these calls.
type acceptedOpen struct {
	attempt     request.Attempt
	engineCalls string
}

// simHost is a simulated machine with a sidecar and an engine, which restart
// separately.
type simHost struct {
	id         string
	layers     pipeline.LayerRange
	upstream   *upstream.Upstream
	process    *simProcess // nil while the sidecar is down
	engine     *simEngine
	allEngines []*simEngine // every start of the engine
}

// simProcess is one start of the entry or of a sidecar.
type simProcess struct {
	*simulation
	name          string
	host          *simHost // nil for the entry
	stage         *sidecar.Stage
	cancel        context.CancelFunc
	dead          bool
	pendingLookup string // engine ID and ":" of the sequence whose status the sidecar will request again
	frozenAt      time.Time
	frozenUntil   time.Time
	connections   map[string]*connEnd
}

func (p *simProcess) frozen() bool { return time.Now().Before(p.frozenUntil) }

// connEnd is one process's end of a connection. The first nil frame in the
// inbox closes it, and the second one reports the loss to the process.
type connEnd struct {
	*simProcess
	number         int
	remote         *connEnd
	address        string
	inbox          []peer.Frame
	unsortedFrames []peer.Frame // arrived since the scheduler last sorted new frames
	delayedUntil   time.Time    // no frame is delivered before this time
	cut, closed    bool
}

// Send implements peer.Sender. Frames sent after a cut are lost.
func (e *connEnd) Send(f peer.Frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f := f.(type) {
	case *peer.OpenSequence:
		e.stageHosts[chainKey(f.Request, f.Attempt, f.Layers.To)] = e.remote.host.id
	case *peer.SequenceOpened:
		if f.Refused == "" {
			if previous := e.accepted[e.host.id+" "+string(f.Request)]; f.Attempt < previous.attempt {
				e.t.Errorf("%s accepts attempt %d of %s after attempt %d", e.host.id, f.Attempt, f.Request, previous.attempt)
			}
			calls := e.pendingLookup
			for _, c := range e.pendingCalls {
				if c.simProcess == e.simProcess && c.address == "" {
					calls += c.key()
				}
			}
			e.accepted[e.host.id+" "+string(f.Request)] = acceptedOpen{f.Attempt, calls}
		}
	}
	if e.closed || e.dead {
		return peer.ErrClosed
	}
	if !e.cut {
		e.remote.unsortedFrames = append(e.remote.unsortedFrames, f)
	}
	return nil
}

// chainKey returns the key in stageHosts of an attempt and the last layer of a
// stage.
func chainKey(id request.ID, attempt request.Attempt, layer int) string {
	return fmt.Sprintf("%s %d %d", id, attempt, layer)
}

// Connection implements peer.Dialer.
func (p *simProcess) Connection(address string) peer.Sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.connections[address]; e != nil {
		return e
	}
	return nil
}

// Dial implements peer.Dialer.
func (p *simProcess) Dial(ctx context.Context, address string) (peer.Sender, error) {
	c := &simCall{simProcess: p, ctx: ctx, address: address}
	if err := p.wait(c); err != nil {
		return nil, err
	}
	return c.conn, nil
}

// simCall is a dial or an engine call that waits for the scheduler.
type simCall struct {
	*simProcess
	ctx          context.Context
	address      string
	conn         *connEnd
	batch        []engine.Step
	results      []engine.StepResult
	lookupID     string
	status       engine.SequenceStatus
	ran          bool // the engine ran the batch; the response is not delivered yet
	blockedUntil time.Time
	err          error
	done         chan struct{}
}

// key identifies a call by its process, address or steps, for sorting and
// logging.
func (c *simCall) key() string {
	k := fmt.Sprint(c.name, " ", c.address, " ", c.ctx.Err() != nil, " ", c.lookupID, ":")
	for _, s := range c.batch {
		k += fmt.Sprintf(" %s:%d", s.Sequence, s.Position)
	}
	return k
}

// wait queues a call for the scheduler and waits until it is finished.
func (p *simProcess) wait(c *simCall) error {
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return peer.ErrClosed
	}
	c.done = make(chan struct{})
	p.pendingCalls = append(p.pendingCalls, c)
	p.mu.Unlock()
	<-c.done
	return c.err
}

// simEngine is one start of an engine. ranPositions holds the positions that it
// ran for each sequence, and delayedSteps the steps that it received but has
// not run.
type simEngine struct {
	host         *simHost
	ranPositions map[string][]request.Position
	kv           map[string][]uint64
	lastResult   map[string]engine.StepResult
	delayedSteps []delayedStep
}

// delayedStep is a step that the engine has not run. accepted is true if the
// engine counts it as pending and drops it when the sequence is cancelled.
type delayedStep struct {
	engine.Step
	accepted bool
}

func newSimEngine(h *simHost) *simEngine {
	return &simEngine{host: h, ranPositions: map[string][]request.Position{}, kv: map[string][]uint64{}, lastResult: map[string]engine.StepResult{}}
}

// engineClient is a sidecar process's client of its engine.
type engineClient struct{ *simProcess }

func (c engineClient) Info(context.Context) (engine.Info, error) { return engine.Info{}, nil }
func (c engineClient) Order(context.Context, engine.Order) error { return nil }
func (c engineClient) Cancel(_ context.Context, id string) error { return c.dropAccepted(id) }
func (c engineClient) Batch(ctx context.Context, r engine.BatchRequest) (engine.BatchResponse, error) {
	call := &simCall{simProcess: c.simProcess, ctx: ctx, batch: r.Steps}
	c.checkInputs(r.Steps)
	err := c.wait(call)
	return engine.BatchResponse{Results: call.results}, err
}

func (c engineClient) Sequence(ctx context.Context, id string) (engine.SequenceStatus, error) {
	call := &simCall{simProcess: c.simProcess, ctx: ctx, lookupID: id}
	err := c.wait(call)
	return call.status, err
}

// dropAccepted drops the accepted steps of a sequence.
func (c engineClient) dropAccepted(id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.host.engine
	e.delayedSteps = slices.DeleteFunc(e.delayedSteps, func(s delayedStep) bool { return s.accepted && s.Sequence == id })
	return nil
}

// checkInputs fails the test if an input comes from a host other than the
// previous stage in the attempt that this stage last accepted.
func (c engineClient) checkInputs(steps []engine.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingLookup = ""
	for _, s := range steps {
		id, _, _ := strings.Cut(s.Sequence, "/")
		open := c.accepted[c.host.id+" "+id]
		want := c.stageHosts[chainKey(request.ID(id), open.attempt, c.host.layers.From)]
		queued := open.engineCalls != "" && !strings.Contains(open.engineCalls, s.Sequence+":")
		if len(s.Activation) > 0 && !queued && !c.dead && string(s.Activation[8:]) != want {
			c.t.Errorf("%s runs position %d of %s with an input of %s; the stage before it in attempt %d is %s",
				c.host.id, s.Position, id, s.Activation[8:], open.attempt, want)
		}
	}
}

// hashValues returns a hash of the values in order.
func hashValues(values ...uint64) uint64 {
	h := fnv.New64a()
	for _, v := range values {
		_ = binary.Write(h, binary.LittleEndian, v)
	}
	return h.Sum64()
}

// runLayers advances the KV state of consecutive layers by one position and
// returns their output.
func runLayers(kv []uint64, from int, x uint64) uint64 {
	for i := range kv {
		kv[i] = hashValues(kv[i], x, uint64(from+i))
		x = hashValues(kv[i], x)
	}
	return x
}

// promptInput returns the input of the first layer for a prompt.
func promptInput(prompt string) uint64 { return hashValues(uint64(len(prompt)), uint64(prompt[0])) }

// tokenFrom returns the token of an output of the last layer, and whether it
// ends the answer.
func tokenFrom(x uint64) (int, bool) { return int(x%1000) + 1, x%17 == 0 }

// referenceTokens returns the answer of a naive model that runs every layer of
// every position in turn.
func referenceTokens(prompt string, maxTokens int) []int {
	kv, x := make([]uint64, simLayers), promptInput(prompt)
	var tokens []int
	for {
		token, end := tokenFrom(runLayers(kv, 0, x))
		if tokens = append(tokens, token); end || len(tokens) == maxTokens {
			return tokens
		}
		x = uint64(token)
	}
}

// runStep runs one step. The caller holds sim.mu.
func (e *simEngine) runStep(sim *simulation, s engine.Step) engine.StepResult {
	ran := e.ranPositions[s.Sequence]
	if len(ran) == 0 && s.Position > 0 {
		// The engine restarted while its sidecar kept running, and holds no KV
		// state.
		return engine.StepResult{Sequence: s.Sequence, Position: s.Position, Error: "unknown sequence"}
	}
	if int(s.Position) != len(ran) {
		sim.t.Errorf("engine of %s runs position %d of %s after %v", e.host.id, s.Position, s.Sequence, ran)
	}
	e.ranPositions[s.Sequence] = append(ran, s.Position)
	if e.kv[s.Sequence] == nil {
		e.kv[s.Sequence] = make([]uint64, e.host.layers.Len())
	}
	x := uint64(s.Token)
	switch {
	case len(s.Activation) > 0:
		x = binary.LittleEndian.Uint64(s.Activation)
	case s.Position == 0:
		x = promptInput(s.Prompt)
	}
	x = runLayers(e.kv[s.Sequence], e.host.layers.From, x)
	r := engine.StepResult{Sequence: s.Sequence, Position: s.Position}
	if e.host.layers.To == simLayers {
		r.Token, r.End = tokenFrom(x)
		r.Text = e.host.id
	} else {
		r.Activation = append(binary.LittleEndian.AppendUint64(nil, x), e.host.id...)
	}
	e.lastResult[s.Sequence] = r
	return r
}

// resolveLostBatch draws what an engine does with the steps of a call whose
// sidecar no longer waits: it runs them now, runs them later, or drops them.
func (sim *simulation) resolveLostBatch(c *simCall, engineDead bool) {
	if c.ran || engineDead {
		return
	}
	choice := sim.rng.IntN(4)
	for _, s := range c.batch {
		switch choice {
		case 0:
			c.host.engine.runStep(sim, s)
		case 1, 2:
			c.host.engine.delayedSteps = append(c.host.engine.delayedSteps, delayedStep{s, choice == 1})
		}
	}
}

// finishCall returns from a waiting call with an error or nil.
func (sim *simulation) finishCall(c *simCall, err error) {
	sim.pendingCalls = slices.DeleteFunc(sim.pendingCalls, func(other *simCall) bool {
		// Concurrent dials by the entry's sequences have no defined order, so
		// all dials of one address finish together.
		sameDial := c.address != "" && c.host == nil && other.simProcess == c.simProcess && other.address == c.address
		if other == c || sameDial {
			other.conn, other.err = c.conn, err
			close(other.done)
		}
		return other == c || sameDial
	})
}

// advanceCall finishes, fails or delays a waiting call.
func (sim *simulation) advanceCall(c *simCall) {
	fault := 99
	if !sim.noFaults {
		fault = sim.rng.IntN(60)
	}
	switch {
	case c.ctx.Err() != nil:
		sim.resolveLostBatch(c, false)
		sim.finishCall(c, c.ctx.Err())
	case c.address != "":
		target := sim.hostByID(c.address).process
		switch existing := c.connections[c.address]; {
		case existing != nil:
			c.conn = existing
		case target == nil || fault == 0:
			sim.finishCall(c, peer.ErrUnreachable)
			return
		case target.frozen():
			c.blockedUntil = target.frozenUntil
			return
		default:
			c.conn = sim.connect(c.simProcess, target, c.address)
		}
		sim.finishCall(c, nil)
	case c.lookupID != "":
		e := c.host.engine
		if _, ok := e.lastResult[c.lookupID]; fault < 10 || !ok {
			sim.finishCall(c, errors.New("look-up failed"))
			return
		}
		last := e.lastResult[c.lookupID]
		c.status = engine.SequenceStatus{Next: last.Position + 1, Last: &last}
		for _, s := range e.delayedSteps {
			if s.accepted && s.Sequence == c.lookupID {
				c.status.Pending++
			}
		}
		if c.pendingLookup = ""; c.status.Pending > 0 {
			c.pendingLookup = c.lookupID + ":"
		}
		sim.finishCall(c, nil)
	case fault < 1:
		sim.eventCounts["hang"]++
		c.blockedUntil = time.Now().Add(time.Duration(sim.rng.Int64N(int64(8 * time.Second))))
	case fault < 3:
		sim.eventCounts["lost response"]++
		sim.resolveLostBatch(c, false)
		sim.finishCall(c, errors.New("connection reset"))
	case fault < 4 && !c.ran:
		sim.eventCounts["engine error"]++
		for _, s := range c.batch {
			c.results = append(c.results, engine.StepResult{Sequence: s.Sequence, Position: s.Position, Error: "out of memory"})
		}
		sim.finishCall(c, nil)
	default:
		if !c.ran {
			for _, s := range c.batch {
				c.results = append(c.results, c.host.engine.runStep(sim, s))
			}
			c.ran = true
		}
		if fault > 8 {
			sim.finishCall(c, nil)
		}
	}
}
