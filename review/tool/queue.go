package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queue"] = runQueue }

const (
	// queueBudget is the time budget and the route's timeout, as of the site's streams.
	queueBudget  = 20 * time.Second
	queueClients = 66
	queueWork    = 2 * time.Second
	graceTime    = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	// lastSixth is when the last sixth of the grace time begins, acceptTime until when a request
	// may be excused by it.
	lastSixth  = graceTime * 5 / 6
	acceptTime = 3 * time.Second
)

// attempt is one requester attempt and its end.
type attempt struct {
	id            string
	sentAt, endAt time.Time
	answer        answer
}

// runQueue stops a gateway with SIGTERM while requests wait in it for a place at the servers.
func runQueue(dir string) {
	st, err := newStore()
	if err != nil {
		fail("%v", err)
	}
	rs := &runs{}
	key := "n2ctnfzs989anu6wsjnb"
	st.put("config", "main", configurationWithTimeout(7, []tenant{{"hule930", []string{key}, 1}}, queueBudget))
	for _, zone := range []string{"muscat-a", "muscat-b", "muscat-c"} {
		if _, err := startPlainServer(st, rs, "i-accounts-"+zone, accounts, zone, 6, queueWork); err != nil {
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
	var list []attempt
	var stopAt time.Time
	var clients sync.WaitGroup
	for i := range queueClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := newClient(key)
			for {
				mu.Lock()
				last := !stopAt.IsZero() && time.Since(stopAt) > graceTime
				mu.Unlock()
				if last {
					return
				}
				a := attempt{id: newID(), sentAt: time.Now()}
				a.answer = c.send(g, http.MethodPost, purchasePath+"buy", a.id, []byte("{}"), queueBudget)
				a.endAt = time.Now()
				mu.Lock()
				list = append(list, a)
				mu.Unlock()
				if a.answer.status != http.StatusOK {
					time.Sleep(time.Second)
				}
			}
		})
	}
	time.Sleep(16 * time.Second)
	g.mu.Lock()
	g.stopping = true
	ended := g.ended
	g.mu.Unlock()
	mu.Lock()
	stopAt = time.Now()
	mu.Unlock()
	if disrupted {
		note("SIGTERM")
		g.signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(graceTime):
			note("SIGKILL after grace_s")
			g.signal(syscall.SIGKILL)
			<-ended
		}
		note("the process has ended %.1f s after SIGTERM: %v", time.Since(stopAt).Seconds(), g.state())
	}
	clients.Wait()
	lost, ok, refused := 0, 0, 0
	for _, a := range list {
		n, sent, end := rs.of(a.id), a.sentAt.Sub(stopAt), a.endAt.Sub(stopAt)
		note("purchase %s, sent %.3f s and ended %.3f s after SIGTERM: %v; runs: %d", a.id, sent.Seconds(), end.Seconds(), a.answer, n)
		switch {
		case a.answer.err == nil && a.answer.status == http.StatusOK:
			ok++
		case a.answer.err == nil:
			refused++
		case sent > acceptTime || end < 0 || n > 0 && end > lastSixth:
			// taken after the time that the rule looks at here, not cut by the stop, or excused
		case a.endAt.Sub(a.sentAt) > lossSlack && !isTimeout(a.answer.err):
			lost++
		}
	}
	verdict(lost > 0, "%d requests that the gateway had read, sent up to 3 s after SIGTERM and run by no server, lost their channel"+
		" without an answer; %d were served and %d refused", lost, ok, refused)
}
