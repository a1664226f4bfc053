// Package integration runs real processes of the daemon against stand-ins in
// the test process, with faults placed between and in them.
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
	// patience bounds every wait for a condition. It is generous, because a
	// slow machine must not fail a test.
	patience = 60 * time.Second
)

// maxProcesses bounds the processes of tests that run in parallel.
const maxProcesses = 36

var (
	daemon    string
	processes = semaphore.NewWeighted(maxProcesses)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "nutmegroute-integration")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	daemon = filepath.Join(dir, "nutmegrouted")
	arguments := append([]string{"build", "-o", daemon}, raceFlags...)
	build := exec.Command("go", append(arguments, "github.com/nutmegroute/nutmegroute/cmd/nutmegrouted")...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s: %v\n%s", build, err, output)
		return 1
	}
	return m.Run()
}

// seeded returns the random source of a test and prints how to repeat it.
func seeded(t testing.TB, seed uint64) *rand.Rand {
	t.Logf("seed %d", seed)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat: go test -race ./test/integration -count=1 -run '^%s$' (seed %d)", t.Name(), seed)
		}
	})
	return rand.New(rand.NewPCG(seed, 0))
}

// shape is the size of a cluster.
type shape struct {
	entries, replicas, services int
	// stepCost is the duration of an engine's iteration. Default 2 ms.
	stepCost time.Duration
	// unconfigured leaves the configuration empty.
	unconfigured bool
}

// cluster is a deployment whose processes are real and whose platform, engines
// and plain service run in the test process.
type cluster struct {
	t        testing.TB
	dir      string
	shape    shape
	platform *standinplatform.Server
	store    string
	links    *links
	service  *standinservice.Server
	engines  []*engineNode
	accounts []*process
	entries  []*process
	all      []*process
}

// engineNode is one engine and its sidecar.
type engineNode struct {
	*process
	stage int

	mu      sync.Mutex
	current *standinengine.Server
	// retired holds the engines that killEngine ended.
	retired []*standinengine.Server
}

// ServeHTTP implements http.Handler with the current engine.
func (n *engineNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	current := n.current
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
	n.current = standinengine.NewServer(standinengine.Config{
		Model: model, ModelLayers: modelLayers, Version: "1", MaxBatch: 32, BaseCost: n.c.shape.stepCost, Layers: layers,
	})
	n.c.t.Cleanup(n.current.Close)
}

// killEngine ends the engine and loses its state, but not its run counters.
func (n *engineNode) killEngine() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Close()
	n.retired = append(n.retired, n.current)
	n.current = nil
}

// servers returns all engines that the node has had.
func (n *engineNode) servers() []*standinengine.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	servers := slices.Clone(n.retired)
	if n.current != nil {
		servers = append(servers, n.current)
	}
	return servers
}

// runs returns the runs of a request by layer and position.
func (n *engineNode) runs(id string) map[int][]int {
	for _, s := range n.servers() {
		if runs := s.RequestRuns(id).Runs; runs != nil {
			return runs
		}
	}
	return nil
}

// report sums up the runs of the current engine.
func (n *engineNode) report() standinengine.RunReport {
	servers := n.servers()
	return servers[len(servers)-1].Runs()
}

// start starts a cluster and waits until every entry is linked to every
// sidecar. Everything ends with the test.
func start(t testing.TB, s shape) *cluster {
	if s.stepCost == 0 {
		s.stepCost = 2 * time.Millisecond
	}
	size := int64(s.entries + s.services + stages*s.replicas)
	assert.NilError(t, processes.Acquire(t.Context(), size))
	t.Cleanup(func() { processes.Release(size) })
	c := &cluster{t: t, dir: t.TempDir(), shape: s, links: newLinks(t)}
	c.platform = standinplatform.NewServer(standinplatform.Config{})
	c.store = c.serve(c.platform.Handler()).URL
	c.service = standinservice.NewServer(standinservice.Options{})
	service := c.serve(c.service.Handler()).URL
	for stage := range stages {
		for replica := range s.replicas {
			c.addEngine(stage, replica)
		}
	}
	for i := range s.services {
		id := fmt.Sprintf("account-%d", i)
		c.accounts = append(c.accounts, c.add("sidecar", id, i, fmt.Sprintf("kind = service\naddress = %s\nservice = %s", service, serviceName)))
	}
	for i := range s.entries {
		c.entries = append(c.entries, c.add("entry", fmt.Sprintf("entry-%d", i), i, ""))
	}
	if !s.unconfigured {
		c.configure()
	}
	for _, p := range c.all {
		p.start()
	}
	c.ready()
	return c
}

