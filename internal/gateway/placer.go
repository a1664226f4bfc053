package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/placement"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// placeInterval is the pause between two looks at the placement.
	placeInterval = 500 * time.Millisecond
	// settleTime is how long the list of instances has to stand still before
	// the first orders of an empty deployment.
	settleTime = 1500 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = time.Second
	// orderPatience is how long an ordered range counts as held before it is
	// reported, beside the time to load it.
	orderPatience = 5 * time.Second
)

// Lease says whether this process is the one that acts.
type Lease interface {
	// Held reports whether the lease is held at now.
	Held(now time.Time) bool
}

// placer orders instances to hold layers while it holds the lease.
type placer struct {
	g       *Gateway
	lease   Lease
	leading bool
	pending map[string]pendingOrder
	// mu guards begun, which orders in progress change.
	mu    sync.Mutex
	begun map[string]begunOrders
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
}

func newPlacer(g *Gateway, lease Lease) *placer {
	return &placer{g: g, lease: lease, pending: make(map[string]pendingOrder), begun: make(map[string]begunOrders)}
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
		}
		now := time.Now()
		if p.leads(now) && !p.g.stale() {
			p.step(ctx, now)
		}
	}
}

// leads reports whether this process holds the lease, and logs changes.
func (p *placer) leads(now time.Time) bool {
	held := p.lease.Held(now)
	switch {
	case held && !p.leading:
		p.g.log.Log(events.PlacerElected).Send()
	case !held && p.leading:
		p.g.log.Log(events.PlacerDeposed).Send()
		clear(p.pending)
	}
	p.leading = held
	return held
}

// step completes the placement of each service in each failure domain.
func (p *placer) step(ctx context.Context, now time.Time) {
	table := p.g.current.Get()
	if table == nil {
		return
	}
	view := p.g.directory.View()
	p.settle(view, now)
	for _, s := range table.Services() {
		if s.Model == nil {
			continue
		}
		byDomain := p.usable(view, s, now)
		if !p.standsStill(byDomain, now) {
			continue
		}
		for _, domain := range sortedKeys(byDomain) {
			p.place(ctx, s, byDomain[domain], now)
		}
	}
}

// settle forgets orders that were carried out, lost or overtaken.
func (p *placer) settle(view *fleet.View, now time.Time) {
	for id, o := range p.pending {
		in, known := view.Instances[id]
		if !known || in.StartedMS != o.started || in.Layers == o.layers || now.After(o.until) {
			delete(p.pending, id)
		}
	}
}

// usable returns the instances of a service that may hold layers, by failure
// domain.
func (p *placer) usable(view *fleet.View, s *routing.Service, now time.Time) map[string][]fleet.Instance {
	byDomain := make(map[string][]fleet.Instance)
	for _, in := range view.Instances {
		if in.Service == s.Name && !in.Draining && !p.g.ledger.Lost(in.ID, now) {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	return byDomain
}

// standsStill reports whether orders may be given: at once if some instance
// holds layers, else after the list has not changed for settleTime.
func (p *placer) standsStill(byDomain map[string][]fleet.Instance, now time.Time) bool {
	for _, list := range byDomain {
		if slices.ContainsFunc(list, func(in fleet.Instance) bool { return in.Layers.Len() > 0 }) {
			return true
		}
	}
	return len(p.pending) > 0 || now.Sub(p.g.membersChanged()) >= settleTime
}

// place gives the orders that complete one failure domain, all at once.
func (p *placer) place(ctx context.Context, s *routing.Service, instances []fleet.Instance, now time.Time) {
	for _, move := range placement.Plan(s.Model, instances, p.held(instances)) {
		share := float64(move.Layers.Len()) / float64(s.Model.Layers)
		load := time.Duration(share * float64(s.Model.LoadTime))
		p.pending[move.Instance.ID] = pendingOrder{
			layers: move.Layers, started: move.Instance.StartedMS, until: now.Add(2*load + orderPatience),
		}
		go p.order(ctx, move)
	}
	if missing := placement.Missing(s.Model, instances, p.held(instances)); missing > 0 {
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

// order sends one order. Its outcome is seen in what the instance reports.
func (p *placer) order(ctx context.Context, move placement.Move) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	count, err := p.begunBy(ctx, move.Instance)
	if err == nil {
		err = p.g.engines.Place(ctx, move.Instance, move.Layers, count)
		p.ordered(move.Instance, count, err)
	}
	e := events.LayersOrdered
	if err != nil {
		e = events.LayersOrderFailed
	}
	p.g.log.Log(e).Str("instance", move.Instance.ID).Str("failure_domain", move.Instance.Domain).
		Int("from", move.Layers.From).Int("to", move.Layers.To).Int64("orders", count).Err(err).Send()
}

// begunBy returns how many orders an instance has begun. An instance that
// holds nothing and was not ordered before has begun none.
func (p *placer) begunBy(ctx context.Context, in fleet.Instance) (int64, error) {
	p.mu.Lock()
	known, ok := p.begun[in.ID]
	p.mu.Unlock()
	switch {
	case ok && known.startedMS == in.StartedMS && known.count >= 0:
		return known.count, nil
	case !ok && in.Layers.Len() == 0:
		return 0, nil
	}
	report, err := p.g.engines.Report(ctx, in.Address)
	return report.Orders, err
}

// unknownOrders stands for a number of orders that must be asked for.
const unknownOrders = -1

// ordered notes the outcome of an order. After a failure the number of begun
// orders is not known.
func (p *placer) ordered(in fleet.Instance, before int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := before + 1
	if err != nil {
		count = unknownOrders
	}
	p.begun[in.ID] = begunOrders{in.StartedMS, count}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
