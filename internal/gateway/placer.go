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
	// placeInterval is how often the placement is reconciled.
	placeInterval = 250 * time.Millisecond
	// resultBacklog is the capacity of the channels of results of calls.
	resultBacklog = 256
	// memberQuietTime is how long no instance must have been added or removed
	// before the first orders are given while no instance holds layers. Once
	// maxMemberWait has passed since the first instance was added, they are given
	// anyway, because the instances of a large deployment take long to register.
	memberQuietTime = 1500 * time.Millisecond
	maxMemberWait   = 4 * time.Second
	// orderTimeout bounds the calls that send one order.
	orderTimeout = 400 * time.Millisecond
	// suspensionGap is the time between two rounds from which on this process has not run
	// for a while. It then knows neither what other gateways ordered nor the present view,
	// which it waits for during suspensionSettle.
	suspensionGap    = 1500 * time.Millisecond
	suspensionSettle = 500 * time.Millisecond
	// slowRound is the duration of a round from which on it is logged.
	slowRound = 50 * time.Millisecond
	// manyInstances is the number of instances from which on a lost instance still counts as
	// holding its layers for lossDelay. Among so many, some count as lost for a moment all
	// the time, because gateways lack processor time, and layers have further holders.
	manyInstances = 128
	lossDelay     = 3 * time.Second
	// loadInterval is how often the load of the instances enters the placement.
	loadInterval = time.Second
)

// Lease tells whether this process holds the lease of the placement.
type Lease interface {
	// Held reports whether the lease is held at now.
	Held(now time.Time) bool
	// StoreUnreachable reports whether the latest call to the store about the
	// lease failed.
	StoreUnreachable() bool
	// HeldByOther reports whether the latest answer of the store named another
	// holder.
	HeldByOther() bool
	// ObserveEra tells that the store was restored from a copy. The lease is not held until
	// it is written in that era.
	ObserveEra(era uint64)
}

// placer orders instances to hold layers while this gateway leads the
// placement. A gateway leads while it holds the lease. If no live gateway can
// acquire the lease, one leads without it.
type placer struct {
	g       *Gateway
	lease   Lease
	leading bool
	// withoutLease is true if this gateway leads without holding the lease.
	withoutLease bool
	// wasLastHolder is true if this gateway is the latest lease holder that it
	// knows of.
	wasLastHolder bool
	// noOtherLeaderSince is when noOtherLeaderAvailable first returned true; it
	// is zero while noOtherLeaderAvailable returns false.
	noOtherLeaderSince time.Time
	coordinator        *placement.Coordinator
	// results and answers receive the ends of the calls to instances.
	results chan orderResult
	answers chan layerAnswer
	// otherLed is true once another gateway has led, so that it may have sent orders.
	otherLed bool
	// lastRound is when the latest round began, placing whether this gateway placed layers in
	// it.
	lastRound time.Time
	placing   bool
	// traffic is true once a gateway had requests in progress. loadAt is when the load of the
	// instances was last determined.
	traffic bool
	loadAt  time.Time
	// lostSince is when each lost instance was first found lost.
	lostSince map[string]time.Time
}

// orderResult is the outcome of one order.
type orderResult struct {
	order placement.LayerOrder
	// countBefore is the number of orders that the instance had started before
	// this one, or placement.UnknownOrders.
	countBefore int64
	err         error
}

// layerAnswer is what an instance said when it was asked for its state.
type layerAnswer struct {
	instance fleet.Instance
	report   Report
	at       time.Time
	err      error
}

func newPlacer(g *Gateway, lease Lease) *placer {
	return &placer{
		g: g, lease: lease, coordinator: placement.NewCoordinator(), lostSince: make(map[string]time.Time),
		results: make(chan orderResult, resultBacklog), answers: make(chan layerAnswer, resultBacklog),
	}
}

// run reconciles the placement at each placeInterval and records the results of
// calls to instances, until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round()
		case r := <-p.results:
			p.recordResult(r)
			p.recordCalls()
		case a := <-p.answers:
			p.recordAnswers(a)
			p.recordCalls()
		}
		// After a suspension, another gateway may lead.
		if p.placing && time.Since(p.lastRound) < suspensionGap {
			p.sendCalls(ctx, time.Now())
		}
	}
}

// recordCalls records the results that have arrived.
func (p *placer) recordCalls() {
	for {
		select {
		case r := <-p.results:
			p.recordResult(r)
		case a := <-p.answers:
			p.recordAnswers(a)
		default:
			return
		}
	}
}