func (c *cluster) serve(h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (c *cluster) addEngine(stage, replica int) *engineNode {
	n := &engineNode{stage: stage}
	n.process = c.add("sidecar", fmt.Sprintf("stage%d-%d", stage, replica), stage+replica,
		fmt.Sprintf("kind = engine\naddress = %s\ngroup = stage%d", c.serve(n).URL, stage))
	n.startEngine()
	c.engines = append(c.engines, n)
	return n
}

// add writes the settings of a process and registers it in the platform's
// list.
func (c *cluster) add(role, id string, domain int, upstream string) *process {
	p := &process{c: c, id: id, role: role, listen: c.links.address(), status: c.links.address()}
	p.advertise = c.links.front(id, p.listen)
	p.domain = fmt.Sprintf("domain-%d", domain%3)
	p.upstream = upstream
	c.all = append(c.all, p)
	p.write("")
	listRole := platform.RoleUpstream
	if role == "entry" {
		listRole = platform.RoleEntry
	}
	c.platform.RegisterInstance(platform.Instance{ID: id, Role: listRole, Address: p.advertise, FailureDomain: p.domain})
	return p
}

// configure publishes a team, two profiles and a service.
func (c *cluster) configure() {
	c.accept(config.KindTeam, "team", 0, team.Team{Name: "team", Weight: 1, KeyHashes: []string{callerDigest}})
	c.accept(config.KindProfile, "speech", 0, profile.Profile{Name: "speech", Model: model, DeadlineMillis: 30000})
	c.accept(config.KindProfile, "restart", 0, profile.Profile{Name: "restart", Model: model, DeadlineMillis: 30000, NoResume: true})
	c.accept(config.KindProfile, "brief", 0, profile.Profile{Name: "brief", Model: model, DeadlineMillis: 1500})
	c.accept(config.KindService, serviceName, 0, config.Service{Name: serviceName, Operations: []config.Operation{
		{Name: "purchase", DeadlineMillis: 1200},
	}})
}

// accept writes a configuration change and returns its revision.
func (c *cluster) accept(kind config.Kind, name string, base config.Revision, value any) config.Revision {
	data, err := json.Marshal(value)
	assert.NilError(c.t, err)
	change, err := config.NewStore(platform.NewClient(c.store), config.NewReplica(), time.Now, nil).Accept(c.t.Context(), config.Proposal{
		ID: uuid.Must(uuid.NewV7()).String(), Author: "test", Kind: kind, Name: name, Base: base, Value: data,
	})
	assert.NilError(c.t, err)
	return change.Revision
}

// wait waits for a condition and fails the test if it never holds.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(patience); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			c.t.Fatalf("gave up waiting: %s", what)
		}
	}
}

// ready waits until every entry is ready and linked to every sidecar.
func (c *cluster) ready() {
	c.t.Helper()
	for _, p := range c.all {
		if p.role == "sidecar" || !c.shape.unconfigured {
			c.wait(p.id+" ready", func() bool {
				assert.Assert(c.t, p.alive(), "%s has ended", p.id)
				return p.isReady()
			})
		}
	}
	for _, e := range c.entries {
		for _, p := range c.all {
			if p.role == "sidecar" {
				c.wait(e.id+" linked to "+p.id, func() bool { return c.links.connected(e.id, p.id) })
			}
		}
	}
}

// process is one entry or sidecar.
type process struct {
	c                          *cluster
	id, role, domain, upstream string
	listen, advertise, status  string
	cmd                        *exec.Cmd
	done                       chan struct{}
	frozen                     bool
	log                        logBuffer
}

// logBuffer collects the log of all runs of a process.
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

func (p *process) config() string { return filepath.Join(p.c.dir, p.id+".ini") }

// write writes the settings.
func (p *process) write(seeds string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\ninstance = %s\nfailure_domain = %s\nregion = test\n", p.id, p.domain)
	fmt.Fprintf(&b, "[platform]\naddress = %s\ntimeout = 500ms\n", p.c.store)
	fmt.Fprintf(&b, "[peer]\nlisten = %s\nadvertise = %s\nsecret = %s\n", p.listen, p.advertise, secret)
	if seeds != "" {
		fmt.Fprintf(&b, "seeds = %s\n", seeds)
	}
	if p.role == "entry" {
		fmt.Fprintf(&b, "[caller]\nlisten = %s\n[admin]\nlisten = 127.0.0.1:0\n[operators]\ntest = %064d\n[entry]\ndrain_delay = 500ms\n", p.status, 0)
	} else {
		fmt.Fprintf(&b, "[upstream]\n%s\n[sidecar]\nmetrics_listen = %s\n", p.upstream, p.status)
	}
	assert.NilError(p.c.t, os.WriteFile(p.config(), []byte(b.String()), 0o600))
}

// start starts the process. It is killed at the end of the test.
func (p *process) start() {
	p.cmd = exec.Command(daemon, p.role, "--config", p.config())
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = endWithTest
	assert.NilError(p.c.t, p.cmd.Start())
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
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

func (p *process) signal(s syscall.Signal) {
	p.c.t.Helper()
	assert.NilError(p.c.t, p.cmd.Process.Signal(s))
}

func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	p.frozen = true
}

func (p *process) thaw() {
	p.signal(syscall.SIGCONT)
	p.frozen = false
}

func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode() int {
	p.c.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.c.t.Fatalf("%s does not end", p.id)
	}
	return p.cmd.ProcessState.ExitCode()
}

// isReady asks the process's readiness endpoint.
func (p *process) isReady() bool { return p.answers("/readyz") }

// healthy reports whether the process serves HTTP.
func (p *process) healthy() bool { return p.answers("/healthz") }

func (p *process) answers(path string) bool {
	client := http.Client{Timeout: time.Second, Transport: callers.Transport}
	response, err := client.Get("http://" + p.status + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
