package gossip

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// controlState is what a relay knows of the control summaries that it sends.
type controlState struct {
	// next is when the next one is due, interval the time between two and bytes the size of the
	// latest one.
	next     time.Time
	interval time.Duration
	bytes    int
	// leading, unavailable and configuration are those of the latest one. A change is sent at
	// once: it decides who places layers.
	leading, unavailable bool
	configuration        int64
	// observed holds the time of the latest observation that was sent to each cell.
	observed map[string]time.Time
}

// settledChanges holds the latest changes of feeds that gateways reported a while ago.
type settledChanges struct {
	known, pending []revision.Revision
	since          time.Time
}

// changeSettleTime is the time after which a reported change counts as known to others with
// cells. Feeds pass through up to four gateways, each of which may wait 150 ms for more changes;
// a watch is given up that does not return a change which others know.
const changeSettleTime = 600 * time.Millisecond

// settleChanges makes the changes known that were reported at least changeSettleTime ago.
func (x *Reporter) settleChanges(now time.Time) {
	if now.Sub(x.settled.since) < changeSettleTime {
		return
	}
	x.settled = settledChanges{known: x.settled.pending, pending: slices.Clone(x.heardChanges), since: now}
}

// sendCellSummaries sends the summaries of a relay: loads to partner cells, control summaries to
// the relays of all cells, and a digest of those that it received to its own cell.
func (x *Reporter) sendCellSummaries(known quarantine.Report, now time.Time) {
	observed := x.observationsByCell(now)
	x.mu.Lock()
	peers := x.members.domainPeers()
	round := x.reportNumber
	var loadTargets []Peer
	if round%loadRounds == 0 {
		loadTargets = x.members.loadTargets(round, now)
	}
	header := x.members.summarize(now)
	controlTargets := x.controlTargets(header, observed, now)
	first := x.members.relays(now)[0] == x.name
	x.mu.Unlock()
	if len(loadTargets) > 0 {
		x.sendAll(x.encodeLoads(now), loadTargets)
	}
	if len(controlTargets) > 0 {
		x.sendControl(header, known, controlTargets, observed, now)
	}
	if first && len(peers) > 0 {
		x.sendAll(x.encodeDigest(now), peers)
	}
}

// observationsByCell returns the observations of instances by the key of the cell.
func (x *Reporter) observationsByCell(now time.Time) map[string][]fleet.Observation {
	view := x.state.Directory.View()
	byCell := make(map[string][]fleet.Observation)
	for _, o := range x.observations(now) {
		if in, known := view.Instances[o.ID]; known {
			key := view.Cell(&in)
			byCell[key] = append(byCell[key], o)
		}
	}
	return byCell
}

// nearObservations returns the observations that a relay tells its cell: those of instances that the cell
// uses. Others follow while there are few, because the other relay may be the one whose control
// summaries are used.
func (x *Reporter) nearObservations(now time.Time) []fleet.Observation {
	cells := x.state.Directory.View().Cells()
	byCell := x.observationsByCell(now)
	var near, others []fleet.Observation
	for key, list := range byCell {
		if key == cells.Own || slices.Contains(cells.Partners, key) {
			near = append(near, list...)
		} else {
			others = append(others, list...)
		}
	}
	if len(near)+len(others) <= maxCellItems {
		return append(near, others...)
	}
	return near
}

// controlTargets returns the relays to which a control summary is sent, by the key of the cell: those of all
// cells if it is due, otherwise those of cells with layers that were observed since the latest
// one, to which observed is then reduced. Their gateways would choose instances that have released
// layers.
func (x *Reporter) controlTargets(header message, observed map[string][]fleet.Observation, now time.Time) map[string][]Peer {
	due := x.controlDue(header, now)
	targets := make(map[string][]Peer)
	for id, peers := range x.members.otherCells() {
		key := id.Key()
		before := x.control.observed[key]
		newer := slices.DeleteFunc(slices.Clone(observed[key]), func(o fleet.Observation) bool { return !o.At.After(before) })
		if !due && (len(newer) == 0 || len(targets) >= maxObservedCells) {
			continue
		}
		targets[key] = x.members.targetsIn(key, peers, x.reportNumber, now)
		if x.control.observed == nil {
			x.control.observed = make(map[string]time.Time)
		}
		for _, o := range newer {
			if o.At.After(x.control.observed[key]) {
				x.control.observed[key] = o.At
			}
		}
		if !due {
			observed[key] = newer // the others were sent before
		}
	}
	if due {
		count := 0
		for _, list := range targets {
			count += len(list)
		}
		bytes := max(x.control.bytes, controlBytes) * count
		interval := time.Duration(float64(bytes) / controlBytesPerSecond * float64(time.Second)).Round(reportInterval)
		x.control.interval = min(max(interval, minControlInterval), maxControlInterval)
		// The summary is sent in the first round that begins half a round before it is due.
		x.control.next = now.Add(x.control.interval - reportInterval/2)
	}
	return targets
}

