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
	// MinWeight and MaxWeight bound a weight. They keep virtual time, which
	// advances by cost divided by weight, within the precision of a float64.
	MinWeight = 0.001
	MaxWeight = 10_000.0
	// MaxPriority is the highest priority of an item.
	MaxPriority = 9
	// ReservedFraction is the fraction of the limits over all teams that is
	// reserved for teams below their share of the reserve. Without it, a few
	// large teams could fill the queue, and every item of a small team would be
	// refused.
	ReservedFraction = 0.25
	// bucketWidth is the width of one bucket of the deadline index. It bounds the
	// delay with which an expired item is reported.
	bucketWidth = 10 * time.Millisecond
	// classCount is the number of service classes of a team. Each priority has
	// one class for starting items and one for continuing items.
	classCount = 2 * (MaxPriority + 1)
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

// QueueFullError is returned for an item that a limit refused.
type QueueFullError struct {
	Team  string
	Limit QueueLimit
	// Queued is the number of waiting items, or their cost, that counts towards
	// the limit.
	Queued int
	// Max is the value of the limit.
	Max int
	// Permanent is true if the item alone exceeds the limit, so retries can't
	// succeed.
	Permanent bool
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%v: %s limit %d, %d queued, team %q", ErrQueueFull, e.Limit, e.Max, e.Queued, e.Team)
}

// Unwrap returns ErrQueueFull.
func (e *QueueFullError) Unwrap() error { return ErrQueueFull }

// QueueLimits bounds a FairQueue. 0 means no limit.
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
	// Priority orders the items of a team; higher priorities are served first.
	// Values are clamped to the range 0 to MaxPriority.
	Priority int
	// Continues is true for a step of a running sequence. Within a priority,
	// continuing items are served before items that start a sequence, because
	// the target for the time between tokens is tighter. Due may override this.
	Continues bool
	// Due is when the item should be served to meet its target. A starting item
	// that is due before a continuing item is served before it if both have a
	// due time, so that a steady load of decode steps can't starve prompts. The
	// zero time means no due time.
	Due time.Time
	// Cost is in tokens: 1 for a decode step, the number of prompt tokens for a
	// prefill. Values below 1 count as 1.
	Cost int
	// Deadline is when the item expires. The zero time means never.
	Deadline time.Time
	Value    T
}

// Ticket identifies a queued item for Remove.
type Ticket[T any] struct {
	item          Item[T]
	team          *teamQueue[T]
	classElement  *list.Element
	bucket        *deadlineBucket
	bucketElement *list.Element
	queued        bool
}

// FairQueue is a weighted fair queue over teams (start-time fair queueing).
// Each team with waiting items has a start tag in virtual time. The team with
// the lowest start tag is served, and its tag advances by the cost of the item
// divided by the weight of the team. An operation takes O(log n) time for n
// teams, plus the time for the items that it returns. FairQueue is not safe for
// concurrent use.
type FairQueue[T any] struct {
	limits      QueueLimits
	teams       map[string]*teamQueue[T]
	active      teamHeap[T]
	virtualTime float64
	// highestTag is the highest start tag of any team so far. When the queue
	// becomes empty, virtual time is set to it, so that past service doesn't
	// count in the next busy period.
	highestTag float64
	// activeWeight is the sum of the weights of the teams with waiting items.
	activeWeight float64
	items, cost  int
	turnCounter  uint64
	deadlines    deadlineIndex
}

type teamQueue[T any] struct {
	name     string
	weight   float64
	startTag float64
	// turn is set when the team becomes active and when it is served. Among teams
	// with equal start tags, the team with the lowest turn is served first.
	turn        uint64
	heapIndex   int
	classes     [classCount]list.List
	items, cost int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](limits QueueLimits) *FairQueue[T] {
	return &FairQueue[T]{
		limits:    limits,
		teams:     make(map[string]*teamQueue[T]),
		deadlines: deadlineIndex{buckets: make(map[int64]*deadlineBucket)},
	}
}

