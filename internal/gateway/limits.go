package gateway

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

// limitShareInterval is how often the parts of this gateway in the limits of instances are
// updated.
const limitShareInterval = 100 * time.Millisecond

// shareLimits keeps the parts of this gateway in the limits of instances up to date, until
// ctx ends.
func (g *Gateway) shareLimits(ctx context.Context) {
	process.RunEvery(ctx, limitShareInterval, func(now time.Time) {
		limited := g.tracker.Limited(now)
		g.metrics.limited.Update(float64(len(limited)))
		if len(limited) == 0 {
			return
		}
		view := g.directory.View()
		for _, id := range limited {
			in := view.Instances[id]
			g.tracker.SetLimitShare(id, g.limitShare(id, view.Cell(&in), now), now)
		}
	})
}

func (g *Gateway) limitShare(instance, cell string, now time.Time) chain.LimitShare {
	r := g.reporter.Load()
	if r == nil {
		return chain.LimitShare{Gateways: 1}
	}
	return r.LimitShare(instance, cell, now)
}

// recordLimit records the limit that an instance names in an answer.
func (c *call) recordLimit(instance string, l chain.Limit) {
	before, changed := c.g.tracker.RecordLimit(instance, l, time.Now())
	if !changed {
		return
	}
	line := c.g.log.Log
	if before.Unlimited == l.Unlimited {
		line = c.g.log.LogRateLimited // an instance may name another limit in each answer
	}
	line(events.InstanceLimit).Str("instance", instance).Bool("unlimited", l.Unlimited).
		Float64("per_second", l.PerSecond).Float64("before", before.PerSecond).Str("request", c.inbound.ID).Send()
}