// round determines whether this gateway leads and reconciles the placement if so.
func (p *placer) round() {
	p.publishStatus()
	led := p.leading
	leads := p.updateLeadership(time.Now())
	// Taken only now: the process may have been suspended meanwhile.
	now := time.Now()
	gap := now.Sub(p.lastRound)
	suspended := led && gap > suspensionGap
	p.lastRound, p.placing = now, false
	switch {
	case !leads:
		return
	case !led:
		p.coordinator.Start(p.otherLed || p.anyLayersHeld(), 0, now)
	case suspended:
		p.g.log.Log(events.PlacementSuspended).Dur("gap_ms", gap).Send()
		p.coordinator.Start(true, suspensionSettle, now)
	}
	if p.g.configStale() && !p.noOtherLeaderAvailable(now) {
		return
	}
	p.placing = true
	p.reconcile(now)
	duration := time.Since(now)
	p.g.metrics.recordPlacementRound(duration, p.coordinator.Loads())
	if duration > slowRound {
		p.g.log.LogRateLimited(events.PlacementRoundSlow).Dur("duration_ms", duration).Send()
	}
}

// anyLayersHeld reports whether an instance holds layers.
func (p *placer) anyLayersHeld() bool {
	for _, in := range p.g.directory.View().Instances {
		if in.Layers.Len() > 0 {
			return true
		}
	}
	return false
}

// updateLeadership determines whether this gateway leads the placement, and
// logs changes.
func (p *placer) updateLeadership(now time.Time) bool {
	yields := p.g.YieldsLease()
	p.otherLed = p.otherLed || p.leading || p.lease.HeldByOther() || p.peerLeads(now)
	p.wasLastHolder = (p.wasLastHolder || p.lease.Held(now)) && !p.lease.HeldByOther() && !yields
	leads := p.lease.Held(now) && !yields || p.leadsWithoutLease(now)
	p.withoutLease = leads && !p.lease.Held(now)
	switch {
	case leads && !p.leading:
		p.g.log.Log(events.PlacerStarted).Send()
	case !leads && p.leading:
		p.g.log.Log(events.PlacerStopped).Bool("store_away", p.lease.StoreUnreachable()).Send()
	}
	p.leading = leads
	p.g.isPlacer.Store(leads)
	return leads
}

// takeoverDelay is how long noOtherLeaderAvailable must have returned true before
// a gateway other than the last lease holder leads without the lease.
const takeoverDelay = time.Second

// leadsWithoutLease reports whether this gateway leads even if it does not hold the
// lease. While no gateway can acquire the lease and no peer leads, the last holder
// leads, and after takeoverDelay also the first gateway by name. After a gateway
// can acquire the lease again, a gateway that leads without it continues until a
// peer leads or it yields the lease. Two leaders at a time do no harm, because
// each order carries the number of orders that its instance has started, and an
// instance refuses an order with another number.
func (p *placer) leadsWithoutLease(now time.Time) bool {
	if !p.noOtherLeaderAvailable(now) {
		p.noOtherLeaderSince = time.Time{}
		// Once the store is reachable again, it takes a while until a gateway
		// holds the lease.
		return p.withoutLease && !p.g.YieldsLease() && !p.peerLeads(now)
	}
	if p.noOtherLeaderSince.IsZero() {
		p.noOtherLeaderSince = now
	}
	return p.wasLastHolder || now.Sub(p.noOtherLeaderSince) >= takeoverDelay && p.g.ranksFirst(now)
}

// peerLeads reports whether another live gateway leads.
func (p *placer) peerLeads(now time.Time) bool {
	r := p.g.reporter.Load()
	return r != nil && r.PeerLeads(now)
}

// noOtherLeaderAvailable reports whether no live gateway, this one included, can
// acquire the lease and no peer leads. It can return true while this gateway
// leads without the lease.
func (p *placer) noOtherLeaderAvailable(now time.Time) bool {
	r := p.g.reporter.Load()
	return r != nil && p.lease.StoreUnreachable() && r.NoLeaderAvailable(now)
}

// publishStatus sets the status that is reported to the other gateways: whether
// this gateway leads, whether it can acquire or renew the lease, and whether it is
// shutting down. A gateway that neither leads nor contends for the lease reports
// the lease as unavailable even if it can reach the store.
func (p *placer) publishStatus() {
	if r := p.g.reporter.Load(); r != nil {
		r.SetStatus(gossip.Status{
			LeaseUnavailable: p.lease.StoreUnreachable() || !p.leading && !p.g.ContendsForLease(),
			Leading:          p.leading,
			Stopping:         p.g.draining(),
		})
	}
}

