package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/placement"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// placeInterval is the pause between two looks at the placement.
	placeInterval = 250 * time.Millisecond
	// resultBacklog is the number of outcomes of orders that may wait.
	resultBacklog = 256
	// settleTime is how long the list of instances has to stand still before
	// the first orders of an empty deployment, settleLimit the time after the
	// first instance at which they are given anyway: a large deployment
	// registers for long.
	settleTime  = 1500 * time.Millisecond
	settleLimit = 4 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 400 * time.Millisecond
	// uncertainTime is how long an order without an answer counts as held.
	// After it the instance is asked.
	uncertainTime = 500 * time.Millisecond
	// refusalPause is how long an instance that refused an order is left
	// alone: it may still be carrying out another one.
	refusalPause = time.Second
	// observeMargin is how long after the time to load an instance is asked
	// whether it is done, observePause the time between two questions.
	observeMargin = 100 * time.Millisecond
	observePause  = 700 * time.Millisecond
	// orderPatience is how long an ordered range counts as held before it is
	// reported, beside the time to load it.
	orderPatience = 5 * time.Second
)

// Lease says whether this process is the one that acts.
type Lease interface {
	// Held reports whether the lease is held at now.
	Held(now time.Time) bool
	// StoreUnreachable reports whether the latest call about the lease failed.
	StoreUnreachable() bool
	// HeldByOther reports whether the latest answer of the store named
	// another holder.
	HeldByOther() bool
}

// placer orders instances to hold layers while it holds the lease.
type placer struct {
	g       *Gateway
	lease   Lease
	leading bool
	// acting is true if this gateway leads without the lease.
	acting bool
	// last is true if this gateway was the last holder that it knows of.
	last bool
	// orphanedSince is when the placement was left without a process that can
	// take the lease, zero if it is not.
	orphanedSince time.Time
	pending       map[string]pendingOrder
	results       chan orderResult
	// begun counts the orders of each instance.
	begun map[string]begunOrders
}

// orderResult is the outcome of one order.
type orderResult struct {
	move placement.Move
	// before is the number of orders that the instance had begun, or
	// unknownOrders.
	before int64
	err    error
}

// begunOrders is the number of orders that an instance has begun since its
// start at startedMS.
type begunOrders struct {
	startedMS int64
	count     int64
}

// pendingOrder is a range that was ordered and is not reported yet.
type pendingOrder struct {
	layers  fleet.LayerRange
	started int64
	until   time.Time
	// due is when the instance is asked whether it is done.
	due time.Time
	// refused orders only keep the instance from being ordered again.
	refused bool
}

func newPlacer(g *Gateway, lease Lease) *placer {
	return &placer{
		g: g, lease: lease,
		pending: make(map[string]pendingOrder), begun: make(map[string]begunOrders),
		results: make(chan orderResult, resultBacklog),
	}
}

// run looks at the placement until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case r := <-p.results:
			p.ordered(r)
			continue
		}
		now := time.Now()
		p.tellPeers()
		if p.leads(now) && (!p.g.stale() || p.orphaned(now)) {
			p.step(ctx, now)
		}
	}
}

// leads reports whether this process holds the lease, and logs changes.
func (p *placer) leads(now time.Time) bool {
	yields := p.g.YieldsLease()
	p.last = (p.last || p.lease.Held(now)) && !p.lease.HeldByOther() && !yields
	held := p.lease.Held(now) && !yields || p.actsWithoutLease(now)
	p.acting = held && !p.lease.Held(now)
	switch {
	case held && !p.leading:
		p.g.log.Log(events.PlacerElected).Send()
	case !held && p.leading:
		p.g.log.Log(events.PlacerDeposed).Bool("store_away", p.lease.StoreUnreachable()).Send()
		clear(p.pending)
	}
	p.leading = held
	p.g.leads.Store(held)
	return held
}

// orphanTime is how long the placement has to be left without a process until
// another one than the last holder takes it.
const orphanTime = time.Second

