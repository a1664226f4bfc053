package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, tenant, method, target string
	bytes                              int64
	at                                 time.Time
}

// runs records the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// of returns how often the request with an id was run.
func (r *runs) of(id string) int {
	n := 0
	for _, x := range r.all() {
		if x.id == id {
			n++
		}
	}
	return n
}

// plainServer is a sound server of a plain service.
type plainServer struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	runs                       *runs
	store                      *store

	// places holds an element for each request that the server works on.
	places chan struct{}

	mu      sync.Mutex
	waiting int
	seq     int
}

// queueLength is how many requests a server lets wait for a place.
const queueLength = 24

func startPlainServer(st *store, rs *runs, id, service, zone string, slots int, work time.Duration) (*plainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(), runs: rs, store: st, places: make(chan struct{}, slots),
	}
	server := &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = server.Serve(l) }()
	cleanups = append(cleanups, func() { _ = server.Close() })
	s.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the server's entry to the store, unless that is away. Between two changes only seq differs.
func (s *plainServer) beat() {
	if s.store.isAway() {
		return
	}
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": s.born,
	})
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if r.URL.Path == "/v1/report" || r.URL.Path == "/v1/order" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	bytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !s.begin(r.Context()) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.places }()
	s.runs.add(run{id, s.id, r.Header.Get("X-Tenant"), r.Method, r.RequestURI, bytes, time.Now()})
	time.Sleep(s.work)
	w.Header().Set("X-Response-Seal", "seal-of-"+s.id)
	body := fmt.Sprintf("answer of %s to %s\n", s.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// begin waits for a place. It returns false if too many requests wait or the caller has left.
func (s *plainServer) begin(ctx context.Context) bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
