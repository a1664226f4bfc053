package upstream

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StateSuspect means that heartbeats are missing, the connection was lost or
	// a probe was not answered. Only a Directory sets it.
	StateSuspect State = "suspect"
	// StateGone means the upstream was removed from the directory or its process
	// was replaced. Only a Directory sets it.
	StateGone State = "gone"
)

// LoadDecay is the age at which the weight of a load report has decreased to 1/e.
// It is shorter than the heartbeat interval of 250 ms, because a queue of decode
// steps changes within tens of milliseconds.
const LoadDecay = 200 * time.Millisecond

// Status is a snapshot of the known status of an upstream. It is immutable.
type Status struct {
	State State
	// Ejected is true while the upstream is ejected as an outlier.
	Ejected bool
	Load    Load
	// OtherLoad is the load by other processes in tokens: the part of Load that
	// exceeds this process's own work in flight when the report arrived. Own work
	// is known exactly and must not be counted twice.
	OtherLoad int64
	// ReportedAt is when Load arrived, or zero if no report has arrived.
	ReportedAt time.Time
	// LastHeartbeat is when the last heartbeat or registration arrived.
	LastHeartbeat time.Time
	// LinkDelay is the measured one-way delay from this process.
	LinkDelay time.Duration
	// Revision is the configuration revision that the upstream has installed.
	Revision uint64
}

// Usable reports whether the upstream takes new work.
func (s *Status) Usable() bool { return s.State == StateReady && !s.Ejected }

// Upstream is one process of one instance with one descriptor. If the process is
// replaced or the descriptor changes, the directory creates a new Upstream. Its
// methods are safe for concurrent use and take no lock.
type Upstream struct {
	// ID, Process, Address, Domain and Descriptor are constant.
	ID InstanceID
	// Process is random for each start of the instance.
	Process string
	Address string
	// Domain is the failure domain.
	Domain     string
	Descriptor Descriptor

	hash     uint64
	group    *Group
	status   atomic.Pointer[Status]
	inFlight atomic.Int64
	// markedLeaving is true once the upstream has reported or been marked as
	// leaving. A later report of StateReady doesn't reset it. Guarded by the
	// directory's mutex.
	markedLeaving bool
}

func newUpstream(r Registration, now time.Time) *Upstream {
	u := &Upstream{ID: r.ID, Process: r.Process, Address: r.Address, Domain: r.Domain, Descriptor: r.Descriptor,
		hash: xxhash.Sum64String(string(r.ID))}
	u.status.Store(&Status{State: StateJoining, LastHeartbeat: now, Revision: r.Revision})
	return u
}

// Status returns the current status. The caller must not change it.
func (u *Upstream) Status() *Status { return u.status.Load() }

// Group returns the group that the upstream belongs to.
func (u *Upstream) Group() *Group { return u.group }

// Acquire adds one unit of this process's own work in flight.
func (u *Upstream) Acquire() {
	u.inFlight.Add(1)
	u.group.inFlight.Add(1)
}

// Release removes one unit of work in flight that Acquire added.
func (u *Upstream) Release() {
	u.inFlight.Add(-1)
	u.group.inFlight.Add(-1)
}

// InFlight returns the number of units of this process's own work in flight.
func (u *Upstream) InFlight() int { return int(max(u.inFlight.Load(), 0)) }

// EstimatedLoad returns this process's own work in flight plus the estimated load
// by other processes. With increasing age of the report, the estimate moves from
// the reported OtherLoad to mean, the MeanOtherLoad of the group. If it moved to
// 0, the upstream with the oldest report would attract the most work.
func (u *Upstream) EstimatedLoad(now time.Time, mean float64) float64 {
	s := u.status.Load()
	load := float64(u.InFlight()) + mean
	if s.ReportedAt.IsZero() {
		return load
	}
	age := now.Sub(s.ReportedAt) + time.Duration(s.Load.AgeMillis)*time.Millisecond
	keep := math.Exp(-float64(max(age, 0)) / float64(LoadDecay))
	return load + keep*(float64(s.OtherLoad)-mean)
}

// otherLoad returns the part of the reported load that exceeds the own work in
// flight. A running step counts as one token.
func otherLoad(l Load, own int) int64 { return max(int64(l.Queued)+int64(l.Running)-int64(own), 0) }
