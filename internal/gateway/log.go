package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

// line begins a log line about the call.
func (c *call) line(e events.Event) *zerolog.Event {
	if e == events.RequestRepeated {
		c.g.metrics.repeated()
	}
	line := c.g.log.Log(e).Str("request", c.in.ID).Int64("config", c.version)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("team", c.team)
	}
	return line.Int("sends", c.sends).Dur("elapsed_ms", time.Since(c.started))
}

// finish writes the line of the outcome.
func (c *call) finish() {
	latency := time.Since(c.started)
	c.g.metrics.done(c.answered, latency, c.waited)
	if c.answered == 0 {
		c.line(events.ClientGone).Str("path", formatPath(c.lastPath)).Send()
		return
	}
	if c.sends == 0 {
		return
	}
	c.line(events.RequestDone).Int("events", c.events).Dur("first_ms", c.firstEvent).
		Dur("gap_ms", c.longestGap).Int("status", c.answered).Dur("waited_ms", c.waited).
		Str("path", formatPath(c.lastPath)).Strs("ran", c.ran).Send()
}

// formatPath returns a path as INSTANCE:FROM-TO, separated by spaces.
func formatPath(p chain.Path) string {
	var b strings.Builder
	for i, part := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(part.Instance)
		if part.To > 0 {
			b.WriteString(":" + strconv.Itoa(part.From) + "-" + strconv.Itoa(part.To))
		}
	}
	return b.String()
}
