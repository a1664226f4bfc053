// Package integration runs real processes of the daemon against stand-ins in the
// test process and injects faults into the processes, the links between them, the
// platform and the service.
//
// Comments name the guarantee that a test checks by its number:
//
//   - I1: each layer runs exactly once, and in order, for each token of an answer.
//   - I2: an answer holds only the caller's own text, and its end says whether it
//     is complete.
//   - I3: a request that is answered not-run has not run and will not run.
//   - I4: an operation runs at most once for each idempotency key, and a repeated
//     key gets the first answer.
//   - I5: a leaving sidecar gets no new work and finishes the work it accepted.
//   - I6: a rolling restart cuts no stream and refuses no request.
//   - I7: an accepted configuration change takes effect at every process in time,
//     and no process returns to an older configuration.
package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/profile"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
	standinplatform "github.com/nutmegroute/nutmegroute/internal/standin/platform"
	standinservice "github.com/nutmegroute/nutmegroute/internal/standin/service"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

const (
	model       = "nutmeg-30"
	modelLayers = 30
	stages      = 3
	callerKey   = "key-of-the-test-team"
	// callerDigest is the SHA-256 digest of callerKey.
	callerDigest = "4d2593cb25ad352971fa5a546858491d8654f10c9ebb8bd2ca1ce85ac7a7f16d"
	serviceName  = "account"
	secret       = "secret-of-the-test-cluster"
	// waitTimeout bounds every wait for a condition. It is long, so that a slow
	// machine does not fail a test.
	waitTimeout = 60 * time.Second
)

// maxProcesses bounds the number of processes of all tests that run in parallel.
const maxProcesses = 36

var (
	// daemonPath is the path of the daemon that run builds.
	daemonPath   string
	processSlots = semaphore.NewWeighted(maxProcesses)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the daemon, runs the tests and returns their exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "nutmegroute-integration")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "nutmegrouted")
	arguments := append([]string{"build", "-o", daemonPath}, raceFlags...)
	build := exec.Command("go", append(arguments, "github.com/nutmegroute/nutmegroute/cmd/nutmegrouted")...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s: %v\n%s", build, err, output)
		return 1
	}
	return m.Run()
}

// newRandom returns the random source of a test and logs the seed. If the test
// fails, it also logs the command that repeats the test.
func newRandom(t testing.TB, seed uint64) *rand.Rand {
	t.Logf("seed %d", seed)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat: go test -race ./test/integration -count=1 -run '^%s$' (seed %d)", t.Name(), seed)
		}
	})
	return rand.New(rand.NewPCG(seed, 0))
}

// clusterOptions sets the size of a cluster and the duration of its engine steps.
type clusterOptions struct {
	// replicas is the number of engines of each stage, services the number of
	// sidecars of the account service.
	entries, replicas, services int
	// stepCost is the duration of an engine's iteration. Default 2 ms.
	stepCost time.Duration
	// unconfigured leaves the configuration empty, so that entries are not ready.
	unconfigured bool
}

// cluster is a deployment whose entries and sidecars are daemon processes. The
// platform, the engines and the plain service run in the test process.
type cluster struct {
	t               testing.TB
	dir             string
	options         clusterOptions
	platform        *standinplatform.Server
	platformURL     string
	links           *links
	service         *standinservice.Server
	engines         []*engineNode
	serviceSidecars []*process
	entries         []*process
	processes       []*process
}

// engineNode is one engine and its sidecar. mu guards server and stopped.
type engineNode struct {
	*process
	stage int

	mu     sync.Mutex
	server *standinengine.Server
	// stopped holds the engines that killEngine has closed.
	stopped []*standinengine.Server
}

// ServeHTTP implements http.Handler with the current engine. Without one it closes
// the connection.
func (n *engineNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	current := n.server
	n.mu.Unlock()
	if current == nil {
		panic(http.ErrAbortHandler)
	}
	current.Handler().ServeHTTP(w, r)
}

// startEngine starts an engine without state.
func (n *engineNode) startEngine() {
	layers := pipeline.LayerRange{From: n.stage * modelLayers / stages, To: (n.stage + 1) * modelLayers / stages}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = standinengine.NewServer(standinengine.Config{
		Model: model, ModelLayers: modelLayers, Version: "1", MaxBatch: 32, BaseCost: n.c.options.stepCost, Layers: layers,
	})
	n.c.t.Cleanup(n.server.Close)
}

// killEngine closes the engine. Its state is lost, but its run counters stay
// available.
func (n *engineNode) killEngine() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server.Close()
	n.stopped = append(n.stopped, n.server)
	n.server = nil
}

// allServers returns the closed engines of the node and the current one.
func (n *engineNode) allServers() []*standinengine.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	servers := slices.Clone(n.stopped)
	if n.server != nil {
		servers = append(servers, n.server)
	}
	return servers
}

