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

// concurrentLoad replays a load that several gateways of one failure domain place on
// the same chains, with reports of their load every reportInterval.
type concurrentLoad struct {
	// chains is the number of fast chains; there are as many slow ones.
	gateways, chains int
	// rate is the number of requests per second of all gateways together, tokens the
	// KV cache and duration the time of each.
	rate     float64
	tokens   int
	duration time.Duration
}

const (
	replayTick     = 5 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	replayTime     = 20 * time.Second
)

// runningRequest is a request of the replay until its end.
type runningRequest struct {
	gateway int
	grant   Grant
	ends    time.Time
}

// replayResult tells how well the gateways shared the chains.
type replayResult struct {
	// fullest is the highest use of an instance's KV cache that was reached, as a share
	// of its capacity.
	fullest float64
	// refused is the share of requests for which no gateway found room.
	refused float64
}

// run replays the load.
func (l concurrentLoad) run(t *testing.T, seed uint64) replayResult {
	random := rand.New(rand.NewPCG(seed, 0))
	service, view := testService(), l.view()
	trackers := make([]*InstanceTracker, l.gateways)
	for i := range trackers {
		trackers[i] = NewInstanceTracker()
	}
	var running []runningRequest
	var result replayResult
	requests, refused := 0, 0
	for tick := range int(replayTime / replayTick) {
		now := start.Add(time.Duration(tick) * replayTick)
		kept := running[:0]
		for _, r := range running {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			trackers[r.gateway].Release(r.grant)
		}
		running = kept
		for i, tracker := range trackers {
			// Each gateway has its own phase.
			if (time.Duration(tick)*replayTick+time.Duration(i)*30*time.Millisecond)%reportInterval == 0 {
				l.report(trackers, i, tracker.LocalReport(now), uint64(tick+1), now)
			}
		}
		for arrivals := l.rate * replayTick.Seconds(); arrivals > random.Float64(); arrivals-- {
			gateway := random.IntN(l.gateways)
			requests++
			g, err := trackers[gateway].Choose(view, service, Demand{Tokens: l.tokens, Domain: "a"}, now)
			if err != nil {
				refused++
				continue
			}
			running = append(running, runningRequest{gateway, g, now.Add(l.duration)})
		}
		result.fullest = max(result.fullest, l.fullest(service, view, running))
	}
	result.refused = float64(refused) / float64(requests)
	t.Logf("%+v: %+v", l, result)
	return result
}

// view returns fast chains of a large and three medium instances each, and slow ones
// of ten small instances each.
func (l concurrentLoad) view() *fleet.View {
	const smallLayers = 8
	var list []testInstance
	for i := range l.chains {
		for _, in := range twoChains[:4] {
			in.id = fmt.Sprintf("%s-%02d", in.id, i)
			list = append(list, in)
		}
		for from := 0; from < 80; from += smallLayers {
			id := fmt.Sprintf("small-%02d-%02d", from, i)
			list = append(list, testInstance{id, "small", "a", from, from + smallLayers})
		}
	}
	return newView(list...)
}

func (l concurrentLoad) report(trackers []*InstanceTracker, sender int, r Report, number uint64, now time.Time) {
	for i, tracker := range trackers {
		if i != sender {
			tracker.AddPeerReport(fmt.Sprint("g", sender), number, r, now)
		}
	}
}

// fullest returns the highest use of an instance's KV cache.
func (l concurrentLoad) fullest(s *routing.Service, view *fleet.View, running []runningRequest) float64 {
	used := make(map[string]float64)
	for _, r := range running {
		for _, stage := range r.grant.Path {
			used[stage.Instance] += float64(l.tokens * (stage.To - stage.From))
		}
	}
	highest := 0.0
	for id, tokenLayers := range used {
		in := view.Instances[id]
		capacity := KVCacheCapacity(s.Model, s.Model.Accelerators[in.Accelerator], in.Layers.Len())
		highest = max(highest, tokenLayers/capacity)
	}
	return highest
}

// Guards against gateways that all place their requests on the path which their
// equally old reports show as the least loaded one: its KV cache overflows and the
// engines preempt requests, although other paths have room. On a quiet day of
// kerasia-rota-grown the engines preempted 418 requests and refused 267.
func TestGatewaysSpreadRequestsBetweenReports(t *testing.T) {
	for _, l := range []concurrentLoad{
		{gateways: 7, chains: 3, rate: 160, tokens: 850, duration: 1600 * time.Millisecond},
		{gateways: 20, chains: 4, rate: 220, tokens: 850, duration: 1600 * time.Millisecond},
		{gateways: 2, chains: 2, rate: 110, tokens: 850, duration: 1600 * time.Millisecond},
	} {
		for seed := range uint64(3) {
			r := l.run(t, seed)
			assert.Assert(t, r.fullest <= 1, "the KV cache of an instance was used to %.2f", r.fullest)
			assert.Assert(t, r.refused == 0, "%.3f of the requests found no room", r.refused)
		}
	}
}
