package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/adminapi"
	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// allEntries is the entry name in rows that hold the totals of all sidecars.
const allEntries = "all"

// entryLoads holds the team loads that the other entries report.
type entryLoads struct {
	// mu guards byEntry.
	mu      sync.Mutex
	byEntry map[string][]peer.TeamLoad
}

func newEntryLoads() *entryLoads { return &entryLoads{byEntry: make(map[string][]peer.TeamLoad)} }

// record stores the report of another entry. It ignores reports of sidecars.
func (l *entryLoads) record(h peer.Hello, f *peer.Heartbeat) {
	if h.Role != peer.RoleEntry {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEntry[h.ID] = f.Teams
}

// remove drops the report of an entry.
func (l *entryLoads) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byEntry, id)
}

// forEach calls f for every team load of every other entry.
func (l *entryLoads) forEach(f func(entry string, load peer.TeamLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, loads := range l.byEntry {
		for _, load := range loads {
			f(id, load)
		}
	}
}

// countAdmitted counts an admitted request of a team as in flight.
func (e *Entry) countAdmitted(name string) {
	now := time.Now()
	e.usage.Admit(now, name)
	e.usage.Begin(now, name)
}

// countFinished counts the end of a request that countAdmitted counted, and the
// tokens that were served.
func (e *Entry) countFinished(name string, tokens int) {
	now := time.Now()
	e.usage.Serve(now, name, tokens)
	e.usage.End(now, name)
}

// localTeamLoads returns the load of every team at this entry.
func (e *Entry) localTeamLoads() []peer.TeamLoad {
	var loads []peer.TeamLoad
	for _, u := range e.usage.Report(time.Now()) {
		loads = append(loads, peer.TeamLoad{
			Team: u.Team, InFlight: u.InFlight, TokensPerSecond: u.TokensPerSecond,
			Admitted: u.Admitted, Refused: u.Refused,
		})
	}
	return loads
}

// heartbeatLoop broadcasts the load of every team at this entry to the other
// entries until ctx ends.
func (e *Entry) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(e.options.HeartbeatInterval)
	defer ticker.Stop()
	ready := false
	for {
		loads := e.localTeamLoads()
		e.publishedLoads.Store(&loads)
		e.node.Broadcast(&peer.Heartbeat{Teams: loads}, peer.RoleEntry)
		ready = e.logReadinessChange(ready)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// logReadinessChange logs a change of readiness and reports whether the entry
// is ready.
func (e *Entry) logReadinessChange(wasReady bool) bool {
	err := e.Ready()
	switch {
	case err == nil && !wasReady:
		e.options.Log.Log(events.ProcessReady).Uint64("revision", uint64(e.replica.Revision())).Send()
	case err != nil && wasReady && !e.leaving.Load():
		e.options.Log.Log(events.ProcessNotReady).Err(err).Send()
	}
	return err == nil
}

// adminHandler returns the handler of the operators' API.
func (e *Entry) adminHandler() (http.Handler, error) {
	var operators []adminapi.Operator
	for name, hash := range e.options.Operators {
		operators = append(operators, adminapi.Operator{Name: name, KeyHash: hash})
	}
	return adminapi.NewHandler(operators, e, e)
}

// State implements adminapi.Configuration.
func (e *Entry) State() *config.State { return e.store.State() }

// Audit implements adminapi.Configuration.
func (e *Entry) Audit(ctx context.Context, after config.Revision, limit int) ([]config.Change, error) {
	return e.store.Audit(ctx, after, limit)
}

// History implements adminapi.Configuration.
func (e *Entry) History(ctx context.Context, kind config.Kind, name string, limit int) ([]config.Change, error) {
	return e.store.History(ctx, kind, name, limit)
}

// Accept implements adminapi.Configuration and logs the result.
func (e *Entry) Accept(ctx context.Context, p config.Proposal) (config.Change, error) {
	change, err := e.store.Accept(ctx, p)
	event := events.ChangeAccepted
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		event = events.ChangeConflict
	case errors.Is(err, config.ErrUnknownOutcome):
		event = events.ChangeUnknown
	case err != nil:
		return change, err
	}
	e.options.Log.Log(event).Str("change", p.ID).Str("author", p.Author).Str("kind", string(p.Kind)).
		Str("object", p.Name).Uint64("revision", uint64(change.Revision)).Err(err).Send()
	return change, err
}

// logStoreAvailability logs when the store becomes unavailable and when it
// recovers.
func (e *Entry) logStoreAvailability(err error) {
	down := err != nil
	if e.storeDown.Swap(down) == down {
		return
	}
	if down {
		e.options.Log.Log(events.StoreUnavailable).Err(err).Send()
	} else {
		e.options.Log.Log(events.StoreRecovered).Send()
	}
}

// Status implements adminapi.Backend.
func (e *Entry) Status(context.Context) (adminapi.Status, error) {
	status := adminapi.Status{
		Process: e.node.Process(), Role: string(peer.RoleEntry), Instance: e.options.ID,
		FailureDomain: e.options.FailureDomain, Revision: e.replica.Revision(), Ready: true,
	}
	if err := e.Ready(); err != nil {
		status.Ready = false
		status.NotReadyReason = err.Error()
	}
	for _, u := range e.directory.All() {
		s := u.Status()
		status.Upstreams = append(status.Upstreams, adminapi.UpstreamStatus{
			Instance: u.ID, FailureDomain: u.Domain, Kind: u.Descriptor.Kind,
			Model: u.Descriptor.Model, Service: u.Descriptor.Service, Layers: u.Descriptor.Layers,
			State: s.State, Load: s.Load, Revision: config.Revision(s.Revision),
		})
	}
	return status, nil
}

// Teams implements adminapi.Backend. The rows of an entry hold its requests in
// flight; the rows of "all" hold the queues and rates summed over all sidecars.
func (e *Entry) Teams(context.Context) ([]adminapi.TeamStatus, error) {
	var rows []adminapi.TeamStatus
	addRow := func(entry string, l peer.TeamLoad) {
		t, _ := e.replica.State().Team(l.Team)
		rows = append(rows, adminapi.TeamStatus{
			Team: l.Team, Entry: entry, Weight: t.Weight, InFlight: l.InFlight, QueuedTokens: l.QueuedTokens,
			TokensPerSecond: l.TokensPerSecond, Admitted: l.Admitted, Refused: l.Refused,
		})
	}
	if own := e.publishedLoads.Load(); own != nil {
		for _, l := range *own {
			addRow(e.options.ID, l)
		}
	}
	e.peerEntryLoads.forEach(addRow)
	for _, l := range e.sidecarLoads.teamTotals() {
		addRow(allEntries, l)
	}
	slices.SortFunc(rows, func(a, b adminapi.TeamStatus) int {
		return strings.Compare(a.Team+"\x00"+a.Entry, b.Team+"\x00"+b.Entry)
	})
	return rows, nil
}

// TeamLoads implements callerapi.Backend. It aggregates the rows of Teams by
// team.
func (e *Entry) TeamLoads() []callerapi.TeamLoad {
	rows, _ := e.Teams(context.Background())
	var loads []callerapi.TeamLoad
	for _, row := range rows {
		if len(loads) == 0 || loads[len(loads)-1].Team != row.Team {
			loads = append(loads, callerapi.TeamLoad{Team: row.Team, Weight: row.Weight})
		}
		load := &loads[len(loads)-1]
		load.InFlight += row.InFlight
		load.QueuedTokens += row.QueuedTokens
		if row.Entry == allEntries {
			load.TokensPerSecond = row.TokensPerSecond
		}
	}
	return loads
}

// Drain implements adminapi.Backend.
func (e *Entry) Drain(_ context.Context, instance upstream.InstanceID, operator string) error {
	u, ok := e.directory.Get(instance)
	if !ok {
		return fmt.Errorf("%w: instance %s", adminapi.ErrNotFound, instance)
	}
	conn := e.node.Connection(u.Address)
	if conn == nil {
		return fmt.Errorf("%w: no connection to instance %s", adminapi.ErrUnavailable, instance)
	}
	if err := conn.Send(&peer.Drain{Reason: "operator " + operator}); err != nil {
		return fmt.Errorf("%w: %w", adminapi.ErrUnavailable, err)
	}
	e.options.Log.Log(events.UpstreamLeaving).Str("upstream", string(instance)).Str("operator", operator).Send()
	return nil
}

// Explain implements adminapi.Backend.
func (e *Entry) Explain(_ context.Context, id request.ID) (adminapi.Explanation, error) {
	t, ok := e.traces.get(id)
	if !ok {
		return adminapi.Explanation{}, fmt.Errorf("%w: request %s", adminapi.ErrNotFound, id)
	}
	return t.explain(), nil
}

// explain converts a trace to the explanation that the operators' API returns.
func (t *trace) explain() adminapi.Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	explanation := adminapi.Explanation{RequestID: t.id, Team: t.team, Profile: t.profile, Outcome: t.outcome}
	for i, c := range t.decision.Candidates {
		explanation.Candidates = append(explanation.Candidates, explainCandidate(c, i == t.decision.Chosen))
		if i == t.decision.Chosen {
			explanation.Reason = string(c.Reason)
		}
	}
	for i, s := range t.decision.Chain.Stages {
		stage := adminapi.Stage{Instance: s.ID, Layers: s.Layers}
		if i < len(t.decision.Picks) {
			stage.Reason = explainPick(t.decision.Picks[i])
		}
		explanation.Chosen = append(explanation.Chosen, stage)
	}
	for _, ev := range t.events {
		explanation.Attempts = append(explanation.Attempts, adminapi.Attempt{
			Number: ev.attempt, OffsetMillis: float64(ev.offset.Microseconds()) / 1000,
			Reason: ev.kind + ": " + ev.detail, Replaced: ev.replaced, Replacement: ev.replacement,
		})
	}
	return explanation
}

func explainCandidate(c planner.Candidate, chosen bool) adminapi.ChainCandidate {
	out := adminapi.ChainCandidate{CostMillis: float64(c.Cost.Microseconds()) / 1000}
	for _, g := range c.Groups {
		out.Groups = append(out.Groups, g.String())
	}
	if !chosen {
		out.Rejected = string(c.Reason)
	}
	return out
}

func explainPick(p planner.Pick) string {
	if p.Alternative == "" {
		return string(p.Reason)
	}
	return fmt.Sprintf("%s: %v against %v on %s", p.Reason, p.Cost, p.AlternativeCost, p.Alternative)
}
