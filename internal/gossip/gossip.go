// Package gossip exchanges reports between the gateways of a deployment. Each
// gateway reports the load that it causes on instances, the faulty and slow
// instances that it has found, the layers that instances hold, its use of the
// retry budget and its own status. Reports are CBOR in UDP datagrams. Each
// report replaces the sender's previous one, so a lost datagram needs no
// retransmission and no connections have to be kept.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/retry"
)

const (
	// reportInterval is the time between two reports to a peer.
	reportInterval = 200 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer. A datagram of this
	// size fits in one network packet. encode limits the number of loads in a
	// datagram but does not check its size; a receiver truncates a larger
	// datagram and can't decode it.
	maxDatagramBytes = 1400
	// loadsPerDatagram is the maximum number of loads in one datagram.
	loadsPerDatagram = 40
	// maxObservationAge is how long an observation of an instance's layers is
	// reported to peers.
	maxObservationAge = 2 * time.Second
	// aliveCountTimeout is how long after its last report a peer counts as alive
	// in AliveCount. The other methods that ask whether a peer is alive use the
	// shorter aliveTimeout.
	aliveCountTimeout = 10 * time.Second
)

// Peer is another gateway.
type Peer struct {
	Name string
	// Address is the UDP address on which the peer receives reports.
	Address netip.AddrPort
}

// PeerRecord is the record of a peer in the platform's store.
type PeerRecord struct {
	Peer
	// Removed is true if the record was removed from the store.
	Removed bool
}

// message is the content of one datagram. A report with many loads is split
// into several datagrams with the same report number.
type message struct {
	// From is the name of the sending gateway.
	From string `cbor:"1,keyasint"`
	// ReportNumber increases with each report and starts at 1 again when the
	// sender restarts.
	ReportNumber uint64 `cbor:"2,keyasint"`
	Loads        []load `cbor:"3,keyasint,omitempty"`
	// Faults holds the faulty instances and how much longer they are avoided.
	Faults []fault `cbor:"4,keyasint,omitempty"`
	// Slowness holds the instances that are slower than is usual for their
	// accelerator type.
	Slowness []slowness `cbor:"5,keyasint,omitempty"`
	// Observations holds the layers that instances recently reported to hold.
	Observations []observation `cbor:"6,keyasint,omitempty"`
	// LeaseUnavailable, Leading and, below, Stopping are the sender's Status.
	LeaseUnavailable bool `cbor:"7,keyasint,omitempty"`
	Leading          bool `cbor:"8,keyasint,omitempty"`
	// RetryUsage is the sender's use of the retry budget of each service.
	RetryUsage []serviceUsage `cbor:"9,keyasint,omitempty"`
	Stopping   bool           `cbor:"10,keyasint,omitempty"`
	// Predecessors is retry.Report.Predecessors.
	Predecessors uint32 `cbor:"11,keyasint,omitempty"`
}

// serviceUsage is the sender's use of the retry budget of one service: the
// number of requests to the service and the number of their repeats, which the
// budget limits.
type serviceUsage struct {
	_                 struct{} `cbor:",toarray"`
	Service           string
	Requests, Repeats uint32
}

// observation is the layer range that an instance reported to hold.
type observation struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	From, To uint32
	// AgeMS is the time since the instance reported the layer range.
	AgeMS uint32
}

// load is the load that the sender causes on an instance.
type load struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// TokenLayers is the reserved KV cache: tokens times layers, summed over all
	// requests.
	TokenLayers uint64
	// Requests is the number of the sender's requests on the instance.
	Requests uint32
}

// fault is a faulty instance and the time for which it is still avoided.
type fault struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	RemainingMS uint32
}

// slowness is the measured slowness of an instance.
type slowness struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// Percent is the slowness factor times 100; 100 is the usual speed of the
	// instance's accelerator type.
	Percent uint32
	// AgeMS is the time since the slowness was measured.
	AgeMS uint32
}

// SharedState holds the objects from which a gateway's reports are made and to
// which received reports are applied.
type SharedState struct {
	Tracker   *chain.InstanceTracker
	Directory *fleet.Directory
	Budget    *retry.Budget
}

