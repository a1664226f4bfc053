package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gatewayProgram is the program of the deploy file, from the folder of a case.
const gatewayProgram = "../../target/nutmegroute-gateway"

const settingsFormat = `node = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = %q
region = "om-muscat"
port_range = [%d,%d]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_deadline_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 196
recovery_s = 12
pass_ms = 120
stall_ms = 3000
[platform_store]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`

// memoryLimitMB is memory_mb of the settings.
const memoryLimitMB = 284

// gateway is one process of the project with its settings, as the platform runs it: it is
// started again after it has ended.
type gateway struct {
	name, front, ready, settings string
	log                          *os.File

	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	stopping bool
	starts   int
}

func startGateway(dir, name, zone, storeAddress string) (*gateway, error) {
	first := freePorts(4)
	g := &gateway{
		name: name, front: localAddress(first + 2), ready: localAddress(first + 3), settings: filepath.Join(dir, name+".toml"),
	}
	if err := g.writeSettings(zone, storeAddress, first); err != nil {
		return nil, err
	}
	var err error
	if g.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return g, g.start()
}

func (g *gateway) writeSettings(zone, storeAddress string, firstPort int) error {
	text := fmt.Sprintf(settingsFormat, g.name, zone, firstPort, firstPort+1, g.front, g.ready, memoryLimitMB, storeAddress)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := exec.Command(gatewayProgram)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGROUTE_BOOT=" + g.settings}
	c.Stdout, c.Stderr = g.log, g.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.command, g.ended = c, ended
	g.starts++
	go func() {
		err := c.Wait()
		close(ended)
		g.mu.Lock()
		again := !g.stopping
		g.mu.Unlock()
		if again {
			note("process %s ended: %v; the platform starts it again", g.name, err)
			time.Sleep(300 * time.Millisecond)
			_ = g.start()
		}
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.command.Process.Signal(s)
}

// kill ends the process for good.
func (g *gateway) kill() {
	g.mu.Lock()
	g.stopping = true
	c, ended := g.command, g.ended
	g.mu.Unlock()
	_ = c.Process.Kill()
	<-ended
}

// changeSettings rewrites the settings file with other seeds.
func (g *gateway) changeSettings() error {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), "seeds = []", `seeds = ["127.0.0.1:9"]`, 1)
	return os.WriteFile(g.settings, []byte(changed), 0o600)
}

// state tells how the process ended.
func (g *gateway) state() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.command.ProcessState.String()
}

// startCount returns how often the process was started.
func (g *gateway) startCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// awaitReady waits until the gateway answers the platform's readiness checks with 200.
func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/v1/ready", nil)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// freePorts returns the first of count free neighbouring ports, for TCP and UDP. It is below the
// ports that the system gives to clients.
func freePorts(count int) int {
	const lowest, highest = 20000, 32000
	for range 1000 {
		first, free := lowest+rand.IntN(highest-lowest), true
		for i := range count {
			free = free && portFree(first+i)
		}
		if free {
			return first
		}
	}
	fail("no free ports")
	return 0
}

func localAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func portFree(port int) bool {
	address := localAddress(port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
