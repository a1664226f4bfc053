// Package entry implements the entry, the process in front of the upstreams. It
// serves callers and operators, drives sequences over chains of stages,
// dispatches calls to plain services and accepts configuration changes.
package entry

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/configsync"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/planner"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// ErrNotReady is returned by Ready, joined with the reason.
var ErrNotReady = errors.New("entry: not ready")

const (
	// rebuildInterval is the time between two rebuilds of the planner's chain
	// templates.
	rebuildInterval = 250 * time.Millisecond
)

// Entry is one entry process.
type Entry struct {
	options        Options
	node           *peer.Node
	peerListener   net.Listener
	callerListener net.Listener
	// adminListener is nil if the operators' API is disabled.
	adminListener net.Listener

	// The configuration.
	replica    *config.Replica
	store      *config.Store
	configSync *configsync.Syncer
	storeDown  atomic.Bool
	// caughtUp is set once the replica has reached the revision of every
	// connected peer. A later change does not make the entry unready.
	caughtUp atomic.Bool

	// The upstreams and their selection.
	directory  *upstream.Directory
	membership *membership
	planner    *planner.Planner
	chooser    chooser
	outliers   *outliers
	orderer    *orderer

	// The load of the teams: as the sidecars report it (sidecarLoads), as the
	// other entries report it (peerEntryLoads), at this entry (usage), and at
	// this entry as of its last heartbeat (publishedLoads). admissionControls
	// and retries limit the load.
	sidecarLoads      *sidecarLoadTable
	peerEntryLoads    *entryLoads
	usage             *team.Counters
	publishedLoads    atomic.Pointer[[]peer.TeamLoad]
	admissionControls *admissionControls
	retries           *team.RetryBudgets

	// The requests in flight and the traces of the latest requests.
	sequences *sequenceTable
	calls     *callTable
	openCalls atomic.Int64
	canceller *operation.Canceller
	traces    *traces
	metrics   *metrics

	// leaving is set when a graceful shutdown begins. drainStarted is set when
	// the drain delay is over; from then on, new requests are refused.
	leaving      atomic.Bool
	drainStarted atomic.Bool
}

