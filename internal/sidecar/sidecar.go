// Package sidecar implements the process that runs beside one upstream. All work
// reaches the upstream through it: it runs the steps of sequences on an engine
// or the calls to a plain service, refuses new work while it drains, and rejects
// orders with a stale fencing token.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/configsync"
	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// orderPollInterval is the time between two checks whether the open sequences
	// have ended, which an order waits for.
	orderPollInterval = 20 * time.Millisecond
	// sweepInterval is the time between removals of expired sequences.
	sweepInterval = 500 * time.Millisecond
	// infoRetryInterval is the delay before an engine that didn't answer an Info
	// request at startup is asked again.
	infoRetryInterval = 200 * time.Millisecond
	// seedDialInterval is the time between attempts to connect to the seeds,
	// and the timeout of each attempt.
	seedDialInterval = time.Second
	// outcomeRecordTimeout bounds the wait for the outcomes of claimed
	// operations to be recorded at a graceful shutdown. The wait also ends when
	// the drain timeout expires.
	outcomeRecordTimeout = 30 * time.Second
)

// Sidecar is one sidecar process.
type Sidecar struct {
	options  Options
	node     *peer.Node
	listener net.Listener
	// metricsListener is nil if Options.MetricsListen is empty.
	metricsListener net.Listener
	replica         *config.Replica
	configSync      *configsync.Syncer
	leaving         atomic.Bool
	// worker is set before connections are served on listener.
	worker worker
}

// New returns a Sidecar that listens on the peer address and, if it is set, on
// the metrics address. It returns an error if it can't listen.
func New(options Options) (*Sidecar, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	if options.Advertise == "" {
		options.Advertise = listener.Addr().String()
	}
	s := &Sidecar{options: options, listener: listener, replica: config.NewReplica()}
	if options.MetricsListen != "" {
		if s.metricsListener, err = net.Listen("tcp", options.MetricsListen); err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	s.node = peer.NewNode(peer.Hello{
		Role: peer.RoleSidecar, ID: options.ID, Address: options.Advertise, FailureDomain: options.FailureDomain,
	}, s, func() uint64 { return uint64(s.replica.Revision()) }, peer.Options{
		Secret: options.Secret, PingInterval: options.HeartbeatInterval, IdleTimeout: options.SuspectAfter,
		NoCoalescing: options.NoCoalescing, Dial: options.Dial, TLS: options.TLS,
	})
	s.configSync = configsync.New(s.node, s.replica, func(err error) {
		options.Log.Log(events.RevisionBehind).Err(err).Send()
	})
	return s, nil
}

// Address returns the peer address that is advertised to peers.
func (s *Sidecar) Address() string { return s.options.Advertise }

// Revision returns the revision of the active configuration.
func (s *Sidecar) Revision() uint64 { return uint64(s.replica.Revision()) }

// SentBytes returns the number of bytes of frames sent to peers.
func (s *Sidecar) SentBytes() uint64 { return s.node.SentBytes() }

// Run serves until ctx ends, then drains the work in progress. It returns nil
// after a graceful shutdown.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.startWorker(ctx); err != nil {
		return s.listener.Close()
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s.node)
	peerServer, statusServer := process.NewServer(mux), process.NewServer(s.statusHandler())

	g, groupCtx := errgroup.WithContext(workCtx)
	g.Go(func() error { return process.Serve(peerServer, s.listener, s.options.TLS) })
	if s.metricsListener != nil {
		g.Go(func() error { return process.Serve(statusServer, s.metricsListener, nil) })
	}
	for _, loop := range []func(context.Context){s.worker.run, s.heartbeatLoop, s.configSync.Run, s.weightLoop, s.seedLoop} {
		g.Go(func() error { loop(workCtx); return nil })
	}

	var err error
	select {
	case <-ctx.Done():
		err = s.drain()
	case <-groupCtx.Done():
	}
	stopWork()
	s.node.Close()
	_ = peerServer.Close()
	_ = statusServer.Close()
	return errors.Join(err, g.Wait())
}

