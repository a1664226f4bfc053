package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The edge machine of the site.
	crowdMemoryMB = 284
	crowdMaxFDs   = 4200
	crowdEvents   = 57
	crowdGap      = 200 * time.Millisecond
	// crowdClients and one connection to a server for each of its slots are within the descriptors
	// of the machine, of which 200 are for files.
	crowdClients = 2300
	crowdServers = 7
	// aheadBytes is how much a client sends ahead on its connection.
	aheadBytes = 256 << 10
)

// crowd: clients send many requests ahead on one connection without reading the answers. What
// the gateway has received and not read counts for the memory of its process. The rule is broken
// if the processes of two machines end three times.
func crowd(p *platform, trouble bool) (broken bool, err error) {
	p.store.put("config", "main", configuration(1, plainService(llm), streamRoute, lookupRoute))
	for i := range crowdServers {
		if _, err := p.startServer(fmt.Sprintf("i-llm-%d", i), llm, "muscat-a", 192, serveEvents(crowdEvents, crowdGap)); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := p.startServer(fmt.Sprintf("i-acc-%d", i), accounts, "muscat-a", 16, serveLookup); err != nil {
			return false, err
		}
	}
	var machines [2]*gateway
	for i := range machines {
		if machines[i], err = p.startGateway(fmt.Sprintf("edge-muscat-a-%d", i+1), "muscat-a", limits{crowdMemoryMB, crowdMaxFDs}); err != nil {
			return false, err
		}
	}
	ended := [2]int{}
	for round := range endsAllowed + 1 {
		for i, g := range machines {
			if !waitFor(10*time.Second, func() bool { return get(g.front, "GET", "/licence/x", time.Second).status == 200 }) {
				return false, fmt.Errorf("gateway %s does not serve: %s", g.name, p.gatewayLog(g))
			}
			p.logf("round %d: a crowd comes to %s", round+1, g.name)
			if err := sendCrowd(p, g, trouble); err != nil {
				return false, err
			}
			if g.running() {
				continue
			}
			ended[i]++
			if err := p.restart(g); err != nil {
				return false, err
			}
		}
	}
	p.logf("processes ended %d times on one machine and %d times on the other", ended[0], ended[1])
	return min(ended[0], ended[1]) > endsAllowed, nil
}

const (
	// endsAllowed is how often the processes of a machine may end in a day.
	endsAllowed = 2
	crowdTime   = 5 * time.Second
)

// sendCrowd sends a crowd to a gateway, and ordinary requests beside it, until the process ends
// or crowdTime has passed since the last client connected.
func sendCrowd(p *platform, g *gateway, trouble bool) error {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { watchMemory(p, g, stop) })
	var answered, unanswered atomic.Int64
	wait.Go(func() {
		for g.running() {
			if r := get(g.front, "GET", "/licence/x", time.Second); r.status != 0 {
				answered.Add(1)
			} else {
				unanswered.Add(1)
				p.logf("ordinary request %s got no answer: %v", r.id, r.err)
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	var requests atomic.Int64
	connected := 0
	var failed error
	for ; connected < crowdClients && g.running(); connected++ {
		c, err := net.Dial("tcp", g.front)
		if err != nil {
			failed = err
			break
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
		wait.Go(func() { behave(c, trouble, &requests, stop) })
		time.Sleep(time.Millisecond)
	}
	select {
	case <-g.ended:
		failed = nil
	case <-time.After(crowdTime):
	}
	close(stop)
	wait.Wait()
	p.logf("%d clients of the crowd connected and sent %d requests; ordinary requests answered: %d, without an answer: %d; "+
		"servers have got %d requests in all", connected, requests.Load(), answered.Load(), unanswered.Load(), p.arrivals())
	return failed
}

// behave sends one stream's request and, with trouble, further ones behind it. It reads answers
// only without trouble.
func behave(c net.Conn, trouble bool, requests *atomic.Int64, stop chan struct{}) {
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if !trouble {
		_, _ = c.Write([]byte(requestText("POST", "/guide/a", newAttempt(), 20*time.Second)))
		requests.Add(1)
		go func() { <-stop; _ = c.Close() }()
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
		}
	}
	go func() { <-stop; _ = c.Close() }()
	for sent := 0; sent < aheadBytes; {
		n, err := c.Write([]byte(requestText("POST", "/guide/a", newAttempt(), 20*time.Second)))
		if err != nil {
			return
		}
		requests.Add(1)
		sent += n
	}
	<-stop
}

// watchMemory does what the platform does: it kills a process that exceeds its memory. Bytes
// that have been received and not yet read count.
func watchMemory(p *platform, g *gateway, stop chan struct{}) {
	for {
		rss, unread, count := residentBytes(g.command.Process.Pid), 0, 0
		if unread, count = unreadBytes(g.front); rss > 0 {
			p.logf("resident %.1f MB, received and not read %.1f MB on %d connections", mb(rss), mb(unread), count)
		}
		if rss+unread > crowdMemoryMB<<20 {
			p.logf("the process exceeds memory_mb = %d: the platform kills it", crowdMemoryMB)
			_ = g.command.Process.Signal(syscall.SIGKILL)
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

func mb(n int) float64 { return float64(n) / (1 << 20) }

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the sum of the receive queues of the connections accepted at an address.
func unreadBytes(address string) (sum, count int) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, 0
	}
	ip := a.IP.To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", a.Port)
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[1] != local || f[3] != "01" && f[3] != "08" {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += int(n)
		count++
	}
	return sum, count
}

// serveEvents returns a handler that sends a stream of events, the first one at once.
func serveEvents(events int, gap time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := first; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("X-Attempt-Id")); err != nil {
				return
			}
			_ = control.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(gap):
			}
		}
	}
}

// serveLookup answers a small request.
func serveLookup(s *server, w http.ResponseWriter, r *http.Request) {
	time.Sleep(15 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Attempt-Id"))
}
