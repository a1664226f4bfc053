package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/cell"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	// relaysPerDomain is the number of gateways of a failure domain that exchange
	// summaries with the other failure domains. One could be lost unnoticed for
	// aliveTimeout.
	relaysPerDomain = 2
	// aliveTimeout is how long after its last report a gateway counts as alive when
	// gateways share out duties.
	aliveTimeout = time.Second
	// aliveCountTimeout is how long after its last report a gateway counts as alive
	// in aliveCount.
	aliveCountTimeout = 10 * time.Second
	// summaryTimeout is how long a summary is used. It is made from reports of up to
	// aliveTimeout.
	summaryTimeout = 1500 * time.Millisecond
	// sourceTimeout is how long after its last summary a relay of another failure
	// domain is replaced by the other relay of that failure domain.
	sourceTimeout = 500 * time.Millisecond
	// readerCount is the number of gateways that read the platform's store for the
	// others. They are in different failure domains as far as possible.
	readerCount = 3
	// maxAllReaders is the number of gateways up to which each reads the store itself.
	maxAllReaders = 8
	// MaxFirstNames is the number of active gateways that a summary names.
	MaxFirstNames = 2
)

// Peer is another gateway.
type Peer struct {
	Name string
	// Address is the address on which the peer receives reports (UDP) and serves
	// feeds (TCP).
	Address netip.AddrPort
	// Domain is the peer's failure domain.
	Domain string
}

// Status is what a gateway reports about itself. Its peers use it to decide which
// gateway places layers.
type Status struct {
	// LeaseUnavailable is true if the gateway can't acquire or renew the lease
	// of the placement, because it can't reach the store or does not try to
	// acquire the lease.
	LeaseUnavailable bool
	// Leading is true if the gateway places layers.
	Leading bool
	// Stopping is true during the gateway's graceful shutdown.
	Stopping bool
}

// member is a gateway of the own failure domain from which a report was received.
type member struct {
	Status
	capacity uint32
	// configuration is the version of the gateway's configuration, cells the number of cells
	// of the own failure domain that it derives.
	configuration int64
	cells         int
	// receivedAt is the arrival time of the last report, interruptedAt that of the
	// first report after the latest interruption, zero if there was none.
	receivedAt, interruptedAt time.Time
}

func (m member) alive(now time.Time) bool { return now.Sub(m.receivedAt) < aliveTimeout }

// summary is what a relay of another failure domain last reported of its failure
// domain.
type summary struct {
	Status
	members, active int
	// configuration is the version of the relay's configuration.
	configuration int64
	// cells is the highest number of cells of the failure domain that a member derives.
	cells int
	// slack is how much longer than usual the summary is used.
	slack time.Duration
	// reader is true if the relay reads the platform's store.
	reader bool
	// first holds the names of the first active members.
	first []string
	// receivedAt is the arrival time, interruptedAt that of the first summary after the
	// latest interruption, zero if there was none.
	receivedAt, interruptedAt time.Time
	// forwarded is the number and part of the latest datagram that this gateway
	// passed on.
	forwarded datagramNumber
}

// datagramNumber is the position of a datagram among those of its sender.
type datagramNumber struct {
	report uint64
	part   uint32
}

func (n datagramNumber) after(other datagramNumber) bool {
	return n.report > other.report || n.report == other.report && n.part > other.part
}

// domainState holds the summaries of another failure domain, or cell of one, by the relay that sent
// them. source is the relay whose summaries are used.
type domainState struct {
	id     cell.ID
	relays map[string]summary
	source string
	// loadSource is the relay of a partner cell whose loads are used, loadsAt the arrival time of its latest
	// datagram, loadsReport the number of its latest report and loadParts the parts of that which
	// were received, as bits.
	loadSource  string
	loadsAt     time.Time
	loadsReport uint64
	loadParts   uint64
}

// membership knows the gateways of a deployment: those of its own failure domain
// one by one, the others by summaries of their failure domains. It decides which
// gateways relay summaries. It performs no I/O and is not safe for concurrent use.
type membership struct {
	// self is this gateway, capacity its capacity and status its status.
	self     Peer
	capacity uint32
	status   Status
	// registered holds the other gateways that the platform's store lists.
	registered map[string]Peer
	// revisions holds the highest known revision of each gateway's record, so that
	// an older record never replaces a newer one.
	revisions map[string]revision.Revision
	members   map[string]member
	// domains holds the other failure domains, or cells, by the keys of the cells.
	domains map[string]*domainState
	layout  layout
	// digest is what a relay told of the other cells, relaySince since when this gateway is a
	// relay, zero if it is none.
	digest     digest
	relaySince time.Time
}

