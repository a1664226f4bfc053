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
	// ID is the instance ID of the entry.
	ID            string
	FailureDomain string
	// PeerListen is the address of the peer listener. Advertise is the address
	// that peers are told to dial. Default of Advertise: the listener's
	// address.
	PeerListen string
	Advertise  string
	// CallerListen is the address of the callers' API.
	CallerListen string
	// Secret is the shared secret of the peer connections.
	Secret string
	// Seeds are peer addresses to dial in addition to those in the platform's
	// instance list.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without heartbeats after which an upstream is
	// suspect, and without any frame after which a connection is closed.
	// Default 1 s.
	SuspectAfter time.Duration
	// StarForwarding sends activations through the entry instead of directly
	// from stage to stage. Default false.
	StarForwarding bool
	// RoundRobin selects upstreams in turn, without admission control. Only
	// benchmarks set it, to compare with the planner. Default false.
	RoundRobin bool
	// NoCoalescing sends each frame to a peer as a separate message instead of
	// combining several frames into one. Only benchmarks set it, to measure the
	// gain of coalescing. Default false.
	NoCoalescing bool
	// Dial opens the connections to peers. Default net.Dialer.
	Dial peer.DialFunc
	// DrainDelay is how long the entry still accepts requests after a graceful
	// shutdown has begun. Default 2 s.
	DrainDelay time.Duration
	// DrainTimeout bounds the drain of a graceful shutdown, after DrainDelay.
	// Default 10 min.
	DrainTimeout time.Duration

	// MaxBody and MaxHeader bound a caller's request, in bytes. Defaults 1 MiB
	// and 32 KiB.
	MaxBody   int
	MaxHeader int

	// AdminListen is the address of the operators' API. Default none.
	AdminListen string
	// Operators maps the operators' names to the SHA-256 digests of their keys.
	Operators map[string]string

	// MaxInFlight is the number of requests in flight above which new chat
	// requests are refused. Calls to plain services count, but are not refused.
	// Default 4096.
	MaxInFlight int

	// TLS configures TLS on the peer connections. Default nil: plain TCP.
	TLS *tls.Config
	// Platform is the client of the platform's object API and instance list.
	Platform *platform.Client
	// Log receives events. Default none.
	Log *events.Logger
	// Scope receives metrics and MetricsHandler serves them. Default none.
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
