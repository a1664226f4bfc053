// Package gossip exchanges reports between the gateways of a deployment. Each
// gateway reports the load that it causes on instances, the faulty and slow
// instances that it has found, the layers that instances hold, those that leave, its use of the
// retry budget, the parts of prompts that crash instances and its own status. Within a failure domain every gateway reports to
// every other one. Two relays of each failure domain send summaries of it to the
// relays of the others, which forward them.
//
// Reports are CBOR in UDP datagrams. Each report replaces the sender's previous
// one, so a lost datagram needs no retransmission and no connections have to be
// kept.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	// reportInterval is the time between two reports to a peer.
	reportInterval = 200 * time.Millisecond
	// maxObservationAge is how long an observation of an instance's layers is
	// reported to peers.
	maxObservationAge = 2 * time.Second
	// demandRounds is the number of reports of which one holds the demand for the capacity of
	// services.
	demandRounds = 2
)

// PeerRecord is the record of a peer in the platform's store.
type PeerRecord struct {
	Peer
	// Revision is the revision of the record's last change.
	Revision revision.Revision
	// Removed is true if the record was removed from the store.
	Removed bool
}

// SharedState holds the objects from which a gateway's reports are made and to
// which received reports are applied.
type SharedState struct {
	Tracker    *chain.InstanceTracker
	Directory  *fleet.Directory
	Budget     *retry.Budget
	Quarantine *quarantine.Register
	// Demand is the demand for the capacity of services.
	Demand *overload.Ledger
	// OnLeaving, if set, is called when a peer tells of an instance that leaves.
	OnLeaving func(leaving fleet.Departure, peer string)
	// OnDemandRejected, if set, is called when the report of a peer holds a demand that can't be.
	OnDemandRejected func(service, peer string)
}

// Options describe the gateway that reports.
type Options struct {
	Name string
	// Address is the UDP address on which reports are received.
	Address string
	// Domain is the gateway's failure domain.
	Domain string
	// Capacity is the processor time that the gateway may use, in thousandths of a
	// core. Gateways with the most take on the duties of their failure domain.
	Capacity int
}

// Reporter sends the reports of one gateway to its peers and applies the
// reports that it receives from them.
type Reporter struct {
	name  string
	state SharedState
	conn  *net.UDPConn
	// closeOnce closes conn; a second caller waits for the first.
	closeOnce sync.Once
	// send sends a datagram. Errors are ignored: the next report replaces this one.
	send func(datagram []byte, to netip.AddrPort)

	// mu guards the fields below.
	mu           sync.Mutex
	members      *membership
	reportNumber uint64
	// latestChanges holds, for each feed, the revision of the latest change that this
	// gateway knows, heardChanges the highest one that any gateway reported.
	latestChanges, heardChanges []revision.Revision
	// configuration is the version of this gateway's configuration.
	configuration int64
	// control is the state of the control summaries, byDigest is true while the use of the
	// retry budget in other cells is known from a relay's digest.
	control  controlState
	byDigest bool
	// settled are the heardChanges of a while ago, see settleChanges.
	settled settledChanges

	counts trafficCounts
}

// Listen returns a Reporter that receives reports on a UDP address.
func Listen(o Options, state SharedState) (*Reporter, error) {
	local, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: address")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: listen")
	}
	x := newReporter(o, state)
	x.conn = conn
	x.send = func(datagram []byte, to netip.AddrPort) { _, _ = conn.WriteToUDPAddrPort(datagram, to) }
	return x, nil
}

func newReporter(o Options, state SharedState) *Reporter {
	if state.Demand == nil {
		state.Demand = overload.NewLedger()
	}
	self := Peer{Name: o.Name, Domain: o.Domain}
	return &Reporter{name: o.Name, state: state, members: newMembership(self, uint32(max(o.Capacity, 0)))}
}

