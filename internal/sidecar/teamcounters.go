package sidecar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

const (
	// rateSmoothing is the weight of a new sample of a team's token rate.
	rateSmoothing = 0.3
	// teamIdleAfter is how long a team without work stays in the reports.
	teamIdleAfter = time.Minute
)

// teamCounter counts the work of one team.
type teamCounter struct {
	tokens   int
	rate     float64
	admitted uint64
	refused  uint64
	last     time.Time
}

// teamCounters counts the work of each team in one process. It is safe for
// concurrent use.
type teamCounters struct {
	mu       sync.Mutex
	byTeam   map[string]*teamCounter
	reported time.Time
}

func newTeamCounters() *teamCounters {
	return &teamCounters{byTeam: make(map[string]*teamCounter), reported: time.Now()}
}

func (t *teamCounters) update(name string, change func(*teamCounter)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byTeam[name]
	if c == nil {
		c = &teamCounter{}
		t.byTeam[name] = c
	}
	c.last = time.Now()
	change(c)
}

func (t *teamCounters) admit(name string)  { t.update(name, func(c *teamCounter) { c.admitted++ }) }
func (t *teamCounters) refuse(name string) { t.update(name, func(c *teamCounter) { c.refused++ }) }
func (t *teamCounters) serve(name string, tokens int) {
	t.update(name, func(c *teamCounter) { c.tokens += tokens })
}

// report returns the load of each team since the last report, in order of
// name.
func (t *teamCounters) report(queued map[string]int, now time.Time) []peer.TeamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := max(now.Sub(t.reported).Seconds(), 1e-3)
	t.reported = now
	var loads []peer.TeamLoad
	for name, c := range t.byTeam {
		c.rate += rateSmoothing * (float64(c.tokens)/elapsed - c.rate)
		c.tokens = 0
		if queued[name] == 0 && now.Sub(c.last) > teamIdleAfter {
			delete(t.byTeam, name)
			continue
		}
		loads = append(loads, peer.TeamLoad{
			Team: name, QueuedTokens: queued[name], TokensPerSecond: c.rate,
			Admitted: c.admitted, Refused: c.refused,
		})
	}
	slices.SortFunc(loads, func(a, b peer.TeamLoad) int { return strings.Compare(a.Team, b.Team) })
	return loads
}
