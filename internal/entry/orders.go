package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// orderInterval is the time between checks for upstreams that don't hold
	// the version of their placement.
	orderInterval = time.Second
	// orderAnswerTimeout bounds the wait for the answer to an order. Sidecars
	// wait up to a minute for open sequences to end.
	orderAnswerTimeout = 75 * time.Second
	// orderRetryDelay is the delay after a failed order.
	orderRetryDelay = 5 * time.Second
)

// orderer sends orders to engines, so that every upstream of a group holds the
// version that the group's placement names. Only the entry that holds the
// group's lease does so. It orders one upstream of the group at a time, because
// the weight store is rate-limited.
type orderer struct {
	entry      *Entry
	leases     lease.Store
	lastNumber atomic.Uint64

	// mu guards activeGroups and answers.
	mu sync.Mutex
	// updatingGroups holds the groups that are being updated.
	updatingGroups map[string]bool
	// answers holds a channel for each order without an answer, by number.
	answers map[uint64]chan *peer.OrderResult
}

func newOrderer(e *Entry, leases lease.Store) *orderer {
	return &orderer{
		entry: e, leases: leases,
		updatingGroups: make(map[string]bool), answers: make(map[uint64]chan *peer.OrderResult),
	}
}

// Run checks the placements periodically until ctx ends.
func (o *orderer) Run(ctx context.Context) {
	process.RunEvery(ctx, orderInterval, func(_ time.Time) { o.startUpdates(ctx) })
}

// startUpdates starts an update of each group that has outdated upstreams and no
// update in progress.
func (o *orderer) startUpdates(ctx context.Context) {
	for _, p := range o.entry.replica.State().Placements() {
		if len(o.outdatedUpstreams(p)) == 0 || !o.beginUpdate(p.Name) {
			continue
		}
		go func() {
			defer o.endUpdate(p.Name)
			o.updateGroup(ctx, p.Name)
		}()
	}
}

// beginUpdate marks a group as being updated. It returns false if it already is.
func (o *orderer) beginUpdate(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.updatingGroups[group] {
		return false
	}
	o.updatingGroups[group] = true
	return true
}

func (o *orderer) endUpdate(group string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.updatingGroups, group)
}

// outdatedUpstreams returns the usable upstreams of a placement's group that
// hold another version.
func (o *orderer) outdatedUpstreams(p config.Placement) []*upstream.Upstream {
	var found []*upstream.Upstream
	for _, u := range o.entry.directory.All() {
		if u.Descriptor.Group == p.Name && u.Descriptor.Version != p.Version && u.Status().Usable() {
			found = append(found, u)
		}
	}
	return found
}

// updateGroup holds the group's lease and sends orders until no upstream of the
// group is outdated.
func (o *orderer) updateGroup(ctx context.Context, group string) {
	holder, err := lease.NewHolder(o.leases, group, o.entry.options.ID, lease.Options{})
	if err != nil {
		o.entry.options.Log.Log(events.OrderFailed).Str("group", group).Err(err).Send()
		return
	}
	leaseCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), orderInterval)
		defer cancelRelease()
		_ = holder.Release(releaseCtx)
	}()
	wg.Go(func() { holder.Run(leaseCtx, func(error) {}) })
	for ctx.Err() == nil {
		p, ok := o.entry.replica.State().Placement(group)
		if !ok {
			return
		}
		outdated := o.outdatedUpstreams(p)
		if len(outdated) == 0 {
			return
		}
		if !o.orderNext(ctx, holder, p, outdated) {
			sleepContext(ctx, orderRetryDelay)
		}
	}
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// orderNext sends an order to the first outdated upstream that is connected and
// that the model can be served without. It reports whether the order was
// carried out.
func (o *orderer) orderNext(ctx context.Context, holder *lease.Holder, p config.Placement, outdated []*upstream.Upstream) bool {
	for _, u := range outdated {
		if !o.canSpare(u) {
			continue
		}
		conn := o.entry.node.Connection(u.Address)
		if conn == nil {
			continue
		}
		fencing, err := holder.Check(time.Now())
		if err != nil {
			// Another entry holds the lease and sends the orders.
			o.entry.options.Log.LogRateLimited(events.LeaseNotHeld).Str("group", p.Name).Err(err).Send()
			return false
		}
		return o.sendOrder(ctx, conn, &peer.Order{
			Number: o.lastNumber.Add(1), Group: p.Name, Fencing: fencing,
			Kind: string(engine.OrderLoadVersion), Version: p.Version,
		})
	}
	return false
}

// canSpare reports whether the model can be served without the upstream, which
// accepts no sequences while it loads another version.
func (o *orderer) canSpare(u *upstream.Upstream) bool {
	_, err := o.entry.planner.Choose(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), planner.Request{
		Model: u.Descriptor.Model, Exclude: planner.Exclusions{Upstreams: []upstream.InstanceID{u.ID}},
	})
	return err == nil
}

// sendOrder sends an order and waits for the answer. It reports whether the
// order was carried out.
func (o *orderer) sendOrder(ctx context.Context, conn *peer.Conn, order *peer.Order) bool {
	answer := make(chan *peer.OrderResult, 1)
	o.mu.Lock()
	o.answers[order.Number] = answer
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.answers, order.Number)
	}()
	if conn.Send(order) != nil {
		return false
	}
	timer := time.NewTimer(orderAnswerTimeout)
	defer timer.Stop()
	select {
	case result := <-answer:
		return result.Error == ""
	case <-conn.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// deliver passes the answer to an order to the sendOrder call that waits for
// it.
func (o *orderer) deliver(f *peer.OrderResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer := o.answers[f.Number]; answer != nil {
		answer <- f
		delete(o.answers, f.Number)
	}
}