// Address returns the address on which the Reporter receives reports.
func (x *Reporter) Address() netip.AddrPort { return x.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close releases the address before it returns. Run returns after it.
func (x *Reporter) Close() { x.closeOnce.Do(func() { _ = x.conn.Close() }) }

// Run sends and receives reports until ctx ends.
func (x *Reporter) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	go process.RunEvery(ctx, reportInterval, x.sendReports)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		x.counts.received.Add(1)
		x.counts.receivedBytes.Add(int64(n))
		for _, p := range x.receive(buffer[:n], from, time.Now()) {
			x.transmit(buffer[:n], p.Address)
		}
	}
}

// Update adds, changes and removes peers.
func (x *Reporter) Update(records []PeerRecord) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.members.update(records)
}

// AliveCount returns the number of gateways that were heard recently, including
// this gateway.
func (x *Reporter) AliveCount(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.aliveCount(now)
}

// SetStatus sets the status of this gateway in later reports.
func (x *Reporter) SetStatus(status Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.members.status = status
}

// NoLeaderAvailable reports whether this gateway and all peers that are alive have
// LeaseUnavailable set and no peer that is alive has Leading set. No gateway can
// then acquire the lease, and no peer places layers.
func (x *Reporter) NoLeaderAvailable(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.status.LeaseUnavailable &&
		!x.members.anyPeer(now, func(s Status) bool { return !s.LeaseUnavailable || s.Leading })
}

// PeerLeads reports whether a peer that is alive places layers.
func (x *Reporter) PeerLeads(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.anyPeer(now, func(s Status) bool { return s.Leading })
}

// RankByName returns the position of this gateway in the order of names among the
// peers that are alive and not stopping; 0 is the first position. It is exact below
// MaxFirstNames.
func (x *Reporter) RankByName(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.rankByName(now)
}

// ActivePeerCount returns the number of peers that are alive and not stopping.
func (x *Reporter) ActivePeerCount(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.activePeers(now)
}

// MemberCounts returns the numbers of peers of the own failure domain, or of the own cell of a
// large one: of those that are alive and not stopping, and of all that were alive lately.
func (x *Reporter) MemberCounts(now time.Time) (active, total int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.memberCounts(now)
}

// RegisteredCount returns the number of registered gateways, including this
// gateway.
func (x *Reporter) RegisteredCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members.registered) + 1
}

// IsRelay reports whether this gateway exchanges summaries with other failure
// domains.
func (x *Reporter) IsRelay(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.isRelay(now)
}

// FeedSources returns the gateways from which this one reads the feeds of the
// platform's store, none if it reads the store. Only gateways are returned that have
// been heard without an interruption for minTime, or ever since the first time.
func (x *Reporter) FeedSources(minTime time.Duration, now time.Time) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.feedSources(minTime, now)
}

// FeedSourcesKnown reports whether it is known from where this gateway reads the feeds
// of the platform's store: there are other gateways to read from, or the deployment is
// so small that each reads the store.
func (x *Reporter) FeedSourcesKnown(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members.feedSources(0, now)) > 0 || len(x.members.members) > 0 && x.members.smallDeployment()
}

// LeaseHeld reports whether a peer that is alive places layers and holds the lease.
func (x *Reporter) LeaseHeld(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.anyPeer(now, func(s Status) bool { return s.Leading && !s.LeaseUnavailable })
}

// SetLatestChange sets the revision of the latest change of a feed that this
// gateway knows, for later reports.
func (x *Reporter) SetLatestChange(feed int, latest revision.Revision) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.latestChanges = raise(x.latestChanges, feed, latest)
}

// LatestChange returns the highest revision of a change of a feed that any gateway
// has reported.
func (x *Reporter) LatestChange(feed int) revision.Revision {
	x.mu.Lock()
	defer x.mu.Unlock()
	heard := x.heardChanges
	if x.members.divided() {
		heard = x.settled.known
	}
	if feed >= len(heard) {
		return 0
	}
	return heard[feed]
}

// SetConfiguration sets the version of this gateway's configuration, for later reports.
func (x *Reporter) SetConfiguration(version int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.configuration = version
}

