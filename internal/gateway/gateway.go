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
	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/gossip"
	"github.com/nutmegroute/nutmegroute/internal/hedge"
	"github.com/nutmegroute/nutmegroute/internal/metrics"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Platform holds the services of the platform that a gateway uses.
type Platform struct {
	Protocol       Protocol
	Engines        Engines
	Configurations feed.Source[routing.Configuration]
	Instances      feed.Source[fleet.Record]
	Lease          Lease
	Gateways       Registry
	// Quarantines holds the parts of prompts whose requests are refused.
	Quarantines QuarantineStore
}

// Registry lists the gateways of a deployment, so that they can find each
// other.
type Registry interface {
	feed.Source[gossip.PeerRecord]
	// Register adds a gateway to the list.
	Register(ctx context.Context, p gossip.Peer) error
}

// Gateway is an HTTP handler and server that forwards clients' requests to
// instances.
type Gateway struct {
	settings    Settings
	protocol    Protocol
	control     *control
	notices     *noticeRecorder
	platform    Platform
	log         *events.Logger
	metrics     *gatewayMetrics
	activeTable routing.ActiveTable
	directory   *fleet.Directory
	tracker     *chain.InstanceTracker
	pool        *backend.Pool
	admission   *admission
	budget      *retry.Budget
	demand      *overload.Ledger
	// hedges is nil if the settings allow no hedges.
	hedges     *hedge.Policy
	faults     *faultFinder
	ends       *endDetector
	quarantine *quarantine.Register
	clients    *clientConns
	memory     *memoryObserver
	guard      *clientconn.Guard
	idleLimits idleLimits
	streams    *activeStreams
	// reporter is nil until the gateway has joined its peers, and always nil if
	// no peer port is set.
	reporter atomic.Pointer[gossip.Reporter]
	// closeFeeds closes the server of the feeds for other gateways; a second caller waits
	// for the first. It is nil without a peer port.
	closeFeeds func()
	// self is the record of this gateway. It is set before the feeds start. reregister
	// receives an element when the store lacks it.
	self       gossip.Peer
	reregister chan struct{}
	// registered is true once this gateway has been added to the list of gateways.
	registered atomic.Bool

	// startedAt is when the process started.
	startedAt time.Time

	// inProgress holds the requests that are being handled.
	inProgress requestSet
	// isPlacer is true while this gateway places layers.
	isPlacer    atomic.Bool
	currentStop *currentStop
	// otherGateways is observed during a stop.
	otherGateways otherGateways
	// workInterrupted is true once a request was interrupted by the end of a stop after it was
	// sent to an instance.
	workInterrupted atomic.Bool
	// responseTimes holds the response times of plain services.
	responseTimes responseTimes

	// mu guards configConfirmedAt, firstInstanceAt, membersChangedAt, era, eraKnown,
	// instancesSynced, configSynced and quarantinesSynced.
	mu sync.Mutex
	// configConfirmedAt is when the store last confirmed the configuration.
	configConfirmedAt time.Time
	// firstInstanceAt is when the first instance was added, membersChangedAt
	// when an instance was last added or removed.
	firstInstanceAt, membersChangedAt time.Time
	// era is the highest era of the store in which a feed was read, eraKnown is false
	// before the first list.
	era      uint64
	eraKnown bool
	// instancesSynced, configSynced and quarantinesSynced are true once the gateway has
	// received the list of instances, a configuration and the quarantined parts.
	instancesSynced   bool
	configSynced      bool
	quarantinesSynced bool
	// synced is closed when all three are true.
	synced chan struct{}
}

// New returns a gateway.
func New(s Settings, p Platform, log *events.Logger, scope tally.Scope) *Gateway {
	directory, tracker := fleet.NewDirectory(), chain.NewInstanceTracker()
	notices := &noticeRecorder{directory, tracker, log}
	instances := &control{p.Engines, notices}
	stopping := newCurrentStop()
	gatewayMetrics := newMetrics(scope, metrics.LatencyBuckets)
	observer := &memoryObserver{gatewayMetrics, log}
	guard := clientconn.NewGuard(clientlimit.NewAccount(s.clientLimits()), observer)
	g := &Gateway{
		settings:    s,
		protocol:    p.Protocol,
		control:     instances,
		notices:     notices,
		platform:    p,
		log:         log,
		metrics:     gatewayMetrics,
		directory:   directory,
		tracker:     tracker,
		pool:        backend.NewPool(),
		admission:   newAdmission(tracker, directory, stopping),
		faults:      newFaultFinder(instances, tracker, directory, log),
		ends:        newEndDetector(),
		quarantine:  quarantine.NewRegister(),
		demand:      overload.NewLedger(),
		clients:     newClientConns(guard),
		memory:      observer,
		guard:       guard,
		streams:     newActiveStreams(),
		currentStop: stopping,
		synced:      make(chan struct{}),
		reregister:  make(chan struct{}, 1),
		startedAt:   time.Now(),
	}
	limits := retry.Limits{Ratio: s.RetryRatio, Window: s.RetryWindow, Reserve: s.RetryReserve}
	var retriesSince time.Time
	if !s.FirstStart {
		retriesSince = g.startedAt
	}
	g.budget = retry.NewBudget(limits, g.gatewayCount, retriesSince)
	if s.HedgeShare > 0 {
		g.hedges = hedge.New(s.HedgeShare)
	}
	return g
}

// gatewayCount returns the number of gateways that share the retry budget. It
// counts registered gateways that have not been heard from recently, because
// they may be partitioned from this one and still send requests.
func (g *Gateway) gatewayCount() int {
	r := g.reporter.Load()
	if r == nil {
		return 1
	}
	return max(r.AliveCount(time.Now()), r.RegisteredCount())
}

