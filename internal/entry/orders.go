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
	// orderInterval is the time between looks for upstreams that don't hold
	// what their placement says.
	orderInterval = time.Second
	// orderAnswerTimeout bounds the answer to an order. Sidecars wait up to a
	// minute for open sequences.
	orderAnswerTimeout = 75 * time.Second
	// orderRetry is the wait after an order that failed.
	orderRetry = 5 * time.Second
)

// orderer gives orders to engines, so that every upstream of a group holds the
// version its placement names. One entry at a time does so for a group, under
// the group's lease, and orders one upstream of the group at a time, because
// the weight store is rate-limited.
type orderer struct {
	entry  *Entry
	leases lease.Store
	number atomic.Uint64

	mu      sync.Mutex
	working map[string]bool
	answers map[uint64]chan *peer.OrderResult
}

func newOrderer(e *Entry, leases lease.Store) *orderer {
	return &orderer{
		entry: e, leases: leases,
		working: make(map[string]bool), answers: make(map[uint64]chan *peer.OrderResult),
	}
}

// Run looks for work until ctx ends.
func (o *orderer) Run(ctx context.Context) {
	process.Every(ctx, orderInterval, func(_ time.Time) { o.look(ctx) })
}

// look starts work on each group that needs an order and has none under way.
func (o *orderer) look(ctx context.Context) {
	for _, p := range o.entry.replica.State().Placements() {
		if len(o.outdated(p)) == 0 || !o.begin(p.Name) {
			continue
		}
		go func() {
			defer o.end(p.Name)
			o.workOn(ctx, p.Name)
		}()
	}
}

func (o *orderer) begin(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.working[group] {
		return false
	}
	o.working[group] = true
	return true
}

func (o *orderer) end(group string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.working, group)
}

// outdated returns the usable upstreams of a placement's group that hold
// another version.
func (o *orderer) outdated(p config.Placement) []*upstream.Upstream {
	var found []*upstream.Upstream
	for _, u := range o.entry.directory.All() {
		if u.Descriptor.Group == p.Name && u.Descriptor.Version != p.Version && u.Status().Usable() {
			found = append(found, u)
		}
	}
	return found
}

// workOn holds the group's lease until no upstream of the group is outdated.
func (o *orderer) workOn(ctx context.Context, group string) {
	holder, err := lease.NewHolder(o.leases, group, o.entry.options.ID, lease.Options{})
	if err != nil {
		o.entry.options.Log.Log(events.OrderFailed).Str("group", group).Err(err).Send()
		return
	}
	lctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		rctx, done := context.WithTimeout(context.WithoutCancel(ctx), orderInterval)
		defer done()
		_ = holder.Release(rctx)
	}()
	wg.Go(func() { holder.Run(lctx, func(error) {}) })
	for ctx.Err() == nil {
		p, ok := o.entry.replica.State().Placement(group)
		if !ok {
			return
		}
		outdated := o.outdated(p)
		if len(outdated) == 0 {
			return
		}
		if !o.orderOne(ctx, holder, p, outdated) {
			pause(ctx, orderRetry)
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// orderOne orders the first upstream that the model can spare. It reports
// whether the order was carried out.
func (o *orderer) orderOne(ctx context.Context, holder *lease.Holder, p config.Placement, outdated []*upstream.Upstream) bool {
	for _, u := range outdated {
		if !o.spare(u) {
			continue
		}
		conn := o.entry.node.Connection(u.Address)
		if conn == nil {
			continue
		}
		fencing, err := holder.Check(time.Now())
		if err != nil {
			// Another entry holds the lease and gives the orders.
			o.entry.options.Log.LogLimited(events.LeaseNotHeld).Str("group", p.Name).Err(err).Send()
			return false
		}
		return o.send(ctx, conn, &peer.Order{
			Number: o.number.Add(1), Group: p.Name, Fencing: fencing,
			Kind: string(engine.OrderLoadVersion), Version: p.Version,
		})
	}
	return false
}

// spare reports whether the model can be served without the upstream, which
// takes no sequences while it loads another version.
func (o *orderer) spare(u *upstream.Upstream) bool {
	_, err := o.entry.planner.Choose(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), planner.Request{
		Model: u.Descriptor.Model, Exclude: planner.Exclusions{Upstreams: []upstream.InstanceID{u.ID}},
	})
	return err == nil
}

// send gives an order and waits for the answer.
func (o *orderer) send(ctx context.Context, conn *peer.Conn, order *peer.Order) bool {
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

// deliver takes the answer to an order.
func (o *orderer) deliver(f *peer.OrderResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer := o.answers[f.Number]; answer != nil {
		answer <- f
		delete(o.answers, f.Number)
	}
}
