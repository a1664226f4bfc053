package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegroute/nutmegroute/internal/cell"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

const (
	// maxDatagramBytes is the maximum size of a datagram and the size of the receive
	// buffer. A datagram of this size fits in one network packet.
	maxDatagramBytes = 1400
	// itemOverheadBytes bounds the encoded size of a load, fault, slowness,
	// observation, departure or usage in addition to the name that it holds.
	itemOverheadBytes = 24
	// percent converts a factor to a percentage.
	percent = 100
)

// message is the content of one datagram. A report that does not fit in one
// datagram is split into several with the same report number.
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
	// LeaseUnavailable, Leading and, below, Stopping are the sender's Status. In a
	// summary, LeaseUnavailable is true if it is for all members, Leading if one
	// leads.
	LeaseUnavailable bool `cbor:"7,keyasint,omitempty"`
	Leading          bool `cbor:"8,keyasint,omitempty"`
	// RetryUsage is the use of the retry budget of each service.
	RetryUsage []serviceUsage `cbor:"9,keyasint,omitempty"`
	Stopping   bool           `cbor:"10,keyasint,omitempty"`
	// Predecessors is retry.Report.Predecessors.
	Predecessors uint32 `cbor:"11,keyasint,omitempty"`
	// Domain is the sender's failure domain, Capacity the processor time that the
	// sender may use, in thousandths of a core.
	Domain   string `cbor:"12,keyasint,omitempty"`
	Capacity uint32 `cbor:"13,keyasint,omitempty"`
	// Members is the number of gateways that the report sums up. It is 0 for the
	// report of a single gateway.
	Members uint32 `cbor:"14,keyasint,omitempty"`
	// Active is the number of members that are not stopping, First the names of the
	// first of them.
	Active uint32   `cbor:"15,keyasint,omitempty"`
	First  []string `cbor:"16,keyasint,omitempty"`
	// LatestChanges holds, for each feed, the revision of the latest change that the
	// sender knows.
	LatestChanges []revision.Revision `cbor:"17,keyasint,omitempty"`
	// Reader is true in the summary of a relay that reads the platform's store.
	Reader bool `cbor:"19,keyasint,omitempty"`
	// Limits holds the latest statements of instances that have named a limit.
	Limits []namedLimit `cbor:"22,keyasint,omitempty"`
	// Suspects and Decisions are those of quarantine.Report.
	Suspects  []suspect  `cbor:"20,keyasint,omitempty"`
	Decisions []decision `cbor:"21,keyasint,omitempty"`
	// Departures holds the instances that said that they leave.
	Departures []departure `cbor:"26,keyasint,omitempty"`
	// Configuration is the version of the sender's configuration.
	Configuration int64 `cbor:"23,keyasint,omitempty"`
	// Demand is the demand for the capacity of services, in the reports for which hasDemand is true.
	// Services without demand are left out.
	Demand []demand `cbor:"27,keyasint,omitempty"`
	// Cells is the number of cells of the sender's failure domain that follows from the
	// instances which the sender knows; in a summary the highest one of the members. It is omitted if that is
	// 1, and Cell, IntervalMS and Digest while no failure domain is divided.
	Cells uint32 `cbor:"30,keyasint,omitempty"`
	// Cell is the cell that a summary sums up, and what the summary holds.
	Cell *cellHeader `cbor:"31,keyasint,omitempty"`
	// IntervalMS is the time until the next summary of this kind.
	IntervalMS uint32 `cbor:"32,keyasint,omitempty"`
	// Digest holds the failure domains of the cells that a digest sums up.
	Digest []domainDigest `cbor:"33,keyasint,omitempty"`
	// Part numbers the datagrams of one report from 0.
	Part uint32 `cbor:"18,keyasint,omitempty"`
}

// serviceUsage is the use of the retry budget of one service: the number of
// requests to the service and the number of their repeats, which the budget limits.
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
	// Requests is the number of requests on the instance.
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

// namedLimit is the limit that an instance named.
type namedLimit struct {
	_         struct{} `cbor:",toarray"`
	Instance  string
	Unlimited bool
	PerSecond float64
	// AgeMS is the time since the instance named it.
	AgeMS uint32
}

// departure is the word of an instance that it leaves.
type departure struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// StartedMS is the start of the instance in Unix milliseconds.
	StartedMS int64
}

// suspect is a part of prompts under which instances ended.
type suspect struct {
	_           struct{} `cbor:",toarray"`
	Part        string
	SoundBefore bool
	Crashes     []crash
}

