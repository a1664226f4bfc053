// Package gossip tells the gateways of a deployment what work each of them has
// given to instances, and which instances it found at fault. It sends CBOR in
// datagrams: each replaces the one before, so that a lost one does no harm and
// no connection has to be kept.
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
	// interval is the time between two reports to a peer.
	interval = 200 * time.Millisecond
	// maxDatagram bounds a report in bytes, so that it travels in one packet.
	maxDatagram = 1400
	// loadsPerDatagram is how many loads fit in one datagram.
	loadsPerDatagram = 40
	// observationAge is how long the layers of an instance are told to peers.
	observationAge = 2 * time.Second
	// heardWithin is how recent a report must be for its sender to count as
	// alive.
	heardWithin = 10 * time.Second
)

// Peer is another gateway.
type Peer struct {
	Name string
	// Address is where it receives reports.
	Address netip.AddrPort
}

// PeerRecord is a peer in the platform's store. Removed is true if the entry was
// removed.
type PeerRecord struct {
	Peer
	Removed bool
}

// message is one datagram. A report with many loads takes several, which add
// up.
type message struct {
	From string `cbor:"1,keyasint"`
	// Round numbers the report.
	Round uint64 `cbor:"2,keyasint"`
	Loads []load `cbor:"3,keyasint,omitempty"`
	// Faults are instances at fault with the time for which they are avoided.
	Faults []fault `cbor:"4,keyasint,omitempty"`
	// Slow are instances that are slower than their type.
	Slow []slowness `cbor:"5,keyasint,omitempty"`
	// Held are the layers that instances said recently that they hold.
	Held []holding `cbor:"6,keyasint,omitempty"`
	// StoreUnreachable is true if the sender does not reach the store, Leading if it
	// places layers.
	StoreUnreachable bool `cbor:"7,keyasint,omitempty"`
	Leading          bool `cbor:"8,keyasint,omitempty"`
	// Used is the sender's use of the retry budget.
	Used []usage `cbor:"9,keyasint,omitempty"`
	// Stopping is true during a planned stop.
	Stopping bool `cbor:"10,keyasint,omitempty"`
}

type usage struct {
	_                 struct{} `cbor:",toarray"`
	Service           string
	Requests, Repeats uint32
}

type holding struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	From, To uint32
	AgeMS    uint32
}

type load struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	TokenLayers uint64
	Requests    uint32
}

type fault struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	RemainingMS uint32
}

type slowness struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// Percent is 100 for an instance as fast as its type.
	Percent uint32
	AgeMS   uint32
}

// SharedState is what the gateways tell each other.
type SharedState struct {
	Ledger    *chain.Ledger
	Directory *fleet.Directory
	Budget    *retry.Budget
}

// Exchange sends and receives reports.
type Exchange struct {
	name  string
	state SharedState
	conn  *net.UDPConn

	mu      sync.Mutex
	peers   map[string]netip.AddrPort
	senders map[string]sender
	role    Role
	round   uint64
}

// Role is the part of a gateway in the placement.
type Role struct {
	// StoreUnreachable is true if the gateway can't take or renew a lease.
	StoreUnreachable bool
	// Leading is true if it places layers.
	Leading bool
	// Stopping is true during a planned stop.
	Stopping bool
}

// sender is a gateway that was heard.
type sender struct {
	Role
	at time.Time
}

// Listen returns an exchange that receives at address.
func Listen(name, address string, state SharedState) (*Exchange, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: address")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: listen")
	}
	return &Exchange{
		name: name, state: state, conn: conn,
		peers: make(map[string]netip.AddrPort), senders: make(map[string]sender),
	}, nil
}

// Run exchanges reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.sendAll(ctx)
	buffer := make([]byte, maxDatagram)
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

// Update changes the set of peers.
func (x *Exchange) Update(records []PeerRecord) {
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

// AliveCount returns the number of gateways that were heard recently, with this
// one.
func (x *Exchange) AliveCount(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := 1
	for _, s := range x.senders {
		if now.Sub(s.at) < heardWithin {
			alive++
		}
	}
	return alive
}

// SetRole changes what the peers are told of this gateway.
func (x *Exchange) SetRole(r Role) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.role = r
}

// aliveWithin is how recent a report must be for its sender to count as alive
// in the decision who acts.
const aliveWithin = time.Second

// NoLeaderAvailable reports whether no gateway that is alive reaches the store, and none
// of the peers leads.
func (x *Exchange) NoLeaderAvailable(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.senders {
		if now.Sub(s.at) < aliveWithin && (!s.StoreUnreachable || s.Leading) {
			return false
		}
	}
	return x.role.StoreUnreachable
}