func newMembership(self Peer, capacity uint32) *membership {
	return &membership{
		self: self, capacity: capacity, registered: make(map[string]Peer), revisions: make(map[string]revision.Revision),
		members: make(map[string]member), domains: make(map[string]*domainState),
		layout: layout{
			derived: make(map[string]int), lowerSince: make(map[string]time.Time), higherCounts: make(map[string]reportedCount),
		},
	}
}

// update adds, changes and removes registered gateways.
func (s *membership) update(records []PeerRecord) {
	for _, r := range records {
		if r.Revision < s.revisions[r.Name] {
			continue
		}
		s.revisions[r.Name] = r.Revision
		switch {
		case r.Name == s.self.Name:
		case r.Removed:
			delete(s.registered, r.Name)
		default:
			s.registered[r.Name] = r.Peer
		}
	}
	s.layout.assigned = nil
}

// recordMember records the report of a gateway of the own failure domain or cell.
func (s *membership) recordMember(m message, now time.Time) {
	p, known := s.registered[m.From]
	if n := cell.Valid(int(m.Cells)); n > s.layout.derived[s.self.Domain] && n > 1 && known && s.domainOf(p) == s.self.Domain {
		// It may be a member only with the lower number.
		s.layout.higherCounts[m.From] = reportedCount{n, now}
	}
	if known && s.cellOf(p) != s.own() {
		return
	}
	next := member{
		Status: m.status(), capacity: m.Capacity, configuration: m.Configuration, cells: cell.Valid(int(m.Cells)), receivedAt: now,
	}
	if previous, known := s.members[m.From]; known {
		next.interruptedAt = previous.interruptedAt
		if !previous.alive(now) {
			next.interruptedAt = now
		}
	}
	s.members[m.From] = next
}

// recordSummary records the summary of another failure domain. It reports whether
// the summary is to be used, and whether it replaces those of another relay.
func (s *membership) recordSummary(m message, now time.Time) (use, replaces bool) {
	d := s.domain(m.cell())
	next := m.summary(now)
	if previous, known := d.relays[m.From]; known {
		next.interruptedAt, next.forwarded = previous.interruptedAt, previous.forwarded
		if now.Sub(previous.receivedAt) >= aliveTimeout+previous.slack {
			next.interruptedAt, next.forwarded = now, datagramNumber{}
		}
	}
	d.relays[m.From] = next
	if m.From == d.source {
		return true, false
	}
	current, known := d.relays[d.source]
	stale := !known || now.Sub(current.receivedAt) > sourceTimeout+current.slack
	// A relay that does not hear the other members knows less.
	if !stale && next.members <= current.members {
		return false, false
	}
	d.source = m.From
	return true, known
}

// domain returns the state of another failure domain or cell and creates it if needed.
func (s *membership) domain(id cell.ID) *domainState {
	d := s.domains[id.Key()]
	if d == nil {
		d = &domainState{id: id, relays: make(map[string]summary)}
		s.domains[id.Key()] = d
	}
	return d
}

// current returns the summary that is used of a failure domain.
func (d *domainState) current(now time.Time) (summary, bool) {
	latest, known := d.relays[d.source]
	return latest, known && latest.valid(now)
}

func (m summary) valid(now time.Time) bool {
	return now.Sub(m.receivedAt) < summaryTimeout+m.slack
}

// aliveMembers returns the names of the living gateways of the own failure domain,
// this one included, in the order in which they take on duties.
func (s *membership) aliveMembers(now time.Time) []string {
	type candidate struct {
		name string
		member
	}
	list := []candidate{{s.self.Name, member{Status: s.status, capacity: s.capacity, receivedAt: now}}}
	for name, m := range s.members {
		if m.alive(now) {
			list = append(list, candidate{name, m})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.Stopping != b.Stopping && a.Stopping:
			return 1
		case a.Stopping != b.Stopping:
			return -1
		}
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.name
	}
	return names
}

// relays returns the gateways of the own failure domain that exchange summaries
// with the other failure domains.
func (s *membership) relays(now time.Time) []string {
	names := s.aliveMembers(now)
	return names[:min(len(names), relaysPerDomain)]
}

