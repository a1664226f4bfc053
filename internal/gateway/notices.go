package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// noticeRecorder takes over what instances say of themselves in their answers.
type noticeRecorder struct {
	directory *fleet.Directory
	tracker   *chain.InstanceTracker
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
	if r.tracker.RecordBackoff(asked.ID, n.Backoff, time.Now()) {
		r.log.Log(events.InstanceBackoff).Str("instance", asked.ID).Dur("wait_ms", n.Backoff).Send()
	}
}

// logLeaving logs that an instance leaves; peer is the gateway that told it, "" for none.
func (r *noticeRecorder) logLeaving(leaving fleet.Departure, peer string) {
	r.log.Log(events.InstanceLeaving).Str("instance", leaving.ID).Str("peer", peer).Send()
}

// errBackoff means that a call was not sent or refused because the instance wants no calls.
var errBackoff = fmt.Errorf("gateway: instance wants no calls for now: %w", ErrOrderRefused)

// control calls the control interface of instances that want calls and takes over the notices
// in their answers. Its errors wrap errBackoff if an instance wants none.
type control struct {
	engines Engines
	notices *noticeRecorder
}

// Report asks an instance for its state.
func (c *control) Report(ctx context.Context, instance, address string) (Report, error) {
	var report Report
	err := c.call(instance, func() (notice Notice, err error) {
		report, notice, err = c.engines.Report(ctx, address)
		return notice, err
	})
	return report, err
}

// OrderLayers calls Engines.OrderLayers.
func (c *control) OrderLayers(
	ctx context.Context, in fleet.Instance, layers fleet.LayerRange, ordersStarted int64,
) error {
	return c.call(in.ID, func() (Notice, error) { return c.engines.OrderLayers(ctx, in, layers, ordersStarted) })
}

// Reroute orders the first instance of a path to change the path of a running request.
func (c *control) Reroute(ctx context.Context, id string, p chain.Path) error {
	first := p.First()
	return c.call(first.Instance, func() (Notice, error) { return c.engines.Reroute(ctx, first.Address, id, p) })
}

// call sends a call to an instance unless the instance wants none.
func (c *control) call(instance string, send func() (Notice, error)) error {
	if c.notices.tracker.InBackoff(instance, time.Now()) {
		return errBackoff
	}
	asked := c.notices.asked(instance)
	notice, err := send()
	c.notices.record(asked, notice)
	if notice.Backoff > 0 {
		return errors.Join(err, errBackoff)
	}
	return err
}