// PeerLeads reports whether a peer that is alive places layers.
func (x *Exchange) PeerLeads(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.senders {
		if now.Sub(s.at) < aliveWithin && s.Leading {
			return true
		}
	}
	return false
}

// Rank returns how many peers that are alive and not stopping have a lower
// name.
func (x *Exchange) Rank(now time.Time) int {
	return x.countStaying(now, func(name string) bool { return name < x.name })
}

// ActivePeerCount returns how many peers are alive and not stopping.
func (x *Exchange) ActivePeerCount(now time.Time) int {
	return x.countStaying(now, func(string) bool { return true })
}

func (x *Exchange) countStaying(now time.Time, counts func(name string) bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	count := 0
	for name, s := range x.senders {
		if now.Sub(s.at) < aliveWithin && !s.Stopping && counts(name) {
			count++
		}
	}
	return count
}

// RegisteredCount returns the number of gateways that are registered, with this one.
func (x *Exchange) RegisteredCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) + 1
}

func (x *Exchange) sendAll(ctx context.Context) {
	process.RunEvery(ctx, interval, func(now time.Time) { x.send(now) })
}

func (x *Exchange) send(now time.Time) {
	x.mu.Lock()
	peers := make([]netip.AddrPort, 0, len(x.peers))
	for _, address := range x.peers {
		peers = append(peers, address)
	}
	x.round++
	round := x.round
	x.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	for _, datagram := range x.encode(round, now) {
		for _, address := range peers {
			// A report that can't be sent is replaced by the next one.
			_, _ = x.conn.WriteToUDPAddrPort(datagram, address)
		}
	}
}

// encode returns the datagrams of a report.
func (x *Exchange) encode(round uint64, now time.Time) [][]byte {
	r := x.state.Ledger.LocalReport(now)
	x.mu.Lock()
	common := message{
		From: x.name, Round: round, Used: x.used(now),
		StoreUnreachable: x.role.StoreUnreachable, Leading: x.role.Leading, Stopping: x.role.Stopping,
	}
	x.mu.Unlock()
	m := common
	for _, o := range x.state.Directory.Observations(now.Add(-observationAge)) {
		m.Held = append(m.Held, holding{
			Instance: o.ID, From: uint32(max(o.Layers.From, 0)), To: uint32(max(o.Layers.To, 0)),
			AgeMS: uint32(now.Sub(o.At).Milliseconds()),
		})
	}
	for _, f := range r.Faults {
		m.Faults = append(m.Faults, fault{Instance: f.Instance, RemainingMS: uint32(f.Remaining.Milliseconds())})
	}
	for _, s := range r.Slow {
		m.Slow = append(m.Slow, slowness{
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
		m = common
	}
}

// used returns the use of the retry budget.
func (x *Exchange) used(now time.Time) []usage {
	var list []usage
	for _, u := range x.state.Budget.Usage(now) {
		list = append(list, usage{
			Service: u.Service, Requests: uint32(max(u.Requests, 0)), Repeats: uint32(max(u.Repeats, 0)),
		})
	}
	return list
}

const percent = 100

// receive applies one datagram. What can't be decoded is dropped: it comes
// from something else.
func (x *Exchange) receive(data []byte, now time.Time) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.From == "" || m.From == x.name {
		return
	}
	x.mu.Lock()
	role := Role{StoreUnreachable: m.StoreUnreachable, Leading: m.Leading, Stopping: m.Stopping}
	x.senders[m.From] = sender{Role: role, at: now}
	x.mu.Unlock()
	for _, h := range m.Held {
		x.state.Directory.Observe(fleet.Observation{
			ID: h.Instance, Layers: fleet.LayerRange{From: int(h.From), To: int(h.To)},
			At: now.Add(-time.Duration(h.AgeMS) * time.Millisecond),
		})
	}
	x.state.Ledger.AddPeerReport(m.From, m.Round, m.report(), now)
	x.state.Budget.SetPeerUsage(m.From, m.Round, m.used(), now)
}

func (m message) used() []retry.Usage {
	var list []retry.Usage
	for _, u := range m.Used {
		list = append(list, retry.Usage{Service: u.Service, Requests: int(u.Requests), Repeats: int(u.Repeats)})
	}
	return list
}

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
	for _, s := range m.Slow {
		r.Slow = append(r.Slow, chain.Slowness{
			Instance: s.Instance, Factor: float64(s.Percent) / percent, Age: time.Duration(s.AgeMS) * time.Millisecond,
		})
	}
	return r
}
