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

// poolName returns the name of the pool of upstreams that an upstream is
// compared with: those that can replace it, in any failure domain.
func poolName(d upstream.Descriptor) string {
	if d.Kind == upstream.KindService {
		return "service " + d.Service
	}
	return d.Model + "@" + d.Version + d.Layers.String()
}

// recordStepTime records the step time of a busy upstream. It ignores an idle
// upstream, which reports an outdated step time.
func (o *outliers) recordStepTime(u *upstream.Upstream, load upstream.Load) {
	if load.Running > 0 && load.StepMicros > 0 {
		o.ejector.Success(poolName(u.Descriptor), u.ID, time.Duration(load.StepMicros)*time.Microsecond)
	}
}

// recordFailure counts a failed step or call.
func (o *outliers) recordFailure(u *upstream.Upstream) {
	if o.ejector.Failure(time.Now(), poolName(u.Descriptor), u.ID) {
		o.eject(u.ID)
	}
}

func (o *outliers) eject(id upstream.InstanceID) {
	if o.directory.SetEjected(id, true) == nil {
		o.log.Log(events.UpstreamEjected).Str("upstream", string(id)).Send()
	}
}

// Run compares the upstreams of each pool until ctx ends.
func (o *outliers) Run(ctx context.Context) {
	process.RunEvery(ctx, outlierInterval, func(now time.Time) { o.comparePools(now) })
}

// comparePools ejects the outliers of each pool and readmits upstreams whose
// ejection has ended.
func (o *outliers) comparePools(now time.Time) {
	pools := make(map[string][]upstream.InstanceID)
	for _, u := range o.directory.All() {
		if u.Status().State == upstream.StateReady {
			pool := poolName(u.Descriptor)
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
