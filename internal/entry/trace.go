package entry

import (
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// maxTraces bounds the number of requests whose trace is kept.
	maxTraces = 4096
	// maxTraceEvents bounds the number of events in one trace.
	maxTraceEvents = 64
)

// traceEvent is one decision about a request.
type traceEvent struct {
	offset  time.Duration
	attempt request.Attempt
	kind    string
	detail  string
	// replaced and replacement are set for a replaced stage.
	replaced, replacement upstream.InstanceID
}

// trace records the decisions about one request for operators.
type trace struct {
	id      request.ID
	team    string
	profile string
	started time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	decision   planner.Decision
	endedAfter time.Duration
	outcome    request.Outcome
	events     []traceEvent
}

// add records one decision.
func (t *trace) add(attempt request.Attempt, kind, detail string) {
	t.append(traceEvent{attempt: attempt, kind: kind, detail: detail})
}

// append records an event, unless the trace is full.
func (t *trace) append(e traceEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < maxTraceEvents {
		e.offset = time.Since(t.started)
		t.events = append(t.events, e)
	}
}

// setDecision records the choice of the chain.
func (t *trace) setDecision(d planner.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision = d
}

// end records the outcome of the request.
func (t *trace) end(outcome request.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcome = outcome
	t.endedAfter = time.Since(t.started)
}

// traces keeps the traces of the latest requests of this process. ring holds
// their ids; next is the index of the oldest one.
type traces struct {
	// mu guards byID, ring and next.
	mu   sync.Mutex
	byID map[request.ID]*trace
	ring []request.ID
	next int
}

func newTraces() *traces {
	return &traces{byID: make(map[request.ID]*trace), ring: make([]request.ID, maxTraces)}
}

// start begins a trace. It removes the oldest trace if maxTraces are kept.
func (t *traces) start(id request.ID, team, profile string) *trace {
	tr := &trace{id: id, team: team, profile: profile, started: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.ring[t.next])
	t.ring[t.next] = id
	t.next = (t.next + 1) % maxTraces
	t.byID[id] = tr
	return tr
}

func (t *traces) get(id request.ID) (*trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.byID[id]
	return tr, ok
}
