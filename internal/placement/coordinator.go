package placement

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// maxCalls is the number of calls to instances that are in progress at a time.
	// Each has a connection of its own.
	maxCalls = 64
	// maxLoads is the number of loads at a time once requests are served.
	maxLoads = parallelLoads
	// maxColdLoads is the number of loads at a time before that while layers
	// without a holder are being loaded. The others would slow those loads.
	maxColdLoads = 16
	// firstCopyPatience is how many times its expected time a load of such layers
	// holds others back.
	firstCopyPatience = 3
	// plannedPerRound bounds the instances of the groups that are planned in a
	// round. The other groups are planned in the next rounds.
	plannedPerRound = 1024
	// smallDeployment is the number of instances up to which improvements are made
	// without a pause, and lost instances are replaced at once.
	smallDeployment = 128
	// improvePause is the pause between two improvements of a group, and the time
	// for which its members must not have changed before, for each instance of all
	// groups. Improvements of many groups would otherwise load layers all the time.
	improvePause = 10 * time.Millisecond
	// askTimeout is how long a group is not planned because instances that may be
	// loading have not answered.
	askTimeout = 2 * time.Second
	// unknownLoadPatience is how long holders of layers don't change theirs to fill gaps
	// because an instance of their group carries out an order of another process, which may
	// fill them.
	unknownLoadPatience = 10 * time.Second
)

// Group is a set of instances of a service among which paths run.
type Group struct {
	// Name identifies the group.
	Name    string
	Service string
	Model   *routing.Model
	// Instances are the usable ones.
	Instances []fleet.Instance
}

// Round is what a Coordinator decides by.
type Round struct {
	Now    time.Time
	Groups []Group
	// Lookup returns an instance of the view, usable or not.
	Lookup func(id string) (fleet.Instance, bool)
	// InBackoff reports whether an instance wants no calls.
	InBackoff func(id string) bool
	// Traffic is true once requests are served.
	Traffic bool
	// Load is the load of the instances, nil in rounds in which it was not determined.
	Load *Load
}

// Order is an order that is to be sent.
type Order struct {
	LayerOrder
	// Started is the number of orders that the instance has started, or UnknownOrders.
	Started int64
	// First is true if the order gives a holder to layers that have none yet.
	First bool
	// Move is true if the order improves a placement in which all layers have holders.
	Move bool
}

// Gap is a group with layers that no instance holds or is ordered to hold.
type Gap struct {
	Service   string
	Missing   int
	Instances int
}

// Coordinator carries out the placement of all groups: it decides which orders are sent, in which
// order and how many at a time, and which instances are asked whether they have finished. It
// performs no I/O and is not safe for concurrent use.
type Coordinator struct {
	// orders holds the latest order of each instance.
	orders  map[string]*order
	started map[string]startedOrders
	groups  map[string]*group
	// calls is the number of calls in progress.
	calls int
	// askSince is when the instances that may be loading were first to be asked, asked
	// holds those that were. It is zero if no other process can have ordered instances.
	askSince, settledAt time.Time
	asked               map[string]int64
	// lastRound is the time of the latest round, traffic whether it had traffic.
	lastRound time.Time
	traffic   bool
	// loadsInRound is the number of loads in progress at that time.
	loadsInRound int
	// names are the names of the groups, due the instances that are to be asked.
	names []string
	due   []string
	// nextGroup is the index of the group that is planned first in the next round.
	nextGroup int
	// slow holds the instances that are slow.
	slow map[string]slowPeriod
	// nextDemand is the index of the group for which a move is sought first in the next
	// round with a load.
	nextDemand int
	// answersTellLoading is true once an instance has said whether it loads.
	answersTellLoading bool
	// foreign and overdue hold the instances that carry out an order of another process,
	// and those whose load takes very long, for the log.
	foreign, overdue []string
	seed             maphash.Seed
}

// group is the state of a Group.
type group struct {
	Group
	// fingerprint identifies the state for which the group was planned.
	fingerprint uint64
	planned     bool
	// queue holds the planned orders that have not been sent, missing the number of
	// layers that have no holder once all orders are carried out.
	queue   []Order
	missing int
	// members identifies the instances, membersSince is when they last changed.
	members      uint64
	membersSince time.Time
	// improvedAt is when the latest improvement was planned. improved is true if there is
	// none in the present state.
	improvedAt time.Time
	improved   bool
	// demand is the load in the latest time. movedAt is when a move last followed it.
	demand  demandHistory
	movedAt time.Time
}

// NewCoordinator returns a Coordinator without orders.
func NewCoordinator() *Coordinator {
	return &Coordinator{
		orders: make(map[string]*order), started: make(map[string]startedOrders), groups: make(map[string]*group),
		asked: make(map[string]int64), slow: make(map[string]slowPeriod), seed: maphash.MakeSeed(),
	}
}

