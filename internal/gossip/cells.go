package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/cell"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

const (
	// loadRounds is the number of report intervals between two summaries of loads for partner
	// cells. The loads of a lost summary expire after a second.
	loadRounds = 2
	// loadInterval is the time between two such summaries.
	loadInterval = loadRounds * reportInterval
	// controlBytesPerSecond bounds what a relay sends to the relays of all other cells,
	// minControlInterval and maxControlInterval the time between two control summaries. Contents
	// beyond the bound at maxControlInterval are sent in turns.
	controlBytesPerSecond = 20_000
	minControlInterval    = 2 * reportInterval
	maxControlInterval    = 3 * time.Second
	// controlBytes is the assumed size of a control summary before one was sent.
	controlBytes = 250
	// loadSourceTimeout is how long after its last summary of loads a relay of a partner cell is
	// replaced by another one.
	loadSourceTimeout = 2*loadInterval + reportInterval/2
	// mergeDelay is how long the number of cells that follows from the instances must be
	// lower before it is lowered: to merge cells, layers have to be loaded elsewhere.
	mergeDelay = 30 * time.Second
	// higherCountTimeout is how long a number of cells counts that a gateway of another cell reported,
	// reportsOutsideCell the number of such gateways to which a gateway reports while those of
	// its own cell derive a lower number. They reach 100 gateways within higherCountTimeout.
	higherCountTimeout = 5 * time.Second
	reportsOutsideCell = 4
	// cellSettleTime is how long a gateway belongs to a cell before it sends summaries of it. Before
	// it has heard the others of the cell, each takes itself for a relay.
	cellSettleTime = 2*reportInterval + reportInterval/2
	// relaySettleTime is how long a gateway that became a relay uses what the former relay
	// told it of the other cells: their relays have yet to hear of it.
	relaySettleTime = 3 * time.Second
	// maxObservedCells is the number of cells to which control summaries are sent before they are due, in one
	// round, because the layers of their instances were observed.
	maxObservedCells = 8
	// maxCellItems is the number of observations, departures, faults and slow instances each in
	// a report within a cell, maxControlItems that in a control summary. More are sent in turns.
	maxCellItems    = 64
	maxControlItems = 16
)

// summaryKind says what a summary of a cell holds.
type summaryKind uint8

const (
	// loadSummary holds the loads on instances, for the partner cells.
	loadSummary summaryKind = iota
	// controlSummary holds everything else, for the relays of all cells.
	controlSummary
	// digestSummary sums up the control summaries of all other cells, for the gateways of
	// the relay's own cell.
	digestSummary
)

// cellHeader is the part of the header of a summary that tells its cell.
type cellHeader struct {
	_         struct{} `cbor:",toarray"`
	Index, Of uint32
	Kind      summaryKind
}

// domainDigest is what a digest tells of a failure domain.
type domainDigest struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	// Cells is the number of cells that its gateways report, Of the one that the sender uses.
	Cells, Of uint32
	// Alive holds the cells with living gateways, by index.
	Alive []uint32
}

// layout says how the failure domains are divided, as this gateway knows it.
type layout struct {
	// derived holds the number of cells that follows from the instances, lowerSince since when a lower
	// one follows.
	derived    map[string]int
	lowerSince map[string]time.Time
	// counts holds the number of cells of the divided failure domains: the highest one that this
	// gateway derives or a living gateway reports.
	counts map[string]int
	// assigned holds the index of the cell of each registered gateway of a divided failure
	// domain. It is nil if it has to be computed.
	assigned map[string]int
	// partners holds the keys of the partner cells, ownKey that of the own cell and ownSince since when
	// this gateway belongs to it.
	partners []string
	ownKey   string
	ownSince time.Time
	// higherCounts holds the numbers of cells of gateways that report to this one and derive more
	// than it does, by name. They may belong to other cells.
	higherCounts map[string]reportedCount
}

// reportedCount is a number of cells and when it was reported.
type reportedCount struct {
	n  int
	at time.Time
}

// count returns the number of cells of a failure domain.
func (l *layout) count(domain string) int { return max(l.counts[domain], 1) }

// divided reports whether any failure domain is divided.
func (s *membership) divided() bool { return len(s.layout.counts) > 0 }

// domainOf returns the failure domain of a gateway. One that registered without a failure
// domain counts as one of the own.
func (s *membership) domainOf(p Peer) string { return cmp.Or(p.Domain, s.self.Domain) }

// cellOf returns the cell of a registered gateway.
func (s *membership) cellOf(p Peer) cell.ID {
	domain := s.domainOf(p)
	of := s.layout.count(domain)
	if of == 1 {
		return cell.ID{Domain: domain, Of: 1}
	}
	if s.layout.assigned == nil {
		s.assign()
	}
	return cell.ID{Domain: domain, Index: s.layout.assigned[p.Name], Of: of}
}