// controlDue reports whether a control summary is to be sent.
func (x *Reporter) controlDue(header message, now time.Time) bool {
	c := &x.control
	newest := x.newestInCell(now)
	changed := c.leading != header.Leading || c.unavailable != header.LeaseUnavailable || c.configuration != newest
	if !changed && now.Before(c.next) {
		return false
	}
	c.leading, c.unavailable, c.configuration = header.Leading, header.LeaseUnavailable, newest
	return true
}

// newestInCell returns the highest version of a configuration in the own cell.
func (x *Reporter) newestInCell(now time.Time) int64 {
	newest := x.configuration
	for _, m := range x.members.members {
		if m.alive(now) {
			newest = max(newest, m.configuration)
		}
	}
	return newest
}

// encodeLoads returns the datagrams of a summary of loads of the own cell.
func (x *Reporter) encodeLoads(now time.Time) [][]byte {
	x.mu.Lock()
	names := x.otherMembers(now)
	own := x.members.own()
	header := message{
		From: x.name, ReportNumber: x.reportNumber, Domain: own.Domain, Members: uint32(len(names) + 1),
		Cell:       &cellHeader{Index: uint32(own.Index), Of: uint32(own.Of), Kind: loadSummary},
		IntervalMS: milliseconds(loadInterval),
	}
	x.mu.Unlock()
	return pack(header, contents{instances: x.state.Tracker.GroupReport(names, now)}, now)
}

// sendControl sends a control summary of the own cell to relays of other cells, each with the
// observations of the instances of its cell.
func (x *Reporter) sendControl(
	header message, known quarantine.Report, targets map[string][]Peer, observed map[string][]fleet.Observation, now time.Time,
) {
	x.mu.Lock()
	header = x.header(header)
	header.Configuration = x.newestInCell(now)
	own := x.members.own()
	header.Cell = &cellHeader{Index: uint32(own.Index), Of: uint32(own.Of), Kind: controlSummary}
	header.IntervalMS = milliseconds(x.control.interval)
	names := x.otherMembers(now)
	x.mu.Unlock()
	retries := x.state.Budget.GroupReport(names, now)
	header.Predecessors = uint32(max(retries.Predecessors, 0))
	instances := x.state.Tracker.GroupReport(names, now)
	c := contents{
		instances.WithoutLoads(), nil, x.state.Directory.Departures(), retries.Usage, known, x.state.Demand.GroupReport(names, now),
	}
	c.limit(maxControlItems, header.ReportNumber)
	common := pack(header, c, now)
	size := 0
	for _, d := range common {
		size += len(d)
	}
	x.mu.Lock()
	x.control.bytes = size
	x.mu.Unlock()
	for key, list := range targets {
		datagrams := common
		if len(observed[key]) > 0 {
			c.observations = inTurns(observed[key], maxCellItems, header.ReportNumber, func(o fleet.Observation) string { return o.ID })
			datagrams = pack(header, c, now)
		}
		x.sendAll(datagrams, list)
	}
}

// digestKey is the name under which the digest of a relay is applied, controlKey the
// prefix of that for control summaries.
const (
	digestKey  = "other cells"
	controlKey = "control of cell "
)