// Start begins to place layers, or continues after a pause. If another process may have sent
// orders before, the instances that may carry them out are asked first; nothing is planned before
// settled has passed, so that the view is complete.
func (c *Coordinator) Start(afterOther bool, settle time.Duration, now time.Time) {
	c.settledAt, c.lastRound = now.Add(settle), now
	clear(c.groups)
	clear(c.asked)
	c.askSince = time.Time{}
	if !afterOther {
		return
	}
	c.askSince = now
	for _, o := range c.orders {
		// The instance may have got other orders since.
		if o.state == loading || o.state == uncertain {
			o.state, o.checkAt, o.checks = uncertain, now, 0
		}
	}
	clear(c.started)
}

// Update takes over the state of the groups and plans those that have changed.
func (c *Coordinator) Update(r Round) {
	elapsed := r.Now.Sub(c.lastRound)
	c.lastRound, c.traffic = r.Now, r.Traffic
	c.markUsable(r.Groups)
	c.updateOrders(&r, elapsed)
	total := 0
	for _, g := range r.Groups {
		total += len(g.Instances)
	}
	c.names = c.names[:0]
	budget, first := plannedPerRound, 0
	if len(r.Groups) > 0 {
		first = c.nextGroup % len(r.Groups)
	}
	next := -1
	for i := range r.Groups {
		index := (first + i) % len(r.Groups)
		g := c.updateGroup(r.Groups[index], &r)
		c.names = append(c.names, g.Name)
		if r.Now.Before(c.settledAt) || c.awaitsAnswers(g, r.Now) || !c.needsPlan(g, &r, total) {
			continue
		}
		if budget <= 0 {
			if next < 0 {
				next = index
			}
			continue
		}
		budget -= len(g.Instances)
		c.plan(g, &r, total)
	}
	c.nextGroup = max(next, 0)
	slices.Sort(c.names)
	for name := range c.groups {
		if _, present := slices.BinarySearch(c.names, name); !present {
			delete(c.groups, name)
		}
	}
	if r.Load != nil {
		c.sampleLoad(&r)
		c.followDemands(&r)
	}
	c.collectDue(r.Now)
}

// collectDue lists the instances that are to be asked, the one that has waited longest first.
func (c *Coordinator) collectDue(now time.Time) {
	c.due = c.due[:0]
	for id, o := range c.orders {
		if o.checkDue(now) {
			c.due = append(c.due, id)
		}
	}
	slices.SortFunc(c.due, func(a, b string) int {
		return cmp.Or(c.orders[a].checkAt.Compare(c.orders[b].checkAt), cmp.Compare(a, b))
	})
}

// NextCheck returns an instance that is to be asked for its state. The caller must call
// CheckAnswered with the answer.
func (c *Coordinator) NextCheck(now time.Time) (fleet.Instance, bool) {
	for len(c.due) > 0 && c.calls < maxCalls {
		o := c.orders[c.due[0]]
		c.due = c.due[1:]
		if o != nil && o.checkDue(now) {
			o.scheduleCheck(now, c.loadsInRound)
			o.checking = true
			c.calls++
			return o.instance, true
		}
	}
	return fleet.Instance{}, false
}

// NextOrders returns the orders that are to be sent now. The caller must call OrderAnswered for
// each of them. Layers without a holder take precedence; the groups take turns.
func (c *Coordinator) NextOrders(now time.Time) []Order {
	loads, firstLoading := c.loads(), c.firstCopiesLoading()
	var orders []Order
	for _, first := range []bool{true, false} {
		for sent := true; sent; {
			sent = false
			for _, name := range c.names {
				g := c.groups[name]
				if len(g.queue) == 0 || first && !g.queue[0].First {
					continue
				}
				if c.calls >= maxCalls || loads >= c.loadLimit(first, firstLoading) {
					return orders
				}
				order := g.queue[0]
				g.queue = g.queue[1:]
				order.Started = c.ordersStarted(order.Instance)
				c.send(g.Model, order, now)
				orders = append(orders, order)
				loads++
				sent, firstLoading = true, firstLoading || first
			}
		}
	}
	return orders
}

// loadLimit returns the number of loads at a time up to which an order may be sent. first tells
// whether it gives a holder to layers that have none, firstLoading whether such orders are in
// progress.
func (c *Coordinator) loadLimit(first, firstLoading bool) int {
	switch {
	case c.traffic:
		return maxLoads
	case firstLoading && !first:
		return maxColdLoads
	}
	return math.MaxInt
}

// firstCopiesLoading reports whether layers without a holder are being loaded and the loads don't
// take much longer than expected.
func (c *Coordinator) firstCopiesLoading() bool {
	for _, o := range c.orders {
		if o.firstCopies && o.inProgress() && o.state != uncertain && o.done < firstCopyPatience*o.work {
			return true
		}
	}
	return false
}