// requestRuns returns how often the node ran each layer and position of a request,
// or nil if it did not run the request.
func (n *engineNode) requestRuns(id string) map[int][]int {
	for _, s := range n.allServers() {
		if runs := s.RequestRuns(id).Runs; runs != nil {
			return runs
		}
	}
	return nil
}

// runReport returns the run report of the last started engine.
func (n *engineNode) runReport() standinengine.RunReport {
	servers := n.allServers()
	return servers[len(servers)-1].Runs()
}

// startCluster starts a cluster and waits until every entry is connected to every
// sidecar. The clean-up of the test stops all of it.
func startCluster(t testing.TB, options clusterOptions) *cluster {
	if options.stepCost == 0 {
		options.stepCost = 2 * time.Millisecond
	}
	size := int64(options.entries + options.services + stages*options.replicas)
	assert.NilError(t, processSlots.Acquire(t.Context(), size))
	t.Cleanup(func() { processSlots.Release(size) })
	c := &cluster{t: t, dir: t.TempDir(), options: options, links: newLinks(t)}
	c.platform = standinplatform.NewServer(standinplatform.Config{})
	c.platformURL = c.serve(c.platform.Handler()).URL
	c.service = standinservice.NewServer(standinservice.Options{})
	service := c.serve(c.service.Handler()).URL
	for stage := range stages {
		for replica := range options.replicas {
			c.addEngine(stage, replica)
		}
	}
	for i := range options.services {
		id := fmt.Sprintf("account-%d", i)
		c.serviceSidecars = append(c.serviceSidecars, c.addProcess("sidecar", id, i, fmt.Sprintf("kind = service\naddress = %s\nservice = %s", service, serviceName)))
	}
	for i := range options.entries {
		c.entries = append(c.entries, c.addProcess("entry", fmt.Sprintf("entry-%d", i), i, ""))
	}
	if !options.unconfigured {
		c.configure()
	}
	for _, p := range c.processes {
		p.start()
	}
	c.waitReady()
	return c
}

// serve serves a stand-in on a free port.
func (c *cluster) serve(h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// addEngine starts an engine of a stage and adds its sidecar.
func (c *cluster) addEngine(stage, replica int) *engineNode {
	n := &engineNode{stage: stage}
	n.process = c.addProcess("sidecar", fmt.Sprintf("stage%d-%d", stage, replica), stage+replica,
		fmt.Sprintf("kind = engine\naddress = %s\ngroup = stage%d", c.serve(n).URL, stage))
	n.startEngine()
	c.engines = append(c.engines, n)
	return n
}

// addProcess writes the settings of a process and registers it in the instance list
// of the platform. It does not start the process.
func (c *cluster) addProcess(role, id string, domain int, upstream string) *process {
	p := &process{c: c, id: id, role: role, listenAddress: c.links.address(), httpAddress: c.links.address()}
	p.advertisedAddress = c.links.listenFor(id, p.listenAddress)
	p.domain = fmt.Sprintf("domain-%d", domain%3)
	p.upstreamSettings = upstream
	c.processes = append(c.processes, p)
	p.writeSettings("")
	listRole := platform.RoleUpstream
	if role == "entry" {
		listRole = platform.RoleEntry
	}
	c.platform.RegisterInstance(platform.Instance{ID: id, Role: listRole, Address: p.advertisedAddress, FailureDomain: p.domain})
	return p
}

// configure publishes a team, three profiles and a service: five revisions.
func (c *cluster) configure() {
	c.acceptChange(config.KindTeam, "team", 0, team.Team{Name: "team", Weight: 1, KeyHashes: []string{callerDigest}})
	c.acceptChange(config.KindProfile, "speech", 0, profile.Profile{Name: "speech", Model: model, DeadlineMillis: 30000})
	c.acceptChange(config.KindProfile, "restart", 0, profile.Profile{Name: "restart", Model: model, DeadlineMillis: 30000, NoResume: true})
	c.acceptChange(config.KindProfile, "brief", 0, profile.Profile{Name: "brief", Model: model, DeadlineMillis: 1500})
	c.acceptChange(config.KindService, serviceName, 0, config.Service{Name: serviceName, Operations: []config.Operation{
		{Name: "purchase", DeadlineMillis: 1200},
	}})
}

// acceptChange stores a configuration change and returns its revision.
func (c *cluster) acceptChange(kind config.Kind, name string, base config.Revision, value any) config.Revision {
	data, err := json.Marshal(value)
	assert.NilError(c.t, err)
	change, err := config.NewStore(platform.NewClient(c.platformURL), config.NewReplica(), time.Now, nil).Accept(c.t.Context(), config.Proposal{
		ID: uuid.Must(uuid.NewV7()).String(), Author: "test", Kind: kind, Name: name, Base: base, Value: data,
	})
	assert.NilError(c.t, err)
	return change.Revision
}

// waitFor polls a condition and fails the test if it does not hold within
// waitTimeout.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			c.t.Fatalf("timeout while waiting for: %s", what)
		}
	}
}