// NewestConfiguration returns the highest version of a configuration that a peer that is alive
// reports.
func (x *Reporter) NewestConfiguration(now time.Time) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.newestConfiguration(now)
}

// maxFeeds bounds the number of feeds in a report.
const maxFeeds = 8

// raise returns list with the element at index raised to value.
func raise(list []revision.Revision, index int, value revision.Revision) []revision.Revision {
	if index >= maxFeeds {
		return list
	}
	if missing := index + 1 - len(list); missing > 0 {
		list = append(list, make([]revision.Revision, missing)...)
	}
	list[index] = max(list[index], value)
	return list
}

// sendReports sends a report to the peers in the own failure domain, and a summary
// to other failure domains if this gateway is a relay. With cells, both go by cell.
func (x *Reporter) sendReports(now time.Time) {
	sizes := x.state.Directory.View().Sizes()
	x.mu.Lock()
	cells := x.members.updateLayout(sizes, now)
	x.members.updateRole(now)
	x.settleChanges(now)
	x.reportNumber++
	peers := x.members.domainPeers()
	relay, divided := x.members.isRelay(now), x.members.divided()
	settled := now.Sub(x.members.layout.ownSince) >= cellSettleTime
	if divided {
		peers = append(peers, x.members.disagreementTargets(x.reportNumber, now)...)
	}
	var targets []Peer
	if relay && !divided {
		targets = x.members.relayTargets(x.reportNumber, now)
	}
	x.mu.Unlock()
	x.state.Directory.SetCells(cells)
	known := x.state.Quarantine.Report(now)
	if len(peers) > 0 {
		x.sendAll(x.encodeReport(known, now), peers)
	}
	switch {
	case divided && relay && settled:
		x.sendCellSummaries(known, now)
	case len(targets) > 0:
		x.sendAll(x.encodeSummary(known, now), targets)
	}
}

func (x *Reporter) sendAll(datagrams [][]byte, peers []Peer) {
	for _, d := range datagrams {
		for _, p := range peers {
			x.transmit(d, p.Address)
		}
	}
}

// transmit sends a datagram and counts it.
func (x *Reporter) transmit(datagram []byte, to netip.AddrPort) {
	x.counts.sent.Add(1)
	x.counts.sentBytes.Add(int64(len(datagram)))
	x.send(datagram, to)
}

// encodeReport returns the datagrams of the report of this gateway.
func (x *Reporter) encodeReport(known quarantine.Report, now time.Time) [][]byte {
	retries := x.state.Budget.LocalReport(now)
	c := contents{
		x.state.Tracker.LocalReport(now), x.observations(now), x.state.Directory.Departures(), retries.Usage, known, overload.Report{},
	}
	x.mu.Lock()
	if x.reportNumber%demandRounds == 0 {
		c.demand = x.state.Demand.LocalReport(now)
	}
	header := x.header(message{
		LeaseUnavailable: x.members.status.LeaseUnavailable, Leading: x.members.status.Leading,
		Stopping: x.members.status.Stopping, Predecessors: uint32(max(retries.Predecessors, 0)),
		Cells: cellsField(x.members.layout.derived[x.members.self.Domain]),
	})
	divided, relay := x.members.divided(), x.members.isRelay(now)
	x.mu.Unlock()
	if divided && relay {
		c.observations = x.nearObservations(now)
	}
	if divided {
		c.limit(maxCellItems, header.ReportNumber)
	}
	return pack(header, c, now)
}

// encodeSummary returns the datagrams of a summary of the own failure domain.
func (x *Reporter) encodeSummary(known quarantine.Report, now time.Time) [][]byte {
	x.mu.Lock()
	header := x.header(x.members.summarize(now))
	names := x.otherMembers(now)
	x.mu.Unlock()
	retries := x.state.Budget.GroupReport(names, now)
	header.Predecessors = uint32(max(retries.Predecessors, 0))
	c := contents{
		x.state.Tracker.GroupReport(names, now), x.observations(now), x.state.Directory.Departures(), retries.Usage, known, overload.Report{},
	}
	if header.hasDemand() {
		c.demand = x.state.Demand.GroupReport(names, now)
	}
	return pack(header, c, now)
}

