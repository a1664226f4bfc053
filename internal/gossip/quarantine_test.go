package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/quarantine"
)

// contactTime is the time within which news must reach all gateways that are in contact.
const contactTime = 3 * time.Second

// crash makes an instance end under a request of a gateway.
func (s *simulation) crash(g *simulatedGateway, instance string, parts ...quarantine.Part) {
	s.run(200 * time.Millisecond)
	g.state.Quarantine.RecordCrash(instance, parts, s.now.Add(-100*time.Millisecond), s.now)
}

// serveOthers lets a gateway serve requests without the parts of a test.
func (s *simulation) serveOthers(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.gateways[len(s.gateways)-1].state.Quarantine.RecordAnswered([]quarantine.Part{"other"}, s.now)
		s.run(100 * time.Millisecond)
	}
}

// quarantined returns the number of gateways that refuse requests with the part.
func (s *simulation) quarantined(part quarantine.Part) int {
	count := 0
	for _, g := range s.gateways {
		if _, refused := g.state.Quarantine.Check([]quarantine.Part{part}, s.now); refused {
			count++
		}
	}
	return count
}

// Guards against a part of prompts that crashes five instances and stays unknown, because
// each of five gateways in different failure domains saw one crash, while a flood of parts
// that were never seen before fills the reports.
func TestCrashesSpreadOverGatewaysLeadToOneDecision(t *testing.T) {
	tests := []struct{ domains, perDomain, flood int }{{3, 2, 0}, {3, 2, 60}, {5, 21, 60}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.domains*tt.perDomain, " gateways, flood ", tt.flood), func(t *testing.T) {
			s := newSimulation(1, tt.domains, tt.perDomain)
			s.run(2 * time.Second)
			for i := range 5 {
				g := s.gateways[i*len(s.gateways)/5]
				for n := range tt.flood {
					part := quarantine.Part(fmt.Sprintf("flood-%d-%d", i, n))
					g.state.Quarantine.RecordCrash(fmt.Sprint("i-", i), []quarantine.Part{part}, s.now, s.now)
				}
				s.crash(g, fmt.Sprint("i-", i), "harmful")
			}
			s.serveOthers(contactTime)
			assert.Equal(t, s.quarantined("harmful"), len(s.gateways))

			// A gateway that has just started learns of it from the others.
			s.gateways[1].state.Quarantine = quarantine.NewRegister()
			s.run(contactTime)
			assert.Equal(t, s.quarantined("harmful"), len(s.gateways))
		})
	}
}

// Guards against a part that sound requests share and that is quarantined because of
// crashes, although another gateway sees its requests answered.
func TestAnswersAtOtherGatewaysClearAPart(t *testing.T) {
	s := newSimulation(1, 3, 4)
	s.run(2 * time.Second)
	for i := range 6 {
		s.crash(s.gateways[i], fmt.Sprint("i-", i), "shared", "harmful")
		s.gateways[11].state.Quarantine.RecordAnswered([]quarantine.Part{"shared"}, s.now)
	}
	s.serveOthers(contactTime)
	assert.Equal(t, s.quarantined("shared"), 0)
	assert.Equal(t, s.quarantined("harmful"), len(s.gateways))
}

// harmfulTraffic is a seeded load of requests of which some crash their instance, on a
// simulated deployment with troubles.
type harmfulTraffic struct {
	*simulation
	t *testing.T
	// instances counts the instances so far; each that ends is replaced by a new one.
	instances int
	// nextHarmful is when the next harmful request arrives, interval the usual time between
	// two.
	nextHarmful time.Time
	interval    time.Duration
	pending     []simulatedRequest
	// crashes are the times at which instances ended under harmful requests, sends when
	// harmful requests were sent by gateways in contact.
	crashes, sends []time.Time
	// outOfContactUntil is when a gateway that was disturbed is in contact again.
	outOfContactUntil map[*simulatedGateway]time.Time
	// silentUntil is when instances answer again, or begin to.
	silentUntil time.Time
	// stored is true once a gateway that is not cut off has stored its decision.
	stored bool
}

// simulatedRequest is a request on an instance. It crashes the instance at endsAt, or is
// answered then.
type simulatedRequest struct {
	gateway        *simulatedGateway
	parts          []quarantine.Part
	instance       string
	sentAt, endsAt time.Time
	harmful        bool
}

const (
	firstPart   quarantine.Part = "first"
	harmfulPart quarantine.Part = "harmful"
)

func (h *harmfulTraffic) send(harmful bool) {
	g := h.gateways[h.random.IntN(len(h.gateways))]
	if g.stopped || g.cut {
		return
	}
	parts := []quarantine.Part{firstPart, quarantine.Part(fmt.Sprint("sound-", h.random.IntN(12)))}
	if harmful {
		parts = []quarantine.Part{firstPart, harmfulPart}
	}
	part, refused := g.state.Quarantine.Check(parts, h.now)
	if refused {
		assert.Equal(h.t, part, harmfulPart, "a sound part is quarantined")
		return
	}
	if harmful && h.now.After(h.outOfContactUntil[g]) {
		h.sends = append(h.sends, h.now)
	}
	latency := time.Duration(40+h.random.IntN(160)) * time.Millisecond
	instance := fmt.Sprint("i-", h.instances+h.random.IntN(24))
	h.pending = append(h.pending, simulatedRequest{g, parts, instance, h.now, h.now.Add(latency), harmful})
}