// own returns the own cell.
func (s *membership) own() cell.ID { return s.cellOf(s.self) }

// assign assigns the gateways of the divided failure domains to cells.
func (s *membership) assign() {
	s.layout.assigned = make(map[string]int)
	for domain, names := range s.namesByDomain() {
		if of := s.layout.count(domain); of > 1 {
			maps.Copy(s.layout.assigned, cell.Assign(names, of))
		}
	}
}

// namesByDomain returns the names of the registered gateways, this one included, by
// failure domain.
func (s *membership) namesByDomain() map[string][]string {
	names := map[string][]string{s.self.Domain: {s.self.Name}}
	for _, p := range s.registered {
		domain := s.domainOf(p)
		names[domain] = append(names[domain], p.Name)
	}
	return names
}

// updateLayout determines how the failure domains are divided.
func (s *membership) updateLayout(sizes map[string]cell.Sizes, now time.Time) fleet.Cells {
	names := s.namesByDomain()
	counts := make(map[string]int)
	for domain := range sizes {
		size := sizes[domain]
		size.Gateways = len(names[domain])
		if n := cell.Agree(s.derive(domain, size, now), s.reportedCells(domain, now), size); n > 1 {
			counts[domain] = n
		}
	}
	if !maps.Equal(s.layout.counts, counts) {
		s.layout.counts, s.layout.assigned = counts, nil
	}
	s.layout.partners = nil
	if !s.divided() {
		s.layout.ownKey = ""
		return fleet.Cells{}
	}
	own := s.own()
	if key := own.Key(); key != s.layout.ownKey {
		s.layout.ownKey, s.layout.ownSince = key, now
	}
	for name := range s.members {
		if p, known := s.registered[name]; known && s.cellOf(p) != own {
			delete(s.members, name)
		}
	}
	domains := make(map[string]int)
	for domain := range names {
		domains[domain] = s.layout.count(domain)
	}
	for _, p := range cell.Partners(own, domains) {
		s.layout.partners = append(s.layout.partners, p.Key())
	}
	return fleet.Cells{Counts: s.layout.counts, Own: own.Key(), Partners: s.layout.partners}
}

// derive returns the number of cells of a failure domain that follows from its sizes. It is
// lowered after mergeDelay.
func (s *membership) derive(domain string, size cell.Sizes, now time.Time) int {
	current := max(s.layout.derived[domain], 1)
	next := cell.Count(current, size)
	since, lower := s.layout.lowerSince[domain]
	switch {
	case next >= current:
		delete(s.layout.lowerSince, domain)
	case size.Instances <= cell.MaxUndivided:
	case !lower:
		s.layout.lowerSince[domain] = now
		next = current
	case now.Sub(since) < mergeDelay:
		next = current
	}
	s.layout.derived[domain] = next
	return next
}

// reportedCells returns the highest number of cells that living gateways report of a failure
// domain.
func (s *membership) reportedCells(domain string, now time.Time) int {
	highest := 1
	if domain == s.self.Domain {
		highest = s.memberCells(now)
	}
	for _, d := range s.domains {
		if d.id.Domain != domain {
			continue
		}
		for _, r := range d.relays {
			if now.Sub(r.receivedAt) < summaryTimeout+r.slack {
				highest = max(highest, r.cells)
			}
		}
	}
	if s.digest.current(now) {
		highest = max(highest, s.digest.cells[domain])
	}
	return highest
}

// memberCells returns the highest number of cells of the own failure domain that this gateway derives,
// or one that reports to it.
func (s *membership) memberCells(now time.Time) int {
	highest := max(s.layout.derived[s.self.Domain], 1)
	for _, m := range s.members {
		if m.alive(now) {
			highest = max(highest, m.cells)
		}
	}
	for name, r := range s.layout.higherCounts {
		if now.Sub(r.at) >= higherCountTimeout {
			delete(s.layout.higherCounts, name)
			continue
		}
		highest = max(highest, r.n)
	}
	return highest
}

// disagreementTargets returns gateways of other cells of the own failure domain, others in each round, if
// gateways of the own cell derive a lower number of cells. They may not know of the higher number,
// which applies to all.
func (s *membership) disagreementTargets(round uint64, now time.Time) []Peer {
	derived := s.layout.derived[s.self.Domain]
	if derived < s.layout.count(s.self.Domain) || derived <= 1 {
		return nil
	}
	own := s.own()
	var outside []Peer
	agreed := true
	for _, p := range s.registered {
		m, heard := s.members[p.Name]
		switch {
		case s.domainOf(p) != own.Domain:
		case s.cellOf(p) != own:
			outside = append(outside, p)
		case !heard || m.alive(now) && m.cells < derived:
			agreed = false
		}
	}
	if agreed {
		return nil
	}
	return inTurns(outside, reportsOutsideCell, round, func(p Peer) string { return p.Name })
}