// SetWeight sets the weight of a team. Values that are not positive and finite
// are replaced by DefaultWeight; other values are clamped to the range MinWeight
// to MaxWeight. The part of the team's start tag beyond the current virtual time
// is rescaled to the new weight.
func (q *FairQueue[T]) SetWeight(team string, weight float64) {
	t := q.team(team)
	weight = normalizeWeight(weight)
	if t.startTag > q.virtualTime {
		t.startTag = q.virtualTime + (t.startTag-q.virtualTime)*t.weight/weight
		q.highestTag = max(q.highestTag, t.startTag)
	}
	if t.items > 0 {
		q.activeWeight += weight - t.weight
	}
	t.weight = weight
	if t.items > 0 {
		heap.Fix(&q.active, t.heapIndex)
	}
}

// RemoveTeam removes the weight and the start tag of a team without waiting
// items. It reports whether the team was removed.
func (q *FairQueue[T]) RemoveTeam(team string) bool {
	t, ok := q.teams[team]
	if !ok || t.items > 0 {
		return false
	}
	delete(q.teams, team)
	return true
}

// Push adds an item. It returns a *QueueFullError if the item would exceed a
// limit.
func (q *FairQueue[T]) Push(it Item[T]) (*Ticket[T], error) {
	it.Cost = max(it.Cost, 1)
	it.Priority = min(max(it.Priority, 0), MaxPriority)
	t := q.team(it.Team)
	if err := q.checkLimits(t, it.Cost); err != nil {
		return nil, err
	}
	k := &Ticket[T]{item: it, team: t, queued: true}
	k.classElement = t.classes[it.classIndex()].PushBack(k)
	if !it.Deadline.IsZero() {
		k.bucket, k.bucketElement = q.deadlines.add(it.Deadline, k)
	}
	t.items++
	t.cost += it.Cost
	q.items++
	q.cost += it.Cost
	if t.items == 1 {
		t.startTag = max(t.startTag, q.virtualTime)
		q.highestTag = max(q.highestTag, t.startTag)
		q.turnCounter++
		t.turn = q.turnCounter
		q.activeWeight += t.weight
		heap.Push(&q.active, t)
	}
	return k, nil
}

// Pop removes and returns up to limit items to run, in fair order, and all items
// that were found to be expired. An expired item is never returned as one to run
// and is not charged to its team.
func (q *FairQueue[T]) Pop(now time.Time, limit int) (run, expired []Item[T]) {
	for b := q.deadlines.expired(now); b != nil; b = q.deadlines.expired(now) {
		for e := b.items.Front(); e != nil; e = b.items.Front() {
			k := e.Value.(*Ticket[T])
			q.dequeue(k)
			expired = append(expired, k.item)
		}
	}
	for len(run) < limit && q.items > 0 {
		t := q.active[0]
		k := t.first()
		if !k.item.Deadline.IsZero() && !now.Before(k.item.Deadline) {
			q.dequeue(k)
			expired = append(expired, k.item)
			continue
		}
		q.virtualTime = max(q.virtualTime, t.startTag)
		t.startTag += float64(k.item.Cost) / t.weight
		q.highestTag = max(q.highestTag, t.startTag)
		q.turnCounter++
		t.turn = q.turnCounter
		heap.Fix(&q.active, t.heapIndex)
		q.dequeue(k)
		run = append(run, k.item)
	}
	return run, expired
}

// Remove removes an item from the queue without charging it to its team. It
// reports whether the item was still queued.
func (q *FairQueue[T]) Remove(k *Ticket[T]) bool {
	if k == nil || !k.queued {
		return false
	}
	q.dequeue(k)
	return true
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.items }

// Cost returns the total cost of the waiting items in tokens.
func (q *FairQueue[T]) Cost() int { return q.cost }

// TeamCost returns the cost of one team's waiting items in tokens.
func (q *FairQueue[T]) TeamCost(team string) int {
	if t, ok := q.teams[team]; ok {
		return t.cost
	}
	return 0
}

// TeamCosts returns the cost in tokens of the waiting items of each team that
// has any.
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

func (q *FairQueue[T]) checkLimits(t *teamQueue[T], cost int) error {
	weights := q.activeWeight
	if t.items == 0 {
		weights += t.weight
	}
	share := ReservedFraction * t.weight / weights
	checks := []struct {
		limit         QueueLimit
		max           int
		queued, added int
		teamQueued    int
		shared        bool
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
		// A team without waiting items may always use the reserve.
		if c.shared && c.teamQueued > 0 && float64(c.teamQueued+c.added) > share*float64(c.max) {
			usable -= int(ReservedFraction * float64(c.max))
		}
		if c.queued+c.added > usable {
			return &QueueFullError{Team: t.name, Limit: c.limit, Queued: c.queued, Max: c.max, Permanent: c.added > c.max}
		}
	}
	return nil
}

