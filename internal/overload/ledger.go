// Package overload divides the capacity of a service between the requests of all gateways when it
// is short: by rank, and by team within a rank. Gateways report their demand to each other, and
// each of them divides the capacity by the same rules. The package performs no I/O.
package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rateTime is the time constant of the exponentially weighted rates.
	rateTime = time.Second
	// reportMaxAge is how long the report of another gateway counts.
	reportMaxAge = 1500 * time.Millisecond
	// MaxRank is the least urgent rank.
	MaxRank = 9
	// MaxReportedTeams bounds the teams of a service in a report: those with the most demand.
	MaxReportedTeams = 16
	// maxRate bounds a reported rate, in tokens per second, maxGateways the gateways and
	// maxServices the services of a report, maxTeams the teams of a service. Reports beyond them are
	// not used.
	maxRate     = 1e10
	maxGateways = 10_000
	maxServices = 1000
	maxTeams    = 4 * MaxReportedTeams
	// maxRequestTokens bounds the tokens of a request, which the client states, before the capacity
	// of its service is known.
	maxRequestTokens = 1e7
	// divisionMaxAge is how long a division is valid. Updates are more frequent, unless the process
	// was suspended.
	divisionMaxAge = time.Second
)

// TeamID identifies a team in the demand. It is a hash of the team's name, so that the size of a
// report doesn't depend on the names. Two teams with the same hash share one share: among 260 teams
// that has a probability of 1 in 100,000.
type TeamID uint32

func teamID(name string) TeamID { return TeamID(xxhash.Sum64String(name)) }

// Request is what the division of capacity depends on.
type Request struct {
	Service string
	// Rank is 0 for the most urgent requests, at most MaxRank.
	Rank int
	Team string
	// Tokens is the KV cache that the request needs.
	Tokens float64
}

// Rate holds the tokens per second that were asked for and that were granted capacity.
type Rate struct{ Offered, Granted float64 }

func (r Rate) add(other Rate) Rate { return Rate{r.Offered + other.Offered, r.Granted + other.Granted} }

// Demand is the demand for the capacity of one service.
type Demand struct {
	Service string
	// Running is the KV cache, in tokens, of the requests that hold it.
	Running float64
	Ranks   [MaxRank + 1]Rate
	// Teams holds the teams with the most demand.
	Teams map[TeamID]Rate
}

// Report is the demand that one gateway, or several, report to others.
type Report struct {
	// Gateways is the number of gateways whose demand is summed up.
	Gateways int
	Services []Demand
}

// serviceLoad is the demand of this gateway for one service.
type serviceLoad struct {
	running float64
	ranks   [MaxRank + 1]Rate
	teams   map[TeamID]Rate
	// decayedAt is when the rates were last decayed.
	decayedAt time.Time
}

func (l *serviceLoad) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if elapsed <= 0 {
		return
	}
	l.decayedAt = now
	f := math.Exp(-float64(elapsed) / float64(rateTime))
	for i := range l.ranks {
		l.ranks[i] = Rate{l.ranks[i].Offered * f, l.ranks[i].Granted * f}
	}
	for name, r := range l.teams {
		if r.Offered*f < 1 {
			delete(l.teams, name)
			continue
		}
		l.teams[name] = Rate{r.Offered * f, r.Granted * f}
	}
}

// peerDemand is the latest report of another gateway or failure domain.
type peerDemand struct {
	number     uint64
	receivedAt time.Time
	gateways   int
	services   map[string]Demand
}

// Ledger knows the demand of all gateways for the capacity of each service. It is safe for
// concurrent use.
type Ledger struct {
	// mu guards the fields below.
	mu        sync.Mutex
	services  map[string]*serviceLoad
	peers     map[string]*peerDemand
	divisions map[string]*Division
	usual     map[string]*usualDemand
}

// NewLedger returns a Ledger that knows of no demand.
func NewLedger() *Ledger {
	return &Ledger{
		services: make(map[string]*serviceLoad), peers: make(map[string]*peerDemand), divisions: make(map[string]*Division),
		usual: make(map[string]*usualDemand),
	}
}

func (l *Ledger) load(service string, now time.Time) *serviceLoad {
	s := l.services[service]
	if s == nil {
		s = &serviceLoad{teams: make(map[TeamID]Rate), decayedAt: now}
		l.services[service] = s
	}
	return s
}