const (
	// configStaleAfter is the time without confirmation by the store after
	// which the configuration may be outdated.
	configStaleAfter = 4 * time.Second
	// sweepInterval is the interval of the periodic clean-up.
	sweepInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a client's request headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a client's request headers whatever the
	// configuration allows.
	maxHeaderBytes = 64 << 10
)

// configStale reports whether the configuration may be outdated.
func (g *Gateway) configStale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.configConfirmedAt) > configStaleAfter
}

// configBehind reports whether another gateway has a newer configuration in force. The store
// may hold an older one for a moment after it was restored.
func (g *Gateway) configBehind() bool {
	r, t := g.reporter.Load(), g.activeTable.Get()
	return r != nil && t != nil && r.NewestConfiguration(time.Now()) > t.Version()
}

// memberChanges returns when the first instance was added, and when an instance
// was last added or removed.
func (g *Gateway) memberChanges() (first, latest time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstInstanceAt, g.membersChangedAt
}

// markSynced sets flag, which is instancesSynced, configSynced or quarantinesSynced, and
// closes synced once all are set.
func (g *Gateway) markSynced(flag *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if *flag {
		return
	}
	*flag = true
	if g.allSynced() {
		close(g.synced)
	}
}

// ready reports whether the gateway accepts clients.
func (g *Gateway) ready() bool {
	if g.draining() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allSynced()
}

// allSynced reports whether the gateway has received all that it needs to serve clients.
// The caller holds mu.
func (g *Gateway) allSynced() bool { return g.instancesSynced && g.configSynced && g.quarantinesSynced }

// Run serves clients until ctx ends, and then drains the requests in progress. The time for that
// counts from the process.StopRequested in the cause of ctx, if there is one.
func (g *Gateway) Run(ctx context.Context, metricsPage http.Handler) error {
	clientSocket, err := net.Listen("tcp", g.settings.ClientAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: listen for clients")
	}
	readiness, err := net.Listen("tcp", g.settings.ReadyAddress)
	if err != nil {
		_ = clientSocket.Close()
		return eris.Wrap(err, "gateway: listen for readiness")
	}
	// Background work continues while requests drain.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	if err := g.joinPeers(background, &group); err != nil {
		return errors.Join(err, clientSocket.Close(), readiness.Close())
	}
	if err := g.followStore(background, &group); err != nil {
		return errors.Join(err, clientSocket.Close(), readiness.Close())
	}
	group.Go(func() error { g.admission.run(background); return nil })
	group.Go(func() error { g.sweep(background); return nil })
	group.Go(func() error { g.evacuate(background); return nil })
	group.Go(func() error { g.keepQuarantines(background); return nil })
	group.Go(func() error { g.shareLimits(background); return nil })
	group.Go(func() error { g.divideCapacity(background); return nil })
	group.Go(func() error { g.watchExchange(background); return nil })
	group.Go(func() error { newPlacer(g, g.platform.Lease).run(background); return nil })
	server := g.newClientServer()
	g.serveReadiness(background, &group, readiness)
	g.serveMetrics(background, &group, metricsPage)
	group.Go(func() error { g.guard.Run(background); return nil })
	group.Go(func() error { return g.serveClients(server, clientSocket) })
	<-ctx.Done()
	err = g.drain(server, process.StopTime(ctx))
	stop()
	_ = readiness.Close()
	g.releasePeerAddress()
	return err
}

// newClientServer returns the HTTP server for clients.
func (g *Gateway) newClientServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.clients.track,
		ConnContext:       withClientConn,
		ErrorLog:          g.log.Std(events.ListenerError),
	}
}

// serveClients accepts clients until the listener or the server is closed.
func (g *Gateway) serveClients(server *http.Server, l net.Listener) error {
	err := process.Serve(server, g.clients.listen(l), nil)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// releasePeerAddress closes the sockets to the other gateways, so that another process can
// bind their address once Run has returned.
func (g *Gateway) releasePeerAddress() {
	if r := g.reporter.Load(); r != nil {
		r.Close()
	}
	if g.closeFeeds != nil {
		g.closeFeeds()
	}
}

// serveReadiness answers the readiness checks of the load balancer.
func (g *Gateway) serveReadiness(ctx context.Context, group *errgroup.Group, l net.Listener) {
	server := process.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	guard := g.newSmallGuard()
	guard.Protect(server)
	group.Go(func() error { guard.Run(ctx); return nil })
	group.Go(func() error {
		err := process.Serve(server, guard.Listen(l), nil)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// serveMetrics serves /metrics, and the status for operators, if a metrics port
// is set.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group, page http.Handler) {
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
	mux.HandleFunc("GET "+gatewayapi.ExplainPath, g.serveExplanation)
	mux.HandleFunc("POST "+gatewayapi.ReleasePath, g.releasePart)
	server, guard := process.NewServer(mux), g.newSmallGuard()
	guard.Protect(server)
	group.Go(func() error { guard.Run(ctx); return nil })
	group.Go(func() error { return process.Serve(server, guard.Listen(l), nil) })
}

// sweep periodically closes idle connections, removes expired state and checks
// lost and slow instances, until ctx ends.
func (g *Gateway) sweep(ctx context.Context) {
	process.RunEvery(ctx, sweepInterval, func(now time.Time) {
		g.pool.CloseExpired(now)
		g.closeIdleConnections(now)
		g.directory.Expire(now)
		view := g.directory.View()
		g.tracker.Prune(view, now)
		g.faults.RemeasureSlow(ctx, view, now)
		g.faults.RecheckLost(ctx, view, now)
		g.ends.prune(now)
		g.metrics.inFlight.Update(float64(g.inProgress.count()))
		g.memory.update(g.guard.Account())
	})
}
