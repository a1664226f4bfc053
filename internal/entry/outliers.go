package entry

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// outlierInterval is the time between two comparisons of the upstreams of a
// pool.
const outlierInterval = 250 * time.Millisecond

// outliers ejects upstreams that fail or are slow compared with their pool.
type outliers struct {
	ejector   *upstream.Ejector
	directory *upstream.Directory
	log       *events.Logger
}

func newOutliers(directory *upstream.Directory, log *events.Logger) *outliers {
	return &outliers{ejector: upstream.NewEjector(upstream.EjectionConfig{}), directory: directory, log: log}
}

// poolOf names the upstreams an upstream is compared with: those that can
// stand in for it, in whatever failure domain.
func poolOf(d upstream.Descriptor) string {
	if d.Kind == upstream.KindService {
		return "service " + d.Service
	}
	return d.Model + "@" + d.Version + d.Layers.String()
}

// observe takes an upstream's step time. An idle upstream reports an old one,
// which says nothing.
func (o *outliers) observe(u *upstream.Upstream, load upstream.Load) {
	if load.Running > 0 && load.StepMicros > 0 {
		o.ejector.Success(poolOf(u.Descriptor), u.ID, time.Duration(load.StepMicros)*time.Microsecond)
	}
}

// failed counts a failed step or call.
func (o *outliers) failed(u *upstream.Upstream) {
	if o.ejector.Failure(time.Now(), poolOf(u.Descriptor), u.ID) {
		o.eject(u.ID)
	}
}

func (o *outliers) eject(id upstream.InstanceID) {
	if o.directory.SetEjected(id, true) == nil {
		o.log.Log(events.UpstreamEjected).Str("upstream", string(id)).Send()
	}
}

// Run compares the upstreams until ctx ends.
func (o *outliers) Run(ctx context.Context) {
	process.Every(ctx, outlierInterval, func(now time.Time) { o.compare(now) })
}

func (o *outliers) compare(now time.Time) {
	pools := make(map[string][]upstream.InstanceID)
	for _, u := range o.directory.All() {
		if u.Status().State == upstream.StateReady {
			pool := poolOf(u.Descriptor)
			pools[pool] = append(pools[pool], u.ID)
		}
	}
	for pool, members := range pools {
		o.readmit(o.ejector.SetPool(now, pool, members))
	}
	ejected, readmitted := o.ejector.Tick(now)
	for _, id := range ejected {
		o.eject(id)
	}
	o.readmit(readmitted)
}

func (o *outliers) readmit(ids []upstream.InstanceID) {
	for _, id := range ids {
		_ = o.directory.SetEjected(id, false)
	}
}
