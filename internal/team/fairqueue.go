package team

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// DefaultWeight is the weight of a team that has none set.
	DefaultWeight = 1.0
	// MinWeight and MaxWeight bound a weight, so that the division of a cost by
	// a weight keeps virtual time within the precision of a float64.
	MinWeight = 0.001
	MaxWeight = 10_000.0
	// MaxPriority is the highest priority class within a team.
	MaxPriority = 9
	// ReservedFraction is the part of the overall limits that only teams below
	// their share of it may use. Without it, a few large teams that fill the
	// queue would get every push of a small team refused.
	ReservedFraction = 0.25
	// deadlineBucket is the width of one bucket of the deadline index. An
	// expired item is reported at most this much late.
	deadlineBucket = 10 * time.Millisecond
	// classes is the number of service classes of a team: each priority has
	// one for continuing and one for starting items.
	classes = 2 * (MaxPriority + 1)
)

// ErrQueueFull is the error that every QueueFullError wraps.
var ErrQueueFull = errors.New("team: queue full")

// QueueLimit names the limit that refused an item.
type QueueLimit string

// Limits that Push enforces.
const (
	LimitItems     QueueLimit = "items"
	LimitCost      QueueLimit = "cost"
	LimitTeamItems QueueLimit = "team items"
	LimitTeamCost  QueueLimit = "team cost"
)

// QueueFullError says which limit refused an item.
type QueueFullError struct {
	Team  string
	Limit QueueLimit
	// Queued is the items or the cost that waits under the limit.
	Queued int
	// Max is the limit.
	Max int
	// Permanent is true if the item alone exceeds the limit, so that a retry
	// can't succeed.
	Permanent bool
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%v: %s limit %d, %d queued, team %q", ErrQueueFull, e.Limit, e.Max, e.Queued, e.Team)
}

// Unwrap returns ErrQueueFull.
func (e *QueueFullError) Unwrap() error { return ErrQueueFull }

// QueueLimits bounds a FairQueue. A limit of 0 means none.
type QueueLimits struct {
	// Items bounds the waiting items of all teams.
	Items int
	// Cost bounds the waiting cost of all teams, in tokens.
	Cost int
	// TeamItems bounds the waiting items of one team.
	TeamItems int
	// TeamCost bounds the waiting cost of one team, in tokens.
	TeamCost int
}

// Item is one unit of work.
type Item[T any] struct {
	Team string
	// Priority orders items within a team; higher goes first. Values outside 0
	// to MaxPriority are clamped.
	Priority int
	// Continues is true for a step of a running sequence. Within a priority it
	// goes before items that start a sequence, because the time between tokens
	// is the tighter target, unless Due says otherwise.
	Continues bool
	// Due is when the item should be served to meet its target. If both are
	// set, a starting item that is due earlier goes before a continuing one, so
	// that steady decoding can't starve the prompts. The zero time means none.
	Due time.Time
	// Cost is in tokens: 1 for a decode step, the prompt tokens for a prefill.
	// Values below 1 count as 1.
	Cost int
	// Deadline is when the item expires; the zero time means never.
	Deadline time.Time
	Value    T
}

// Ticket identifies a queued item for Remove.
type Ticket[T any] struct {
	item   Item[T]
	team   *teamQueue[T]
	class  *list.Element
	bucket *deadlineList
	expiry *list.Element
	queued bool
}

// FairQueue is a weighted fair queue over teams (start-time fair queueing).
// Each team with waiting items has a start tag in virtual time; the team with
// the lowest tag is served, and its tag advances by cost divided by weight.
// Every operation takes O(log teams) plus the number of items it returns. It
// is not safe for concurrent use.
type FairQueue[T any] struct {
	limits  QueueLimits
	teams   map[string]*teamQueue[T]
	active  teamHeap[T]
	virtual float64
	// highest is the highest tag ever set; virtual time jumps to it when the
	// queue runs empty, so that past service doesn't count in the next busy
	// period.
	highest float64
	// activeWeight is the sum of the weights of the teams with waiting items.
	activeWeight float64
	items, cost  int
	turns        uint64
	deadlines    deadlineIndex
}

type teamQueue[T any] struct {
	name   string
	weight float64
	tag    float64
	// turn breaks ties between equal tags by the order of service.
	turn        uint64
	index       int
	classes     [classes]list.List
	items, cost int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](limits QueueLimits) *FairQueue[T] {
	return &FairQueue[T]{
		limits:    limits,
		teams:     make(map[string]*teamQueue[T]),
		deadlines: deadlineIndex{buckets: make(map[int64]*deadlineList)},
	}
}

