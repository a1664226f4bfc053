package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

// logEvent starts a log entry about the call. It also counts repeats in the
// metrics.
func (c *call) logEvent(e events.Event) *zerolog.Event {
	if e == events.RequestRetried {
		c.g.metrics.recordRepeat()
	}
	line := c.g.log.Log(e).Str("request", c.inbound.ID).Int64("config", c.configVersion)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("team", c.team)
	}
	return line.Int("sends", c.sends).Dur("elapsed_ms", time.Since(c.started))
}

// recordOutcome records the metrics of the finished call and logs its outcome.
// Calls that were never sent to an instance have been logged by fail.
func (c *call) recordOutcome() {
	latency := time.Since(c.started)
	c.g.metrics.recordResponse(c.sentStatus, latency, c.waited)
	if c.sentStatus == 0 {
		c.logEvent(events.ClientDisconnected).Str("path", formatPath(c.lastPath)).Send()
		return
	}
	if c.sends == 0 {
		return
	}
	c.logEvent(events.RequestDone).Int("events", c.eventCount).Dur("first_ms", c.firstEvent).
		Dur("gap_ms", c.longestGap).Int("status", c.sentStatus).Dur("waited_ms", c.waited).
		Str("path", formatPath(c.lastPath)).Strs("ran", c.possiblyRanOn).Strs("parts", c.inbound.SharedParts).Send()
}

// formatPath formats a path as a list of INSTANCE:FROM-TO, separated by spaces.
func formatPath(p chain.Path) string {
	var b strings.Builder
	for i, stage := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(stage.Instance)
		if stage.To > 0 {
			b.WriteString(":" + strconv.Itoa(stage.From) + "-" + strconv.Itoa(stage.To))
		}
	}
	return b.String()
}