// New creates an entry and listens on its addresses. It returns the error of a
// listener that can't be opened.
func New(options Options) (*Entry, error) {
	options = options.withDefaults()
	e := &Entry{
		options:        options,
		replica:        config.NewReplica(),
		directory:      upstream.NewDirectory(upstream.DirectoryConfig{SuspectAfter: options.SuspectAfter}),
		sequences:      newSequenceTable(options.Log),
		calls:          newCallTable(),
		sidecarLoads:   newSidecarLoadTable(),
		peerEntryLoads: newEntryLoads(),
		retries:        team.NewRetryBudgets(),
		usage:          team.NewCounters(time.Now()),
		traces:         newTraces(),
		metrics:        newMetrics(options.Scope),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.initPeers()
	e.initStore()
	e.outliers = newOutliers(e.directory, options.Log)
	e.admissionControls = newAdmissionControls(e.sidecarLoads, e.replica)
	e.planner = planner.New(planner.Config{Domain: options.FailureDomain}, e.directory)
	e.chooser = plannerChooser{e.planner}
	if options.RoundRobin {
		e.chooser = &roundRobin{directory: e.directory}
	}
	return e, nil
}

// initPeers creates the components that communicate with peers.
func (e *Entry) initPeers() {
	o := e.options
	hello := peer.Hello{Role: peer.RoleEntry, ID: o.ID, Address: o.Advertise, FailureDomain: o.FailureDomain}
	revision := func() uint64 { return uint64(e.replica.Revision()) }
	e.node = peer.NewNode(hello, e, revision, peer.Options{
		Secret: o.Secret, PingInterval: o.HeartbeatInterval, IdleTimeout: o.SuspectAfter,
		NoCoalescing: o.NoCoalescing, Dial: o.Dial, TLS: o.TLS,
	})
	e.configSync = configsync.New(e.node, e.replica, func(err error) {
		o.Log.Log(events.RevisionBehind).Err(err).Send()
	})
	e.membership = newMembership(e.node, e.directory, o)
}

// initStore creates the components that use the platform's store.
func (e *Entry) initStore() {
	client := e.options.Platform
	e.store = config.NewStore(client, e.replica, time.Now, e.logStoreAvailability)
	e.canceller = operation.NewCanceller(objectstore.NewRecords(client), operation.Options{})
	e.orderer = newOrderer(e, objectstore.NewLeases(client))
}

func (e *Entry) listen() error {
	var err error
	if e.peerListener, err = net.Listen("tcp", e.options.PeerListen); err != nil {
		return err
	}
	if e.callerListener, err = net.Listen("tcp", e.options.CallerListen); err != nil {
		_ = e.peerListener.Close()
		return err
	}
	if e.options.AdminListen != "" {
		if e.adminListener, err = net.Listen("tcp", e.options.AdminListen); err != nil {
			_ = e.peerListener.Close()
			_ = e.callerListener.Close()
			return err
		}
	}
	if e.options.Advertise == "" {
		e.options.Advertise = e.peerListener.Addr().String()
	}
	return nil
}

// CallerAddress returns the address of the callers' API.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// AdminAddress returns the address of the operators' API, or "" if there is
// none.
func (e *Entry) AdminAddress() string {
	if e.adminListener == nil {
		return ""
	}
	return e.adminListener.Addr().String()
}

// PeerAddress returns the address that the entry advertises to peers.
func (e *Entry) PeerAddress() string { return e.options.Advertise }

// Run serves until ctx ends, then drains the requests in flight. It returns nil
// after a graceful shutdown.
func (e *Entry) Run(ctx context.Context) error {
	servers, err := e.servers()
	if err != nil {
		return err
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, groupCtx := errgroup.WithContext(workCtx)
	for _, s := range servers {
		g.Go(func() error { return process.Serve(s.server, s.listener, s.tls) })
		if s.guard != nil {
			g.Go(func() error { s.guard.Run(workCtx); return nil })
		}
	}
	for _, loop := range []func(context.Context){
		e.membership.Run, e.configSync.Run, e.rebuildLoop, e.orderer.Run, e.outliers.Run, e.heartbeatLoop, e.admissionControls.Run,
	} {
		g.Go(func() error { loop(workCtx); return nil })
	}
	g.Go(func() error { return process.IgnoreCanceled(e.store.Follow(workCtx)) })
	g.Go(func() error { return e.sweepRecords(workCtx) })

	select {
	case <-ctx.Done():
		err = e.drain(servers[callerServerIndex].server)
	case <-groupCtx.Done():
	}
	stopWork()
	e.node.Close()
	for _, s := range servers {
		_ = s.server.Close()
	}
	return errors.Join(err, g.Wait())
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	server   *http.Server
	listener net.Listener
	tls      *tls.Config
	// guard bounds what clients cause; nil for the server for peers.
	guard *clientconn.Guard
}

// callerServerIndex is the index of the callers' API in the result of servers.
const callerServerIndex = 0

// servers returns the HTTP servers of the entry.
func (e *Entry) servers() ([]boundServer, error) {
	caller, err := callerapi.NewServer(e, callerapi.Options{
		MaxBody: e.options.MaxBody, MaxHeader: e.options.MaxHeader, Log: e.options.Log, Scope: e.options.Scope,
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, e.node)
	servers := []boundServer{
		e.guarded(caller, e.callerListener, clientLimits()),
		{server: process.NewServer(mux), listener: e.peerListener, tls: e.options.TLS},
	}
	if e.adminListener != nil {
		admin, err := e.adminHandler()
		if err != nil {
			return nil, err
		}
		servers = append(servers, e.guarded(process.NewServer(admin), e.adminListener, adminLimits))
	}
	return servers, nil
}

// rebuildLoop rebuilds the planner's chain templates periodically until ctx
// ends.
func (e *Entry) rebuildLoop(ctx context.Context) {
	process.RunEvery(ctx, rebuildInterval, func(now time.Time) { e.planner.Rebuild(now) })
}

// drain waits for the drain delay, stops accepting requests and waits for the
// requests in flight. It returns process.ErrDrainTimeout if the drain timeout
// interrupted some of them.
func (e *Entry) drain(server *http.Server) error {
	e.leaving.Store(true)
	time.Sleep(e.options.DrainDelay)
	e.drainStarted.Store(true)
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	return process.WaitIdle(ctx, func() bool { return e.inFlight() == 0 })
}

// draining reports whether new requests are refused.
func (e *Entry) draining() bool { return e.drainStarted.Load() }

// Ready implements callerapi.Backend.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return errors.Join(ErrNotReady, errors.New("leaving"))
	}
	if e.caughtUp.Load() {
		return nil
	}
	revision := uint64(e.replica.Revision())
	if revision == 0 {
		return errors.Join(ErrNotReady, errors.New("no configuration"))
	}
	// An entry that has just started installs the configuration log change by
	// change. Until it has caught up, it would serve an older configuration.
	for _, c := range e.node.Conns() {
		if c.PeerRevision() > revision {
			return errors.Join(ErrNotReady, errors.New("behind the configuration of a peer"))
		}
	}
	e.caughtUp.Store(true)
	return nil
}

// Authenticate implements callerapi.Backend.
func (e *Entry) Authenticate(key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	t, ok := e.replica.State().TeamByKeyHash(hex.EncodeToString(digest[:]))
	return t.Name, ok
}

// Profiles implements callerapi.Backend.
func (e *Entry) Profiles() []string {
	var names []string
	for _, p := range e.replica.State().Profiles() {
		names = append(names, p.Name)
	}
	return names
}

// Metrics implements callerapi.Backend.
func (e *Entry) Metrics() http.Handler { return e.options.MetricsHandler }

// UsableUpstreams returns the number of upstreams that accept new work.
func (e *Entry) UsableUpstreams() int {
	n := 0
	for _, u := range e.directory.All() {
		if u.Status().Usable() {
			n++
		}
	}
	return n
}

// Revision returns the revision of the installed configuration.
func (e *Entry) Revision() uint64 { return uint64(e.replica.Revision()) }

// SentBytes returns the total size of the frames that were sent to peers.
func (e *Entry) SentBytes() uint64 { return e.node.SentBytes() }

// Connected implements peer.Handler.
func (e *Entry) Connected(c *peer.Conn) {
	logConnected(e.options.Log, c)
	e.membership.handleConnect(c)
}

// Disconnected implements peer.Handler.
func (e *Entry) Disconnected(c *peer.Conn, err error) {
	logDisconnected(e.options.Log, c, err)
	e.membership.handleDisconnect(c)
	e.sidecarLoads.remove(upstream.InstanceID(c.Hello().ID))
	e.peerEntryLoads.remove(c.Hello().ID)
	e.configSync.Disconnected(c)
	e.sequences.connectionLost(c)
	e.calls.connectionLost(c)
}

// HandleFrame implements peer.Handler.
func (e *Entry) HandleFrame(c *peer.Conn, f peer.Frame) {
	switch f := f.(type) {
	case *peer.Heartbeat:
		e.peerEntryLoads.record(c.Hello(), f)
		e.membership.handleHeartbeat(c, f)
		if u, ok := e.directory.Get(upstream.InstanceID(c.Hello().ID)); ok {
			e.sidecarLoads.record(u.ID, u.Descriptor, f)
			e.outliers.recordStepTime(u, f.Load)
		}
	case *peer.SequenceOpened:
		e.sequences.deliver(c, f.Request, f)
	case *peer.Step:
		e.sequences.deliver(c, f.Request, f)
	case *peer.Token:
		e.sequences.deliver(c, f.Request, f)
	case *peer.SequenceFailed:
		e.sequences.deliver(c, f.Request, f)
	case *peer.OrderResult:
		e.orderer.deliver(f)
	case *peer.CallResult:
		e.calls.deliver(f)
	default:
		e.configSync.HandleFrame(c, f)
	}
}