// statusHandler serves /healthz, /readyz and /metrics.
func (s *Sidecar) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := s.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", s.options.MetricsHandler)
	return mux
}

// startWorker creates the worker for the upstream. For an engine it waits until
// the engine answers, and returns ctx.Err() if ctx ends first.
func (s *Sidecar) startWorker(ctx context.Context) error {
	if s.options.Service != nil {
		s.worker = s.newServiceWorker()
	} else {
		info, err := s.waitForEngine(ctx)
		if err != nil {
			return err
		}
		s.worker = s.newEngineWorker(info)
	}
	s.node.UpdateHello(func(h *peer.Hello) {
		h.Upstream = s.worker.descriptor()
		h.State = s.state()
	})
	return nil
}

// waitForEngine requests the engine's description until the engine answers or
// ctx ends.
func (s *Sidecar) waitForEngine(ctx context.Context) (engine.Info, error) {
	for {
		info, err := s.options.Engine.Info(ctx)
		if err == nil {
			return info, nil
		}
		select {
		case <-time.After(infoRetryInterval):
		case <-ctx.Done():
			return engine.Info{}, ctx.Err()
		}
	}
}

func (s *Sidecar) newEngineWorker(info engine.Info) *engineWorker {
	maxBatch := s.options.MaxBatch
	if info.MaxBatch > 0 {
		maxBatch = min(maxBatch, info.MaxBatch)
	}
	health := newHealthCheck(func(ctx context.Context) error {
		_, err := s.options.Engine.Info(ctx)
		return err
	}, s.announce)
	stage := NewStage(s.node.Dialer(), s.options.Engine, s.engineDescriptor(info, maxBatch), StageOptions{
		MaxBatch: maxBatch, MaxQueue: s.options.MaxQueue, MaxQueueTokens: s.options.MaxQueueTokens,
		OutputLogBytes: s.options.OutputLogBytes, FIFO: s.options.FIFO, StepwiseReplay: s.options.StepwiseReplay,
		Healthy: health.healthy, RequestProbe: health.requestProbe, OnRefused: s.logRefused,
	})
	w := &engineWorker{scheduler: stage.scheduler, stage: stage, health: health}
	health.onFailedProbe = stage.scheduler.abort
	w.orders = &orderHandler{
		engine: s.options.Engine, leases: s.options.Leases, group: s.options.Group,
		stage: stage, health: health, log: s.options.Log,
		onDone: func(info engine.Info) {
			stage.scheduler.setDescriptor(s.engineDescriptor(info, maxBatch))
			s.announce()
		},
	}
	return w
}

// logRefused logs that a new sequence was refused because of load.
func (s *Sidecar) logRefused(reason peer.RefusalReason) {
	switch reason {
	case peer.RefusedQueueFull:
		s.options.Log.LogRateLimited(events.QueueFull).Send()
	case peer.RefusedDeadline:
		s.options.Log.LogRateLimited(events.DeadlineUnreachable).Send()
	}
}

// engineDescriptor converts an engine's description of itself to the descriptor
// that is sent to entries.
func (s *Sidecar) engineDescriptor(info engine.Info, maxBatch int) upstream.Descriptor {
	return upstream.Descriptor{
		Kind: upstream.KindEngine, Group: s.options.Group,
		Model: info.Model, ModelLayers: info.ModelLayers, Layers: info.Layers,
		Accelerator: info.Accelerator, MaxBatch: maxBatch, Version: info.Version,
	}
}

func (s *Sidecar) newServiceWorker() *serviceWorker {
	health := newHealthCheck(s.options.Service.Probe, s.announce)
	return &serviceWorker{
		health: health,
		desc: upstream.Descriptor{
			Kind: upstream.KindService, Group: s.options.Group,
			Service: s.options.ServiceName, MaxBatch: s.options.MaxBatch,
		},
		calls: newCallRunner(s.options.Service, s.options.Claimer, s.options.MaxBatch, s.options.MaxQueue, health, s.options.Log),
	}
}

