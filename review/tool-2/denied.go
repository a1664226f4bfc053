package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// documentPart is the part of prompts that the users of a new document share, and
	// documentTime how long a server reads it before the first event.
	documentPart  = "e4402b7d"
	documentTime  = 3 * time.Second
	promptTime    = 50 * time.Millisecond
	deniedEvents  = 6
	otherRequests = 900
)

// denied: the servers of one domain crash while the first users of a new, long document wait for
// their first events. Requests with the document stay proper and must not be denied.
func denied(p *platform, trouble bool) (broken bool, err error) {
	guide := streamRoute
	guide.Resumable, guide.MaxAttempts = false, 1
	p.store.put("config", "main", configuration(1, plainService(llm), guide, lookupRoute))
	var domain []*server
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
			domain = append(domain, s)
		}
	}
	g, err := p.startGateway("edge-muscat-a-1", "muscat-a", limits{284, 4100})
	if err != nil {
		return false, err
	}
	if !waitFor(10*time.Second, func() bool { return ask(g, "0001", false).status == 200 }) {
		return false, fmt.Errorf("the gateway does not serve: %s", p.gatewayLog(g))
	}
	t := &tally{p: p, statuses: map[string]map[int]int{}}
	t.send(g, "other requests", otherRequests, 25*time.Millisecond, false)
	time.Sleep(2 * time.Second)
	p.logf("the first users of a new document ask")
	t.send(g, "first users", 10, 20*time.Millisecond, true)
	time.Sleep(time.Second)
	if trouble {
		p.logf("the servers of muscat-a crash")
		for _, s := range domain {
			s.crash()
		}
	}
	time.Sleep(2 * time.Second)
	p.logf("further users of the document ask")
	t.send(g, "further users", 80, 250*time.Millisecond, true)
	t.wait.Wait()
	p.logf("the store has these objects of the kind router-quarantines: %v", p.store.names("router-quarantines"))
	requests, own4xx := t.result()
	allowed := 5 + requests/500
	p.logf("%d of %d proper requests were ended with a 3xx or 4xx of the gateway's own, %d are allowed", own4xx, requests, allowed)
	return own4xx > allowed, nil
}

// tally counts the answers to requests.
type tally struct {
	p    *platform
	wait sync.WaitGroup

	// mu guards statuses, which holds the number of answers by kind of request and status.
	mu       sync.Mutex
	statuses map[string]map[int]int
}

// send sends a number of requests of a kind at an interval, in the background.
func (t *tally) send(g *gateway, kind string, number int, interval time.Duration, document bool) {
	t.wait.Go(func() {
		for n := range number {
			t.wait.Go(func() { t.count(kind, ask(g, fmt.Sprintf("%04x", n%7), document)) })
			time.Sleep(interval)
		}
	})
}

func (t *tally) count(kind string, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses[kind] == nil {
		t.statuses[kind] = make(map[int]int)
	}
	t.statuses[kind][r.status]++
	reason := ""
	if r.status != http.StatusOK {
		reason = strings.TrimSpace(r.body)
	}
	t.p.logf("%s: request %s sent at %.3f: status %d %s %v, a server has got it: %v", kind, r.id,
		r.sent.Sub(t.p.started).Seconds(), r.status, reason, r.err, t.p.passedOn(r.id))
}

// result returns the number of requests, and of those that were ended with a 3xx or 4xx. The
// servers give none.
func (t *tally) result() (requests, own4xx int) {
	for kind, byStatus := range t.statuses {
		t.p.logf("%s: answers by their status: %v", kind, byStatus)
		for status, n := range byStatus {
			requests += n
			if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
				own4xx += n
			}
		}
	}
	return requests, own4xx
}

// ask sends a request for a stream, with the document in its prompt or without it.
func ask(g *gateway, part string, document bool) result {
	parts, tokens := "5c1e07a2:40,"+part+":300,"+newAttempt()[8:]+":60", "400,18"
	if document {
		parts, tokens = "5c1e07a2:40,"+documentPart+":60000,"+newAttempt()[8:]+":60", "60100,18"
	}
	return get(g.front, "POST", "/guide/a", 20*time.Second, "X-Model", "m0", "X-Token-Count", tokens, "X-Prompt-Prefix", parts)
}

// serveDocument answers a stream after the time in which the prompt is read.
func serveDocument(s *server, w http.ResponseWriter, r *http.Request) {
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