// send records that an order is sent.
func (c *Coordinator) send(m *routing.Model, o Order, now time.Time) {
	kept := o.Instance.Layers.Intersect(o.Layers).Len()
	c.orders[o.Instance.ID] = &order{
		instance: o.Instance, model: m, layers: o.Layers, layersKnown: true, firstCopies: o.First,
		work: loadTime(m, o.Layers.Len()-kept), begun: now, usable: true,
	}
	c.calls++
}

// Busy reports whether an order is in progress.
func (c *Coordinator) Busy() bool {
	for _, o := range c.orders {
		if o.state != finished {
			return true
		}
	}
	return false
}

// Loads returns the number of loads in progress.
func (c *Coordinator) Loads() int { return c.loads() }

// Gaps returns the groups in which layers have no holder.
func (c *Coordinator) Gaps() []Gap {
	var gaps []Gap
	for _, name := range c.names {
		if g := c.groups[name]; g.missing > 0 {
			gaps = append(gaps, Gap{g.Service, g.missing, len(g.Instances)})
		}
	}
	return gaps
}

// Notable are orders for the log, by instance.
type Notable struct {
	// Foreign are instances that carry out an order of another process, Overdue those
	// whose load takes much longer than expected.
	Foreign, Overdue []string
}

// TakeNotable returns what has happened since the latest call.
func (c *Coordinator) TakeNotable() Notable {
	n := Notable{c.foreign, c.overdue}
	c.foreign, c.overdue = nil, nil
	return n
}

// markUsable marks the orders of usable instances.
func (c *Coordinator) markUsable(groups []Group) {
	for _, o := range c.orders {
		o.usable = false
	}
	for _, g := range groups {
		for _, in := range g.Instances {
			if o := c.orders[in.ID]; o != nil {
				o.usable = true
			}
		}
	}
}

// updateGroup takes over the instances of a group, and has those asked that may carry out an order
// of another process.
func (c *Coordinator) updateGroup(update Group, r *Round) *group {
	g := c.groups[update.Name]
	if g == nil {
		g = &group{}
		c.groups[update.Name] = g
	}
	g.Group = update
	var members uint64
	for _, in := range g.Instances {
		members ^= maphash.String(c.seed, in.ID)
		c.askIfMaybeLoading(g.Model, in, r.Now)
	}
	if members != g.members {
		g.members, g.membersSince = members, r.Now
	}
	return g
}

// askIfMaybeLoading has an instance asked for its state if it holds nothing and another process may
// have ordered it.
func (c *Coordinator) askIfMaybeLoading(m *routing.Model, in fleet.Instance, now time.Time) {
	if c.askSince.IsZero() || in.Layers.Len() > 0 || now.Sub(c.askSince) > askTimeout {
		return
	}
	if asked, ok := c.asked[in.ID]; ok && asked == in.StartedMS {
		return
	}
	c.asked[in.ID] = in.StartedMS
	if c.orders[in.ID] == nil {
		c.orders[in.ID] = &order{instance: in, model: m, state: uncertain, begun: now, checkAt: now, usable: true}
	}
}

// awaitsAnswers reports whether instances of a group are still to say what they hold.
func (c *Coordinator) awaitsAnswers(g *group, now time.Time) bool {
	if c.askSince.IsZero() || now.Sub(c.askSince) > askTimeout {
		return false
	}
	return slices.ContainsFunc(g.Instances, func(in fleet.Instance) bool {
		o := c.orders[in.ID]
		return o != nil && o.state == uncertain
	})
}

// needsPlan reports whether the state of a group has changed since its latest plan, or an
// improvement may be sought.
func (c *Coordinator) needsPlan(g *group, r *Round, total int) bool {
	if print := c.fingerprint(g, r); !g.planned || print != g.fingerprint {
		g.fingerprint, g.planned, g.improved = print, false, false
		return true
	}
	return c.mayImprove(g, r, total)
}

// fingerprint returns a number that differs if the plan of a group may differ. An order that is
// in the queue, sent or carried out leaves it unchanged.
func (c *Coordinator) fingerprint(g *group, r *Round) uint64 {
	queued := make(map[string]fleet.LayerRange, len(g.queue))
	for _, o := range g.queue {
		queued[o.Instance.ID] = o.Layers
	}
	var sum uint64
	if c.loadsUnknownLayers(g, r.Now) {
		sum = 1
	}
	for _, in := range g.Instances {
		layers, state := in.Layers, uint64(0)
		if l, ok := queued[in.ID]; ok {
			layers = l
		} else if o := c.orders[in.ID]; o != nil {
			layers = o.layers
			if !o.layersKnown {
				state = 1
			}
		}
		if r.InBackoff(in.ID) {
			state += 2
		}
		h := maphash.String(c.seed, in.ID) + uint64(in.StartedMS)
		h = (h ^ uint64(layers.From)<<32 ^ uint64(layers.To)<<8 ^ state) * 0x9e3779b97f4a7c15
		sum += h ^ h>>29
	}
	return sum
}

