package entry

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
)

const (
	// sweepLeaseName names the lease of the entry that removes expired
	// operation records. One sweeper is enough, and every further one would
	// read all records again.
	sweepLeaseName = "operation-sweeper"
	// sweepLeaseDuration is long, because a renewal costs a write and no
	// request waits for the next holder.
	sweepLeaseDuration = 10 * time.Minute
	// recordSweepInterval is the time between two sweeps.
	recordSweepInterval = time.Hour
)

// sweepRecords removes expired operation records until ctx ends, while this
// entry holds the lease. Two sweepers at once would be harmless: removal is
// conditional on the version of an expired record.
func (e *Entry) sweepRecords(ctx context.Context) error {
	holder, err := lease.NewHolder(objectstore.NewLeases(e.options.Platform), sweepLeaseName, e.options.ID, lease.Options{Duration: sweepLeaseDuration})
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		holder.Run(ctx, func(error) {})
	}()
	defer func() { <-done }()
	sweeper := operation.NewSweeper(objectstore.NewRecords(e.options.Platform), operation.SweeperOptions{})
	for {
		sleepContext(ctx, recordSweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		if _, err := holder.Check(time.Now()); err == nil {
			_, _ = sweeper.Sweep(ctx)
		}
	}
}