// isRelay reports whether this gateway sends summaries to other failure domains.
func (s *membership) isRelay(now time.Time) bool { return slices.Contains(s.relays(now), s.self.Name) }

// forwardTargets returns the gateways of the own failure domain to which a datagram
// of a summary is passed on. The first relay passes it on to all others, once. Another
// gateway that receives one from another failure domain passes it on to the first
// relay.
func (s *membership) forwardTargets(m message, from netip.AddrPort, now time.Time) []Peer {
	first := s.relays(now)[0]
	if m.kind() == controlSummary && s.isRelay(now) {
		return nil // the members get a digest
	}
	peers := s.domainPeers()
	if first != s.self.Name {
		if p, known := s.registered[first]; known && !slices.ContainsFunc(peers, hasAddress(from)) {
			return []Peer{p}
		}
		return nil
	}
	number := datagramNumber{m.ReportNumber, m.Part + 1}
	latest := s.domains[m.cell().Key()].relays[m.From]
	if !number.after(latest.forwarded) {
		return nil
	}
	latest.forwarded = number
	s.domains[m.cell().Key()].relays[m.From] = latest
	return slices.DeleteFunc(peers, hasAddress(from))
}

func hasAddress(address netip.AddrPort) func(Peer) bool {
	return func(p Peer) bool { return p.Address == address }
}

// domainPeers returns the other registered gateways of the own failure domain or cell. A
// gateway that registered without a failure domain counts as one of the own.
func (s *membership) domainPeers() []Peer {
	var list []Peer
	own := s.own()
	for _, p := range s.registered {
		if s.cellOf(p) == own {
			list = append(list, p)
		}
	}
	return list
}

// relayTargets returns the gateways to which a summary is sent: in each other
// failure domain or cell the relays that were heard, completed by registered gateways that
// differ from round to round until relays are heard.
func (s *membership) relayTargets(round uint64, now time.Time) []Peer {
	var targets []Peer
	for id, peers := range s.otherCells() {
		targets = append(targets, s.targetsIn(id.Key(), peers, round, now)...)
	}
	return targets
}

func (s *membership) targetsIn(domain string, peers []Peer, round uint64, now time.Time) []Peer {
	var targets []Peer
	if d := s.domains[domain]; d != nil {
		for name, r := range d.relays {
			if p, known := s.registered[name]; known && now.Sub(r.receivedAt) < aliveTimeout+r.slack {
				targets = append(targets, p)
			}
		}
	}
	slices.SortFunc(peers, comparePeers)
	for i := range peers {
		if len(targets) >= relaysPerDomain {
			break
		}
		p := peers[(round+uint64(i))%uint64(len(peers))]
		if !slices.Contains(targets, p) {
			targets = append(targets, p)
		}
	}
	return targets
}

func comparePeers(a, b Peer) int { return cmp.Compare(a.Name, b.Name) }

// aliveCount returns the number of gateways that were heard within
// aliveCountTimeout, directly or by a summary, including this gateway.
func (s *membership) aliveCount(now time.Time) int {
	alive := 1
	for _, m := range s.members {
		if now.Sub(m.receivedAt) < aliveCountTimeout {
			alive++
		}
	}
	for _, latest := range s.others(now) {
		if now.Sub(latest.receivedAt) < aliveCountTimeout {
			alive += latest.members
		}
	}
	return alive
}

// anyPeer reports whether the status of a living gateway other than this one, or of
// a failure domain, satisfies match.
func (s *membership) anyPeer(now time.Time, match func(Status) bool) bool {
	for _, m := range s.members {
		if m.alive(now) && match(m.Status) {
			return true
		}
	}
	for _, latest := range s.others(now) {
		if latest.valid(now) && match(latest.Status) {
			return true
		}
	}
	return false
}

// newestConfiguration returns the highest version of a configuration that a living peer, or
// the relay of a failure domain, has.
func (s *membership) newestConfiguration(now time.Time) int64 {
	var newest int64
	for _, m := range s.members {
		if m.alive(now) {
			newest = max(newest, m.configuration)
		}
	}
	for _, latest := range s.others(now) {
		if latest.valid(now) {
			newest = max(newest, latest.configuration)
		}
	}
	return newest
}

// activePeers returns the number of other gateways that are alive and not stopping.
func (s *membership) activePeers(now time.Time) int {
	count := 0
	for _, m := range s.members {
		if m.alive(now) && !m.Stopping {
			count++
		}
	}
	for _, latest := range s.others(now) {
		if latest.valid(now) {
			count += latest.active
		}
	}
	return count
}