// notReadyReason returns why the sidecar is not ready, or "". Readiness requires
// a connected entry, so that a rolling restart doesn't stop the next upstream
// before this one can receive work.
func (s *Sidecar) notReadyReason() string {
	if state := s.state(); state != upstream.StateReady {
		return string(state)
	}
	for _, c := range s.node.Conns() {
		if c.Hello().Role == peer.RoleEntry {
			return ""
		}
	}
	return "no entry is connected"
}

// state returns the state that the sidecar reports for its upstream. An upstream
// that fails a health check after it was ready is reported as joining.
func (s *Sidecar) state() upstream.State {
	switch {
	case s.leaving.Load():
		return upstream.StateLeaving
	case !s.worker.healthy():
		return upstream.StateJoining
	}
	return upstream.StateReady
}

// announce broadcasts the current state to the entries without waiting for the
// next heartbeat.
func (s *Sidecar) announce() {
	desc := s.worker.descriptor()
	s.node.UpdateHello(func(h *peer.Hello) { h.State, h.Upstream = s.state(), desc })
	heartbeat := s.heartbeat()
	heartbeat.Upstream = &desc
	s.node.Broadcast(heartbeat, peer.RoleEntry)
}

// startLeaving makes the worker refuse new work and announces StateLeaving to the
// entries.
func (s *Sidecar) startLeaving() {
	if s.leaving.Swap(true) {
		return
	}
	s.worker.refuseNewWork()
	s.announce()
}

// drain refuses new work and waits until the work in progress has ended. It
// returns process.ErrDrainTimeout if the timeout ended the wait.
func (s *Sidecar) drain() error {
	s.startLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DrainTimeout)
	defer cancel()
	err := process.WaitIdle(ctx, s.worker.idle)
	if s.options.Claimer != nil {
		recordCtx, cancel := context.WithTimeout(ctx, outcomeRecordTimeout)
		defer cancel()
		err = errors.Join(err, s.options.Claimer.Wait(recordCtx))
	}
	for _, c := range s.node.Conns() {
		c.Flush(ctx)
	}
	return err
}

func (s *Sidecar) heartbeat() *peer.Heartbeat {
	load, teams := s.worker.load()
	return &peer.Heartbeat{State: s.state(), Load: load, Teams: teams, Links: s.node.LinkDelays()}
}

func (s *Sidecar) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(s.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		s.node.Broadcast(s.heartbeat(), peer.RoleEntry)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// weightLoop sets the teams' weights in the worker, at startup and whenever the
// configuration changes.
func (s *Sidecar) weightLoop(ctx context.Context) {
	changed, cancel := s.replica.Subscribe()
	defer cancel()
	for {
		for _, t := range s.replica.State().Teams() {
			s.worker.setWeight(t.Name, t.Weight)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// seedLoop keeps connections to the seeds open. The sidecar fetches the
// configuration from them before any entry has connected to it.
func (s *Sidecar) seedLoop(ctx context.Context) {
	ticker := time.NewTicker(seedDialInterval)
	defer ticker.Stop()
	for {
		for _, seed := range s.options.Seeds {
			if seed != s.options.Advertise && s.node.Connection(seed) == nil {
				dialCtx, cancel := context.WithTimeout(ctx, seedDialInterval)
				_, _ = s.node.Dial(dialCtx, seed)
				cancel()
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Connected implements peer.Handler.
func (s *Sidecar) Connected(c *peer.Conn) {
	s.options.Log.Log(events.PeerConnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).Send()
	if c.Hello().Role == peer.RoleEntry {
		_ = c.Send(s.heartbeat())
	}
}

// Disconnected implements peer.Handler.
func (s *Sidecar) Disconnected(c *peer.Conn, err error) {
	s.options.Log.Log(events.PeerDisconnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).
		Bool("silent", c.TimedOut()).Err(err).Send()
	s.configSync.Disconnected(c)
	s.worker.disconnected(c)
}

// HandleFrame implements peer.Handler.
func (s *Sidecar) HandleFrame(c *peer.Conn, f peer.Frame) {
	if _, ok := f.(*peer.Drain); ok {
		s.startLeaving()
		return
	}
	if !s.worker.handle(c, f) {
		s.configSync.HandleFrame(c, f)
	}
}