// cellsField returns message.Cells for a number of cells.
func cellsField(n int) uint32 {
	if n > 1 {
		return uint32(n)
	}
	return 0
}

// slack returns how much longer than usual a summary is used whose sender names the time
// until the next one: one summary may be lost.
func slack(interval time.Duration) time.Duration { return 2 * max(interval-reportInterval, 0) }

// digest is what a relay of the own cell told of all other cells.
type digest struct {
	summary
	// cells is the number of cells that the gateways of each failure domain report.
	cells map[string]int
	// alive holds the cells with living gateways.
	alive []cell.ID
	// known is true once a digest was received.
	known bool
}

func (d *digest) current(now time.Time) bool {
	return d.known && now.Sub(d.receivedAt) < summaryTimeout+d.slack
}

// recordDigest records the digest of a relay of the own cell.
func (s *membership) recordDigest(m message, now time.Time) {
	next := digest{summary: m.summary(now), cells: make(map[string]int), known: true}
	for _, d := range m.Digest {
		next.cells[d.Domain] = cell.Valid(int(d.Cells))
		for _, index := range d.Alive {
			next.alive = append(next.alive, cell.ID{Domain: d.Domain, Index: int(index), Of: max(int(d.Of), 1)})
		}
	}
	s.digest = next
}

// hearsCells reports whether this gateway goes by the summaries of the other cells itself, as a relay
// does, instead of by the digest of a relay.
func (s *membership) hearsCells(now time.Time) bool {
	if !s.divided() || !s.digest.current(now) {
		return true
	}
	if s.relaySince.IsZero() {
		return false
	}
	return now.Sub(s.relaySince) >= relaySettleTime || s.heardMembers(now) >= s.digest.members
}

// heardMembers returns the number of gateways of the other cells according to their own summaries.
func (s *membership) heardMembers(now time.Time) int {
	sum := 0
	for _, d := range s.domains {
		if latest, ok := d.current(now); ok && s.valid(d.id) {
			sum += latest.members
		}
	}
	return sum
}

// updateRole records since when this gateway is a relay.
func (s *membership) updateRole(now time.Time) {
	switch relay := s.isRelay(now); {
	case !relay:
		s.relaySince = time.Time{}
	case s.relaySince.IsZero():
		s.relaySince = now
	}
}

// others returns the summaries that are used of the other failure domains or cells, by
// themselves or in a digest.
func (s *membership) others(now time.Time) []summary {
	if !s.hearsCells(now) {
		return []summary{s.digest.summary}
	}
	var list []summary
	for _, d := range s.domains {
		if latest, known := d.relays[d.source]; known && s.valid(d.id) {
			list = append(list, latest)
		}
	}
	return list
}

// valid reports whether a cell belongs to the present division of its failure domain.
func (s *membership) valid(id cell.ID) bool { return id.Of == s.layout.count(id.Domain) }

// isPartner reports whether a cell is a partner of the own one.
func (s *membership) isPartner(id cell.ID) bool { return slices.Contains(s.layout.partners, id.Key()) }

// aliveCells returns the cells with living gateways, the own one included.
func (s *membership) aliveCells(now time.Time) []cell.ID {
	list := []cell.ID{s.own()}
	switch {
	case !s.divided():
	case !s.hearsCells(now):
		list = append(list, s.digest.alive...)
	case !s.digest.known && (s.relaySince.IsZero() || now.Sub(s.relaySince) < relaySettleTime):
		// Nothing is known of the other cells yet. They are assumed to be alive, so that not
		// every cell reads the platform's store.
		for _, p := range s.registered {
			if id := s.cellOf(p); !slices.Contains(list, id) {
				list = append(list, id)
			}
		}
		slices.SortFunc(list, cell.Compare)
		return list
	}
	if s.hearsCells(now) {
		for _, d := range s.domains {
			if _, ok := d.current(now); ok && s.valid(d.id) {
				list = append(list, d.id)
			}
		}
	}
	slices.SortFunc(list, cell.Compare)
	return list
}

// loadTargets returns the gateways to which summaries of loads are sent: those relays of the
// partner cells that are this relay's part, so that each gets the summary of one relay.
func (s *membership) loadTargets(round uint64, now time.Time) []Peer {
	relays := s.relays(now)
	slices.Sort(relays)
	position := slices.Index(relays, s.self.Name)
	var targets []Peer
	for id, peers := range s.otherCells() {
		if !s.isPartner(id) {
			continue
		}
		list := s.targetsIn(id.Key(), peers, round, now)
		slices.SortFunc(list, comparePeers)
		for i, p := range list {
			if i%len(relays) == position {
				targets = append(targets, p)
			}
		}
	}
	return targets
}

