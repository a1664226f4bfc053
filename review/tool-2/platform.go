package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform is what one case runs: a store, servers, gateways and a record of what happened.
type platform struct {
	store *store
	// storeAddress is where gateways reach the store.
	storeAddress string
	root         string
	dir          string
	started      time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	servers  []*server
	// arrived holds the ids of the requests that servers have got.
	arrived map[string]bool
}

// newPlatform starts a store. root is the repository, record the file for the record.
func newPlatform(root, record string) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &platform{store: s, root: root, dir: dir, started: time.Now(), storeAddress: s.address, record: f, arrived: make(map[string]bool)}, nil
}

// logf writes a line with the time since the start to the record.
func (p *platform) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// noteArrival records that a server has got a request.
func (p *platform) noteArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived[id] = true
}

// passedOn reports whether a request has reached a server.
func (p *platform) passedOn(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived[id]
}

// arrivals returns the number of requests that servers have got.
func (p *platform) arrivals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrived)
}

// close ends all processes that were started.
func (p *platform) close() {
	for _, g := range p.gateways {
		g.kill()
	}
	_ = p.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

// gateway is one process of the deploy file's role.
type gateway struct {
	name, front, ready string
	settings           string
	command            *exec.Cmd
	ended              chan struct{}
}

// limits are the settings of a machine.
type limits struct{ memoryMB, maxFDs int }

// settingsFormat follows "settings on a 'edge' machine" of fleetbench wire.
const settingsFormat = `node = "%[1]s"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "om-muscat"
port_range = [%[4]d,%[5]d]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
muscat-a = "om-muscat"
muscat-b = "om-muscat"
[listen]
front = "%[6]s"
ready = "%[7]s"
[limits]
cpu_share = 0.304
cores = 1
memory_mb = %[8]d
max_fds = %[9]d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_deadline_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 196
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 3000
checks_fence = false
[platform_store]
address = "%[10]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

// startGateway starts a gateway with the command of deploy/system.toml.
func (p *platform) startGateway(name, zone string, l limits) (*gateway, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 10+len(p.gateways))
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	g.settings = fmt.Sprintf(settingsFormat, name, ip, zone, ports[2], ports[2]+15, g.front, g.ready,
		l.memoryMB, l.maxFDs, p.storeAddress)
	p.gateways = append(p.gateways, g)
	return g, p.run(g)
}

// restart starts a gateway again that has ended.
func (p *platform) restart(g *gateway) error {
	<-g.ended
	time.Sleep(restartDelay)
	g.settings = strings.Replace(g.settings, "bootstrap = true", "bootstrap = false", 1)
	return p.run(g)
}

// restartDelay is the time between the end of a process and its start by the platform.
const restartDelay = 300 * time.Millisecond

// run starts the process of a gateway.
func (p *platform) run(g *gateway) error {
	path := filepath.Join(p.dir, g.name+".toml")
	if err := os.WriteFile(path, []byte(g.settings), 0o600); err != nil {
		return err
	}
	words, err := deployCommand(p.root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command, ended := exec.Command(filepath.Join(p.root, words[0]), words[1:]...), make(chan struct{})
	command.Dir = p.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGROUTE_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		close(ended)
		g.ended = ended
		return err
	}
	g.command, g.ended = command, ended
	go func() { _ = command.Wait(); close(ended) }()
	p.logf("gateway %s starts as process %d, clients connect to %s", g.name, command.Process.Pid, g.front)
	return nil
}

// deployCommand returns the words of the command of the only role in deploy/system.toml.
func deployCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no command")
}

// freePorts returns free TCP ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// log returns the log of a gateway.
func (p *platform) gatewayLog(g *gateway) string {
	data, _ := os.ReadFile(filepath.Join(p.dir, g.name+".log"))
	return string(data)
}

func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// kill ends the process by its id and waits for its end.
func (g *gateway) kill() {
	if g.running() {
		_ = g.command.Process.Signal(syscall.SIGKILL)
	}
	<-g.ended
}

// waitFor polls until the condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
