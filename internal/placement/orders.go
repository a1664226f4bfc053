package placement

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// parallelLoads is the number of loads from which on concurrent loads slow each
	// other.
	parallelLoads = 8
	// coldLoadFactor is by how much loads are faster before the first request.
	coldLoadFactor = 10
	// firstCheckMargin is how long after the expected end of a load its instance is
	// asked for its layers; after that it is asked every minCheckInterval, while many
	// instances load in intervals that double up to maxCheckInterval.
	firstCheckMargin = 100 * time.Millisecond
	minCheckInterval = 700 * time.Millisecond
	maxCheckInterval = 5 * time.Second
	// unansweredCheckDelay is after what time an instance is asked that did not answer
	// an order, refusalCheckDelay after what time one that refused an order or could
	// not be asked.
	unansweredCheckDelay = 250 * time.Millisecond
	refusalCheckDelay    = 500 * time.Millisecond
	// maxUnanswered is the number of checks without an answer after which the layers of
	// an unanswered order no longer count as held.
	maxUnanswered = 2
	// finishedMemory is how long the layers of a finished load override a view that
	// shows others: entries in the store arrive seconds late.
	finishedMemory = 5 * time.Second
	// lostLoadFactor and lostLoadMargin bound how long a load counts whose instance
	// does not say whether it loads.
	lostLoadFactor = 2
	lostLoadMargin = 5 * time.Second
	// overdueFactor is how many times its expected time a load takes before it is logged.
	overdueFactor = 3
	// maxLoadAge bounds how long an order can keep an instance from getting others.
	maxLoadAge = 10 * time.Minute
)

// UnknownOrders means that the number of orders that an instance has started is not known.
const UnknownOrders = -1

// orderState tells what is known of an order.
type orderState int

const (
	// sending: the call that sends the order is in progress.
	sending orderState = iota
	// loading: the instance carries the order out.
	loading
	// uncertain: the instance did not answer the order, refused it or may carry out an
	// order of another process. It is asked before anything else is done with it.
	uncertain
	// finished: the instance said that it holds the layers.
	finished
)

// order is what is known about the latest order of an instance.
type order struct {
	instance fleet.Instance
	model    *routing.Model
	state    orderState
	// layers is the ordered range. It is not known for an order of another process, and
	// none for an instance that refused.
	layers      fleet.LayerRange
	layersKnown bool
	// firstCopies is true if the order gives a holder to layers that had none.
	firstCopies bool
	// work is how long the load takes without others, done the part of it that has
	// passed, in which concurrent loads are counted.
	work, done time.Duration
	// usable is true if the instance was usable in the latest round. The load of one that
	// is lost does not slow others.
	usable bool
	// begun is when the order was sent, answeredAt when the call that sent it ended, finishedAt when the instance held the layers.
	begun, answeredAt, finishedAt time.Time
	// checkAt is when the instance is asked for its state, checks counts how often it
	// was asked; checking is true while a call is in progress.
	checkAt  time.Time
	checks   int
	checking bool
	// unanswered counts the calls without an answer since the order was sent.
	unanswered int
	overdue    bool
}

// inProgress reports whether the instance loads, or may do so.
func (o *order) inProgress() bool {
	maybe := o.state == uncertain && (o.layersKnown || o.checks > 0)
	return o.usable && (o.state == sending || o.state == loading || maybe)
}

// advance counts the time that has passed for a load, while loads are in progress in total.
func (o *order) advance(elapsed time.Duration, loads int, traffic bool) {
	if loads > parallelLoads {
		elapsed = elapsed * parallelLoads / time.Duration(loads)
	}
	if !traffic {
		elapsed *= coldLoadFactor
	}
	o.done += elapsed
}

// checkDue reports whether the instance is to be asked for its state. One that loads is not
// asked before the load is expected to have ended.
func (o *order) checkDue(now time.Time) bool {
	if o.checking || !o.usable || o.state == sending || o.state == finished || now.Before(o.checkAt) {
		return false
	}
	return o.state != loading || o.done >= o.work
}

// scheduleCheck sets the time of the next check, while loads are in progress in total.
func (o *order) scheduleCheck(now time.Time, loads int) {
	interval := minCheckInterval
	if loads > parallelLoads {
		interval = min(interval<<min(o.checks, 8), maxCheckInterval)
	}
	o.checkAt = now.Add(interval)
	o.checks++
}

// Answer is what an instance says of itself.
type Answer struct {
	// AskedAt is when the instance was asked.
	AskedAt time.Time
	Layers  fleet.LayerRange
	// Orders is the number of orders that the instance has started since its own start.
	Orders int64
	// Loading is true if the instance carries out an order. LoadingKnown is false if it
	// does not say so.
	Loading, LoadingKnown bool
}

// Outcome is what is known of an order after the call that sent it.
type Outcome int

const (
	// Accepted means that the instance carries the order out.
	Accepted Outcome = iota
	// Refused means that the instance does not carry the order out, or that the order was
	// not sent.
	Refused
	// Unanswered means that the instance may carry the order out.
	Unanswered
)

// startedOrders is the number of orders that an instance has started since its own start.
type startedOrders struct{ startedMS, count int64 }