// RecordOffered counts a request that asks for capacity. One that needs more than the service has
// is not counted, because no reserve helps it.
func (l *Ledger) RecordOffered(r Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := float64(maxRequestTokens)
	if v := l.divisions[r.Service]; v != nil && v.serviceCapacity > 0 {
		limit = min(limit, v.serviceCapacity)
	}
	if r.Tokens > limit {
		return
	}
	l.count(r, Rate{Offered: r.Tokens}, now)
}

// RecordGranted counts a request that was granted capacity. RecordDone must follow.
func (l *Ledger) RecordGranted(r Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(r, Rate{Granted: r.Tokens}, now)
	l.services[r.Service].running += r.Tokens
}

// RecordDone counts the end of a request that was granted capacity.
func (l *Ledger) RecordDone(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[r.Service]; s != nil {
		s.running = max(s.running-r.Tokens, 0)
	}
}

// count adds tokens to the rates of a request's rank and team. It adds them as they were at the
// latest decay, so that the rates of all teams need not be decayed for each request.
func (l *Ledger) count(r Request, tokens Rate, now time.Time) {
	s := l.load(r.Service, now)
	if now.Sub(s.decayedAt) > rateTime {
		s.decay(now)
	}
	f := math.Exp(float64(now.Sub(s.decayedAt))/float64(rateTime)) / rateTime.Seconds()
	perSecond := Rate{tokens.Offered * f, tokens.Granted * f}
	rank := clampRank(r.Rank)
	s.ranks[rank] = s.ranks[rank].add(perSecond)
	if r.Team != "" {
		id := teamID(r.Team)
		s.teams[id] = s.teams[id].add(perSecond)
	}
}

// LocalReport returns the demand of this gateway.
func (l *Ledger) LocalReport(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.localReport(now)
}

func (l *Ledger) localReport(now time.Time) Report {
	r := Report{Gateways: 1}
	for name, s := range l.services {
		s.decay(now)
		r.Services = append(r.Services, Demand{name, s.running, s.ranks, largest(s.teams)})
	}
	return r
}

// GroupReport returns the sum of the demand of this gateway and of the named ones.
func (l *Ledger) GroupReport(names []string, now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(l.localReport(now), names, now)
}

// SumReports returns the sum of the demand that was reported under the given names.
func (l *Ledger) SumReports(names []string, now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(Report{}, names, now)
}

// sum adds the demand that was reported under the given names to a report.
func (l *Ledger) sum(r Report, names []string, now time.Time) Report {
	byService := make(map[string]Demand)
	for _, d := range r.Services {
		byService[d.Service] = d
	}
	for _, name := range names {
		p := l.peers[name]
		if p == nil || now.Sub(p.receivedAt) > reportMaxAge {
			continue
		}
		r.Gateways += p.gateways
		for service, d := range p.services {
			total := byService[service]
			total.add(d)
			byService[service] = total
		}
	}
	r.Services = r.Services[:0]
	for service, d := range byService {
		d.Service, d.Teams = service, largest(d.Teams)
		r.Services = append(r.Services, d)
	}
	return r
}

// total returns the demand of all ranks.
func (d Demand) total() Rate {
	var sum Rate
	for _, r := range d.Ranks {
		sum = sum.add(r)
	}
	return sum
}

// add adds other to d, whose Teams it changes.
func (d *Demand) add(other Demand) {
	d.Running += other.Running
	for i := range d.Ranks {
		d.Ranks[i] = d.Ranks[i].add(other.Ranks[i])
	}
	if d.Teams == nil {
		d.Teams = make(map[TeamID]Rate, len(other.Teams))
	}
	for id, r := range other.Teams {
		d.Teams[id] = d.Teams[id].add(r)
	}
}

// largest returns the MaxReportedTeams teams with the most demand.
func largest(teams map[TeamID]Rate) map[TeamID]Rate {
	if len(teams) <= MaxReportedTeams {
		return maps.Clone(teams)
	}
	ids := slices.SortedFunc(maps.Keys(teams), func(a, b TeamID) int {
		return cmp.Or(cmp.Compare(teams[b].Offered, teams[a].Offered), cmp.Compare(a, b))
	})
	kept := make(map[TeamID]Rate, MaxReportedTeams)
	for _, id := range ids[:MaxReportedTeams] {
		kept[id] = teams[id]
	}
	return kept
}

