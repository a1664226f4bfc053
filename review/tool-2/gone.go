package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	goneClients = 20
	// goneAhead is how many requests a client sends on its channel, without reading an answer.
	goneAhead = 60
	goneWork  = 800 * time.Millisecond
	// goneAfter is when a client closes its channel.
	goneAfter = 100 * time.Millisecond
	// goneSlack is how long after the close requests may still reach a server, goneFew how many
	// requests later than that are taken for "a few".
	goneSlack = 500 * time.Millisecond
	goneFew   = 5
)

// gone: clients send requests ahead on one channel and leave. Nothing of theirs may reach a
// server later.
func gone(p *platform, trouble bool) (broken bool, err error) {
	lookup, purchase := lookupRoute, purchaseRoute
	lookup.TimeoutMS, lookup.SLOMS, purchase.TimeoutMS = 2500, 1000, 2500
	p.store.put("config", "main", configuration(1, plainService(llm), streamRoute, lookup, purchase))
	runs := &arrivalLog{
		p: p, arrivals: make(map[string][]time.Time), ends: make(map[string]time.Time), paths: make(map[string]string),
	}
	for i := range 3 {
		if _, err := p.startServer(fmt.Sprintf("i-acc-%d", i), accounts, "muscat-a", 64, runs.serve); err != nil {
			return false, err
		}
	}
	g, err := p.startGateway("edge-muscat-a-1", "muscat-a", limits{284, 4100})
	if err != nil {
		return false, err
	}
	if !waitFor(10*time.Second, func() bool { return get(g.front, "GET", "/licence/x", 2*time.Second).status == 200 }) {
		return false, fmt.Errorf("the gateway does not serve: %s", p.gatewayLog(g))
	}
	time.Sleep(time.Second)
	ahead := 1
	if trouble {
		ahead = goneAhead
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	closedAt := make(map[string]time.Time)
	for client := range goneClients {
		// Half of the clients look something up, which may be repeated; the others purchase.
		method, path := "GET", "/licence/x"
		if client%2 == 1 {
			method, path = "POST", "/purchase/x"
		}
		wait.Go(func() {
			c, err := net.DialTimeout("tcp", g.front, time.Second)
			if err != nil {
				return
			}
			var ids []string
			for range ahead {
				id := newAttempt()
				ids = append(ids, id)
				_, _ = io.WriteString(c, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline: 2500\r\n"+
					"Authorization: Token %s\r\nContent-Length: 0\r\n\r\n", method, path, host, id, apiKey))
			}
			time.Sleep(goneAfter)
			_ = c.Close()
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				closedAt[id] = time.Now()
			}
			p.logf("a client sent %s %s as the requests %s to %s and has closed its channel", method, path, ids[0], ids[len(ids)-1])
		})
	}
	wait.Wait()
	time.Sleep(8 * time.Second)
	late, atWork, working := runs.judge(closedAt)
	p.logf("%d requests reached a server over half a second after their requester had closed its channel", late)
	p.logf("servers were still at work half a second after the close on %d of %d lookups that lasted so long", atWork, working)
	return late > goneFew || 4*atWork > working, nil
}

// arrivalLog holds when servers got each request, and for how long they worked on it.
type arrivalLog struct {
	p        *platform
	mu       sync.Mutex
	arrivals map[string][]time.Time
	ends     map[string]time.Time
	paths    map[string]string
}

func (l *arrivalLog) serve(s *server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	l.mu.Lock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
	l.paths[id] = r.Method + " " + r.URL.Path
	l.mu.Unlock()
	l.p.logf("server %s runs request %s", s.id, id)
	select {
	case <-r.Context().Done():
		l.p.logf("server %s drops request %s: its channel is closed", s.id, id)
	case <-time.After(goneWork):
		l.p.logf("server %s has ended request %s", s.id, id)
		_, _ = fmt.Fprintf(w, "answer to %s", id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[id] = time.Now()
}

// judge counts the requests that reached a server too late, and the lookups that servers still
// worked on half a second after the close, of those that began before it and would have lasted so
// long.
func (l *arrivalLog) judge(closedAt map[string]time.Time) (late, atWork, working int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, closed := range closedAt {
		for _, at := range l.arrivals[id] {
			if at.Sub(closed) > goneSlack {
				l.p.logf("%s %s reached a server %.3f s after its requester had closed its channel", l.paths[id], id, at.Sub(closed).Seconds())
				late++
				continue
			}
			if strings.HasPrefix(l.paths[id], "GET") && at.Before(closed) && at.Add(goneWork).Sub(closed) >= goneSlack-20*time.Millisecond {
				working++
				if l.ends[id].Sub(closed) >= goneSlack-20*time.Millisecond {
					atWork++
				}
			}
		}
	}
	return late, atWork, working
}