// encodeDigest returns the datagrams of a digest of the other cells.
func (x *Reporter) encodeDigest(now time.Time) [][]byte {
	x.mu.Lock()
	header := x.members.summarizeOthers(now)
	newest := header.Configuration
	header = x.header(header)
	header.Configuration = newest
	keys := x.controlKeys()
	x.mu.Unlock()
	retries := x.state.Budget.SumReports(keys, now)
	header.Predecessors = uint32(max(retries.Predecessors, 0))
	instances := x.state.Tracker.GroupReport(keys, now)
	c := contents{instances.WithoutLoads(), nil, nil, retries.Usage, quarantine.Report{}, overload.Report{}}
	if header.hasDemand() {
		c.demand = x.state.Demand.SumReports(keys, now)
	}
	c.limit(maxControlItems, header.ReportNumber)
	return pack(header, c, now)
}

// controlKeys returns the names under which the control summaries of the other cells are applied.
func (x *Reporter) controlKeys() []string {
	var keys []string
	for key, d := range x.members.domains {
		if x.members.valid(d.id) {
			keys = append(keys, controlKey+key)
		}
	}
	return keys
}

// recordCell updates the membership with a summary of a cell.
func (x *Reporter) recordCell(m message, from netip.AddrPort, now time.Time) recorded {
	s := x.members
	id := m.cell()
	own := id == s.own()
	r := recorded{key: id.Key()}
	switch kind := m.kind(); {
	case kind == digestSummary && own:
		s.recordDigest(m, now)
		r.use = !s.hearsCells(now)
		r.retries, r.key = m.Members > 0, digestKey
	case own || kind == digestSummary || m.Members == 0:
	case kind == controlSummary:
		r.key = controlKey + r.key
		r.use, r.replaces = s.recordSummary(m, now)
		r.use = r.use && s.valid(id)
		r.forwardTo = s.forwardTargets(m, from, now)
		r.retries = s.hearsCells(now)
	case s.valid(id):
		r.key = summaryKey + r.key
		r.use, r.replaces, r.forwardTo = s.recordLoads(m, now)
	}
	if byDigest := !s.hearsCells(now); byDigest != x.byDigest {
		x.byDigest = byDigest
		r.forget = []string{digestKey}
		if byDigest {
			r.forget = x.controlKeys()
		}
	}
	return r
}

// limit reduces the contents to at most the given number of elements of each kind that may be as
// many as there are instances, others in each round.
func (c *contents) limit(items int, round uint64) {
	c.observations = inTurns(c.observations, items, round, func(o fleet.Observation) string { return o.ID })
	c.departures = inTurns(c.departures, items, round, func(d fleet.Departure) string { return d.ID })
	c.instances.Faults = inTurns(c.instances.Faults, items, round, func(f chain.Fault) string { return f.Instance })
	c.instances.Slow = inTurns(c.instances.Slow, items, round, func(s chain.Slowness) string { return s.Instance })
}

// trafficCounts counts the datagrams of a Reporter.
type trafficCounts struct{ sent, sentBytes, received, receivedBytes atomic.Int64 }

// Stats describes the exchange of reports.
type Stats struct {
	// Sent and Received are the numbers of datagrams, SentBytes and ReceivedBytes their sizes.
	Sent, SentBytes, Received, ReceivedBytes int64
	// OldestReport is the age of the oldest of the latest valid reports of other gateways, LatestReport that of
	// the latest report of any gateway. Both are 0 if none was received.
	OldestReport, LatestReport time.Duration
	// Cells is the number of cells of the own failure domain, Cell the key of the own one.
	Cells int
	Cell  string
}

// Stats returns the present values.
func (x *Reporter) Stats(now time.Time) Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	own := x.members.own()
	s := Stats{
		Sent: x.counts.sent.Load(), SentBytes: x.counts.sentBytes.Load(),
		Received: x.counts.received.Load(), ReceivedBytes: x.counts.receivedBytes.Load(),
		Cells: own.Of, Cell: own.Key(),
	}
	var latest time.Time
	add := func(at time.Time, valid bool) {
		if valid {
			s.OldestReport = max(s.OldestReport, now.Sub(at))
		}
		if at.After(latest) {
			latest = at
			s.LatestReport = max(now.Sub(at), 0)
		}
	}
	for _, m := range x.members.members {
		add(m.receivedAt, m.alive(now))
	}
	for _, o := range x.members.others(now) {
		add(o.receivedAt, o.valid(now))
	}
	return s
}
