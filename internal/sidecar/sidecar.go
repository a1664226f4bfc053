// Package sidecar is the process beside one upstream. It is the only path to
// the upstream: it runs the steps of sequences and the calls to plain
// services, and enforces leaving and fencing.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/configsync"
	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

func attemptString(a request.Attempt) string { return strconv.FormatUint(uint64(a), 10) }

const (
	// drainPoll is how often a leaving sidecar looks whether it is idle.
	drainPoll = 20 * time.Millisecond
	// sweepInterval is the time between removals of abandoned sequences.
	sweepInterval = 500 * time.Millisecond
	// infoRetry is the wait before an engine that did not answer is asked
	// again.
	infoRetry = 200 * time.Millisecond
	// stopTimeout bounds the shutdown of the HTTP server after a drain.
	stopTimeout = time.Second
)

// Options configure a Sidecar.
type Options struct {
	ID            string
	FailureDomain string
	// Listen is the address of the peer listener; Advertise is what peers are
	// told. An empty Advertise means the listener's address.
	Listen    string
	Advertise string
	Secret    string
	// HeartbeatInterval is the time between heartbeats. Default 250 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a peer counts as lost. Default
	// 1 s.
	SuspectAfter time.Duration
	// Group names the upstreams ordered under one lease.
	Group string
	// MaxBatch bounds the steps of one engine call; 0 takes the engine's.
	MaxBatch int
	// MaxQueue bounds the waiting steps. Default 4096.
	MaxQueue int
	// OutputLogBytes bounds the output log of one sequence. Default 64 MiB.
	OutputLogBytes int
	// DrainTimeout bounds a planned stop. Default 10 min.
	DrainTimeout time.Duration

	// Engine is set for an upstream that is a model engine.
	Engine Engine
}

func (o Options) withDefaults() Options {
	setDefault(&o.HeartbeatInterval, 250*time.Millisecond)
	setDefault(&o.SuspectAfter, time.Second)
	setDefault(&o.MaxQueue, 4096)
	setDefault(&o.OutputLogBytes, 64<<20)
	setDefault(&o.DrainTimeout, 10*time.Minute)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Sidecar is one sidecar process.
type Sidecar struct {
	options  Options
	node     *peer.Node
	listener net.Listener

	replica   *config.Replica
	sync      *configsync.Syncer
	scheduler *scheduler
	stage     *Stage
	leaving   atomic.Bool
	usable    atomic.Bool
}

// New listens on the peer address. It returns the listener's error.
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
	s.node = peer.NewNode(peer.Hello{
		Role:          peer.RoleSidecar,
		ID:            options.ID,
		Address:       options.Advertise,
		FailureDomain: options.FailureDomain,
		State:         upstream.StateJoining,
	}, s, s.revision, peer.Options{
		Secret:       options.Secret,
		PingInterval: options.HeartbeatInterval,
		IdleTimeout:  options.SuspectAfter,
	})
	s.sync = configsync.New(s.node, s.replica, func(error) {})
	return s, nil
}

// Address returns the peer address that others are told.
func (s *Sidecar) Address() string { return s.options.Advertise }

func (s *Sidecar) revision() uint64 { return uint64(s.replica.Revision()) }

// Run serves until ctx ends, then finishes what is in progress. It returns
// nil after a graceful stop.
func (s *Sidecar) Run(ctx context.Context) error {
	info, err := s.waitForEngine(ctx)
	if err != nil {
		_ = s.listener.Close()
		return nil
	}
	s.setUpstream(info)

	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s.node)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: stopTimeout}

	var g errgroup.Group
	g.Go(func() error {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error { s.scheduler.Run(work); return nil })
	g.Go(func() error { s.heartbeatLoop(work); return nil })
	g.Go(func() error { s.sync.Run(work); return nil })
	g.Go(func() error { s.sweepLoop(work); return nil })

	<-ctx.Done()
	s.startLeaving()
	s.waitIdle()
	stopWork()
	s.node.Close()
	_ = server.Close()
	return g.Wait()
}

// waitForEngine asks the engine until it answers or ctx ends.
func (s *Sidecar) waitForEngine(ctx context.Context) (engine.Info, error) {
	for {
		info, err := s.options.Engine.Info(ctx)
		if err == nil {
			return info, nil
		}
		select {
		case <-time.After(infoRetry):
		case <-ctx.Done():
			return engine.Info{}, ctx.Err()
		}
	}
}

func (s *Sidecar) setUpstream(info engine.Info) {
	maxBatch := s.options.MaxBatch
	if maxBatch == 0 {
		maxBatch = max(info.MaxBatch, 1)
	}
	desc := upstream.Descriptor{
		Kind:        upstream.KindEngine,
		Group:       s.options.Group,
		Model:       info.Model,
		ModelLayers: info.ModelLayers,
		Layers:      info.Layers,
		Accelerator: info.Accelerator,
		MaxBatch:    maxBatch,
		Version:     info.Version,
	}
	s.scheduler = newScheduler(s.options.Engine, desc, maxBatch, s.options.MaxQueue)
	s.stage = newStage(s.node, s.scheduler, s.options.OutputLogBytes, time.Now)
	s.usable.Store(true)
	s.node.UpdateHello(func(h *peer.Hello) {
		h.Upstream = desc
		h.State = s.state()
	})
}

func (s *Sidecar) state() upstream.State {
	switch {
	case s.leaving.Load():
		return upstream.StateLeaving
	case !s.usable.Load():
		return upstream.StateJoining
	default:
		return upstream.StateReady
	}
}

// startLeaving refuses new work from now on and announces it.
func (s *Sidecar) startLeaving() {
	if s.leaving.Swap(true) {
		return
	}
	s.node.UpdateHello(func(h *peer.Hello) { h.State = upstream.StateLeaving })
	s.node.Broadcast(s.heartbeat(), peer.RoleEntry)
}

// waitIdle waits until no sequence is open, up to the drain timeout.
func (s *Sidecar) waitIdle() {
	deadline := time.Now().Add(s.options.DrainTimeout)
	for s.stage.Len() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}

func (s *Sidecar) heartbeat() *peer.Heartbeat {
	load := s.scheduler.load()
	load.Sequences = s.stage.Len()
	return &peer.Heartbeat{State: s.state(), Load: load, Links: s.node.Links()}
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

func (s *Sidecar) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.stage.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Connected implements peer.Handler.
func (s *Sidecar) Connected(c *peer.Conn) {
	if c.Hello().Role == peer.RoleEntry {
		_ = c.Send(s.heartbeat())
	}
}

// Disconnected implements peer.Handler.
func (s *Sidecar) Disconnected(c *peer.Conn, _ error) {
	s.sync.Disconnected(c)
	s.stage.Disconnected(c, c.DialedAddress())
}

// HandleFrame implements peer.Handler.
func (s *Sidecar) HandleFrame(c *peer.Conn, f peer.Frame) {
	switch f := f.(type) {
	case *peer.OpenSequence:
		s.stage.Open(c, f, s.leaving.Load())
	case *peer.ResumeSequence:
		s.stage.Resume(f)
	case *peer.Step:
		s.stage.Step(f)
	case *peer.CloseSequence:
		s.stage.Close(f)
	case *peer.Drain:
		s.startLeaving()
	default:
		s.sync.HandleFrame(c, f)
	}
}
