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

// sidecarLoadTable holds the latest load report of every sidecar.
type sidecarLoadTable struct {
	// mu guards reports.
	mu      sync.Mutex
	reports map[upstream.InstanceID]loadReport
}

func newSidecarLoadTable() *sidecarLoadTable {
	return &sidecarLoadTable{reports: make(map[upstream.InstanceID]loadReport)}
}

// record stores the load report of a sidecar's heartbeat.
func (l *sidecarLoadTable) record(id upstream.InstanceID, desc upstream.Descriptor, f *peer.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[id] = loadReport{desc: desc, load: f.Load, teams: f.Teams, at: time.Now()}
}

// remove drops the report of a sidecar.
func (l *sidecarLoadTable) remove(id upstream.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, id)
}

// layerRangeLoad is the load on all upstreams of one layer range.
type layerRangeLoad struct {
	queuedTokensByTeam map[string]float64
	queuedTokens       float64
	tokensPerSecond    float64
	stepTime           time.Duration
}

// snapshot returns the load on a model for admission control. The layer range
// with the longest expected wait in the queue is the bottleneck; its load and
// rate decide which team is refused. The step times of all ranges and the waits
// in the queues of the other ranges are added to the estimated time to the
// first token, because a sequence waits to start in each of them.
func (l *sidecarLoadTable) snapshot(model string, state *config.State) team.LoadSnapshot {
	rangeLoads := l.loadsByRange(model)
	var bottleneck *layerRangeLoad
	var s team.LoadSnapshot
	for _, load := range rangeLoads {
		s.BaseDelay += load.stepTime
		if bottleneck == nil || load.queuedTokens*bottleneck.tokensPerSecond > bottleneck.queuedTokens*load.tokensPerSecond {
			bottleneck = load
		}
	}
	if bottleneck == nil {
		return s
	}
	for _, load := range rangeLoads {
		if load != bottleneck && load.tokensPerSecond > 0 {
			s.BaseDelay += time.Duration(load.queuedTokens / load.tokensPerSecond * float64(time.Second))
		}
	}
	s.TokensPerSecond = bottleneck.tokensPerSecond
	for name, tokens := range bottleneck.queuedTokensByTeam {
		t, _ := state.Team(name)
		s.Teams = append(s.Teams, team.Load{Team: name, Weight: t.Weight, Tokens: tokens})
	}
	return s
}

// loadsByRange sums the reports on a model by layer range.
func (l *sidecarLoadTable) loadsByRange(model string) map[pipeline.LayerRange]*layerRangeLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	rangeLoads := make(map[pipeline.LayerRange]*layerRangeLoad)
	for _, r := range l.reports {
		if r.desc.Model != model || model == "" {
			continue
		}
		load := rangeLoads[r.desc.Layers]
		if load == nil {
			load = &layerRangeLoad{queuedTokensByTeam: make(map[string]float64)}
			rangeLoads[r.desc.Layers] = load
		}
		load.addReport(r)
	}
	return rangeLoads
}

// addReport adds the report of one sidecar. The rate of its upstream is the
// measured rate, or that of full batches if it is higher, because an upstream
// that is not busy serves less than it could. Most of the rate goes to steps of
// running sequences, so only the part that starts sequences counts for queued
// work. Without this, admission control assumed a multiple of the real rate,
// and the time to the first token grew past its target.
func (s *layerRangeLoad) addReport(r loadReport) {
	servedRate := 0.0
	for _, t := range r.teams {
		s.queuedTokensByTeam[t.Team] += float64(t.QueuedTokens)
		servedRate += t.TokensPerSecond
	}
	s.queuedTokens += float64(r.load.Queued)
	stepTime := time.Duration(r.load.StepMicros) * time.Microsecond
	if stepTime > 0 {
		servedRate = max(servedRate, float64(r.desc.MaxBatch)/stepTime.Seconds())
	}
	if r.load.StartFraction > 0 {
		servedRate *= r.load.StartFraction
	}
	s.tokensPerSecond += servedRate
	s.stepTime = max(s.stepTime, stepTime)
}

// teamTotals returns the load of every team summed over all sidecars, in order
// of name.
func (l *sidecarLoadTable) teamTotals() []peer.TeamLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := make(map[string]*peer.TeamLoad)
	for _, r := range l.reports {
		for _, t := range r.teams {
			total := byName[t.Team]
			if total == nil {
				total = &peer.TeamLoad{Team: t.Team}
				byName[t.Team] = total
			}
			total.QueuedTokens += t.QueuedTokens
			total.TokensPerSecond += t.TokensPerSecond
			total.Admitted += t.Admitted
			total.Refused += t.Refused
		}
	}
	loads := make([]peer.TeamLoad, 0, len(byName))
	for _, t := range byName {
		loads = append(loads, *t)
	}
	slices.SortFunc(loads, func(a, b peer.TeamLoad) int { return strings.Compare(a.Team, b.Team) })
	return loads
}