// endInstance ends an instance under all its requests.
func (h *harmfulTraffic) endInstance(instance string) {
	kept := h.pending[:0]
	for _, q := range h.pending {
		if q.instance == instance {
			q.gateway.state.Quarantine.RecordCrash(instance, q.parts, q.sentAt, h.now)
			continue
		}
		kept = append(kept, q)
	}
	h.pending = kept
	h.instances++
}

// step lets requests arrive and end.
func (h *harmfulTraffic) step() {
	for _, g := range h.gateways {
		h.stored = h.stored || !g.cut && len(g.state.Quarantine.List()) > 0
	}
	for range 2 {
		h.send(false)
	}
	if !h.now.Before(h.nextHarmful) {
		h.send(true)
		h.nextHarmful = h.now.Add(time.Duration(h.random.Int64N(int64(2 * h.interval))))
	}
	for i := 0; i < len(h.pending); i++ {
		q := h.pending[i]
		if h.now.Before(q.endsAt) {
			continue
		}
		if q.harmful && h.now.After(h.silentUntil) {
			h.crashes = append(h.crashes, h.now)
			h.endInstance(q.instance)
			i = -1
			continue
		}
		h.pending = append(h.pending[:i], h.pending[i+1:]...)
		i--
		if !q.harmful && h.now.After(h.silentUntil) {
			q.gateway.state.Quarantine.RecordAnswered(q.parts, h.now)
		}
	}
}

// disturb lets a random trouble begin.
func (h *harmfulTraffic) disturb() {
	g := h.gateways[h.random.IntN(len(h.gateways))]
	switch h.random.IntN(4) {
	case 0: // A gateway restarts and lists the store.
		g.state.Quarantine = quarantine.NewRegister()
		if h.stored {
			g.state.Quarantine.AddStored(harmfulPart, h.now)
		}
		h.outOfContactUntil[g] = h.now.Add(contactTime)
	case 1: // A gateway is cut off, and returns later.
		g.cut = !g.cut
		h.outOfContactUntil[g] = h.now.Add(contactTime)
	case 2: // Many instances end at the same moment.
		for range 12 {
			if len(h.pending) > 0 {
				h.endInstance(h.pending[h.random.IntN(len(h.pending))].instance)
			}
		}
	case 3: // Nothing is answered for a while.
		h.silentUntil = h.now.Add(time.Duration(h.random.IntN(3000)) * time.Millisecond)
	}
}

// laterSends returns the number of harmful requests that gateways in contact sent later
// than contactTime after the fifth crash.
func (h *harmfulTraffic) laterSends() int {
	const crashesKnown = 5
	count := 0
	for _, at := range h.sends {
		if len(h.crashes) >= crashesKnown && at.Sub(h.crashes[crashesKnown-1]) > contactTime {
			count++
		}
	}
	return count
}

// Guards against more than three sends of requests that crash instances once five have
// ended, and against sound parts that are quarantined, under random troubles: gateways
// that restart or are cut off, many instances lost at once, outages without any answer.
func TestHarmfulRequestsUnderTroubles(t *testing.T) {
	const seeds, maxLaterSends, duration = 20, 3, 20 * time.Second
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(seed, 1+int(seed%4), 2+int(seed%5))
			s.run(2 * time.Second)
			h := &harmfulTraffic{
				simulation: s, t: t, interval: time.Duration(40+s.random.IntN(700)) * time.Millisecond,
				outOfContactUntil: make(map[*simulatedGateway]time.Time),
			}
			nextTrouble := s.now
			for end := s.now.Add(duration); s.now.Before(end); {
				h.step()
				if !s.now.Before(nextTrouble) {
					h.disturb()
					nextTrouble = s.now.Add(time.Duration(300+s.random.IntN(4000)) * time.Millisecond)
				}
				s.run(simulationTick)
			}
			assert.Assert(t, h.laterSends() <= maxLaterSends, "%d later sends, %d crashes", h.laterSends(), len(h.crashes))
			assert.Assert(t, len(h.crashes) > 0)
		})
	}
}

// Guards against sound parts that are quarantined because instances end by themselves, many
// at once or one after the other, also while nothing is answered for a while.
func TestLostInstancesBlameNobody(t *testing.T) {
	const seeds, duration = 20, 15 * time.Second
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(seed, 1+int(seed%3), 2+int(seed%4))
			s.run(2 * time.Second)
			h := &harmfulTraffic{simulation: s, t: t, outOfContactUntil: make(map[*simulatedGateway]time.Time)}
			h.nextHarmful = s.now.Add(time.Hour)
			gap := time.Duration(50+s.random.IntN(1500)) * time.Millisecond
			nextTrouble := s.now
			for end := s.now.Add(duration); s.now.Before(end); {
				h.step()
				if !s.now.Before(nextTrouble) {
					h.disturb()
					nextTrouble = s.now.Add(time.Duration(s.random.Int64N(int64(2 * gap))))
				}
				s.run(simulationTick)
			}
			assert.Equal(t, s.quarantined(firstPart), 0)
		})
	}
}