// otherMembers returns the names of the other living gateways of the own failure domain or cell.
func (x *Reporter) otherMembers(now time.Time) []string {
	return slices.DeleteFunc(x.members.aliveMembers(now), func(name string) bool { return name == x.name })
}

// header completes the header of a report.
func (x *Reporter) header(m message) message {
	m.From, m.ReportNumber, m.Domain, m.Capacity = x.name, x.reportNumber, x.members.self.Domain, x.members.capacity
	m.LatestChanges, m.Configuration = slices.Clone(x.latestChanges), x.configuration
	return m
}

func (x *Reporter) observations(now time.Time) []fleet.Observation {
	return x.state.Directory.Observations(now.Add(-maxObservationAge))
}

// receive applies one datagram and returns the peers to which it is forwarded. It
// ignores datagrams that can't be decoded, because they are not from a gateway,
// datagrams without a sender's name, and datagrams that this gateway sent.
func (x *Reporter) receive(data []byte, from netip.AddrPort, now time.Time) (forwardTo []Peer) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.From == "" || m.From == x.name {
		return nil
	}
	r := x.record(m, from, now)
	for _, key := range r.forget {
		x.state.Budget.ForgetPeer(key)
	}
	if !r.use {
		return r.forwardTo
	}
	if r.replaces {
		x.state.Tracker.ForgetPeer(r.key)
		x.state.Budget.ForgetPeer(r.key)
		x.state.Demand.ForgetPeer(r.key)
	}
	observations := make([]fleet.Observation, len(m.Observations))
	for i, o := range m.Observations {
		observations[i] = fleet.Observation{
			ID: o.Instance, Layers: fleet.LayerRange{From: int(o.From), To: int(o.To)},
			At: now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
		}
	}
	x.state.Directory.Observe(observations...)
	for _, d := range m.Departures {
		leaving := fleet.Departure{ID: d.Instance, StartedMS: d.StartedMS}
		if x.state.Directory.MarkLeaving(leaving, now) && x.state.OnLeaving != nil {
			x.state.OnLeaving(leaving, m.From)
		}
	}
	x.state.Tracker.AddPeerReport(r.key, m.ReportNumber, m.report(), now)
	if r.retries {
		x.state.Budget.AddPeerReport(r.key, m.retryReport(), now)
		x.receiveDemand(r.key, m, now)
	}
	x.state.Quarantine.Merge(m.quarantineReport(), now)
	return r.forwardTo
}

// summaryKey is the prefix of the name under which the report of a failure domain
// is applied.
const summaryKey = "failure domain "

// recorded says how the contents of a datagram are used.
type recorded struct {
	// use is false if they are ignored.
	use bool
	// key is the name under which they are applied, replaces is true if what was applied
	// under that name before is forgotten.
	key      string
	replaces bool
	// retries is true if its use of the retry budget counts, forget holds the names under
	// which such use was applied that counts no more.
	retries bool
	forget  []string
	// forwardTo holds the peers to which the datagram is forwarded.
	forwardTo []Peer
}

// record updates the membership with a datagram. It does not use the shared state, which
// may ask the Reporter while it holds its own lock.
func (x *Reporter) record(m message, from netip.AddrPort, now time.Time) recorded {
	x.mu.Lock()
	defer x.mu.Unlock()
	for feed, latest := range m.LatestChanges {
		x.heardChanges = raise(x.heardChanges, feed, latest)
	}
	if m.Cell != nil {
		return x.recordCell(m, from, now)
	}
	if m.Members == 0 {
		x.members.recordMember(m, now)
		return recorded{use: true, key: m.From, retries: true}
	}
	if m.Domain == x.members.self.Domain {
		return recorded{}
	}
	r := recorded{key: summaryKey + m.Domain, retries: true}
	r.use, r.replaces = x.members.recordSummary(m, now)
	if r.use {
		r.forwardTo = x.members.forwardTargets(m, from, now)
	}
	return r
}
