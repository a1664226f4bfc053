package team

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// naiveQueue is the reference model for FairQueue. It holds all items in one
// slice, which it scans for each operation.
type naiveQueue struct {
	items                   []Item[int]
	startTags, weights      map[string]float64
	turns                   map[string]int
	virtualTime, highestTag float64
	turn                    int
}

func (n *naiveQueue) weight(team string) float64 {
	if w, ok := n.weights[team]; ok {
		return w
	}
	return DefaultWeight
}

func (n *naiveQueue) count(team string) (items int) {
	for _, it := range n.items {
		if it.Team == team {
			items++
		}
	}
	return items
}

func (n *naiveQueue) push(it Item[int]) {
	if n.count(it.Team) == 0 {
		n.startTags[it.Team] = max(n.startTags[it.Team], n.virtualTime)
		n.turn++
		n.turns[it.Team] = n.turn
	}
	n.items = append(n.items, it)
}

func (n *naiveQueue) remove(i int) Item[int] {
	it := n.items[i]
	n.items = slices.Delete(n.items, i, i+1)
	if len(n.items) == 0 {
		n.virtualTime = n.highestTag
	}
	return it
}

// next returns the index of the item to serve. Among equal items this is the
// first, because slices.MinFunc returns the first minimum.
func (n *naiveQueue) next() int {
	best := slices.MinFunc(n.items, func(a, b Item[int]) int {
		if a.Team == b.Team {
			return cmp.Compare(b.classIndex(), a.classIndex())
		}
		return cmp.Or(cmp.Compare(n.startTags[a.Team], n.startTags[b.Team]), cmp.Compare(n.turns[a.Team], n.turns[b.Team]))
	})
	return n.find(best.Value)
}

// find returns the index of the item with the given value, or -1.
func (n *naiveQueue) find(value int) int {
	return slices.IndexFunc(n.items, func(it Item[int]) bool { return it.Value == value })
}

func (n *naiveQueue) pop() Item[int] {
	it := n.remove(n.next())
	n.virtualTime = max(n.virtualTime, n.startTags[it.Team])
	n.startTags[it.Team] += float64(it.Cost) / n.weight(it.Team)
	n.highestTag = max(n.highestTag, n.startTags[it.Team])
	if len(n.items) == 0 {
		n.virtualTime = n.highestTag
	}
	n.turn++
	n.turns[it.Team] = n.turn
	return it
}

func (n *naiveQueue) setWeight(team string, w float64) {
	if n.startTags[team] > n.virtualTime {
		n.startTags[team] = n.virtualTime + (n.startTags[team]-n.virtualTime)*n.weight(team)/w
		n.highestTag = max(n.highestTag, n.startTags[team])
	}
	n.weights[team] = w
}

// Guards against an order, a count or an expiry that differs from the reference
// model, including after changes of weight while items wait.
func TestFairQueueMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int](QueueLimits{})
		n := &naiveQueue{startTags: map[string]float64{}, weights: map[string]float64{}, turns: map[string]int{}}
		tickets := map[int]*Ticket[int]{}
		now := epoch
		for id := range rapid.IntRange(1, 200).Draw(t, "operations") {
			team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove", "weight"}).Draw(t, "operation") {
			case "push":
				it := Item[int]{Team: team, Value: id, Cost: rapid.IntRange(1, 64).Draw(t, "cost"),
					Priority: rapid.IntRange(0, MaxPriority).Draw(t, "priority"), Continues: rapid.Bool().Draw(t, "continues")}
				if rapid.Bool().Draw(t, "deadline") {
					it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond)
				}
				k, err := q.Push(it)
				assert.NilError(t, err)
				tickets[id] = k
				n.push(it)
			case "pop":
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				run, expired := q.Pop(now, rapid.IntRange(1, 3).Draw(t, "max"))
				for _, it := range expired {
					assert.Assert(t, !now.Before(it.Deadline))
					n.remove(n.find(it.Value))
				}
				for _, it := range run {
					assert.Assert(t, it.Deadline.IsZero() || now.Before(it.Deadline))
					assert.Equal(t, it, n.pop())
				}
			case "remove":
				removed := rapid.IntRange(0, id).Draw(t, "removed")
				i := n.find(removed)
				assert.Equal(t, q.Remove(tickets[removed]), i >= 0)
				if i >= 0 {
					n.remove(i)
				}
			case "weight":
				w := rapid.Float64Range(0.1, 20).Draw(t, "weight")
				q.SetWeight(team, w)
				n.setWeight(team, w)
			}
			cost := 0
			for _, it := range n.items {
				if it.Team == team {
					cost += it.Cost
				}
			}
			assert.Equal(t, q.Len(), len(n.items))
			assert.Equal(t, q.TeamCost(team), cost)
		}
	})
}

