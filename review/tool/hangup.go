package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = runHangup }

// runHangup stops a gateway with SIGTERM while its clients wait for answers. One second later its
// settings file changes, which the platform tells with SIGHUP.
func runHangup(dir string) {
	st, err := newStore()
	if err != nil {
		fail("%v", err)
	}
	rs := &runs{}
	key := "n2ctnfzs989anu6wsjnb"
	st.put("config", "main", configuration(7, []tenant{{"hule930", []string{key}, 1}}))
	for _, zone := range []string{"muscat-a", "muscat-b", "muscat-c"} {
		if _, err := startPlainServer(st, rs, "i-accounts-"+zone, accounts, zone, 6, 800*time.Millisecond); err != nil {
			fail("%v", err)
		}
	}
	g, err := startGateway(dir, "edge-muscat-a-1", "muscat-a", st.address)
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, g.kill)
	if !g.awaitReady(10 * time.Second) {
		fail("the gateway is not ready")
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var stopped time.Time
	answered, lost := 0, 0
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 90 * time.Millisecond)
			c := newClient(key)
			for {
				mu.Lock()
				ended := !stopped.IsZero() && time.Since(stopped) > 2500*time.Millisecond
				mu.Unlock()
				if ended {
					return
				}
				id, sentAt := newID(), time.Now()
				a := c.send(g, http.MethodPost, purchasePath+"buy", id, []byte("{}"), 2500*time.Millisecond)
				n := rs.of(id)
				note("purchase %s, sent %.3f s after the start: %v; runs: %d", id, sentAt.Sub(began).Seconds(), a, n)
				mu.Lock()
				switch {
				case a.err == nil:
					answered++
				case n > 0 && !isTimeout(a.err):
					lost++
				}
				mu.Unlock()
				if a.err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	g.mu.Lock()
	g.stopping = true // it is started again below, after the grace time
	ended := g.ended
	g.mu.Unlock()
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	note("SIGTERM")
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if disrupted {
		if err := g.changeSettings(); err != nil {
			fail("%v", err)
		}
		note("the settings file changes: SIGHUP")
		g.signal(syscall.SIGHUP)
	}
	select {
	case <-ended:
	case <-time.After(7 * time.Second):
		note("SIGKILL after grace_s")
		g.signal(syscall.SIGKILL)
		<-ended
	}
	note("the process has ended %.1f s after SIGTERM: %v", time.Since(stopped).Seconds(), g.state())
	clients.Wait()
	verdict(lost > 0, "%d purchases that a server ran lost their channel without an answer, within 2.5 s after SIGTERM; %d were answered",
		lost, answered)
}