// waitReady waits until every process is ready and every entry is connected to every
// sidecar. The entries of an unconfigured cluster need not be ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, p := range c.processes {
		if p.role == "sidecar" || !c.options.unconfigured {
			c.waitFor(p.id+" ready", func() bool {
				assert.Assert(c.t, p.isRunning(), "%s has exited", p.id)
				return p.isReady()
			})
		}
	}
	for _, e := range c.entries {
		for _, p := range c.processes {
			if p.role == "sidecar" {
				c.waitFor(e.id+" connected to "+p.id, func() bool { return c.links.connected(e.id, p.id) })
			}
		}
	}
}

// process is the daemon process of one entry or sidecar.
type process struct {
	c *cluster
	// upstreamSettings holds the lines of the section [upstream]. httpAddress is the
	// address of the caller API of an entry and of the metrics endpoint of a sidecar.
	id, role, domain, upstreamSettings            string
	listenAddress, advertisedAddress, httpAddress string
	cmd                                           *exec.Cmd
	exited                                        chan struct{}
	frozen                                        bool
	log                                           logBuffer
}

// logBuffer collects the log of all runs of a process. mu guards text.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// settingsPath returns the path of the settings file.
func (p *process) settingsPath() string { return filepath.Join(p.c.dir, p.id+".ini") }

// writeSettings writes the settings file. seeds lists the addresses of peers from
// which the process gets the configuration if the platform is unavailable.
func (p *process) writeSettings(seeds string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\ninstance = %s\nfailure_domain = %s\nregion = test\n", p.id, p.domain)
	fmt.Fprintf(&b, "[platform]\naddress = %s\ntimeout = 500ms\n", p.c.platformURL)
	fmt.Fprintf(&b, "[peer]\nlisten = %s\nadvertise = %s\nsecret = %s\n", p.listenAddress, p.advertisedAddress, secret)
	if seeds != "" {
		fmt.Fprintf(&b, "seeds = %s\n", seeds)
	}
	if p.role == "entry" {
		fmt.Fprintf(&b, "[caller]\nlisten = %s\n[admin]\nlisten = 127.0.0.1:0\n[operators]\ntest = %064d\n[entry]\ndrain_delay = 500ms\n", p.httpAddress, 0)
	} else {
		fmt.Fprintf(&b, "[upstream]\n%s\n[sidecar]\nmetrics_listen = %s\n", p.upstreamSettings, p.httpAddress)
	}
	assert.NilError(p.c.t, os.WriteFile(p.settingsPath(), []byte(b.String()), 0o600))
}

// start starts the process. The clean-up of the test kills it, and fails the test if
// the log shows a data race or a panic.
func (p *process) start() {
	p.cmd = exec.Command(daemonPath, p.role, "--config", p.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = killWithParent
	assert.NilError(p.c.t, p.cmd.Start())
	cmd, done := p.cmd, make(chan struct{})
	p.exited = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		log := p.log.String()
		if strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic: ") || p.c.t.Failed() && log != "" {
			p.c.t.Errorf("log of %s:\n%s", p.id, log)
		}
	})
}

func (p *process) sendSignal(s syscall.Signal) {
	p.c.t.Helper()
	assert.NilError(p.c.t, p.cmd.Process.Signal(s))
}

// freeze suspends the process, which keeps its connections.
func (p *process) freeze() {
	p.sendSignal(syscall.SIGSTOP)
	p.frozen = true
}

// unfreeze resumes a frozen process.
func (p *process) unfreeze() {
	p.sendSignal(syscall.SIGCONT)
	p.frozen = false
}

// terminate asks the process to stop gracefully.
func (p *process) terminate() { p.sendSignal(syscall.SIGTERM) }

// isRunning reports whether the process has not exited. A frozen process is running.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill kills the process without a graceful stop and waits for its exit.
func (p *process) kill() {
	p.sendSignal(syscall.SIGKILL)
	<-p.exited
}

// exitCode waits for the exit of the process and returns its exit code.
func (p *process) exitCode() int {
	p.c.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.c.t.Fatalf("%s does not exit", p.id)
	}
	return p.cmd.ProcessState.ExitCode()
}

// isReady reports whether the readiness endpoint of the process responds with 200.
func (p *process) isReady() bool { return p.respondsOK("/readyz") }

// healthy reports whether the health endpoint of the process responds with 200.
func (p *process) healthy() bool { return p.respondsOK("/healthz") }

// respondsOK reports whether a GET of path gets a response with 200.
func (p *process) respondsOK(path string) bool {
	client := http.Client{Timeout: time.Second, Transport: httpClient.Transport}
	response, err := client.Get("http://" + p.httpAddress + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
