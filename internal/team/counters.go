package team

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// rateSmoothing is the weight of a new sample of a team's token rate.
	rateSmoothing = 0.3
	// idleAfter is how long a team without work stays in the reports.
	idleAfter = time.Minute
	// minReportInterval keeps the rate finite when two reports follow each
	// other at once.
	minReportInterval = time.Millisecond
)

// Usage is the work of one team in one process.
type Usage struct {
	Team string
	// InFlight is the number of requests being served.
	InFlight int
	// TokensPerSecond is the smoothed rate of served tokens.
	TokensPerSecond float64
	// Admitted and Refused count requests since the process started.
	Admitted, Refused uint64
}

// Counters count the work of each team in one process. They are safe for
// concurrent use.
type Counters struct {
	mu       sync.Mutex
	byTeam   map[string]*counter
	reported time.Time
}

type counter struct {
	usage  Usage
	tokens int
	last   time.Time
}

// NewCounters returns counters whose rates count from now on.
func NewCounters(now time.Time) *Counters {
	return &Counters{byTeam: make(map[string]*counter), reported: now}
}

func (c *Counters) update(now time.Time, name string, change func(*counter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byTeam[name]
	if t == nil {
		t = &counter{usage: Usage{Team: name}}
		c.byTeam[name] = t
	}
	t.last = now
	change(t)
}

// Admit counts a request that was admitted.
func (c *Counters) Admit(now time.Time, name string) {
	c.update(now, name, func(t *counter) { t.usage.Admitted++ })
}

// Refuse counts a request that was refused.
func (c *Counters) Refuse(now time.Time, name string) {
	c.update(now, name, func(t *counter) { t.usage.Refused++ })
}

// Begin and End bracket the time a request is in flight.
func (c *Counters) Begin(now time.Time, name string) {
	c.update(now, name, func(t *counter) { t.usage.InFlight++ })
}

// End ends what Begin counted.
func (c *Counters) End(now time.Time, name string) {
	c.update(now, name, func(t *counter) { t.usage.InFlight-- })
}

// Serve counts served tokens.
func (c *Counters) Serve(now time.Time, name string, tokens int) {
	c.update(now, name, func(t *counter) { t.tokens += tokens })
}

// Report returns the usage of every team with recent work, in order of name.
// Rates cover the time since the last report.
func (c *Counters) Report(now time.Time) []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := max(now.Sub(c.reported), minReportInterval).Seconds()
	c.reported = now
	var usages []Usage
	for name, t := range c.byTeam {
		t.usage.TokensPerSecond += rateSmoothing * (float64(t.tokens)/elapsed - t.usage.TokensPerSecond)
		t.tokens = 0
		if t.usage.InFlight == 0 && now.Sub(t.last) > idleAfter {
			delete(c.byTeam, name)
			continue
		}
		usages = append(usages, t.usage)
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Team, b.Team) })
	return usages
}
