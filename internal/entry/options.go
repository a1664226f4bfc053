package entry

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

// Options configure an Entry.
type Options struct {
	ID            string
	FailureDomain string
	// PeerListen is the address of the peer listener; Advertise is what peers
	// are told. An empty Advertise means the listener's address.
	PeerListen   string
	Advertise    string
	CallerListen string
	Secret       string
	// Seeds are peer addresses to dial besides the platform's list.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a peer counts as lost. Default
	// 1 s.
	SuspectAfter time.Duration
	// StarForwarding sends activations through the entry. Default false.
	StarForwarding bool
	// RoundRobin takes upstreams in turn. It is the baseline of the
	// measurements. Default false.
	RoundRobin bool
	// NoCoalescing writes each frame between processes as a message of its
	// own. It exists to measure what coalescing gains. Default false.
	NoCoalescing bool
	// Dial makes the connections to peers. Default net.Dialer.
	Dial peer.DialFunc
	// DrainDelay is the time during which a leaving entry still accepts
	// requests. Default 2 s.
	DrainDelay time.Duration
	// DrainTimeout bounds a planned stop. Default 10 min.
	DrainTimeout time.Duration

	// MaxBody and MaxHeader bound a caller's request, in bytes. Defaults 1 MiB
	// and 32 KiB.
	MaxBody   int
	MaxHeader int

	// AdminListen is the address of the operators' API. Default none.
	AdminListen string
	// Operators maps names to the SHA-256 digests of their keys.
	Operators map[string]string

	// MaxInFlight bounds the requests in progress. Default 4096.
	MaxInFlight int

	// TLS protects the peer connections. Default nil: plain TCP.
	TLS *tls.Config
	// Platform is the client of the platform's object API and list.
	Platform *platform.Client
	// Log receives events. Default none.
	Log *events.Logger
	// Scope receives metrics and Metrics serves them. Default none.
	Scope          tally.Scope
	MetricsHandler http.Handler
}

func (o Options) withDefaults() Options {
	process.SetDefault(&o.HeartbeatInterval, 250*time.Millisecond)
	process.SetDefault(&o.SuspectAfter, time.Second)
	process.SetDefault(&o.DrainDelay, 2*time.Second)
	process.SetDefault(&o.DrainTimeout, 10*time.Minute)
	process.SetDefault(&o.MaxInFlight, 4096)
	process.SetDefault(&o.Log, events.Nop())
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.MetricsHandler == nil {
		o.MetricsHandler = http.NotFoundHandler()
	}
	return o
}
