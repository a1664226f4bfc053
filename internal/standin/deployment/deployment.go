// Package deployment starts entries, sidecars and the stand-ins for the engines,
// services and platform in one process. They communicate over sockets on the
// loopback interface.
package deployment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/entry"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/metrics"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
	"github.com/nutmegroute/nutmegroute/internal/service"
	"github.com/nutmegroute/nutmegroute/internal/sidecar"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
	standinplatform "github.com/nutmegroute/nutmegroute/internal/standin/platform"
	standinservice "github.com/nutmegroute/nutmegroute/internal/standin/service"
)

const (
	// peerSecret authenticates the entries and sidecars of a deployment to each
	// other. They all run in one operating-system process, so the secret needs no
	// protection.
	peerSecret = "deployment-in-one-process"
	// loopbackAddress makes the operating system choose a free port.
	loopbackAddress = "127.0.0.1:0"
	// readHeaderTimeout bounds the time in which a stand-in reads request headers.
	readHeaderTimeout = 5 * time.Second
)

// Options describe a deployment.
type Options struct {
	// CallerAddresses holds the listen address of the caller API of each entry.
	CallerAddresses []string
	// Domains are the failure domains. Replica i of a stage runs in the domain with
	// the index (stage + i) modulo the number of domains.
	Domains []string
	// Stages is the number of stages, among which the layers of the model are
	// divided. Replicas is the number of engines of each stage.
	Stages, Replicas int
	// Engine is the configuration of every engine, except Layers, which depends on
	// the stage.
	Engine standinengine.Config
	// Services are the plain services. Each runs as one stand-in with Replicas
	// sidecars.
	Services []ServiceOptions
	// InstanceLag is the delay with which the platform's instance list shows
	// changes. Default 0.
	InstanceLag time.Duration
	// Entry and Sidecar hold the options of all entries and sidecars. Start
	// overwrites those that differ between processes.
	Entry   entry.Options
	Sidecar sidecar.Options
	Log     *events.Logger
	// Network makes the connections between processes. Default nil, plain TCP.
	Network Network
}

// Network makes the connections between processes, for example with delays.
type Network interface {
	// Dialer returns the dial function of a process.
	Dialer(id, domain string) peer.DialFunc
	// Register records which process listens on an address.
	Register(address, id, domain string)
}

// ServiceOptions describe one plain service.
type ServiceOptions struct {
	Name string
	// Replicas is the number of sidecars of the service.
	Replicas int
}

// EngineNode is one engine with its sidecar.
type EngineNode struct {
	*standinengine.Server
	URL     string
	Sidecar *sidecar.Sidecar
	Process *Process
}

// Process is one running entry or sidecar. It is a goroutine, not a process of the
// operating system.
type Process struct {
	ID     string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Stop stops the process gracefully, waits for its end and returns its error.
func (p *Process) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// Deployment is a running deployment.
type Deployment struct {
	Platform       *standinplatform.Server
	PlatformURL    string
	PlatformClient *platform.Client
	Engines        []*EngineNode
	Services       map[string]*standinservice.Server
	Entries        []*entry.Entry
	EntryProcesses []*Process

	options        Options
	processes      []*Process
	servers        []*http.Server
	metricsClosers []io.Closer
	serving        sync.WaitGroup
}

// Start starts a deployment. Close stops it.
func Start(options Options) (*Deployment, error) {
	if options.Log == nil {
		options.Log = events.Nop()
	}
	d := &Deployment{options: options, Services: make(map[string]*standinservice.Server)}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	d.Platform = standinplatform.NewServer(standinplatform.Config{InstanceLag: d.options.InstanceLag})
	url, err := d.serve(d.Platform.Handler())
	if err != nil {
		return err
	}
	d.PlatformURL = url
	d.PlatformClient = platform.NewClient(url)
	for stage := range d.options.Stages {
		for replica := range d.options.Replicas {
			if err := d.startEngine(stage, replica); err != nil {
				return err
			}
		}
	}
	for _, s := range d.options.Services {
		if err := d.startService(s); err != nil {
			return err
		}
	}
	for i, address := range d.options.CallerAddresses {
		if err := d.startEntry(i, address); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a stand-in on a free port and returns its URL.
func (d *Deployment) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", fmt.Errorf("deployment: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	d.serving.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), nil
}

// stageLayers divides the layers of a model evenly among the stages.
func stageLayers(layers, stages, stage int) pipeline.LayerRange {
	return pipeline.LayerRange{From: layers * stage / stages, To: layers * (stage + 1) / stages}
}

// domain returns the failure domain with index i modulo the number of domains.
func (d *Deployment) domain(i int) string { return d.options.Domains[i%len(d.options.Domains)] }

// startEngine starts an engine of a stage and its sidecar.
func (d *Deployment) startEngine(stage, replica int) error {
	config := d.options.Engine
	config.Layers = stageLayers(config.ModelLayers, d.options.Stages, stage)
	server := standinengine.NewServer(config)
	url, err := d.serve(server.Handler())
	if err != nil {
		return err
	}
	options := d.options.Sidecar
	options.ID = fmt.Sprintf("%s-stage%d-%d", config.Model, stage, replica)
	options.FailureDomain = d.domain(stage + replica)
	options.Engine = engine.NewClient(url, nil)
	options.Leases = objectstore.NewLeases(d.PlatformClient)
	options.Group = fmt.Sprintf("%s-stage%d", config.Model, stage)
	s, p, err := d.startSidecar(options)
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, &EngineNode{Server: server, URL: url, Sidecar: s, Process: p})
	return nil
}