// memberCounts returns the numbers of other gateways of the own failure domain, or cell: of those that
// are alive and not stopping, and of all that were alive lately.
func (s *membership) memberCounts(now time.Time) (active, total int) {
	for _, m := range s.members {
		if now.Sub(m.receivedAt) < aliveCountTimeout {
			total++
		}
		if m.alive(now) && !m.Stopping {
			active++
		}
	}
	return active, total
}

// rankByName returns the position of this gateway in the order of names among the
// other gateways that are alive and not stopping; 0 is the first position. It is
// exact below MaxFirstNames, since summaries hold no more names.
func (s *membership) rankByName(now time.Time) int {
	rank := 0
	for name, m := range s.members {
		if m.alive(now) && !m.Stopping && name < s.self.Name {
			rank++
		}
	}
	for _, latest := range s.others(now) {
		for _, name := range latest.first {
			if latest.valid(now) && name < s.self.Name {
				rank++
			}
		}
	}
	return rank
}

// summarize returns the header of a summary of the own failure domain.
func (s *membership) summarize(now time.Time) message {
	header := message{
		Members: 1, Reader: s.readsStore(now), LeaseUnavailable: s.status.LeaseUnavailable, Leading: s.status.Leading, Stopping: s.status.Stopping,
	}
	var active []string
	if !s.status.Stopping {
		active = append(active, s.self.Name)
	}
	for name, m := range s.members {
		if !m.alive(now) {
			continue
		}
		header.Members++
		header.LeaseUnavailable = header.LeaseUnavailable && m.LeaseUnavailable
		header.Leading = header.Leading || m.Leading
		header.Stopping = header.Stopping && m.Stopping
		if !m.Stopping {
			active = append(active, name)
		}
	}
	header.Cells = cellsField(s.memberCells(now))
	slices.Sort(active)
	header.Active, header.First = uint32(len(active)), active[:min(len(active), MaxFirstNames)]
	return header
}

// readers returns the gateways of the own failure domain that read the platform's
// store for others. Readers are spread over the failure domains: the first gateways
// of all failure domains come first, then the second ones. With cells, those of the first cell
// of each failure domain come first.
func (s *membership) readers(now time.Time) []string {
	cells := s.aliveCells(now)
	position := slices.Index(cells, s.own())
	var list []string
	for rank, name := range s.aliveMembers(now) {
		if rank*len(cells)+position < readerCount {
			list = append(list, name)
		}
	}
	return list
}

// readsStore reports whether this gateway reads the platform's store.
func (s *membership) readsStore(now time.Time) bool {
	return s.smallDeployment() || slices.Contains(s.readers(now), s.self.Name)
}

// smallDeployment reports whether there are so few gateways that each reads the
// platform's store itself.
func (s *membership) smallDeployment() bool { return len(s.registered) < maxAllReaders }

// feedSources returns the gateways from which this one reads the feeds of the
// platform's store, none if it reads the store: a relay reads from readers, or from the relays of
// a parent cell, another
// gateway from the relays of its failure domain or cell. Only gateways are returned that have
// been heard without an interruption for minTime, or ever since the first time.
func (s *membership) feedSources(minTime time.Duration, now time.Time) []Peer {
	steady := func(interruptedAt time.Time) bool {
		return interruptedAt.IsZero() || now.Sub(interruptedAt) >= minTime
	}
	var list []Peer
	add := func(name string, interruptedAt time.Time) {
		if p, known := s.registered[name]; known && steady(interruptedAt) {
			list = append(list, p)
		}
	}
	switch relays := s.relays(now); {
	case s.readsStore(now):
	case !slices.Contains(relays, s.self.Name):
		for _, name := range relays {
			add(name, s.members[name].interruptedAt)
		}
	default:
		for name, r := range s.parentRelays(now) {
			add(name, r.interruptedAt)
		}
		if len(list) > 0 {
			break
		}
		for _, name := range s.readers(now) {
			add(name, s.members[name].interruptedAt)
		}
		for _, d := range s.domains {
			for name, r := range d.relays {
				if r.reader && now.Sub(r.receivedAt) < aliveTimeout+r.slack && s.valid(d.id) {
					add(name, r.interruptedAt)
				}
			}
		}
	}
	slices.SortFunc(list, comparePeers)
	return list
}
