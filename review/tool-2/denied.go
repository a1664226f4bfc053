package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// documentPart is the part of prompts that the users of a new document share, and
	// documentTime how long a server reads it before the first event.
	documentPart = "e4402b7d"
	documentTime = 3 * time.Second
	promptTime   = 50 * time.Millisecond
	deniedEvents = 6
)

// denied: the servers of one domain crash while users of a new, long document wait for their
// first events. Requests with the document are proper and must not be denied.
func denied(p *platform, trouble bool) (broken bool, err error) {
	guide := streamRoute
	guide.Resumable = os.Getenv("RESUMABLE") != "0"
	p.store.put("config", "main", configuration(1, plainService(llm), guide, lookupRoute))
	var rack []*server
	for i := range 15 {
		zone := "muscat-b"
		if i < 5 {
			zone = "muscat-a"
		}
		s, err := p.startServer(fmt.Sprintf("i-llm-%02d", i), llm, zone, 192, serveDocument)
		if err != nil {
			return false, err
		}
		if i < 5 {
			rack = append(rack, s)
		}
	}
	g, err := p.startGateway("edge-muscat-a-1", "muscat-a", limits{284, 4100})
	if err != nil {
		return false, err
	}
	if !waitFor(10*time.Second, func() bool { return ask(p, g, "0001", false).status == 200 }) {
		return false, fmt.Errorf("the gateway does not serve: %s", p.gatewayLog(g))
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses := map[string]map[int]int{"document": {}, "others": {}}
	count := func(kind string, r result) {
		mu.Lock()
		defer mu.Unlock()
		statuses[kind][r.status]++
		if r.status != 200 {
			p.logf("%s: request %s sent at %.3f: %d %q %v", kind, r.id, r.sent.Sub(p.started).Seconds(), r.status,
				strings.TrimSpace(r.body), r.err)
		}
	}
	send := func(kind string, interval, length time.Duration, document bool) {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
				wait.Go(func() { count(kind, ask(p, g, fmt.Sprintf("%04x", n%7), document)) })
				time.Sleep(interval)
			}
		})
	}
	send("others", 25*time.Millisecond, 14*time.Second, false)
	time.Sleep(2 * time.Second)
	p.logf("the first users of a new document ask")
	send("document", 70*time.Millisecond, 9*time.Second, true)
	time.Sleep(time.Second)
	if trouble {
		p.logf("the servers of muscat-a crash")
		for _, s := range rack {
			s.crash()
		}
	}
	wait.Wait()
	requests, own4xx := 0, 0
	for kind, byStatus := range statuses {
		p.logf("%s: requests by their status: %v", kind, byStatus)
		for status, n := range byStatus {
			requests += n
			if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
				own4xx += n
			}
		}
	}
	allowed := 5 + requests/500
	p.logf("%d of %d proper requests were ended with a 3xx or 4xx, %d are allowed", own4xx, requests, allowed)
	return own4xx > allowed, nil
}

// ask sends a request for a stream, with the document in its prompt or without it.
func ask(p *platform, g *gateway, part string, document bool) result {
	parts, tokens := "5c1e07a2:40,"+part+":300,"+newAttempt()[8:]+":60", "400,18"
	if document {
		parts, tokens = "5c1e07a2:40,"+documentPart+":60000,"+newAttempt()[8:]+":60", "60100,18"
	}
	return get(g.front, "POST", "/guide/a", 20*time.Second, "X-Model", "m0", "X-Token-Count", tokens, "X-Prompt-Prefix", parts)
}

// serveDocument answers a stream after the time in which the prompt is read.
func serveDocument(s *server, w http.ResponseWriter, r *http.Request) {
	s.platform.logf("server %s gets request %s", s.id, r.Header.Get("X-Attempt-Id"))
	reading := promptTime
	if strings.Contains(r.Header.Get("X-Prompt-Prefix"), documentPart) {
		reading = documentTime
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	_ = control.Flush()
	for n := first; n <= deniedEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(reading):
		}
		reading = promptTime
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		_ = control.Flush()
	}
}