// crash is the end of an instance while a request waited there.
type crash struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// SentAgeMS is the time since the request was sent, EndedAgeMS that since the
	// instance ended.
	SentAgeMS, EndedAgeMS uint32
	Cleared               bool
}

// decision is the decision on a part of prompts.
type decision struct {
	_           struct{} `cbor:",toarray"`
	Part        string
	Quarantined bool
	AgeMS       uint32
}

// contents is what a report holds in addition to its header.
type contents struct {
	instances    chain.Report
	observations []fleet.Observation
	departures   []fleet.Departure
	usage        []retry.Usage
	quarantine   quarantine.Report
	demand       overload.Report
}

// datagramPacker splits a report into datagrams of at most maxDatagramBytes.
type datagramPacker struct {
	header message
	// headerBytes is the encoded size of header.
	headerBytes int
	// current is the datagram that is filled, size a bound of its encoded size.
	current   message
	size      int
	datagrams [][]byte
}

// pack returns the datagrams of a report. At least one is returned.
func pack(header message, c contents, now time.Time) [][]byte {
	encoded, err := cbor.Marshal(header)
	if err != nil {
		return nil
	}
	p := &datagramPacker{header: header, headerBytes: len(encoded) + itemOverheadBytes, current: header}
	p.size = p.headerBytes
	for _, u := range c.usage {
		m := p.makeRoom(u.Service)
		m.RetryUsage = append(m.RetryUsage, serviceUsage{
			Service: u.Service, Requests: uint32(max(u.Requests, 0)), Repeats: uint32(max(u.Repeats, 0)),
		})
	}
	for _, d := range c.departures {
		m := p.makeRoom(d.ID)
		m.Departures = append(m.Departures, departure{Instance: d.ID, StartedMS: d.StartedMS})
	}
	p.addDemand(c.demand)
	p.addQuarantine(c.quarantine)
	for _, f := range c.instances.Faults {
		m := p.makeRoom(f.Instance)
		m.Faults = append(m.Faults, fault{Instance: f.Instance, RemainingMS: milliseconds(f.Remaining)})
	}
	for _, s := range c.instances.Slow {
		m := p.makeRoom(s.Instance)
		m.Slowness = append(m.Slowness, slowness{
			Instance: s.Instance, Percent: uint32(s.Factor * percent), AgeMS: milliseconds(s.Age),
		})
	}
	for _, l := range c.instances.Limits {
		m := p.makeRoom(l.Instance)
		m.Limits = append(m.Limits, namedLimit{
			Instance: l.Instance, Unlimited: l.Unlimited, PerSecond: l.PerSecond, AgeMS: milliseconds(l.Age),
		})
	}
	for _, o := range c.observations {
		m := p.makeRoom(o.ID)
		m.Observations = append(m.Observations, observation{
			Instance: o.ID, From: uint32(max(o.Layers.From, 0)), To: uint32(max(o.Layers.To, 0)),
			AgeMS: milliseconds(now.Sub(o.At)),
		})
	}
	for _, l := range c.instances.Loads {
		m := p.makeRoom(l.Instance)
		m.Loads = append(m.Loads, load{
			Instance: l.Instance, TokenLayers: uint64(max(l.TokenLayers, 0)), Requests: uint32(max(l.Requests, 0)),
		})
	}
	p.finishDatagram()
	return p.datagrams
}

// addQuarantine adds what is known of parts of prompts that crash instances.
func (p *datagramPacker) addQuarantine(r quarantine.Report) {
	for _, d := range r.Decisions {
		m := p.makeRoom(string(d.Part))
		m.Decisions = append(m.Decisions, decision{
			Part: string(d.Part), Quarantined: d.Quarantined, AgeMS: milliseconds(d.Age),
		})
	}
	for _, s := range r.Suspects {
		item, bytes := suspect{Part: string(s.Part), SoundBefore: s.SoundBefore}, len(s.Part)+itemOverheadBytes
		for _, c := range s.Crashes {
			item.Crashes = append(item.Crashes, crash{
				Instance: c.Instance, SentAgeMS: milliseconds(c.SentAge), EndedAgeMS: milliseconds(c.EndedAge), Cleared: c.Cleared,
			})
			bytes += len(c.Instance) + itemOverheadBytes
		}
		m := p.makeRoomForBytes(bytes)
		m.Suspects = append(m.Suspects, item)
	}
}