// actsWithoutLease reports whether this gateway places layers although nobody
// can hold the lease: the last holder goes on, and without one the first
// gateway by name. Two at a time do no harm, since each order carries the
// number of orders that its instance has begun.
func (p *placer) actsWithoutLease(now time.Time) bool {
	if !p.orphaned(now) {
		p.orphanedSince = time.Time{}
		// When the store is back, it takes a while until somebody holds the
		// lease.
		return p.acting && !p.g.YieldsLease() && !p.peerLeads(now)
	}
	if p.orphanedSince.IsZero() {
		p.orphanedSince = now
	}
	return p.last || now.Sub(p.orphanedSince) >= orphanTime && p.g.comesFirst(now)
}

func (p *placer) peerLeads(now time.Time) bool {
	x := p.g.exchange.Load()
	return x != nil && x.PeerLeads(now)
}

// orphaned reports whether neither this gateway nor any other that is alive
// reaches the store, and none of them leads.
func (p *placer) orphaned(now time.Time) bool {
	x := p.g.exchange.Load()
	return x != nil && p.lease.StoreUnreachable() && x.NoLeaderAvailable(now)
}

// tellPeers tells the other gateways whether this one leads or could. One that
// does not contend can't take the lease, whether it reaches the store or not.
func (p *placer) tellPeers() {
	if x := p.g.exchange.Load(); x != nil {
		x.SetRole(gossip.Role{
			StoreUnreachable: p.lease.StoreUnreachable() || !p.leading && !p.g.ContendsForLease(),
			Leading:          p.leading,
			Stopping:         p.g.draining(),
		})
	}
}

// step completes the placement of each service in each failure domain.
func (p *placer) step(ctx context.Context, now time.Time) {
	table := p.g.current.Get()
	if table == nil {
		return
	}
	p.observeDue(ctx, now)
	view := p.g.directory.View()
	p.settle(view, now)
	for _, s := range table.Services() {
		if s.Model == nil {
			continue
		}
		byDomain := p.g.usable(view, s, now)
		if !p.standsStill(byDomain, now) {
			continue
		}
		for _, domain := range sortedKeys(byDomain) {
			p.place(ctx, s, byDomain[domain], now)
		}
	}
}

// observeDue asks the instances whose orders should be done: their entries in
// the store follow later.
func (p *placer) observeDue(ctx context.Context, now time.Time) {
	for id, o := range p.pending {
		if o.refused || now.Before(o.due) {
			continue
		}
		in, known := p.g.directory.View().Instances[id]
		if !known {
			continue
		}
		o.due = now.Add(observePause)
		p.pending[id] = o
		go func() {
			// While it loads, an instance reports other layers or none.
			seen, err := p.g.faults.Observe(ctx, in, now)
			if err == nil && seen.Layers == o.layers {
				p.g.directory.Observe(seen)
			}
			p.g.log.Log(events.LayersObserved).Str("instance", id).Int("from", seen.Layers.From).
				Int("to", seen.Layers.To).Err(err).Send()
		}()
	}
}

// settle forgets orders that were carried out, lost or overtaken.
func (p *placer) settle(view *fleet.View, now time.Time) {
	for id, o := range p.pending {
		in, known := view.Instances[id]
		done := in.Layers == o.layers && !o.refused
		if !known || in.StartedMS != o.started || done || now.After(o.until) {
			delete(p.pending, id)
		}
	}
}

