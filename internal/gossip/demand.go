package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/overload"
)

// demand is the demand for the capacity of one service.
type demand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Running is the encoded number of tokens.
	Running uint16
	// Ranks holds rankBytes for each rank with demand: the rank, and the encoded offered and granted
	// tokens per second. Teams holds teamBytes for each team: its id, and the same. Arrays of CBOR
	// items would take twice the bytes.
	Ranks, Teams []byte
}

const (
	rankBytes = 5
	teamBytes = 8
	// quantityScale determines the resolution of encoded quantities: 1 part in 2,800.
	quantityScale = 2800
)

// encodeQuantity encodes a number of tokens, or of tokens per second, by its logarithm.
func encodeQuantity(x float64) uint16 {
	if !(x > 0) {
		return 0
	}
	return uint16(min(math.Round(math.Log1p(x)*quantityScale), math.MaxUint16))
}

func decodeQuantity(code uint16) float64 { return math.Expm1(float64(code) / quantityScale) }

func appendRate(data []byte, r overload.Rate) []byte {
	data = binary.BigEndian.AppendUint16(data, encodeQuantity(r.Offered))
	return binary.BigEndian.AppendUint16(data, encodeQuantity(r.Granted))
}

func decodeRate(data []byte) overload.Rate {
	return overload.Rate{
		Offered: decodeQuantity(binary.BigEndian.Uint16(data)), Granted: decodeQuantity(binary.BigEndian.Uint16(data[2:])),
	}
}

// addDemand adds the demand for the capacity of services that have any.
func (p *datagramPacker) addDemand(r overload.Report) {
	for _, d := range r.Services {
		item := demand{Service: d.Service, Running: encodeQuantity(d.Running)}
		for rank, rate := range d.Ranks {
			if rate.Offered >= 1 || rate.Granted >= 1 {
				item.Ranks = appendRate(append(item.Ranks, uint8(rank)), rate)
			}
		}
		for id, rate := range d.Teams {
			item.Teams = appendRate(binary.BigEndian.AppendUint32(item.Teams, uint32(id)), rate)
		}
		if item.Running == 0 && len(item.Ranks) == 0 && len(item.Teams) == 0 {
			continue
		}
		m := p.makeRoomForBytes(len(item.Service) + len(item.Ranks) + len(item.Teams) + itemOverheadBytes)
		m.Demand = append(m.Demand, item)
	}
}

// decode returns the demand, and false if it is malformed or names a rank or team twice.
func (d demand) decode() (overload.Demand, bool) {
	result := overload.Demand{
		Service: d.Service, Running: decodeQuantity(d.Running), Teams: make(map[overload.TeamID]overload.Rate, len(d.Teams)/teamBytes),
	}
	if len(d.Ranks)%rankBytes != 0 || len(d.Teams)%teamBytes != 0 {
		return result, false
	}
	last := -1
	for data := d.Ranks; len(data) > 0; data = data[rankBytes:] {
		rank := int(data[0])
		if rank <= last || rank > overload.MaxRank {
			return result, false
		}
		last, result.Ranks[rank] = rank, decodeRate(data[1:])
	}
	for data := d.Teams; len(data) > 0; data = data[teamBytes:] {
		id := overload.TeamID(binary.BigEndian.Uint32(data))
		if _, twice := result.Teams[id]; twice {
			return result, false
		}
		result.Teams[id] = decodeRate(data[4:])
	}
	return result, true
}

// demandReport returns the demand for the capacity of services in m, and the services whose demand
// is malformed or given twice.
func (m message) demandReport() (r overload.Report, rejected []string) {
	r.Gateways = max(int(m.Members), 1)
	seen := make(map[string]bool, len(m.Demand))
	for _, d := range m.Demand {
		item, ok := d.decode()
		if !ok || seen[d.Service] {
			rejected = append(rejected, d.Service)
			continue
		}
		seen[d.Service] = true
		r.Services = append(r.Services, item)
	}
	return r, rejected
}

// receiveDemand applies the demand of a report that holds it.
func (x *Reporter) receiveDemand(key string, m message, now time.Time) {
	if !m.hasDemand() {
		return
	}
	r, rejected := m.demandReport()
	rejected = append(rejected, x.state.Demand.AddPeerReport(key, m.ReportNumber, r, now)...)
	if x.state.OnDemandRejected == nil {
		return
	}
	for _, service := range rejected {
		x.state.OnDemandRejected(service, m.From)
	}
}

// hasDemand reports whether the message holds the demand for the capacity of services: every
// demandRounds-th report and every control summary does.
func (m message) hasDemand() bool {
	return m.ReportNumber%demandRounds == 0 || m.kind() == controlSummary
}
