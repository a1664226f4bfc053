package chain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// limitedLoad is a load on one instance that names limits, by gateways that learn of each
// other after a while.
type limitedLoad struct {
	random   *rand.Rand
	now      time.Time
	gateways []*InstanceTracker
	// alive holds which gateways run, shared what the gateways know of it.
	alive, shared []bool
	limit         float64
	arrivals      []time.Time
}

const (
	limitTick = 10 * time.Millisecond
	// shareLag is the time after which all gateways know which of them run.
	shareLag = time.Second
)

var limitedView = &fleet.View{Instances: map[string]fleet.Instance{"i": {ID: "i", Service: "s", Domain: "d"}}}

func newLimitedLoad(seed uint64, gateways int, limit float64) *limitedLoad {
	l := &limitedLoad{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), limit: limit,
	}
	for range gateways {
		l.gateways, l.alive, l.shared = append(l.gateways, NewInstanceTracker()), append(l.alive, true), append(l.shared, true)
	}
	return l
}

// run lets each gateway try to send a request every tick.
func (l *limitedLoad) run(duration time.Duration) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(limitTick) {
		for i, g := range l.gateways {
			if !l.alive[i] {
				continue
			}
			l.share(i)
			grant, err := g.Choose(limitedView, &routing.Service{Name: "s"}, Demand{Domain: "d"}, l.now)
			if err != nil {
				continue
			}
			g.Release(grant)
			l.arrivals = append(l.arrivals, l.now)
			g.RecordLimit("i", Limit{Stated: true, Unlimited: l.limit < 0, PerSecond: max(l.limit, 0)}, l.now)
		}
		if l.now.UnixMilli()%200 == 0 {
			l.exchange()
		}
	}
}

// share sets the part of a gateway among those that are known to run.
func (l *limitedLoad) share(i int) {
	s := LimitShare{}
	for k, runs := range l.shared {
		if runs || k == i {
			s.Gateways++
			if k < i {
				s.Rank++
			}
		}
	}
	l.gateways[i].SetLimitShare("i", s, l.now)
}

// exchange sends the reports of all gateways.
func (l *limitedLoad) exchange() {
	for i, g := range l.gateways {
		for k, peer := range l.gateways {
			if i != k && l.alive[i] && l.alive[k] {
				peer.AddPeerReport(fmt.Sprint(i), uint64(l.now.UnixMilli()), g.LocalReport(l.now), l.now)
			}
		}
	}
}

// mostArrivals returns the largest number of arrivals in four seconds that end after from.
func (l *limitedLoad) mostArrivals(from time.Time) int {
	most, first := 0, 0
	for i, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) >= 4*time.Second {
			first++
		}
		if l.arrivals[first].After(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a limit that several gateways exceed together, in any window: from the
// start, after a pause, and while gateways stop and start; and against one of which only a
// part is used.
func TestLimitIsSharedByAllGateways(t *testing.T) {
	for _, limit := range []float64{0, .25, 1, 3.5, 11.9, 200} {
		for _, gateways := range []int{1, 2, 7, 25} {
			t.Run(fmt.Sprint(limit, " by ", gateways), func(t *testing.T) {
				t.Parallel()
				l := newLimitedLoad(uint64(gateways), gateways, limit)
				l.run(2 * time.Second)
				from := l.now
				l.run(8 * time.Second)
				used := float64(len(l.arrivals)-l.countBefore(from)) / 8
				assert.Assert(t, used >= .8*min(limit, 90*float64(gateways)), "%.2f a second are used", used)
				l.now = l.now.Add(10 * time.Second) // nothing is sent, and nothing may be saved up
				l.run(5 * time.Second)
				for range 3 {
					k := l.random.IntN(gateways)
					l.restart(k)
				}
				bound := 1.5*limit*4 + 5
				assert.Assert(t, float64(l.mostArrivals(from)) <= bound, "%d in 4 s, allowed %.1f", l.mostArrivals(from), bound)
			})
		}
	}
}

func (l *limitedLoad) countBefore(at time.Time) int {
	count := 0
	for _, a := range l.arrivals {
		if a.Before(at) {
			count++
		}
	}
	return count
}

// restart stops a gateway, which the others notice later, and starts it again with the
// reports of the others.
func (l *limitedLoad) restart(k int) {
	l.alive[k] = false
	l.run(shareLag)
	l.shared[k] = false
	l.run(2 * time.Second)
	l.gateways[k] = NewInstanceTracker()
	l.alive[k] = true
	l.exchange()
	l.run(shareLag)
	l.shared[k] = true
	l.run(2 * time.Second)
}

// Guards against an instance whose limit has ended and that stays limited, or that gets all
// that has waited at once.
func TestEndOfALimit(t *testing.T) {
	l := newLimitedLoad(1, 5, 10)
	l.run(6 * time.Second)
	l.limit = -1
	ended := l.countBefore(l.now)
	l.run(time.Second)
	first := l.countBefore(l.now) - ended
	assert.Assert(t, first <= 60, "%d requests in the first second", first)
	l.run(releaseTime)
	before := len(l.arrivals)
	l.run(time.Second)
	assert.Equal(t, len(l.arrivals)-before, 5*int(time.Second/limitTick))
}

// Guards against a limit that changes with each answer and of which the highest value is
// used.
func TestLowestOfChangingLimitsHolds(t *testing.T) {
	l := newLimitedLoad(1, 3, 10)
	from := l.now.Add(2 * time.Second)
	for i := range 600 {
		l.limit = []float64{10, 40}[i%2]
		l.run(2 * limitTick)
	}
	assert.Assert(t, l.mostArrivals(from) <= 65, "%d in 4 s", l.mostArrivals(from))
}
