//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is a sound server of a plain service.
type server struct {
	run     *run
	store   *store
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	born    int64

	// mu guards the fields below.
	mu    sync.Mutex
	state string
	seq   int
	busy  int
	// ran holds how often each request has run.
	ran map[string]int
}

// startServer starts a server that is registered in the store and beats.
func startServer(r *run, s *store, id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{
		run: r, store: s, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(), state: "ready", ran: make(map[string]int),
	}
	h := &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go func() { _ = h.Serve(l) }()
	r.atEnd(func() { _ = h.Close() })
	stop := make(chan struct{})
	r.atEnd(func() { close(stop) })
	v.beat()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				v.beat()
			}
		}
	}()
	return v, nil
}

// beat writes the entry of the server with all of its fields.
func (v *server) beat() {
	v.mu.Lock()
	v.seq++
	entry := map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": v.slots, "state": v.state,
		"cold_left_ms": 0, "seq": v.seq, "born": v.born,
	}
	v.mu.Unlock()
	v.store.put("servers", v.id, entry)
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != v.id {
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !v.begin(id) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.run.note("server %s runs %s %s, %d bytes", v.id, r.Method, id, len(body))
	time.Sleep(v.work)
	v.mu.Lock()
	v.busy--
	v.mu.Unlock()
	text := fmt.Sprintf("answer of %s to %s", v.id, id)
	w.Header().Set("X-Response-Seal", "seal."+v.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// drain makes the server report that it is draining, and returns once the store has accepted that.
func (v *server) drain() {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	v.beat()
}

// runs returns how many of the given requests have run at the server.
func (v *server) runs(ids []string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += v.ran[id]
	}
	return n
}

// begin takes a slot and reports whether there was one.
func (v *server) begin(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy >= v.slots {
		return false
	}
	v.busy++
	v.ran[id]++
	return true
}
