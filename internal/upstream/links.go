package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLocalDelay and DefaultRemoteDelay are the assumed delays of links
	// within and between failure domains until the first measurement.
	DefaultLocalDelay  = 200 * time.Microsecond
	DefaultRemoteDelay = time.Millisecond
	// DefaultBandwidth is the assumed bandwidth of a link until it is measured,
	// in bytes per second. Entries measure only delays.
	DefaultBandwidth = 125e6
	// linkSmoothing is the weight of a new measurement in the moving average.
	linkSmoothing = 0.3
)

// Link describes the network link from one failure domain to another.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Bandwidth is in bytes per second.
	Bandwidth float64
}

// TransferTime returns the time to send the given number of bytes over the link.
func (l Link) TransferTime(bytes int) time.Duration {
	return l.Delay + time.Duration(float64(bytes)/l.Bandwidth*float64(time.Second))
}

// Links is a table of the links between failure domains. Lookups take no lock.
type Links struct {
	// mu serializes updates of links.
	mu    sync.Mutex
	links atomic.Pointer[map[linkKey]Link]
}

type linkKey struct{ from, to string }

// NewLinks returns an empty table.
func NewLinks() *Links {
	l := &Links{}
	l.links.Store(&map[linkKey]Link{})
	return l
}

// Observe adds a measurement. A delay or bandwidth that is not positive is
// ignored. The values of the first call for a link replace the defaults, and the
// values of later calls enter moving averages. A caller may report a probe that
// timed out with the timeout as its delay.
func (l *Links) Observe(from, to string, delay time.Duration, bandwidth float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.links.Load()
	key := linkKey{from, to}
	// known is true if Observe was called for the link before, even if that call
	// had no positive value for the delay or for the bandwidth.
	link, known := old[key]
	if !known {
		link = l.Get(from, to)
	}
	smooth := func(old, sample float64) float64 {
		if !known {
			return sample
		}
		return old + linkSmoothing*(sample-old)
	}
	if delay > 0 {
		link.Delay = time.Duration(smooth(float64(link.Delay), float64(delay)))
	}
	if bandwidth > 0 {
		link.Bandwidth = smooth(link.Bandwidth, bandwidth)
	}
	// The map is copied so that lookups need no lock. A copy per measurement is
	// cheap, because the map has one entry per ordered pair of failure domains,
	// which is 484 entries for the 22 failure domains that the design assumes.
	next := make(map[linkKey]Link, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[key] = link
	l.links.Store(&next)
}

// Get returns a link, or the default values if it was never measured.
func (l *Links) Get(from, to string) Link {
	if link, ok := (*l.links.Load())[linkKey{from, to}]; ok {
		return link
	}
	if from == to {
		return Link{Delay: DefaultLocalDelay, Bandwidth: DefaultBandwidth}
	}
	return Link{Delay: DefaultRemoteDelay, Bandwidth: DefaultBandwidth}
}
