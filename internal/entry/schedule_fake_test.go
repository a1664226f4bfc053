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

// acceptance is the attempt that a host accepted last, and the engine calls that
// were under way then, behind which work of earlier attempts may be queued.
type acceptance struct {
	attempt request.Attempt
	calls   string
}

// host is a place for a sidecar and its engine, which restart separately.
type host struct {
	id       string
	layers   pipeline.LayerRange
	upstream *upstream.Upstream
	process  *simProcess // nil while it is down
	engine   *simEngine
	engines  []*simEngine // of all starts
}

// simProcess is one start of the entry or of a sidecar.
type simProcess struct {
	*simulation
	name     string
	host     *host // nil for the entry
	stage    *sidecar.Stage
	cancel   context.CancelFunc
	dead     bool
	probing  string // the sequence that the engine is asked about again soon
	frozenAt time.Time
	thawAt   time.Time
	dialed   map[string]*end
}

func (p *simProcess) frozen() bool { return time.Now().Before(p.thawAt) }

// end is one process's side of a connection. A nil frame in the inbox closes
// it, and a second one reports the loss.
type end struct {
	*simProcess
	number      int
	remote      *end
	address     string
	inbox       []peer.Frame
	fresh       []peer.Frame // sent since the scheduler last looked
	delayed     time.Time    // nothing arrives until then
	cut, closed bool
}

// Send implements peer.Sender. Frames sent after a cut are lost.
func (e *end) Send(f peer.Frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f := f.(type) {
	case *peer.OpenSequence:
		e.chains[chainKey(f.Request, f.Attempt, f.Layers.To)] = e.remote.host.id
	case *peer.SequenceOpened:
		if f.Refused == "" {
			if b := e.bound[e.host.id+" "+string(f.Request)]; f.Attempt < b.attempt {
				e.t.Errorf("%s accepts attempt %d of %s after attempt %d", e.host.id, f.Attempt, f.Request, b.attempt)
			}
			calls := e.probing
			for _, c := range e.calls {
				if c.simProcess == e.simProcess && c.address == "" {
					calls += c.key()
				}
			}
			e.bound[e.host.id+" "+string(f.Request)] = acceptance{f.Attempt, calls}
		}
	}
	if e.closed || e.dead {
		return peer.ErrClosed
	}
	if !e.cut {
		e.remote.fresh = append(e.remote.fresh, f)
	}
	return nil
}

func chainKey(id request.ID, a request.Attempt, layer int) string {
	return fmt.Sprintf("%s %d %d", id, a, layer)
}

// Connection implements peer.Dialer.
func (p *simProcess) Connection(address string) peer.Sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.dialed[address]; e != nil {
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
	ctx     context.Context
	address string
	conn    *end
	batch   []engine.Step
	results []engine.StepResult
	lookup  string
	status  engine.SequenceStatus
	ran     bool // but the response is not delivered
	until   time.Time
	err     error
	done    chan struct{}
}

func (c *simCall) key() string {
	k := fmt.Sprint(c.name, " ", c.address, " ", c.ctx.Err() != nil, " ", c.lookup, ":")
	for _, s := range c.batch {
		k += fmt.Sprintf(" %s:%d", s.Sequence, s.Position)
	}
	return k
}

func (p *simProcess) wait(c *simCall) error {
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return peer.ErrClosed
	}
	c.done = make(chan struct{})
	p.calls = append(p.calls, c)
	p.mu.Unlock()
	<-c.done
	return c.err
}

// simEngine is one start of an engine. Its ledger holds the positions that it
// ran for each sequence, and late the steps that it received but did not run.
type simEngine struct {
	host   *host
	ledger map[string][]request.Position
	kv     map[string][]uint64
	last   map[string]engine.StepResult
	late   []lateStep
}

type lateStep struct {
	engine.Step
	accepted bool
}

func newSimEngine(h *host) *simEngine {
	return &simEngine{host: h, ledger: map[string][]request.Position{}, kv: map[string][]uint64{}, last: map[string]engine.StepResult{}}
}

// engineClient is the engine as one sidecar process reaches it.
type engineClient struct{ *simProcess }

func (c engineClient) Info(context.Context) (engine.Info, error) { return engine.Info{}, nil }
func (c engineClient) Order(context.Context, engine.Order) error { return nil }
func (c engineClient) Cancel(_ context.Context, id string) error { return c.drop(id) }
func (c engineClient) Batch(ctx context.Context, r engine.BatchRequest) (engine.BatchResponse, error) {
	call := &simCall{simProcess: c.simProcess, ctx: ctx, batch: r.Steps}
	c.checkInputs(r.Steps)
	err := c.wait(call)
	return engine.BatchResponse{Results: call.results}, err
}

func (c engineClient) Sequence(ctx context.Context, id string) (engine.SequenceStatus, error) {
	call := &simCall{simProcess: c.simProcess, ctx: ctx, lookup: id}
	err := c.wait(call)
	return call.status, err
}

func (c engineClient) drop(id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.host.engine
	e.late = slices.DeleteFunc(e.late, func(s lateStep) bool { return s.accepted && s.Sequence == id })
	return nil
}

