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
	// ID is the instance ID of the upstream.
	ID            string
	FailureDomain string
	// Listen is the address of the peer listener. Advertise is the address that
	// is sent to peers; default: the listener's address.
	Listen    string
	Advertise string
	// MetricsListen is the address that serves /metrics, /healthz and /readyz.
	// Default none.
	MetricsListen string
	// Secret is the shared secret of the peer connections.
	Secret string
	// Seeds are peer addresses from which the configuration is fetched.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a peer may send nothing before its connection is
	// closed. Default 1 s.
	SuspectAfter time.Duration
	// Group names the group of upstreams that this one belongs to. One lease
	// covers the orders to all upstreams of a group.
	Group string
	// MaxBatch bounds the work items in one engine call, or the concurrent calls
	// to a plain service. A work item consists of one or more consecutive steps
	// of a sequence. Default 32; an engine's own limit is never exceeded.
	MaxBatch int
	// MaxQueue is the number of waiting work items of an engine at which new
	// sequences are refused, or the maximum number of running and waiting calls
	// of a plain service. Default 1024.
	MaxQueue int
	// MaxQueueTokens bounds the cost of an engine's waiting work items and the
	// prompt of a new sequence together. A sequence above it is refused, unless
	// no work item waits. Default 1048576 tokens.
	MaxQueueTokens int
	// OutputLogBytes bounds the total size of the output logs of all sequences.
	// Default 64 MiB.
	OutputLogBytes int
	// DrainTimeout bounds the drain of a graceful shutdown. Default 10 min.
	DrainTimeout time.Duration
	// FIFO serves steps in the order of their arrival, whatever their team.
	// Otherwise steps are served by a queue that is fair among teams. Only
	// benchmarks set it, to compare with the fair queue. Default false.
	FIFO bool
	// StepwiseReplay runs the steps of a replayed output log one by one instead
	// of as one work item. Only benchmarks set it, for comparison. Default false.
	StepwiseReplay bool
	// NoCoalescing sends each frame to a peer as a separate message instead of
	// combining several frames into one. Only benchmarks set it, to measure the
	// gain of coalescing. Default false.
	NoCoalescing bool
	// Dial opens the connections to peers. Default net.Dialer.
	Dial peer.DialFunc

	// TLS is the TLS configuration of the peer connections. Default nil: plain
	// TCP.
	TLS *tls.Config
	// Engine is set for an upstream that is a model engine.
	Engine Engine
	// Service, ServiceName and Claimer are set for a plain service.
	Service     Service
	ServiceName string
	Claimer     *operation.Claimer
	// Leases is the platform's lease store, from which the sidecar of an engine
	// reads the current fencing token.
	Leases lease.Store
	// Log receives events. Default none.
	Log *events.Logger
	// MetricsHandler serves /metrics. Default: responds with 404.
	MetricsHandler http.Handler
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
	if o.MetricsHandler == nil {
		o.MetricsHandler = http.NotFoundHandler()
	}
	return o
}
