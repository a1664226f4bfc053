package gateway

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// noticeRecorder takes over what instances say of themselves in their answers.
type noticeRecorder struct {
	directory *fleet.Directory
	log       *events.Logger
}

// asked returns what identifies the instance that a call is sent to. It is taken before the
// call, since the instance may have started again when the answer is read.
func (r *noticeRecorder) asked(instance string) fleet.Departure {
	return fleet.Departure{ID: instance, StartedMS: r.directory.View().Instances[instance].StartedMS}
}

// record takes over the notice in an answer of the instance that was asked.
func (r *noticeRecorder) record(asked fleet.Departure, n Notice) {
	if n.Leaving && r.directory.MarkLeaving(asked, time.Now()) {
		r.logLeaving(asked, "")
	}
}

// logLeaving logs that an instance leaves; peer is the gateway that told it, "" for none.
func (r *noticeRecorder) logLeaving(leaving fleet.Departure, peer string) {
	r.log.Log(events.InstanceLeaving).Str("instance", leaving.ID).Str("peer", peer).Send()
}

// control calls the control interface of instances and takes over the notices in their
// answers.
type control struct {
	engines Engines
	notices *noticeRecorder
}

// Report asks an instance for its state.
func (c *control) Report(ctx context.Context, instance, address string) (Report, error) {
	asked := c.notices.asked(instance)
	report, notice, err := c.engines.Report(ctx, address)
	c.notices.record(asked, notice)
	return report, err
}

// OrderLayers calls Engines.OrderLayers.
func (c *control) OrderLayers(
	ctx context.Context, in fleet.Instance, layers fleet.LayerRange, ordersStarted int64,
) error {
	notice, err := c.engines.OrderLayers(ctx, in, layers, ordersStarted)
	c.notices.record(fleet.Departure{ID: in.ID, StartedMS: in.StartedMS}, notice)
	return err
}

// Reroute orders the first instance of a path to change the path of a running request.
func (c *control) Reroute(ctx context.Context, id string, p chain.Path) error {
	asked := c.notices.asked(p.First().Instance)
	notice, err := c.engines.Reroute(ctx, p.First().Address, id, p)
	c.notices.record(asked, notice)
	return err
}
