package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/metrics"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Platform is what a gateway needs from the platform it runs on.
type Platform struct {
	Protocol       Protocol
	Engines        Engines
	Configurations feed.Source[routing.Configuration]
	Instances      feed.Source[fleet.Record]
	Lease          Lease
	Gateways       Registry
}

// Registry is where gateways find each other.
type Registry interface {
	feed.Source[gossip.PeerRecord]
	// Register makes a gateway known to the others.
	Register(ctx context.Context, p gossip.Peer) error
}

// Gateway is the process that serves clients.
type Gateway struct {
	settings  Settings
	protocol  Protocol
	engines   Engines
	platform  Platform
	log       *events.Logger
	metrics   *gatewayMetrics
	current   routing.ActiveTable
	directory *fleet.Directory
	ledger    *chain.Ledger
	pool      *backend.Pool
	admission *admission
	budget    *retry.Budget
	faults    *faultFinder
	idle      *idleConnections
	streams   *activeStreams
	// exchange is nil until the gateway has joined its peers.
	exchange atomic.Pointer[gossip.Exchange]

	inFlight atomic.Int64
	// leads is true while this gateway places layers.
	leads atomic.Bool
	// stopAt is when a planned stop ends, in Unix nanoseconds; 0 if none began.
	stopAt atomic.Int64

	mu sync.Mutex
	// configSeen is when the store last confirmed the configuration.
	configSeen time.Time
	// firstMember is when the first instance was added, members when one was
	// last added or removed.
	firstMember, members time.Time
	listed               bool
	configured           bool
	// started is closed when the gateway first knows a configuration and the
	// instances.
	started chan struct{}
}

// New returns a gateway.
func New(s Settings, p Platform, log *events.Logger, scope tally.Scope) *Gateway {
	directory, ledger := fleet.NewDirectory(), chain.NewLedger()
	g := &Gateway{
		settings:  s,
		protocol:  p.Protocol,
		engines:   p.Engines,
		platform:  p,
		log:       log,
		metrics:   newMetrics(scope, metrics.LatencyBuckets),
		directory: directory,
		ledger:    ledger,
		pool:      backend.NewPool(),
		admission: newAdmission(ledger, directory),
		faults:    newFaultFinder(p.Engines, ledger, directory, log),
		idle:      newIdleConnections(),
		streams:   newActiveStreams(),
		started:   make(chan struct{}),
	}
	g.budget = retry.NewBudget(s.RetryRatio, s.RetryWindow, s.RetryReserve, g.gateways)
	return g
}

// gateways returns how many gateways share the retry budget. Some that were
// not heard may be cut off from this one and still send.
func (g *Gateway) gateways() int {
	x := g.exchange.Load()
	if x == nil {
		return 1
	}
	return max(x.AliveCount(time.Now()), x.RegisteredCount())
}

const (
	// watchWait is how long a watch for configurations or instances waits. One
	// that hears nothing, on a silent connection or because the store lost its
	// history, is noticed feed.WatchTimeoutMargin after it.
	watchWait = 2500 * time.Millisecond
	// staleAfter is the age from which the configuration may be outdated.
	staleAfter = 4 * time.Second
	// sweepInterval is the pause between two clean-ups.
	sweepInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a client's headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a client's headers whatever the configuration says.
	maxHeaderBytes = 64 << 10
)

// stale reports whether the configuration may be outdated.
func (g *Gateway) stale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.configSeen) > staleAfter
}

// membersChanged returns when the first instance was added, and when one was
// last added or removed.
func (g *Gateway) membersChanged() (first, latest time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstMember, g.members
}

// learned notes that the gateway knows a configuration or the instances.
func (g *Gateway) learned(what *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if *what {
		return
	}
	*what = true
	if g.listed && g.configured {
		close(g.started)
	}
}

// ready reports whether the gateway takes clients.
func (g *Gateway) ready() bool {
	if g.draining() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed && g.configured
}

// Run serves until ctx ends and then finishes what is in progress.
func (g *Gateway) Run(ctx context.Context, metricsPage http.Handler) error {
	front, err := net.Listen("tcp", g.settings.ClientAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: listen for clients")
	}
	readiness, err := net.Listen("tcp", g.settings.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: listen for readiness")
	}
	// Background work goes on while requests are finished.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		feed.New(g.platform.Configurations, &tableHandler{g}, watchWait).Run(background)
		return nil
	})
	group.Go(func() error {
		feed.New(g.platform.Instances, &instanceHandler{g}, watchWait).Run(background)
		return nil
	})
	group.Go(func() error { g.admission.run(background); return nil })
	group.Go(func() error { g.sweep(background); return nil })
	group.Go(func() error { g.evacuate(background); return nil })
	if err := g.joinPeers(background, &group); err != nil {
		return err
	}
	group.Go(func() error { newPlacer(g, g.platform.Lease).run(background); return nil })
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.idle.track,
		ErrorLog:          g.log.Std(events.ListenerFault),
	}
	g.serveReadiness(&group, readiness)
	g.serveMetrics(&group, metricsPage)
	group.Go(func() error { return process.Serve(server, front, nil) })
	<-ctx.Done()
	err = g.drain(server)
	stop()
	_ = readiness.Close()
	return err
}

// serveReadiness answers the load balancer.
func (g *Gateway) serveReadiness(group *errgroup.Group, l net.Listener) {
	server := process.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	group.Go(func() error {
		err := process.Serve(server, l, nil)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// serveMetrics serves /metrics and the status for operators if a port is set.
func (g *Gateway) serveMetrics(group *errgroup.Group, page http.Handler) {
	if g.settings.MetricsPort == 0 || page == nil {
		return
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(g.settings.Address), Port: g.settings.MetricsPort})
	if err != nil {
		g.log.Log(events.MetricsRejected).Err(err).Send()
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", page)
	mux.HandleFunc("GET "+gatewayapi.StatusPath, g.serveStatus)
	group.Go(func() error { return process.Serve(process.NewServer(mux), l, nil) })
}

// sweep closes unused connections and forgets what is gone.
func (g *Gateway) sweep(ctx context.Context) {
	process.Every(ctx, sweepInterval, func(now time.Time) {
		g.pool.Sweep(now)
		g.idle.reap(g.idleLimit(), now)
		g.directory.Expire(now)
		view := g.directory.View()
		g.ledger.Prune(view)
		g.faults.Remeasure(ctx, view, now)
		g.faults.Recheck(ctx, view, now)
		g.metrics.inFlight.Update(float64(g.inFlight.Load()))
	})
}
