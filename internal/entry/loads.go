package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// loadReport is the latest report of one sidecar.
type loadReport struct {
	desc  upstream.Descriptor
	load  upstream.Load
	teams []peer.TeamLoad
	at    time.Time
}

// loadBoard holds the load of every team as the sidecars report it.
type loadBoard struct {
	mu      sync.Mutex
	reports map[upstream.InstanceID]loadReport
}

func newLoadBoard() *loadBoard {
	return &loadBoard{reports: make(map[upstream.InstanceID]loadReport)}
}

// install takes a report.
func (b *loadBoard) install(id upstream.InstanceID, desc upstream.Descriptor, f *peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[id] = loadReport{desc: desc, load: f.Load, teams: f.Teams, at: time.Now()}
}

// remove forgets a sidecar.
func (b *loadBoard) remove(id upstream.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, id)
}

// stageLoad is the load on all upstreams of one layer range.
type stageLoad struct {
	tokens map[string]float64
	queued float64
	rate   float64
	step   time.Duration
}

// snapshot returns the load on a model for admission control. The layer range
// with the longest queue decides which team is refused; the time of a step and
// the wait in the other ranges' queues add up, because a sequence waits to
// start in each of them.
func (b *loadBoard) snapshot(model string, state *config.State) team.LoadSnapshot {
	stages := b.stages(model)
	var worst *stageLoad
	var s team.LoadSnapshot
	for _, stage := range stages {
		s.BaseDelay += stage.step
		if worst == nil || stage.queued*worst.rate > worst.queued*stage.rate {
			worst = stage
		}
	}
	if worst == nil {
		return s
	}
	for _, stage := range stages {
		if stage != worst && stage.rate > 0 {
			s.BaseDelay += time.Duration(stage.queued / stage.rate * float64(time.Second))
		}
	}
	s.TokensPerSecond = worst.rate
	for name, tokens := range worst.tokens {
		t, _ := state.Team(name)
		s.Teams = append(s.Teams, team.Load{Team: name, Weight: t.Weight, Tokens: tokens})
	}
	return s
}

func (b *loadBoard) stages(model string) map[pipeline.LayerRange]*stageLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	stages := make(map[pipeline.LayerRange]*stageLoad)
	for _, r := range b.reports {
		if r.desc.Model != model || model == "" {
			continue
		}
		stage := stages[r.desc.Layers]
		if stage == nil {
			stage = &stageLoad{tokens: make(map[string]float64)}
			stages[r.desc.Layers] = stage
		}
		stage.add(r)
	}
	return stages
}

// add counts one report. The rate is what the upstream has been seen to serve,
// or what full batches would give if it is higher, because an upstream that is
// not busy serves less than it could. Most of the rate goes to steps of running
// sequences, so waiting work gets only the part that starts sequences; without
// this, admission control counted on a multiple of the real rate and let the
// time to the first token grow past its target.
func (s *stageLoad) add(r loadReport) {
	served := 0.0
	for _, t := range r.teams {
		s.tokens[t.Team] += float64(t.QueuedTokens)
		served += t.TokensPerSecond
	}
	s.queued += float64(r.load.Queued)
	step := time.Duration(r.load.StepMicros) * time.Microsecond
	if step > 0 {
		served = max(served, float64(r.desc.MaxBatch)/step.Seconds())
	}
	if r.load.StartFraction > 0 {
		served *= r.load.StartFraction
	}
	s.rate += served
	s.step = max(s.step, step)
}

// teams returns the load of every team over all sidecars, in order of name.
func (b *loadBoard) teams() []peer.TeamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := make(map[string]*peer.TeamLoad)
	for _, r := range b.reports {
		for _, t := range r.teams {
			sum := byName[t.Team]
			if sum == nil {
				sum = &peer.TeamLoad{Team: t.Team}
				byName[t.Team] = sum
			}
			sum.QueuedTokens += t.QueuedTokens
			sum.TokensPerSecond += t.TokensPerSecond
			sum.Admitted += t.Admitted
			sum.Refused += t.Refused
		}
	}
	loads := make([]peer.TeamLoad, 0, len(byName))
	for _, t := range byName {
		loads = append(loads, *t)
	}
	slices.SortFunc(loads, func(a, b peer.TeamLoad) int { return strings.Compare(a.Team, b.Team) })
	return loads
}