// SetWeight sets the weight of a team. Values that are not positive and finite
// count as DefaultWeight, others are clamped to MinWeight and MaxWeight. Service that the team received beyond the current
// virtual time is charged again at the new weight.
func (q *FairQueue[T]) SetWeight(team string, weight float64) {
	t := q.team(team)
	weight = validWeight(weight)
	if t.tag > q.virtual {
		t.tag = q.virtual + (t.tag-q.virtual)*t.weight/weight
		q.highest = max(q.highest, t.tag)
	}
	if t.items > 0 {
		q.activeWeight += weight - t.weight
	}
	t.weight = weight
	if t.items > 0 {
		heap.Fix(&q.active, t.index)
	}
}

// RemoveTeam drops the weight and the service history of a team that has no
// waiting items. It reports whether the team was dropped.
func (q *FairQueue[T]) RemoveTeam(team string) bool {
	t, ok := q.teams[team]
	if !ok || t.items > 0 {
		return false
	}
	delete(q.teams, team)
	return true
}

// Push queues an item. It returns a *QueueFullError if a limit refuses it.
func (q *FairQueue[T]) Push(it Item[T]) (*Ticket[T], error) {
	it.Cost = max(it.Cost, 1)
	it.Priority = min(max(it.Priority, 0), MaxPriority)
	t := q.team(it.Team)
	if err := q.admit(t, it.Cost); err != nil {
		return nil, err
	}
	k := &Ticket[T]{item: it, team: t, queued: true}
	k.class = t.classes[it.class()].PushBack(k)
	if !it.Deadline.IsZero() {
		k.bucket, k.expiry = q.deadlines.add(it.Deadline, k)
	}
	t.items++
	t.cost += it.Cost
	q.items++
	q.cost += it.Cost
	if t.items == 1 {
		t.tag = max(t.tag, q.virtual)
		q.highest = max(q.highest, t.tag)
		q.turns++
		t.turn = q.turns
		q.activeWeight += t.weight
		heap.Push(&q.active, t)
	}
	return k, nil
}

// Pop takes up to limit items to run, in fair order, and every item that is
// known to have expired. An expired item is never among the items to run and
// is not charged to its team.
func (q *FairQueue[T]) Pop(now time.Time, limit int) (run, expired []Item[T]) {
	for b := q.deadlines.expired(now); b != nil; b = q.deadlines.expired(now) {
		for e := b.items.Front(); e != nil; e = b.items.Front() {
			k := e.Value.(*Ticket[T])
			q.take(k)
			expired = append(expired, k.item)
		}
	}
	for len(run) < limit && q.items > 0 {
		t := q.active[0]
		k := t.head()
		if !k.item.Deadline.IsZero() && !now.Before(k.item.Deadline) {
			q.take(k)
			expired = append(expired, k.item)
			continue
		}
		q.virtual = max(q.virtual, t.tag)
		t.tag += float64(k.item.Cost) / t.weight
		q.highest = max(q.highest, t.tag)
		q.turns++
		t.turn = q.turns
		heap.Fix(&q.active, t.index)
		q.take(k)
		run = append(run, k.item)
	}
	return run, expired
}

// Remove takes an item out of the queue without running or charging it. It
// reports whether the item was still queued.
func (q *FairQueue[T]) Remove(k *Ticket[T]) bool {
	if k == nil || !k.queued {
		return false
	}
	q.take(k)
	return true
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.items }

// Cost returns the waiting cost in tokens.
func (q *FairQueue[T]) Cost() int { return q.cost }

// TeamCost returns the waiting cost of one team in tokens.
func (q *FairQueue[T]) TeamCost(team string) int {
	if t, ok := q.teams[team]; ok {
		return t.cost
	}
	return 0
}

// TeamCosts returns the waiting cost of each team that has waiting items, in
// tokens.
func (q *FairQueue[T]) TeamCosts() map[string]int {
	costs := make(map[string]int, len(q.active))
	for _, t := range q.active {
		costs[t.name] = t.cost
	}
	return costs
}

func (q *FairQueue[T]) team(name string) *teamQueue[T] {
	t, ok := q.teams[name]
	if !ok {
		t = &teamQueue[T]{name: name, weight: DefaultWeight}
		q.teams[name] = t
	}
	return t
}

