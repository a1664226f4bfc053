package entry

import (
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// maxTraces bounds the requests that can be explained afterwards.
	maxTraces = 4096
	// maxTraceEvents bounds the events of one request.
	maxTraceEvents = 64
)

// traceEvent is one decision about a request.
type traceEvent struct {
	at      time.Duration
	attempt request.Attempt
	kind    string
	detail  string
	// replaced and replacement are set for a replaced stage.
	replaced, replacement upstream.InstanceID
}

// trace is what an operator can learn about one request.
type trace struct {
	id      request.ID
	team    string
	profile string
	started time.Time

	mu       sync.Mutex
	decision planner.Decision
	ended    time.Duration
	outcome  request.Outcome
	events   []traceEvent
}

// add records one decision.
func (t *trace) add(attempt request.Attempt, kind, detail string) {
	t.append(traceEvent{attempt: attempt, kind: kind, detail: detail})
}

func (t *trace) append(e traceEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < maxTraceEvents {
		e.at = time.Since(t.started)
		t.events = append(t.events, e)
	}
}

func (t *trace) chose(d planner.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision = d
}

func (t *trace) end(outcome request.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcome = outcome
	t.ended = time.Since(t.started)
}

// traces keeps the latest requests of this process.
type traces struct {
	mu    sync.Mutex
	byID  map[request.ID]*trace
	order []request.ID
	next  int
}

func newTraces() *traces {
	return &traces{byID: make(map[request.ID]*trace), order: make([]request.ID, maxTraces)}
}

// start begins a trace and forgets the oldest one.
func (t *traces) start(id request.ID, team, profile string) *trace {
	tr := &trace{id: id, team: team, profile: profile, started: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.order[t.next])
	t.order[t.next] = id
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