// AddPeerReport installs one part of the report of another gateway or failure domain. A report
// with a lower number than the latest is ignored, and a repeated part doesn't make the report
// younger. It returns the services whose demand was rejected because its values can't be.
func (l *Ledger) AddPeerReport(peer string, number uint64, r Report, now time.Time) (rejected []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Gateways > maxGateways {
		return r.serviceNames()
	}
	p := l.peers[peer]
	if p != nil && number < p.number && now.Sub(p.receivedAt) <= reportMaxAge {
		return nil
	}
	if p == nil || number != p.number {
		p = &peerDemand{number: number, receivedAt: now, services: make(map[string]Demand)}
		l.peers[peer] = p
	}
	p.gateways = max(r.Gateways, 1)
	for _, d := range r.Services {
		if !d.valid() || len(p.services) >= maxServices {
			rejected = append(rejected, d.Service)
			continue
		}
		p.services[d.Service] = d
	}
	return rejected
}

func (r Report) serviceNames() []string {
	names := make([]string, 0, len(r.Services))
	for _, d := range r.Services {
		names = append(names, d.Service)
	}
	return names
}

func (d Demand) valid() bool {
	ok := func(x float64) bool { return x >= 0 && x <= maxRate }
	for _, r := range d.Ranks {
		if !ok(r.Offered) || !ok(r.Granted) {
			return false
		}
	}
	for _, r := range d.Teams {
		if !ok(r.Offered) || !ok(r.Granted) {
			return false
		}
	}
	return ok(d.Running) && len(d.Teams) <= maxTeams
}

// ForgetPeer removes what was reported under a name.
func (l *Ledger) ForgetPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// totalDemand returns the demand of all gateways that were heard recently, and their number.
func (l *Ledger) totalDemand(service string, now time.Time) (Demand, int) {
	s := l.load(service, now)
	s.decay(now)
	d := Demand{service, s.running, s.ranks, maps.Clone(s.teams)}
	gateways := 1
	for _, p := range l.peers {
		if now.Sub(p.receivedAt) > reportMaxAge {
			continue
		}
		gateways += p.gateways
		if other, ok := p.services[service]; ok {
			d.add(other)
		}
	}
	return d, gateways
}

// Policy is what the configuration says about the division of a service's capacity.
type Policy struct {
	// Weights holds the weights of the teams that have one.
	Weights map[string]float64
	// Priorities holds the priority of the routes of each rank. Ranks beyond its end have their
	// number as priority.
	Priorities []int
}

// Update divides the capacity of a service, in tokens, anew. registered is the number of gateways
// that may use it.
func (l *Ledger) Update(service string, capacity float64, registered int, p Policy, now time.Time) *Division {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, heard := l.totalDemand(service, now)
	serviceCapacity := capacity
	if heard < registered {
		// The capacity that the others use is unknown: the gateways that were heard divide an
		// equal share for each of them.
		capacity *= float64(heard) / float64(registered)
	}
	u := l.usual[service]
	if u == nil {
		u = newUsualDemand(now)
		l.usual[service] = u
	}
	weights := func() map[TeamID]float64 { return u.weights(d.Teams, p.Weights) }
	v := divide(d, capacity, p.Priorities, weights, l.divisions[service], now)
	v.serviceCapacity = serviceCapacity
	u.update(d.Teams, v.TeamsAbove, now)
	l.divisions[service] = v
	return v
}

// Division returns how the capacity of a service is divided, nil if that is not known or was
// determined too long ago.
func (l *Ledger) Division(service string, now time.Time) *Division {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.divisions[service]
	if v == nil || now.Sub(v.at) > divisionMaxAge {
		return nil
	}
	return v
}

// Forget removes what is known of services that are not in use any more, and of gateways that were
// not heard recently.
func (l *Ledger) Forget(used func(service string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unused := func(service string) bool { return !used(service) }
	maps.DeleteFunc(l.services, func(service string, s *serviceLoad) bool { return unused(service) && s.running == 0 })
	maps.DeleteFunc(l.usual, func(service string, _ *usualDemand) bool { return unused(service) })
	maps.DeleteFunc(l.divisions, func(service string, _ *Division) bool { return unused(service) })
	maps.DeleteFunc(l.peers, func(_ string, p *peerDemand) bool { return now.Sub(p.receivedAt) > reportMaxAge })
}