// checkInputs fails if an input was made by a host that is not the stage before
// this one in the attempt to which this stage is bound.
func (c engineClient) checkInputs(steps []engine.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = ""
	for _, s := range steps {
		id, _, _ := strings.Cut(s.Sequence, "/")
		b := c.bound[c.host.id+" "+id]
		want := c.chains[chainKey(request.ID(id), b.attempt, c.host.layers.From)]
		queued := b.calls != "" && !strings.Contains(b.calls, s.Sequence+":")
		if len(s.Activation) > 0 && !queued && !c.dead && string(s.Activation[8:]) != want {
			c.t.Errorf("%s runs position %d of %s with an input of %s; the stage before it in attempt %d is %s",
				c.host.id, s.Position, id, s.Activation[8:], b.attempt, want)
		}
	}
}

func mix(values ...uint64) uint64 {
	h := fnv.New64a()
	for _, v := range values {
		_ = binary.Write(h, binary.LittleEndian, v)
	}
	return h.Sum64()
}

// runLayers advances the state of some layers by one position.
func runLayers(kv []uint64, from int, x uint64) uint64 {
	for i := range kv {
		kv[i] = mix(kv[i], x, uint64(from+i))
		x = mix(kv[i], x)
	}
	return x
}

func promptInput(prompt string) uint64 { return mix(uint64(len(prompt)), uint64(prompt[0])) }

// tokenOf returns the token and whether it is the end of the answer.
func tokenOf(x uint64) (int, bool) { return int(x%1000) + 1, x%17 == 0 }

// reference is the naive model: every layer of every position in turn.
func reference(prompt string, maxTokens int) []int {
	kv, x := make([]uint64, simLayers), promptInput(prompt)
	var tokens []int
	for {
		token, end := tokenOf(runLayers(kv, 0, x))
		if tokens = append(tokens, token); end || len(tokens) == maxTokens {
			return tokens
		}
		x = uint64(token)
	}
}

// run runs one step. The caller holds sim.mu.
func (e *simEngine) run(sim *simulation, s engine.Step) engine.StepResult {
	ran := e.ledger[s.Sequence]
	if len(ran) == 0 && s.Position > 0 {
		// The engine restarted under its sidecar and holds no KV state.
		return engine.StepResult{Sequence: s.Sequence, Position: s.Position, Error: "unknown sequence"}
	}
	if int(s.Position) != len(ran) {
		sim.t.Errorf("engine of %s runs position %d of %s after %v", e.host.id, s.Position, s.Sequence, ran)
	}
	e.ledger[s.Sequence] = append(ran, s.Position)
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
		r.Token, r.End = tokenOf(x)
		r.Text = e.host.id
	} else {
		r.Activation = append(binary.LittleEndian.AppendUint64(nil, x), e.host.id...)
	}
	e.last[s.Sequence] = r
	return r
}

// loseBatch decides what an engine does with steps whose caller is gone.
func (sim *simulation) loseBatch(c *simCall, engineDead bool) {
	if c.ran || engineDead {
		return
	}
	choice := sim.rng.IntN(4)
	for _, s := range c.batch {
		switch choice {
		case 0:
			c.host.engine.run(sim, s)
		case 1, 2:
			c.host.engine.late = append(c.host.engine.late, lateStep{s, choice == 1})
		}
	}
}

func (sim *simulation) answer(c *simCall, err error) {
	sim.calls = slices.DeleteFunc(sim.calls, func(o *simCall) bool {
		// Dials of the entry's sequences start at the same time, in no order.
		shared := c.address != "" && c.host == nil && o.simProcess == c.simProcess && o.address == c.address
		if o == c || shared {
			o.conn, o.err = c.conn, err
			close(o.done)
		}
		return o == c || shared
	})
}

// answerCall lets a call go on.
func (sim *simulation) answerCall(c *simCall) {
	fault := 99
	if !sim.calm {
		fault = sim.rng.IntN(60)
	}
	switch {
	case c.ctx.Err() != nil:
		sim.loseBatch(c, false)
		sim.answer(c, c.ctx.Err())
	case c.address != "":
		target := sim.hostOf(c.address).process
		switch existing := c.dialed[c.address]; {
		case existing != nil:
			c.conn = existing
		case target == nil || fault == 0:
			sim.answer(c, peer.ErrUnreachable)
			return
		case target.frozen():
			c.until = target.thawAt
			return
		default:
			c.conn = sim.connect(c.simProcess, target, c.address)
		}
		sim.answer(c, nil)
	case c.lookup != "":
		e := c.host.engine
		if _, ok := e.last[c.lookup]; fault < 10 || !ok {
			sim.answer(c, errors.New("look-up failed"))
			return
		}
		last := e.last[c.lookup]
		c.status = engine.SequenceStatus{Next: last.Position + 1, Last: &last}
		for _, s := range e.late {
			if s.accepted && s.Sequence == c.lookup {
				c.status.Pending++
			}
		}
		if c.probing = ""; c.status.Pending > 0 {
			c.probing = c.lookup + ":"
		}
		sim.answer(c, nil)
	case fault < 1:
		sim.count["hang"]++
		c.until = time.Now().Add(time.Duration(sim.rng.Int64N(int64(8 * time.Second))))
	case fault < 3:
		sim.count["lost response"]++
		sim.loseBatch(c, false)
		sim.answer(c, errors.New("connection reset"))
	case fault < 4 && !c.ran:
		sim.count["engine error"]++
		for _, s := range c.batch {
			c.results = append(c.results, engine.StepResult{Sequence: s.Sequence, Position: s.Position, Error: "out of memory"})
		}
		sim.answer(c, nil)
	default:
		if !c.ran {
			for _, s := range c.batch {
				c.results = append(c.results, c.host.engine.run(sim, s))
			}
			c.ran = true
		}
		if fault > 8 {
			sim.answer(c, nil)
		}
	}
}