// improveDelay returns the pause between improvements of a group.
func improveDelay(total int) time.Duration {
	if total <= smallDeployment {
		return 0
	}
	return time.Duration(total) * improvePause
}

// mayImprove reports whether an improvement of a group may be sought: none of its instances is
// loading, and neither its members nor its placement have changed for a while.
func (c *Coordinator) mayImprove(g *group, r *Round, total int) bool {
	delay := improveDelay(total)
	return !g.improved && r.Now.Sub(g.membersSince) >= delay && r.Now.Sub(g.improvedAt) >= delay && !c.inProgress(g, r)
}

// inProgress reports whether orders of a group are planned, sent or not finished, or one of its
// instances wants no calls.
func (c *Coordinator) inProgress(g *group, r *Round) bool {
	return len(g.queue) > 0 || slices.ContainsFunc(g.Instances, func(in fleet.Instance) bool {
		o := c.orders[in.ID]
		return o != nil && o.state != finished || r.InBackoff(in.ID)
	})
}

// plan plans the orders of a group. Orders that were planned before and not sent are dropped.
func (c *Coordinator) plan(g *group, r *Round, total int) {
	g.queue = g.queue[:0]
	list, pending, w := c.plannable(g), c.pending(g, r), c.weights(g, r.Now)
	p := newWeightedPlan(g.Model, list, pending, w)
	orders := p.assignEmptyInstances()
	if !c.loadsUnknownLayers(g, r.Now) {
		orders = lastOrderPerInstance(append(orders, p.repairGaps()...))
	}
	for _, o := range orders {
		g.queue = append(g.queue, Order{LayerOrder: o})
	}
	if c.mayImprove(g, r, total) {
		if w.tokens > 0 || len(w.slowness) > 0 {
			p = newPlan(g.Model, list, pending)
		}
		move, ok := p.improve()
		g.improved = !ok
		if ok {
			g.queue, g.improvedAt = append(g.queue, Order{LayerOrder: move, Move: true}), r.Now
		}
	}
	c.markFirst(g)
	g.missing = p.missingLayers()
	g.fingerprint, g.planned = c.fingerprint(g, r), true
}

// loadsUnknownLayers reports whether an instance of a group without layers loads some, but it is not
// known which.
func (c *Coordinator) loadsUnknownLayers(g *group, now time.Time) bool {
	return slices.ContainsFunc(g.Instances, func(in fleet.Instance) bool {
		o := c.orders[in.ID]
		return o != nil && !o.layersKnown && in.Layers.Len() == 0 &&
			now.Sub(o.begun) < unknownLoadPatience
	})
}

// markFirst marks the queued orders that give a holder to layers that no instance holds or loads,
// and puts them first.
func (c *Coordinator) markFirst(g *group) {
	if len(g.queue) == 0 {
		return
	}
	covered := make([]bool, g.Model.Layers)
	cover := func(layers fleet.LayerRange) (more bool) {
		for i := max(layers.From, 0); i < min(layers.To, len(covered)); i++ {
			more = more || !covered[i]
			covered[i] = true
		}
		return more
	}
	for _, in := range g.Instances {
		cover(in.Layers)
		if o := c.orders[in.ID]; o != nil {
			cover(o.layers)
		}
	}
	for i := range g.queue {
		g.queue[i].First = !g.queue[i].Move && cover(g.queue[i].Layers)
	}
	slices.SortStableFunc(g.queue, func(a, b Order) int {
		switch {
		case a.First == b.First:
			return 0
		case a.First:
			return -1
		}
		return 1
	})
}

// plannable returns the instances of a group, with the layers of finished orders that the view does
// not show yet, without those of which it is not known what they load.
func (c *Coordinator) plannable(g *group) []fleet.Instance {
	list := make([]fleet.Instance, 0, len(g.Instances))
	for _, in := range g.Instances {
		o := c.orders[in.ID]
		if o != nil && o.state == finished {
			in.Layers = o.layers
		}
		if o == nil || o.layersKnown || in.Layers.Len() > 0 {
			list = append(list, in)
		}
	}
	return list
}

// pending returns the layers that count as held by the instances that may get no order.
func (c *Coordinator) pending(g *group, r *Round) map[string]fleet.LayerRange {
	pending := make(map[string]fleet.LayerRange)
	for _, in := range g.Instances {
		o := c.orders[in.ID]
		switch {
		case o != nil && o.layersKnown:
			if o.state != finished || r.InBackoff(in.ID) {
				pending[in.ID] = o.layers
			}
		case o != nil, r.InBackoff(in.ID):
			pending[in.ID] = in.Layers
		}
	}
	return pending
}
