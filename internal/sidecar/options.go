package sidecar

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/process"
)

// Options configure a Sidecar.
type Options struct {
	ID            string
	FailureDomain string
	// Listen is the address of the peer listener; Advertise is what peers are
	// told. An empty Advertise means the listener's address.
	Listen    string
	Advertise string
	// MetricsListen is the address of /metrics, /healthz and /readyz. Default
	// none.
	MetricsListen string
	Secret        string
	// Seeds are peer addresses from which the configuration is fetched.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a peer counts as lost. Default
	// 1 s.
	SuspectAfter time.Duration
	// Group names the upstreams ordered under one lease.
	Group string
	// MaxBatch bounds the steps of one engine call, or the calls at a plain
	// service. Default 32; an engine's own limit is never exceeded.
	MaxBatch int
	// MaxQueue bounds the waiting steps or calls. Default 1024.
	MaxQueue int
	// MaxQueueTokens bounds the cost of the waiting work. Default 1048576
	// tokens.
	MaxQueueTokens int
	// OutputLogBytes bounds the output logs of all sequences together. Default
	// 64 MiB.
	OutputLogBytes int
	// DrainTimeout bounds a planned stop. Default 10 min.
	DrainTimeout time.Duration
	// FIFO serves steps in the order of arrival instead of the fair queue. It is
	// the baseline of the measurements. Default false.
	FIFO bool
	// StepwiseReplay runs the steps of a replayed log one by one instead of as
	// one work item. It exists to measure what that gains. Default false.
	StepwiseReplay bool
	// NoCoalescing writes each frame between processes as a message of its
	// own. It exists to measure what coalescing gains. Default false.
	NoCoalescing bool
	// Dial makes the connections to peers. Default net.Dialer.
	Dial peer.DialFunc

	// TLS protects the peer connections. Default nil: plain TCP.
	TLS *tls.Config
	// Engine is set for an upstream that is a model engine.
	Engine Engine
	// Service, ServiceName and Claimer are set for a plain service.
	Service     Service
	ServiceName string
	Claimer     *operation.Claimer
	// Leases is the platform's store of leases; the sidecar of an engine reads
	// fencing numbers there.
	Leases lease.Store
	// Log receives events. Default none.
	Log *events.Logger
	// Metrics serves the metrics page. Default none.
	Metrics http.Handler
}

func (o Options) withDefaults() Options {
	process.SetDefault(&o.HeartbeatInterval, 250*time.Millisecond)
	process.SetDefault(&o.SuspectAfter, time.Second)
	process.SetDefault(&o.MaxBatch, 32)
	process.SetDefault(&o.MaxQueue, 1024)
	process.SetDefault(&o.MaxQueueTokens, 1<<20)
	process.SetDefault(&o.OutputLogBytes, 64<<20)
	process.SetDefault(&o.DrainTimeout, 10*time.Minute)
	process.SetDefault(&o.Log, events.Nop())
	if o.Metrics == nil {
		o.Metrics = http.NotFoundHandler()
	}
	return o
}
