package team

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// rateSmoothing is the weight of a new sample in the moving average of a
	// team's token rate.
	rateSmoothing = 0.3
	// idleTimeout is how long a team without requests in flight remains in the
	// reports.
	idleTimeout = time.Minute
	// minReportInterval is the shortest interval that is used to compute a rate.
	// It keeps the rate finite if two reports are made at the same time.
	minReportInterval = time.Millisecond
)

// Usage is the work that one process does for one team.
type Usage struct {
	Team string
	// InFlight is the number of requests being served.
	InFlight int
	// TokensPerSecond is the moving average of the rate of served tokens.
	TokensPerSecond float64
	// Admitted and Refused count requests since the process started.
	Admitted, Refused uint64
}

// Counters counts the work that one process does for each team. It is safe for
// concurrent use.
type Counters struct {
	// mu guards byTeam and lastReport.
	mu         sync.Mutex
	byTeam     map[string]*counter
	lastReport time.Time
}

type counter struct {
	usage        Usage
	tokens       int
	lastActivity time.Time
}

// NewCounters returns empty Counters. The first report covers the time since
// now.
func NewCounters(now time.Time) *Counters {
	return &Counters{byTeam: make(map[string]*counter), lastReport: now}
}

func (c *Counters) updateTeam(now time.Time, name string, change func(*counter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byTeam[name]
	if t == nil {
		t = &counter{usage: Usage{Team: name}}
		c.byTeam[name] = t
	}
	t.lastActivity = now
	change(t)
}

// Admit counts an admitted request.
func (c *Counters) Admit(now time.Time, name string) {
	c.updateTeam(now, name, func(t *counter) { t.usage.Admitted++ })
}

// Refuse counts a refused request.
func (c *Counters) Refuse(now time.Time, name string) {
	c.updateTeam(now, name, func(t *counter) { t.usage.Refused++ })
}

// Begin counts a request in flight until End is called.
func (c *Counters) Begin(now time.Time, name string) {
	c.updateTeam(now, name, func(t *counter) { t.usage.InFlight++ })
}

// End removes a request that Begin counted from the requests in flight.
func (c *Counters) End(now time.Time, name string) {
	c.updateTeam(now, name, func(t *counter) { t.usage.InFlight-- })
}

// Serve adds to the number of served tokens.
func (c *Counters) Serve(now time.Time, name string, tokens int) {
	c.updateTeam(now, name, func(t *counter) { t.tokens += tokens })
}

// Report returns the usage of every team with recent work, sorted by name. It
// updates the rates with the tokens served since the last report.
func (c *Counters) Report(now time.Time) []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := max(now.Sub(c.lastReport), minReportInterval).Seconds()
	c.lastReport = now
	var usages []Usage
	for name, t := range c.byTeam {
		t.usage.TokensPerSecond += rateSmoothing * (float64(t.tokens)/elapsed - t.usage.TokensPerSecond)
		t.tokens = 0
		if t.usage.InFlight == 0 && now.Sub(t.lastActivity) > idleTimeout {
			delete(c.byTeam, name)
			continue
		}
		usages = append(usages, t.usage)
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Team, b.Team) })
	return usages
}