// dequeue removes a queued item from its team's list and the deadline index and
// updates the counts. It removes the team from the heap if no items remain.
func (q *FairQueue[T]) dequeue(k *Ticket[T]) {
	t := k.team
	t.classes[k.item.classIndex()].Remove(k.classElement)
	if k.bucketElement != nil {
		q.deadlines.remove(k.bucket, k.bucketElement)
	}
	k.queued = false
	t.items--
	t.cost -= k.item.Cost
	q.items--
	q.cost -= k.item.Cost
	if t.items > 0 {
		return
	}
	heap.Remove(&q.active, t.heapIndex)
	q.activeWeight -= t.weight
	if q.items == 0 {
		q.activeWeight = 0
		q.virtualTime = q.highestTag
	}
}

func (i Item[T]) classIndex() int {
	c := 2 * i.Priority
	if i.Continues {
		c++
	}
	return c
}

// first returns the ticket of the team's next item, or nil if no item waits.
func (t *teamQueue[T]) first() *Ticket[T] {
	for c := classCount - 1; c > 0; c -= 2 {
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

// dueBefore reports whether both items have a due time and that of k is earlier.
func (k *Ticket[T]) dueBefore(o *Ticket[T]) bool {
	return !k.item.Due.IsZero() && k.item.Due.Before(o.item.Due)
}

// normalizeWeight returns DefaultWeight for a weight that is not positive and
// finite. It clamps other weights to the range MinWeight to MaxWeight.
func normalizeWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) {
		return DefaultWeight
	}
	return min(max(w, MinWeight), MaxWeight)
}

// teamHeap is a heap of the teams with waiting items, ordered by start tag.
type teamHeap[T any] []*teamQueue[T]

func (h teamHeap[T]) Len() int { return len(h) }

func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].turn < h[j].turn
}

func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *teamHeap[T]) Push(x any) {
	t := x.(*teamQueue[T])
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// deadlineIndex groups items by deadline into buckets of fixed width. The number
// of buckets depends on the range of the deadlines and not on the number of
// items, so the time of an operation is independent of the queue's length.
type deadlineIndex struct {
	buckets    map[int64]*deadlineBucket
	byDeadline bucketHeap
}

// deadlineBucket holds the tickets whose deadlines, divided by bucketWidth, have
// the quotient key.
type deadlineBucket struct {
	key       int64
	heapIndex int
	items     list.List
}

func (d *deadlineIndex) add(deadline time.Time, ticket any) (*deadlineBucket, *list.Element) {
	key := deadline.UnixNano() / int64(bucketWidth)
	b, ok := d.buckets[key]
	if !ok {
		b = &deadlineBucket{key: key}
		d.buckets[key] = b
		heap.Push(&d.byDeadline, b)
	}
	return b, b.items.PushBack(ticket)
}

func (d *deadlineIndex) remove(b *deadlineBucket, e *list.Element) {
	b.items.Remove(e)
	if b.items.Len() == 0 {
		delete(d.buckets, b.key)
		heap.Remove(&d.byDeadline, b.heapIndex)
	}
}

// expired returns the earliest bucket if all its deadlines have passed, or nil.
func (d *deadlineIndex) expired(now time.Time) *deadlineBucket {
	if len(d.byDeadline) == 0 || (d.byDeadline[0].key+1)*int64(bucketWidth) > now.UnixNano() {
		return nil
	}
	return d.byDeadline[0]
}

type bucketHeap []*deadlineBucket

func (h bucketHeap) Len() int           { return len(h) }
func (h bucketHeap) Less(i, j int) bool { return h[i].key < h[j].key }

func (h bucketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *bucketHeap) Push(x any) {
	b := x.(*deadlineBucket)
	b.heapIndex = len(*h)
	*h = append(*h, b)
}

func (h *bucketHeap) Pop() any {
	last := len(*h) - 1
	b := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return b
}