// Reporter sends the reports of one gateway to its peers and applies the
// reports that it receives from them.
type Reporter struct {
	name  string
	state SharedState
	conn  *net.UDPConn

	// mu guards peers, senders, status and reportNumber.
	mu           sync.Mutex
	peers        map[string]netip.AddrPort
	senders      map[string]sender
	status       Status
	reportNumber uint64
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

// sender is a gateway from which a report was received.
type sender struct {
	Status
	// receivedAt is the arrival time of the last report.
	receivedAt time.Time
}

// Listen returns a Reporter that receives reports on a UDP address.
func Listen(name, address string, state SharedState) (*Reporter, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: address")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: listen")
	}
	return &Reporter{
		name: name, state: state, conn: conn,
		peers: make(map[string]netip.AddrPort), senders: make(map[string]sender),
	}, nil
}

// Run sends and receives reports until ctx ends.
func (x *Reporter) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.sendReports(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := x.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			x.receive(buffer[:n], time.Now())
		}
	}
}

// Update adds, changes and removes peers.
func (x *Reporter) Update(records []PeerRecord) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range records {
		switch {
		case r.Name == x.name:
		case r.Removed:
			delete(x.peers, r.Name)
		default:
			x.peers[r.Name] = r.Address
		}
	}
}

// AliveCount returns the number of gateways whose last report is more recent than
// aliveCountTimeout, including this gateway.
func (x *Reporter) AliveCount(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := 1
	for _, s := range x.senders {
		if now.Sub(s.receivedAt) < aliveCountTimeout {
			alive++
		}
	}
	return alive
}

// SetStatus sets the status of this gateway in later reports.
func (x *Reporter) SetStatus(status Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.status = status
}

// aliveTimeout is how long after its last report a peer counts as alive when
// gateways decide which of them places layers.
const aliveTimeout = time.Second

// NoLeaderAvailable reports whether this gateway and all peers that are alive have
// LeaseUnavailable set and no peer that is alive has Leading set. No gateway can
// then acquire the lease, and no peer places layers.
func (x *Reporter) NoLeaderAvailable(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.senders {
		if now.Sub(s.receivedAt) < aliveTimeout && (!s.LeaseUnavailable || s.Leading) {
			return false
		}
	}
	return x.status.LeaseUnavailable
}

// PeerLeads reports whether a peer that is alive places layers.
func (x *Reporter) PeerLeads(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.senders {
		if now.Sub(s.receivedAt) < aliveTimeout && s.Leading {
			return true
		}
	}
	return false
}

// RankByName returns the position of this gateway in the order of names among the
// peers that are alive and not stopping; 0 is the first position.
func (x *Reporter) RankByName(now time.Time) int {
	return x.countActivePeers(now, func(name string) bool { return name < x.name })
}

// ActivePeerCount returns the number of peers that are alive and not stopping.
func (x *Reporter) ActivePeerCount(now time.Time) int {
	return x.countActivePeers(now, func(string) bool { return true })
}

// countActivePeers returns the number of peers that are alive, not stopping and
// selected by include.
func (x *Reporter) countActivePeers(now time.Time, include func(name string) bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	count := 0
	for name, s := range x.senders {
		if now.Sub(s.receivedAt) < aliveTimeout && !s.Stopping && include(name) {
			count++
		}
	}
	return count
}

// RegisteredCount returns the number of registered gateways, including this
// gateway.
func (x *Reporter) RegisteredCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) + 1
}

// sendReports sends a report in each interval until ctx ends.
func (x *Reporter) sendReports(ctx context.Context) {
	process.RunEvery(ctx, reportInterval, func(now time.Time) { x.sendReport(now) })
}

// sendReport sends a new report to every peer.
func (x *Reporter) sendReport(now time.Time) {
	x.mu.Lock()
	peers := make([]netip.AddrPort, 0, len(x.peers))
	for _, address := range x.peers {
		peers = append(peers, address)
	}
	x.reportNumber++
	number := x.reportNumber
	x.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	for _, datagram := range x.encode(number, now) {
		for _, address := range peers {
			// The error is ignored: the next report replaces this one.
			_, _ = x.conn.WriteToUDPAddrPort(datagram, address)
		}
	}
}