// otherCells returns the registered gateways of the other cells.
func (s *membership) otherCells() map[cell.ID][]Peer {
	byCell := make(map[cell.ID][]Peer)
	own := s.own()
	for _, p := range s.registered {
		if id := s.cellOf(p); id != own {
			byCell[id] = append(byCell[id], p)
		}
	}
	return byCell
}

// recordLoads decides whether the loads in a summary of a partner cell are used, and to which gateways
// the datagram is forwarded. Each relay forwards those of its part of the partner cells.
func (s *membership) recordLoads(m message, now time.Time) (use, replaces bool, forwardTo []Peer) {
	id := m.cell()
	if !s.isPartner(id) {
		return false, false, nil
	}
	d := s.domain(id)
	bit := uint64(1) << min(m.Part, 63)
	switch active := now.Sub(d.loadsAt) < loadSourceTimeout; {
	case active && m.From != d.loadSource:
		return false, false, nil
	case active && (m.ReportNumber < d.loadsReport || m.ReportNumber == d.loadsReport && d.loadParts&bit != 0):
		return true, false, nil // already forwarded, or late
	case m.ReportNumber != d.loadsReport || m.From != d.loadSource:
		d.loadParts = 0
	}
	replaces = m.From != d.loadSource && d.loadSource != ""
	d.loadSource, d.loadsAt, d.loadsReport = m.From, now, m.ReportNumber
	d.loadParts |= bit
	relays := s.relays(now)
	slices.Sort(relays)
	if duty := slices.Index(s.layout.partners, id.Key()) % len(relays); relays[duty] == s.self.Name {
		forwardTo = s.domainPeers()
	}
	return true, replaces, forwardTo
}

// summarizeOthers returns the header of a digest: what the summaries of the other cells add up to.
func (s *membership) summarizeOthers(now time.Time) message {
	header := message{LeaseUnavailable: true, Stopping: true}
	own := s.own()
	header.Cell = &cellHeader{Index: uint32(own.Index), Of: uint32(own.Of), Kind: digestSummary}
	var held bool
	var first []string
	domains := make(map[string]*domainDigest)
	for _, d := range s.domains {
		latest, ok := d.current(now)
		if !ok || !s.valid(d.id) {
			continue
		}
		header.Members += uint32(latest.members)
		header.Active += uint32(latest.active)
		header.LeaseUnavailable = header.LeaseUnavailable && latest.LeaseUnavailable
		header.Leading = header.Leading || latest.Leading
		header.Stopping = header.Stopping && latest.Stopping
		held = held || latest.Leading && !latest.LeaseUnavailable
		header.Configuration = max(header.Configuration, latest.configuration)
		header.IntervalMS = max(header.IntervalMS, milliseconds(latest.slack/2+reportInterval))
		first = append(first, latest.first...)
		item := domains[d.id.Domain]
		if item == nil {
			item = &domainDigest{Domain: d.id.Domain, Of: uint32(d.id.Of)}
			domains[d.id.Domain] = item
		}
		item.Cells = max(item.Cells, uint32(latest.cells))
		item.Alive = append(item.Alive, uint32(d.id.Index))
	}
	// A leader of one cell without the lease and a gateway of another that can acquire it
	// are not a leader with the lease.
	header.LeaseUnavailable = header.LeaseUnavailable || header.Leading && !held
	slices.Sort(first)
	header.First = first[:min(len(first), MaxFirstNames)]
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		slices.Sort(domains[name].Alive)
		header.Digest = append(header.Digest, *domains[name])
	}
	return header
}

// parentRelays returns the living relays of the cell from which the relays of the own one
// read feeds.
func (s *membership) parentRelays(now time.Time) map[string]summary {
	parent, ok := cell.Parent(s.own())
	d := s.domains[parent.Key()]
	if !ok || d == nil {
		return nil
	}
	alive := make(map[string]summary)
	for name, r := range d.relays {
		if now.Sub(r.receivedAt) < aliveTimeout+r.slack {
			alive[name] = r
		}
	}
	return alive
}

// inTurns returns at most limit elements of a list, others in each round.
func inTurns[E any](list []E, limit int, round uint64, key func(E) string) []E {
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b E) int { return cmp.Compare(key(a), key(b)) })
	start := int(round * uint64(limit) % uint64(len(list)))
	return slices.Concat(list[start:], list[:start])[:limit]
}