// makeRoom returns the message to which an item with the given name is added.
func (p *datagramPacker) makeRoom(name string) *message {
	return p.makeRoomForBytes(len(name) + itemOverheadBytes)
}

// makeRoomForBytes returns the message to which an item of at most the given size is
// added.
func (p *datagramPacker) makeRoomForBytes(bytes int) *message {
	if p.size+bytes > maxDatagramBytes && p.size > p.headerBytes {
		p.finishDatagram()
	}
	p.size += bytes
	return &p.current
}

func (p *datagramPacker) finishDatagram() {
	if data, err := cbor.Marshal(p.current); err == nil && len(data) <= maxDatagramBytes {
		p.datagrams = append(p.datagrams, data)
	}
	p.header.Part++
	p.current, p.size = p.header, p.headerBytes
}

// milliseconds returns d in whole milliseconds, 0 if d is negative.
func milliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// status returns the sender's status.
func (m message) status() Status {
	return Status{LeaseUnavailable: m.LeaseUnavailable, Leading: m.Leading, Stopping: m.Stopping}
}

// kind returns what a summary holds.
func (m message) kind() summaryKind {
	if m.Cell == nil {
		return loadSummary
	}
	return m.Cell.Kind
}

// cell returns the cell that a summary sums up.
func (m message) cell() cell.ID {
	if m.Cell == nil {
		return cell.ID{Domain: m.Domain, Of: 1}
	}
	return cell.ID{Domain: m.Domain, Index: int(m.Cell.Index), Of: max(int(m.Cell.Of), 1)}
}

// summary returns the header of a summary.
func (m message) summary(now time.Time) summary {
	return summary{
		Status: m.status(), members: int(m.Members), active: int(m.Active), reader: m.Reader, first: m.First,
		configuration: m.Configuration, cells: cell.Valid(int(m.Cells)), receivedAt: now,
		slack: slack(min(age(m.IntervalMS), maxControlInterval)),
	}
}

// retryReport returns the use of the retry budget.
func (m message) retryReport() retry.Report {
	r := retry.Report{Number: m.ReportNumber, Predecessors: int(m.Predecessors), Gateways: max(int(m.Members), 1)}
	r.Slack = slack(min(age(m.IntervalMS), maxControlInterval))
	r.Digest = m.kind() == digestSummary
	for _, u := range m.RetryUsage {
		r.Usage = append(r.Usage, retry.Usage{Service: u.Service, Requests: int(u.Requests), Repeats: int(u.Repeats)})
	}
	return r
}

// quarantineReport returns what m holds of parts of prompts that crash instances.
func (m message) quarantineReport() quarantine.Report {
	var r quarantine.Report
	for _, d := range m.Decisions {
		r.Decisions = append(r.Decisions, quarantine.Decision{
			Part: quarantine.Part(d.Part), Quarantined: d.Quarantined, Age: age(d.AgeMS),
		})
	}
	for _, s := range m.Suspects {
		item := quarantine.Suspect{Part: quarantine.Part(s.Part), SoundBefore: s.SoundBefore}
		for _, c := range s.Crashes {
			item.Crashes = append(item.Crashes, quarantine.Crash{
				Instance: c.Instance, SentAge: age(c.SentAgeMS), EndedAge: age(c.EndedAgeMS), Cleared: c.Cleared,
			})
		}
		r.Suspects = append(r.Suspects, item)
	}
	return r
}

// age returns a number of milliseconds as a duration.
func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// report returns the loads, faults and slowness in m.
func (m message) report() chain.Report {
	r := chain.Report{Group: m.Members > 0 || m.Cell != nil}
	for _, l := range m.Loads {
		r.Loads = append(r.Loads, chain.Load{
			Instance: l.Instance, TokenLayers: float64(l.TokenLayers), Requests: int(l.Requests),
		})
	}
	for _, f := range m.Faults {
		r.Faults = append(r.Faults, chain.Fault{
			Instance: f.Instance, Remaining: age(f.RemainingMS),
		})
	}
	for _, s := range m.Slowness {
		r.Slow = append(r.Slow, chain.Slowness{
			Instance: s.Instance, Factor: float64(s.Percent) / percent, Age: age(s.AgeMS),
		})
	}
	for _, l := range m.Limits {
		r.Limits = append(r.Limits, chain.NamedLimit{
			Instance: l.Instance, Limit: chain.Limit{Stated: true, Unlimited: l.Unlimited, PerSecond: l.PerSecond}, Age: age(l.AgeMS),
		})
	}
	return r
}