// startService starts a plain service and its sidecars.
func (d *Deployment) startService(o ServiceOptions) error {
	server := standinservice.NewServer(standinservice.Options{})
	d.Services[o.Name] = server
	url, err := d.serve(server.Handler())
	if err != nil {
		return err
	}
	for replica := range o.Replicas {
		options := d.options.Sidecar
		options.ID = fmt.Sprintf("%s-%d", o.Name, replica)
		options.FailureDomain = d.domain(replica)
		options.Service = service.NewClient(url, nil)
		options.ServiceName = o.Name
		options.Claimer = operation.NewClaimer(objectstore.NewRecords(d.PlatformClient), operation.Options{})
		if _, _, err := d.startSidecar(options); err != nil {
			return err
		}
	}
	return nil
}

// startSidecar starts a sidecar and registers it in the instance list.
func (d *Deployment) startSidecar(options sidecar.Options) (*sidecar.Sidecar, *Process, error) {
	options.Listen = loopbackAddress
	options.Secret = peerSecret
	if n := d.options.Network; n != nil {
		options.Dial = n.Dialer(options.ID, options.FailureDomain)
	}
	s, err := sidecar.New(options)
	if err != nil {
		return nil, nil, fmt.Errorf("deployment: sidecar %s: %w", options.ID, err)
	}
	if n := d.options.Network; n != nil {
		n.Register(s.Address(), options.ID, options.FailureDomain)
	}
	p := d.startProcess(options.ID, s.Run)
	d.Platform.RegisterInstance(platform.Instance{
		ID: options.ID, Role: platform.RoleUpstream, Address: s.Address(),
		FailureDomain: options.FailureDomain, State: platform.InstanceLive,
	})
	return s, p, nil
}

// startEntry starts an entry and registers it in the instance list.
func (d *Deployment) startEntry(i int, callerListen string) error {
	options := d.options.Entry
	options.ID = fmt.Sprintf("entry-%d", i)
	options.FailureDomain = d.domain(i)
	options.PeerListen = loopbackAddress
	options.CallerListen = callerListen
	options.AdminListen = loopbackAddress
	options.Secret = peerSecret
	options.Platform = d.PlatformClient
	options.Log = d.options.Log
	if n := d.options.Network; n != nil {
		options.Dial = n.Dialer(options.ID, options.FailureDomain)
	}
	scope, handler, closer := metrics.NewScope(map[string]string{
		"role": "entry", "instance": options.ID, "failure_domain": options.FailureDomain,
	}, d.options.Log)
	d.metricsClosers = append(d.metricsClosers, closer)
	options.Scope, options.MetricsHandler = scope, handler
	e, err := entry.New(options)
	if err != nil {
		return fmt.Errorf("deployment: %s: %w", options.ID, err)
	}
	if n := d.options.Network; n != nil {
		n.Register(e.PeerAddress(), options.ID, options.FailureDomain)
	}
	d.Entries = append(d.Entries, e)
	d.EntryProcesses = append(d.EntryProcesses, d.startProcess(options.ID, e.Run))
	d.Platform.RegisterInstance(platform.Instance{
		ID: options.ID, Role: platform.RoleEntry, Address: e.PeerAddress(),
		FailureDomain: options.FailureDomain, State: platform.InstanceLive,
	})
	return nil
}

// startProcess runs f in a goroutine until the returned process is stopped.
func (d *Deployment) startProcess(id string, f func(context.Context) error) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{ID: id, cancel: cancel, done: make(chan struct{})}
	d.processes = append(d.processes, p)
	go func() {
		defer close(p.done)
		p.err = f(ctx)
	}()
	return p
}

// Apply submits a configuration change to the first entry.
func (d *Deployment) Apply(ctx context.Context, p config.Proposal) error {
	_, err := d.Entries[0].Accept(ctx, p)
	return err
}

// WaitReady waits until every entry is ready and can use every upstream.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !d.isReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("deployment: not ready: %w", ctx.Err())
		}
	}
	return nil
}

func (d *Deployment) isReady() bool {
	upstreams := len(d.processes) - len(d.Entries)
	for _, e := range d.Entries {
		if e.Ready() != nil || e.UsableUpstreams() < upstreams {
			return false
		}
	}
	return true
}

// Close stops the processes gracefully, then the stand-ins, and waits for their end.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	for _, p := range d.processes {
		wg.Go(func() { _ = p.Stop() })
	}
	wg.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, c := range d.metricsClosers {
		_ = c.Close()
	}
	for _, n := range d.Engines {
		n.Server.Close()
	}
	d.serving.Wait()
}