func (q *FairQueue[T]) admit(t *teamQueue[T], cost int) error {
	weights := q.activeWeight
	if t.items == 0 {
		weights += t.weight
	}
	share := ReservedFraction * t.weight / weights
	checks := []struct {
		limit       QueueLimit
		max         int
		queued, add int
		own         int
		shared      bool
	}{
		{LimitTeamItems, q.limits.TeamItems, t.items, 1, t.items, false},
		{LimitTeamCost, q.limits.TeamCost, t.cost, cost, t.cost, false},
		{LimitItems, q.limits.Items, q.items, 1, t.items, true},
		{LimitCost, q.limits.Cost, q.cost, cost, t.cost, true},
	}
	for _, c := range checks {
		if c.max <= 0 {
			continue
		}
		usable := c.max
		// The first item of a team may always use the reserve.
		if c.shared && c.own > 0 && float64(c.own+c.add) > share*float64(c.max) {
			usable -= int(ReservedFraction * float64(c.max))
		}
		if c.queued+c.add > usable {
			return &QueueFullError{Team: t.name, Limit: c.limit, Queued: c.queued, Max: c.max, Permanent: c.add > c.max}
		}
	}
	return nil
}

// take removes a queued item from every structure.
func (q *FairQueue[T]) take(k *Ticket[T]) {
	t := k.team
	t.classes[k.item.class()].Remove(k.class)
	if k.expiry != nil {
		q.deadlines.remove(k.bucket, k.expiry)
	}
	k.queued = false
	t.items--
	t.cost -= k.item.Cost
	q.items--
	q.cost -= k.item.Cost
	if t.items > 0 {
		return
	}
	heap.Remove(&q.active, t.index)
	q.activeWeight -= t.weight
	if q.items == 0 {
		q.activeWeight = 0
		q.virtual = q.highest
	}
}

func (i Item[T]) class() int {
	c := 2 * i.Priority
	if i.Continues {
		c++
	}
	return c
}

func (t *teamQueue[T]) head() *Ticket[T] {
	for c := classes - 1; c > 0; c -= 2 {
		continuing, starting := front[T](&t.classes[c]), front[T](&t.classes[c-1])
		switch {
		case continuing == nil && starting == nil:
			continue
		case continuing == nil:
			return starting
		case starting != nil && starting.dueBefore(continuing):
			return starting
		}
		return continuing
	}
	return nil
}

func front[T any](l *list.List) *Ticket[T] {
	if e := l.Front(); e != nil {
		return e.Value.(*Ticket[T])
	}
	return nil
}

// dueBefore reports whether both items have a due time and k's is earlier.
func (k *Ticket[T]) dueBefore(o *Ticket[T]) bool {
	return !k.item.Due.IsZero() && k.item.Due.Before(o.item.Due)
}

func validWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) {
		return DefaultWeight
	}
	return min(max(w, MinWeight), MaxWeight)
}

// teamHeap orders the teams with waiting items by start tag.
type teamHeap[T any] []*teamQueue[T]

func (h teamHeap[T]) Len() int { return len(h) }

func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].turn < h[j].turn
}

func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *teamHeap[T]) Push(x any) {
	t := x.(*teamQueue[T])
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// deadlineIndex groups items by deadline in buckets of fixed width. The number
// of buckets depends on the range of the deadlines, not on the number of
// items, so the cost of an operation is independent of the queue's length.
type deadlineIndex struct {
	buckets map[int64]*deadlineList
	order   bucketHeap
}

type deadlineList struct {
	key   int64
	index int
	items list.List
}

func (d *deadlineIndex) add(deadline time.Time, ticket any) (*deadlineList, *list.Element) {
	key := deadline.UnixNano() / int64(deadlineBucket)
	b, ok := d.buckets[key]
	if !ok {
		b = &deadlineList{key: key}
		d.buckets[key] = b
		heap.Push(&d.order, b)
	}
	return b, b.items.PushBack(ticket)
}

func (d *deadlineIndex) remove(b *deadlineList, e *list.Element) {
	b.items.Remove(e)
	if b.items.Len() == 0 {
		delete(d.buckets, b.key)
		heap.Remove(&d.order, b.index)
	}
}

// expired returns the earliest bucket if all its deadlines have passed.
func (d *deadlineIndex) expired(now time.Time) *deadlineList {
	if len(d.order) == 0 || (d.order[0].key+1)*int64(deadlineBucket) > now.UnixNano() {
		return nil
	}
	return d.order[0]
}

type bucketHeap []*deadlineList

func (h bucketHeap) Len() int           { return len(h) }
func (h bucketHeap) Less(i, j int) bool { return h[i].key < h[j].key }

func (h bucketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *bucketHeap) Push(x any) {
	b := x.(*deadlineList)
	b.index = len(*h)
	*h = append(*h, b)
}

func (h *bucketHeap) Pop() any {
	last := len(*h) - 1
	b := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return b
}
