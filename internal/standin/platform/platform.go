package platform

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

// OutageMode is the way in which an API of the platform fails.
type OutageMode string

const (
	// OutageNone means that the API works.
	OutageNone OutageMode = ""
	// OutageUnavailable responds with HTTP 503.
	OutageUnavailable OutageMode = "unavailable"
	// OutageCloseConnection closes connections without a response.
	OutageCloseConnection OutageMode = "drop"
)

// Faults are the faults that the stand-in simulates.
type Faults struct {
	// Outage applies to requests for objects and to watches, including watches
	// that are already waiting.
	Outage OutageMode `json:"down,omitempty"`
	// InstancesOutage applies to requests for the list of instances.
	InstancesOutage OutageMode `json:"instances_down,omitempty"`
	// DelayMillis delays each request for objects and each watch. A delayed write
	// takes effect even if the client has disconnected, unless an outage begins
	// during the delay.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LoseResponses is the number of responses still to be lost: each of the next
	// successful writes takes effect, but its connection is closed without a
	// response.
	LoseResponses int `json:"lose_writes,omitempty"`
	// LoseProbability is the probability that the response of a successful write
	// is lost in the same way when LoseResponses is 0.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// Seed determines which responses LoseProbability loses.
	Seed uint64 `json:"seed,omitempty"`
	// LosePrefix limits LoseResponses and LoseProbability to keys with this
	// prefix.
	LosePrefix string `json:"lose_prefix,omitempty"`
}

// Counters counts requests to the object API, including requests that failed. A
// watch counts as one read.
type Counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Config configures a Server.
type Config struct {
	// InstanceLag is the delay after which clients see a change of the list of
	// instances.
	InstanceLag time.Duration
	// Now is the clock by which InstanceLag is measured. Default time.Now.
	Now func() time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	now func() time.Time

	// mu guards store, instances, counters, faults, random and changed.
	mu        sync.Mutex
	store     store
	instances *instanceList
	counters  Counters
	faults    Faults
	random    *rand.Rand
	// changed is closed and replaced at each successful write and each call of
	// SetFaults.
	changed chan struct{}
}

// NewServer returns a stand-in without objects and instances.
func NewServer(c Config) *Server {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Server{
		now: c.Now, store: store{objects: make(map[string]api.Object)},
		instances: newInstanceList(c.InstanceLag), changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults and seeds the random number generator anew.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = rand.New(rand.NewPCG(f.Seed, 0))
	s.wakeWatches()
}

// Faults returns the current faults. The stand-in decrements LoseResponses when it
// loses a response because of it.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the numbers of requests so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Object returns an object without applying faults or counting the read. A
// deleted or absent object has Deleted set.
func (s *Server) Object(key string) api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.store.objects[key]; ok {
		return o
	}
	return api.Object{Key: key, Deleted: true}
}

// Objects returns all objects with the prefix that are not deleted, in key
// order, without applying faults or counting the read.
func (s *Server) Objects(prefix string) []api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []api.Object
	for _, key := range s.store.keys {
		if o := s.store.objects[key]; !o.Deleted && strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	return objects
}

// RegisterInstance adds an instance to the list or replaces it. An empty state
// means live.
func (s *Server) RegisterInstance(i api.Instance) {
	if i.State == "" {
		i.State = api.InstanceLive
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.record(s.now(), i, false)
}

// MarkLeaving sets an instance's state to leaving. It returns false if the
// instance is not registered.
func (s *Server) MarkLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.instances.current[id]
	if ok {
		i.State = api.InstanceLeaving
		s.instances.record(s.now(), i, false)
	}
	return ok
}

// RemoveInstance removes an instance. It returns false if the instance is not
// registered.
func (s *Server) RemoveInstance(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.instances.current[id]
	if ok {
		s.instances.record(s.now(), i, true)
	}
	return ok
}

// SetInstanceLag changes the delay after which clients see a change of the list of
// instances.
func (s *Server) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.lag = lag
}

// wakeWatches wakes the waiting watches.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write creates, updates or deletes an object and wakes the waiting watches. lost
// is true if the response must be lost because of the faults.
func (s *Server) write(key string, version uint64, value []byte, deleted bool) (o api.Object, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err = s.store.write(key, version, value, deleted)
	if err != nil {
		return o, false, err
	}
	s.wakeWatches()
	switch {
	case !strings.HasPrefix(key, s.faults.LosePrefix):
	case s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		lost = true
	case s.faults.LoseProbability > 0:
		lost = s.random.Float64() < s.faults.LoseProbability
	}
	return o, lost, nil
}