// Guards against service shares that deviate from the weights while all teams
// are backlogged.
func TestFairQueueSharesMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int](QueueLimits{})
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 8).Draw(t, "weights")
		served := make([]float64, len(weights))
		push := func(i int) {
			cost := 1
			if rapid.Bool().Draw(t, "prefill") {
				cost = 40
			}
			_, err := q.Push(Item[int]{Team: fmt.Sprint(i), Value: i, Cost: cost})
			assert.NilError(t, err)
		}
		for i, w := range weights {
			q.SetWeight(fmt.Sprint(i), w)
			push(i)
			push(i)
		}
		for range 400 {
			run, _ := q.Pop(epoch, 1)
			served[run[0].Value] += float64(run[0].Cost)
			push(run[0].Value)
			for i, w := range weights {
				for j, v := range weights {
					// The fairness bound of start-time fair queueing for two
					// backlogged flows with a maximum cost of 40.
					assert.Assert(t, math.Abs(served[i]/w-served[j]/v) <= 40/w+40/v+1e-6)
				}
			}
		}
	})
}

// Guards against a small team waiting for the backlog of a large one.
func TestFairQueueSmallTeamWait(t *testing.T) {
	for _, backlog := range []int{10, 1000, 20000} {
		q := NewFairQueue[int](QueueLimits{})
		for range backlog {
			_, err := q.Push(Item[int]{Team: "large", Cost: 1})
			assert.NilError(t, err)
		}
		q.Pop(epoch, 5)
		_, err := q.Push(Item[int]{Team: "small", Value: 1, Cost: 100})
		assert.NilError(t, err)
		run, _ := q.Pop(epoch, 2)
		assert.Assert(t, run[0].Value == 1 || run[1].Value == 1, "backlog %d", backlog)
	}
}

// Guards against unbounded queues, and against a large team that fills the queue
// so that items of a small team are refused.
func TestFairQueueLimits(t *testing.T) {
	tests := []struct {
		limits    QueueLimits
		cost      int
		accepted  int
		limit     QueueLimit
		permanent bool
	}{
		{QueueLimits{TeamItems: 3}, 1, 3, LimitTeamItems, false},
		{QueueLimits{TeamCost: 10}, 3, 3, LimitTeamCost, false},
		{QueueLimits{Items: 8}, 1, 6, LimitItems, false},
		{QueueLimits{Cost: 80}, 10, 6, LimitCost, false},
		{QueueLimits{Cost: 80}, 81, 0, LimitCost, true},
	}
	for _, tt := range tests {
		q := NewFairQueue[int](tt.limits)
		var err error
		accepted := 0
		for ; err == nil; accepted++ {
			_, err = q.Push(Item[int]{Team: "large", Cost: tt.cost})
		}
		var full *QueueFullError
		assert.Assert(t, errors.As(err, &full) && errors.Is(err, ErrQueueFull))
		assert.Equal(t, accepted-1, tt.accepted)
		assert.Equal(t, full.Limit, tt.limit)
		assert.Equal(t, full.Permanent, tt.permanent)
		_, err = q.Push(Item[int]{Team: "small", Cost: 1})
		assert.NilError(t, err)
	}
}

// Guards against prompts that starve under a steady load of decode steps, and
// against a prompt that is served before steps with an earlier due time.
func TestFairQueueServesTheEarlierDueItem(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	q := NewFairQueue[string](QueueLimits{})
	push := func(name string, continues bool, due time.Time) {
		_, err := q.Push(Item[string]{Team: "t", Continues: continues, Due: due, Value: name})
		assert.NilError(t, err)
	}
	push("prompt", false, at(100))
	push("step 1", true, at(90))
	push("step 2", true, at(110))
	push("step without due time", true, time.Time{})
	var order []string
	run, _ := q.Pop(at(0), 4)
	for _, i := range run {
		order = append(order, i.Value)
	}
	assert.DeepEqual(t, order, []string{"step 1", "prompt", "step 2", "step without due time"})
}