// reconcile plans the placement of each model in each failure domain.
func (p *placer) reconcile(now time.Time) {
	table := p.g.activeTable.Get()
	if table == nil {
		return
	}
	view := p.g.directory.View()
	p.traffic = p.traffic || p.g.tracker.HasLoad(now)
	r := placement.Round{
		Now: now, Traffic: p.traffic,
		Lookup: func(id string) (fleet.Instance, bool) {
			in, known := view.Instances[id]
			return in, known
		},
		InBackoff: func(id string) bool { return p.g.tracker.InBackoff(id, now) || p.g.tracker.IsLost(id, now) },
	}
	if now.Sub(p.loadAt) >= loadInterval {
		p.loadAt = now
		r.Load = &placement.Load{
			TokenLayers: p.g.tracker.TotalLoads(now), Slowness: p.g.tracker.SlowInstances(now),
		}
	}
	lost := p.lostInstances(view, now)
	for _, s := range table.Services() {
		if s.Model == nil {
			continue
		}
		byDomain := instancesByDomain(view, s, func(id string) bool { return lost[id] })
		if !p.mayPlace(byDomain, now) {
			continue
		}
		for _, domain := range sortedKeys(byDomain) {
			r.Groups = append(r.Groups, placement.Group{
				Name: s.Name + "/" + domain, Service: s.Name, Model: s.Model, Instances: byDomain[domain],
			})
		}
	}
	p.coordinator.Update(r)
	for _, gap := range p.coordinator.Gaps() {
		p.g.log.LogRateLimited(events.LayersMissing).Str("service", gap.Service).Int("missing", gap.Missing).
			Int("instances", gap.Instances).Send()
	}
	notable := p.coordinator.TakeNotable()
	for _, id := range notable.Foreign {
		p.g.log.Log(events.ForeignOrder).Str("instance", id).Send()
	}
	for _, id := range notable.Overdue {
		p.g.log.Log(events.LayersOverdue).Str("instance", id).Send()
	}
}

// lostInstances returns the instances whose layers no longer count as held because they are lost.
func (p *placer) lostInstances(view *fleet.View, now time.Time) map[string]bool {
	delay := time.Duration(0)
	if len(view.Instances) > manyInstances {
		delay = lossDelay
	}
	lost := make(map[string]bool)
	for id := range view.Instances {
		if !p.g.tracker.IsLost(id, now) {
			delete(p.lostSince, id)
			continue
		}
		if _, known := p.lostSince[id]; !known {
			p.lostSince[id] = now
		}
		lost[id] = now.Sub(p.lostSince[id]) >= delay
	}
	for id := range p.lostSince {
		if _, known := view.Instances[id]; !known {
			delete(p.lostSince, id)
		}
	}
	return lost
}

// sendCalls sends the orders that are due, and asks the instances whose load should have ended. It
// does not wait for their entries in the store, which are updated later.
func (p *placer) sendCalls(ctx context.Context, now time.Time) {
	for _, o := range p.coordinator.NextOrders(now) {
		p.g.metrics.recordOrder(o.Move)
		if o.Move {
			p.g.log.Log(events.LayersMoved).Str("instance", o.Instance.ID).
				Int("from", o.Layers.From).Int("to", o.Layers.To).Send()
		}
		go p.runOrder(ctx, o.LayerOrder, o.Started)
	}
	for {
		in, ok := p.coordinator.NextCheck(now)
		if !ok {
			return
		}
		go p.ask(ctx, in, now)
	}
}

// ask asks an instance for its state and passes on the answer.
func (p *placer) ask(ctx context.Context, in fleet.Instance, now time.Time) {
	report, at, err := p.g.faults.InstanceReport(ctx, in, now)
	select {
	case p.answers <- layerAnswer{in, report, at, err}:
	case <-ctx.Done():
	}
}

// usableInstances returns the instances of a service that may hold layers, by
// failure domain, or by cell in failure domains that are divided.
func (g *Gateway) usableInstances(view *fleet.View, s *routing.Service, now time.Time) map[string][]fleet.Instance {
	return instancesByDomain(view, s, func(id string) bool { return g.tracker.IsLost(id, now) })
}

