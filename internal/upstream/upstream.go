package upstream

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StateSuspect means heartbeats are missing or the connection is broken.
	// Only a directory sets it.
	StateSuspect State = "suspect"
	// StateGone means the directory has dropped the upstream or its process
	// has been replaced. Only a directory sets it.
	StateGone State = "gone"
)

// LoadDecay is the age at which a load report keeps 1/e of its influence. It is
// shorter than the heartbeat interval of 250 ms, because a queue of decode steps
// changes within tens of milliseconds.
const LoadDecay = 200 * time.Millisecond

// Status is what is known about an upstream at one moment. It is immutable.
type Status struct {
	State State
	// Ejected is true while the upstream is ejected as an outlier.
	Ejected bool
	Load    Load
	// OtherLoad is the part of Load, in tokens, that exceeds this process's own work
	// in flight when the report arrived. Own work is known exactly and must not
	// count twice.
	OtherLoad int64
	// ReportedAt is when Load arrived; zero if none has.
	ReportedAt time.Time
	// LastHeartbeat is when the last heartbeat or Hello arrived.
	LastHeartbeat time.Time
	// LinkDelay is the measured one-way delay from this process.
	LinkDelay time.Duration
	// Revision is the configuration revision that the upstream has installed.
	Revision uint64
}

// Usable reports whether the upstream takes new work.
func (s *Status) Usable() bool { return s.State == StateReady && !s.Ejected }

// Upstream is one process of one instance while it holds one descriptor. If
// the process is replaced or the descriptor changes, the directory installs a
// new Upstream. Its methods are safe for concurrent use and take no lock.
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
	// drained is true once the upstream is known to be leaving. A later report
	// of ready can't undo it. Guarded by the directory's mutex.
	drained bool
}

func newUpstream(h Registration, now time.Time) *Upstream {
	u := &Upstream{ID: h.ID, Process: h.Process, Address: h.Address, Domain: h.Domain, Descriptor: h.Descriptor,
		hash: xxhash.Sum64String(string(h.ID))}
	u.status.Store(&Status{State: StateJoining, LastHeartbeat: now, Revision: h.Revision})
	return u
}

// Status returns the current status. The caller must not change it.
func (u *Upstream) Status() *Status { return u.status.Load() }

// Group returns the group that the upstream belongs to.
func (u *Upstream) Group() *Group { return u.group }

// Acquire counts one unit of this process's own work in flight.
func (u *Upstream) Acquire() {
	u.inFlight.Add(1)
	u.group.inFlight.Add(1)
}

// Release ends one unit that Acquire counted.
func (u *Upstream) Release() {
	u.inFlight.Add(-1)
	u.group.inFlight.Add(-1)
}

// InFlight returns this process's own work in flight.
func (u *Upstream) InFlight() int { return int(max(u.inFlight.Load(), 0)) }

// EstimatedLoad returns own work in flight plus the reported load of others.
// The report is discounted by its age towards mean, the group's MeanOthers,
// because a discount towards 0 would draw work to the upstream that has been
// silent longest.
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

// others returns the reported load, one token for each running step, that
// exceeds own work in flight.
func others(l Load, own int) int64 { return max(int64(l.Queued)+int64(l.Running)-int64(own), 0) }