// ordersStarted returns the number of orders that an instance has started, or UnknownOrders.
// An instance that holds no layers has started none if no other process can have ordered it.
func (c *Coordinator) ordersStarted(in fleet.Instance) int64 {
	known, ok := c.started[in.ID]
	switch {
	case ok && known.startedMS == in.StartedMS:
		return known.count
	case !ok && in.Layers.Len() == 0:
		return 0
	}
	return UnknownOrders
}

// OrderAnswered records the end of the call that sent an order. before is the number of orders
// that the instance had started before, or UnknownOrders.
func (c *Coordinator) OrderAnswered(o LayerOrder, before int64, outcome Outcome, now time.Time) {
	c.calls--
	in := o.Instance
	entry := c.orders[in.ID]
	if entry == nil || entry.instance.StartedMS != in.StartedMS || entry.state != sending {
		// The instance has started again since.
		return
	}
	c.started[in.ID] = startedOrders{in.StartedMS, UnknownOrders}
	entry.answeredAt = now
	switch outcome {
	case Accepted:
		entry.state, entry.checkAt = loading, now.Add(firstCheckMargin)
		if before != UnknownOrders {
			c.started[in.ID] = startedOrders{in.StartedMS, before + 1}
		}
	case Refused:
		entry.state, entry.layers, entry.layersKnown = uncertain, fleet.LayerRange{}, false
		entry.checkAt = now.Add(refusalCheckDelay)
	case Unanswered:
		entry.state, entry.checkAt = uncertain, now.Add(unansweredCheckDelay)
	}
}

// CheckAnswered records what an instance said when it was asked, or that it did not answer if
// ok is false. It reports whether the layers in the answer are those that the instance will
// hold until its next order.
func (c *Coordinator) CheckAnswered(in fleet.Instance, a Answer, ok bool, now time.Time) bool {
	c.calls--
	entry := c.orders[in.ID]
	if entry == nil || entry.instance.StartedMS != in.StartedMS || !entry.checking {
		return false
	}
	entry.checking = false
	if !ok {
		entry.unanswered++
		if entry.state == uncertain && entry.unanswered >= maxUnanswered {
			entry.layers, entry.layersKnown = fleet.LayerRange{}, false
		}
		return false
	}
	if a.AskedAt.Before(entry.answeredAt) {
		// The answer may be older than the order.
		return false
	}
	known := c.started[in.ID]
	ours := known.startedMS == in.StartedMS && known.count == a.Orders
	c.started[in.ID] = startedOrders{in.StartedMS, a.Orders}
	c.answersTellLoading = c.answersTellLoading || a.LoadingKnown
	switch {
	case entry.layersKnown && a.Layers == entry.layers:
		entry.finish(now)
		return true
	case a.Loading:
		if !ours && entry.state != uncertain {
			entry.layersKnown = false // an order of another process
		}
		entry.state = loading
		if !entry.layersKnown {
			c.foreign = append(c.foreign, in.ID)
		}
		return false
	case a.LoadingKnown, entry.state == uncertain && a.Orders == 0:
		// It carries nothing out: what it holds is what counts.
		entry.layers, entry.layersKnown = a.Layers, true
		entry.finish(now)
		return true
	case entry.state == uncertain && !entry.layersKnown:
		// It may carry out an order without saying it.
		entry.state, entry.work = loading, entry.model.LoadTime/2
	}
	return false
}

// finish records that the instance holds the layers.
func (o *order) finish(now time.Time) {
	o.state, o.finishedAt = finished, now
}

// updateOrders advances the loads in progress and forgets orders that no longer say more than
// the view does.
func (c *Coordinator) updateOrders(r *Round, elapsed time.Duration) {
	loads := c.loads()
	c.loadsInRound = loads
	for id, o := range c.orders {
		in, known := r.Lookup(id)
		age := r.Now.Sub(o.begun)
		if known && in.StartedMS != o.instance.StartedMS || !known && age > finishedMemory {
			delete(c.orders, id)
			continue
		}
		switch {
		case o.state == sending:
		case o.state == finished && in.Layers == o.layers:
			if r.Now.Sub(o.finishedAt) > finishedMemory {
				delete(c.orders, id)
			}
		case o.state == finished:
			if r.Now.Sub(o.finishedAt) > finishedMemory {
				// The view still shows other layers: another process may have ordered them.
				o.state, o.checkAt = uncertain, r.Now
			}
		case o.layersKnown && in.Layers == o.layers:
			o.finish(r.Now)
		default:
			o.advance(elapsed, loads, r.Traffic)
			c.expire(id, o, age)
		}
	}
}

// expire reports a load that is overdue, and forgets one whose instance does not say whether it
// still loads.
func (c *Coordinator) expire(id string, o *order, age time.Duration) {
	if !o.overdue && o.state == loading && o.done > overdueFactor*o.work && age > overdueFactor*o.work+lostLoadMargin {
		o.overdue = true
		c.overdue = append(c.overdue, id)
	}
	silent := o.state == loading && !c.answersTellLoading &&
		o.done > lostLoadFactor*o.work && age > lostLoadFactor*o.work+lostLoadMargin
	if !o.checking && (silent || age > maxLoadAge) {
		delete(c.orders, id)
	}
}

// loads returns the number of loads in progress.
func (c *Coordinator) loads() int {
	n := 0
	for _, o := range c.orders {
		if o.inProgress() {
			n++
		}
	}
	return n
}