// instancesByDomain returns the instances of a service that are neither draining nor lost, by
// failure domain.
func instancesByDomain(
	view *fleet.View, s *routing.Service, lost func(id string) bool,
) map[string][]fleet.Instance {
	byDomain := make(map[string][]fleet.Instance)
	near, far := view.Groups(s.Name)
	for _, group := range slices.Concat(near, far) {
		for _, in := range group.Instances {
			if !in.Draining && !lost(in.ID) {
				byDomain[group.Cell] = append(byDomain[group.Cell], *in)
			}
		}
	}
	return byDomain
}

// mayPlace reports whether orders may be given for a service. It returns true if
// one of the given instances holds layers or any order is pending. Otherwise it
// returns true once no instance has been added or removed for memberQuietTime, or
// once maxMemberWait has passed since the first instance was added.
func (p *placer) mayPlace(byDomain map[string][]fleet.Instance, now time.Time) bool {
	for _, list := range byDomain {
		if slices.ContainsFunc(list, func(in fleet.Instance) bool { return in.Layers.Len() > 0 }) {
			return true
		}
	}
	first, latest := p.g.memberChanges()
	return p.coordinator.Busy() || now.Sub(latest) >= memberQuietTime || now.Sub(first) >= maxMemberWait
}

// runOrder sends one order and passes on its result. Whether the instance
// carries it out is seen in what the instance reports.
func (p *placer) runOrder(ctx context.Context, order placement.LayerOrder, startedOrders int64) {
	result := orderResult{order: order}
	result.countBefore, result.err = p.sendOrder(ctx, order, startedOrders)
	select {
	case p.results <- result:
	case <-ctx.Done():
	}
}

// sendOrder sends the order. If the number of orders that the instance has
// started is not known, it asks the instance for its state first, and sends nothing
// if another gateway has ordered it to hold other layers. It returns that number.
func (p *placer) sendOrder(ctx context.Context, order placement.LayerOrder, startedOrders int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if startedOrders == placement.UnknownOrders {
		report, err := p.g.control.Report(ctx, order.Instance.ID, order.Instance.Address)
		if err != nil {
			return startedOrders, errors.Join(errOrderNotSent, err)
		}
		startedOrders = report.Orders
		if report.Loading || report.Layers != order.Instance.Layers {
			return startedOrders, errors.Join(errOrderNotSent, errOrderOutdated)
		}
	}
	return startedOrders, p.g.control.OrderLayers(ctx, order.Instance, order.Layers, startedOrders)
}

// errOrderNotSent means that an order was not sent.
var errOrderNotSent = errors.New("gateway: order not sent")

// errOrderOutdated means that an instance holds or loads other layers than the order assumes.
var errOrderOutdated = errors.New("gateway: instance holds other layers or loads")

// recordResult records the result of an order. The layers that an accepted order releases
// are removed from the directory at once.
func (p *placer) recordResult(r orderResult) {
	in, now := r.order.Instance, time.Now()
	e, outcome := events.LayersOrderFailed, placement.Unanswered
	switch {
	case r.err == nil:
		e, outcome = events.LayersOrdered, placement.Accepted
		p.g.directory.Observe(fleet.Observation{ID: in.ID, Layers: in.Layers.Intersect(r.order.Layers), At: now})
	case errors.Is(r.err, ErrOrderRefused), errors.Is(r.err, errOrderNotSent):
		outcome = placement.Refused
	}
	p.coordinator.OrderAnswered(r.order, r.countBefore, outcome, now)
	p.g.log.Log(e).Str("instance", in.ID).Str("failure_domain", in.Domain).
		Int("from", r.order.Layers.From).Int("to", r.order.Layers.To).Int64("orders", r.countBefore).Err(r.err).Send()
}

// recordAnswers records what an instance said about its layers, and the further answers that have
// arrived.
func (p *placer) recordAnswers(a layerAnswer) {
	var observed []fleet.Observation
	for more := true; more; {
		in := a.instance
		answer := placement.Answer{
			AskedAt: a.at, Layers: a.report.Layers, Orders: a.report.Orders,
			Loading: a.report.Loading, LoadingKnown: a.report.LoadingKnown,
		}
		// While an instance loads, it reports other layers or none.
		if p.coordinator.CheckAnswered(in, answer, a.err == nil, time.Now()) {
			observed = append(observed, fleet.Observation{
				ID: in.ID, Layers: a.report.Layers, At: a.at.Add(-maxReportDelay),
			})
		}
		p.g.log.Log(events.LayersObserved).Str("instance", in.ID).Int("from", a.report.Layers.From).
			Int("to", a.report.Layers.To).Err(a.err).Send()
		select {
		case a = <-p.answers:
		default:
			more = false
		}
	}
	p.g.directory.Observe(observed...)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
