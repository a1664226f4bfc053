//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"muscat-a", "muscat-b", "muscat-c"}

// memoryMB is the memory of an edge machine.
const memoryMB = 284

// settingsFormat is the settings file of an edge machine, with the figures of the site sawt-muscat.
// Its arguments are the name, the IP address, the zone, the first and last port, the ports of front and
// ready with the address, and the store's address.
const settingsFormat = `node = %q
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "om-muscat"
port_range = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
muscat-a = "om-muscat"
muscat-b = "om-muscat"
muscat-c = "om-muscat"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 284
max_fds = 4200
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
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

// gatewayProcess is one gateway of the deploy file.
type gatewayProcess struct {
	name, front, ready string
	settings, log      string
	program            string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when cmd has ended.
	exited chan struct{}
}

// startGateways starts a gateway in each of the first zones and waits until all are ready.
func startGateways(r *run, s *store, count int) ([]*gatewayProcess, error) {
	port, err := freePorts(count)
	if err != nil {
		return nil, err
	}
	var list []*gatewayProcess
	for n := range count {
		ip, zone := gatewayIP(n), zones[n%len(zones)]
		g := &gatewayProcess{
			name: "edge-" + zone + "-1", front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1),
			settings: filepath.Join(r.dir, zone+".toml"), log: filepath.Join(r.dir, zone+".log"), program: r.program,
		}
		text := fmt.Sprintf(settingsFormat, g.name, ip, zone, port+2, port+17, ip, port, ip, port+1, s.address)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		r.atEnd(g.kill)
		list = append(list, g)
	}
	for _, g := range list {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// gatewayIP returns the loopback address of a gateway.
func gatewayIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, 10+n)
}

// freePorts returns the first of 18 ports that are free on the addresses of all gateways.
func freePorts(count int) (int, error) {
	for port := 20_000 + os.Getpid()%1000*18; port < 60_000; port += 18 {
		free := true
		for n := range count {
			for p := port; p < port+18 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", gatewayIP(n), p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// start starts the process with the command of the deploy file.
func (g *gatewayProcess) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program, "--hedge-share", "0.03")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGROUTE_BOOT=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when it has ended.
func (g *gatewayProcess) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
	return g.exited
}

func (g *gatewayProcess) kill() {
	g.signal(syscall.SIGCONT)
	<-g.signal(syscall.SIGKILL)
}

// alive reports whether the process has not ended.
func (g *gatewayProcess) alive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// pid returns the id of the process.
func (g *gatewayProcess) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}

// awaitReady waits until the gateway reports that it is ready.
func (g *gatewayProcess) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}