// encode returns the datagrams of a report. The first datagram holds the faults,
// slowness and observations.
func (x *Reporter) encode(number uint64, now time.Time) [][]byte {
	r, retries := x.state.Tracker.LocalReport(now), x.state.Budget.LocalReport(now)
	x.mu.Lock()
	header := message{
		From: x.name, ReportNumber: number, RetryUsage: encodeUsage(retries.Usage),
		Predecessors:     uint32(max(retries.Predecessors, 0)),
		LeaseUnavailable: x.status.LeaseUnavailable, Leading: x.status.Leading, Stopping: x.status.Stopping,
	}
	x.mu.Unlock()
	m := header
	for _, o := range x.state.Directory.Observations(now.Add(-maxObservationAge)) {
		m.Observations = append(m.Observations, observation{
			Instance: o.ID, From: uint32(max(o.Layers.From, 0)), To: uint32(max(o.Layers.To, 0)),
			AgeMS: uint32(now.Sub(o.At).Milliseconds()),
		})
	}
	for _, f := range r.Faults {
		m.Faults = append(m.Faults, fault{Instance: f.Instance, RemainingMS: uint32(f.Remaining.Milliseconds())})
	}
	for _, s := range r.Slow {
		m.Slowness = append(m.Slowness, slowness{
			Instance: s.Instance, Percent: uint32(s.Factor * percent), AgeMS: uint32(s.Age.Milliseconds()),
		})
	}
	var datagrams [][]byte
	loads := r.Loads
	for {
		count := min(len(loads), loadsPerDatagram)
		for _, l := range loads[:count] {
			m.Loads = append(m.Loads, load{
				Instance: l.Instance, TokenLayers: uint64(max(l.TokenLayers, 0)), Requests: uint32(max(l.Requests, 0)),
			})
		}
		if data, err := cbor.Marshal(m); err == nil {
			datagrams = append(datagrams, data)
		}
		loads = loads[count:]
		if len(loads) == 0 {
			return datagrams
		}
		m = header
	}
}

func encodeUsage(usage []retry.Usage) []serviceUsage {
	var list []serviceUsage
	for _, u := range usage {
		list = append(list, serviceUsage{
			Service: u.Service, Requests: uint32(max(u.Requests, 0)), Repeats: uint32(max(u.Repeats, 0)),
		})
	}
	return list
}

// percent converts a factor to a percentage.
const percent = 100

// receive applies one datagram. It ignores datagrams that can't be decoded,
// because they are truncated or not from a gateway, datagrams without a sender's
// name, and datagrams that this gateway sent.
func (x *Reporter) receive(data []byte, now time.Time) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.From == "" || m.From == x.name {
		return
	}
	x.mu.Lock()
	status := Status{LeaseUnavailable: m.LeaseUnavailable, Leading: m.Leading, Stopping: m.Stopping}
	x.senders[m.From] = sender{Status: status, receivedAt: now}
	x.mu.Unlock()
	for _, o := range m.Observations {
		x.state.Directory.Observe(fleet.Observation{
			ID: o.Instance, Layers: fleet.LayerRange{From: int(o.From), To: int(o.To)},
			At: now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
		})
	}
	x.state.Tracker.AddPeerReport(m.From, m.ReportNumber, m.report(), now)
	x.state.Budget.SetPeerReport(m.From, m.retryReport(), now)
}

// retryReport returns the sender's use of the retry budget.
func (m message) retryReport() retry.Report {
	r := retry.Report{Number: m.ReportNumber, Predecessors: int(m.Predecessors)}
	for _, u := range m.RetryUsage {
		r.Usage = append(r.Usage, retry.Usage{Service: u.Service, Requests: int(u.Requests), Repeats: int(u.Repeats)})
	}
	return r
}

// report returns the loads, faults and slowness in m.
func (m message) report() chain.Report {
	var r chain.Report
	for _, l := range m.Loads {
		r.Loads = append(r.Loads, chain.Load{
			Instance: l.Instance, TokenLayers: float64(l.TokenLayers), Requests: int(l.Requests),
		})
	}
	for _, f := range m.Faults {
		r.Faults = append(r.Faults, chain.Fault{
			Instance: f.Instance, Remaining: time.Duration(f.RemainingMS) * time.Millisecond,
		})
	}
	for _, s := range m.Slowness {
		r.Slow = append(r.Slow, chain.Slowness{
			Instance: s.Instance, Factor: float64(s.Percent) / percent, Age: time.Duration(s.AgeMS) * time.Millisecond,
		})
	}
	return r
}
