//go:build review

package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases[11] = playForeignEntry }

const (
	foreignAfter = 4 * time.Second
	foreignFor   = 12 * time.Second
	// sendPause is the pause between two requests of a requester.
	sendPause = 120 * time.Millisecond
)

// playForeignEntry sends purchases and licence checks while an entry of another writer, of which
// fields are missing, stands among the servers. What listens at its address is no server.
func playForeignEntry(r *run) error {
	s, err := startStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", configuration(7))
	for n, zone := range zones {
		id := []string{"i-7f3a91c2", "i-02d9e6b4", "i-c41b7e09"}[n]
		if _, err := startServer(r, s, id, service, zone, 6, 15*time.Millisecond); err != nil {
			return err
		}
	}
	gateways, err := startGateways(r, s, len(zones))
	if err != nil {
		return err
	}
	foreign, err := startForeignProcess(r)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 * len(gateways) {
		q := newRequester(r, gateways[n%len(gateways)])
		clients.Go(func() {
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(sendPause):
				}
				method, path, body := http.MethodPost, "/purchase/2f", "pack=oman-female-2&price=4.500"
				if i%3 == 2 {
					method, path, body = http.MethodGet, "/check/2f", ""
				}
				res := q.send(method, path, body)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			}
		})
	}
	time.Sleep(foreignAfter)
	if r.trouble {
		r.note("another writer leaves an entry without slots, version, cold_left_ms, seq and born")
		s.put("servers", "node-agent-muscat-a", map[string]any{
			"service": service, "address": foreign, "zone": zones[0], "state": "ready",
		})
	}
	time.Sleep(foreignFor)
	close(stop)
	clients.Wait()
	judgeDenied(r, results)
	return nil
}

// startForeignProcess starts an HTTP server that is no server of the platform and knows no path.
func startForeignProcess(r *run) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.note("the process at the foreign entry's address gets %s %s", q.Method, q.Header.Get("X-Attempt-Id"))
		w.Header().Set("Connection", "close") // as small servers do that keep no channels
		http.NotFound(w, q)
	})}
	go func() { _ = h.Serve(l) }()
	r.atEnd(func() { _ = h.Close() })
	return l.Addr().String(), nil
}

// judgeDenied checks DENIED: at most 5 + one in 500 of all requests end with a 3xx or 4xx of the system's
// own, other than 408, 421 and 429.
func judgeDenied(r *run, results []result) {
	denied, purchases, served := 0, 0, 0
	for _, res := range results {
		switch {
		case res.status == http.StatusOK && res.sealed:
			served++
		case res.status < 300 || res.status >= 500 || res.sealed:
		case res.status == http.StatusRequestTimeout, res.status == http.StatusMisdirectedRequest, res.status == http.StatusTooManyRequests:
		default:
			denied++
			if res.method == http.MethodPost {
				purchases++
			}
		}
	}
	r.note("%d requests, %d served, %d denied, of which %d purchases", len(results), served, denied, purchases)
	if limit := 5 + len(results)/500; denied > limit {
		r.breaks("DENIED: %d of %d proper requests ended with an unsealed 3xx or 4xx, %d of them purchases; %d are allowed",
			denied, len(results), purchases, limit)
	}
}