// usable returns the instances of a service that may hold layers, by failure
// domain.
func (g *Gateway) usable(view *fleet.View, s *routing.Service, now time.Time) map[string][]fleet.Instance {
	byDomain := make(map[string][]fleet.Instance)
	for _, in := range view.Instances {
		if in.Service == s.Name && !in.Draining && !g.ledger.IsLost(in.ID, now) {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	return byDomain
}

// standsStill reports whether orders may be given: at once if some instance
// holds layers, else after the list has not changed for settleTime, at most
// settleLimit after its first instance.
func (p *placer) standsStill(byDomain map[string][]fleet.Instance, now time.Time) bool {
	for _, list := range byDomain {
		if slices.ContainsFunc(list, func(in fleet.Instance) bool { return in.Layers.Len() > 0 }) {
			return true
		}
	}
	first, latest := p.g.membersChanged()
	return len(p.pending) > 0 || now.Sub(latest) >= settleTime || now.Sub(first) >= settleLimit
}

// place gives the orders that complete one failure domain, all at once.
func (p *placer) place(ctx context.Context, s *routing.Service, instances []fleet.Instance, now time.Time) {
	for _, move := range placement.Plan(s.Model, instances, p.held(instances)) {
		share := float64(move.Layers.Len()) / float64(s.Model.Layers)
		load := time.Duration(share * float64(s.Model.LoadTime))
		p.pending[move.Instance.ID] = pendingOrder{
			layers: move.Layers, started: move.Instance.StartedMS, until: now.Add(2*load + orderPatience),
			due: now.Add(load + observeMargin),
		}
		go p.order(ctx, move, p.begunBy(move.Instance))
	}
	if missing := placement.MissingLayers(s.Model, instances, p.held(instances)); missing > 0 {
		p.g.log.LogLimited(events.LayersMissing).Str("service", s.Name).Int("missing", missing).
			Int("instances", len(instances)).Send()
	}
}

// held returns the ranges that instances were ordered to hold.
func (p *placer) held(instances []fleet.Instance) map[string]fleet.LayerRange {
	ordered := make(map[string]fleet.LayerRange)
	for _, in := range instances {
		if o, ok := p.pending[in.ID]; ok {
			ordered[in.ID] = o.layers
		}
	}
	return ordered
}

// order sends one order. Whether it is carried out is seen in what the
// instance reports.
func (p *placer) order(ctx context.Context, move placement.Move, before int64) {
	result := orderResult{move: move}
	result.before, result.err = p.call(ctx, move, before)
	select {
	case p.results <- result:
	case <-ctx.Done():
	}
}

// call asks for the number of begun orders if it is not known, and sends the
// order.
func (p *placer) call(ctx context.Context, move placement.Move, before int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if before == unknownOrders {
		report, err := p.g.engines.Report(ctx, move.Instance.Address)
		if err != nil {
			return before, errors.Join(errNotOrdered, err)
		}
		before = report.Orders
	}
	return before, p.g.engines.OrderLayers(ctx, move.Instance, move.Layers, before)
}

// errNotOrdered means that an order was not sent.
var errNotOrdered = errors.New("gateway: order not sent")

// unknownOrders stands for a number of orders that must be asked for.
const unknownOrders = -1

// begunBy returns how many orders an instance has begun. An instance that
// holds nothing and was not ordered before has begun none.
func (p *placer) begunBy(in fleet.Instance) int64 {
	known, ok := p.begun[in.ID]
	switch {
	case ok && known.startedMS == in.StartedMS:
		return known.count
	case !ok && in.Layers.Len() == 0:
		return 0
	}
	return unknownOrders
}

// ordered notes the outcome of an order. After a failure the number of begun
// orders is not known; an order that was refused is not pending either.
func (p *placer) ordered(r orderResult) {
	in := r.move.Instance
	e, count := events.LayersOrdered, r.before+1
	if r.err != nil {
		e, count = events.LayersOrderFailed, unknownOrders
	}
	now := time.Now()
	switch {
	case r.err == nil:
	case errors.Is(r.err, ErrOrderRefused), errors.Is(r.err, errNotOrdered):
		p.pending[in.ID] = pendingOrder{
			layers: in.Layers, started: in.StartedMS, until: now.Add(refusalPause),
			refused: true,
		}
	default:
		p.pending[in.ID] = pendingOrder{
			layers: r.move.Layers, started: in.StartedMS, until: now.Add(uncertainTime),
			due: now.Add(uncertainTime / 2),
		}
	}
	if r.err == nil {
		p.g.directory.Observe(fleet.Observation{ID: in.ID, Layers: in.Layers.Intersect(r.move.Layers), At: now})
	}
	p.begun[in.ID] = begunOrders{in.StartedMS, count}
	p.g.log.Log(e).Str("instance", in.ID).Str("failure_domain", in.Domain).
		Int("from", r.move.Layers.From).Int("to", r.move.Layers.To).Int64("orders", r.before).Err(r.err).Send()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
