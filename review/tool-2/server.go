package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a server of a service. Its handler gets the requests that are meant
// for it.
type server struct {
	id, service, zone, address string
	slots                      int
	handler                    func(s *server, w http.ResponseWriter, r *http.Request)
	platform                   *platform
	http                       *http.Server
	born                       int64
	stopped                    chan struct{}
	running                    atomic.Int64
	crashOnce                  sync.Once
	// engine is true for a server that holds layers of a model.
	engine bool

	// mu guards the fields below.
	mu     sync.Mutex
	seq    int
	orders int64
	busy   bool
	held   layers
}

// startServer starts a server of a plain service and registers it.
func (p *platform) startServer(id, service, zone string, slots int,
	handler func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	return p.addServer(id, service, zone, slots, false, handler)
}

// startEngine starts a server that holds layers of a model, none at first, and registers it.
func (p *platform) startEngine(id, service, zone string, slots int,
	handler func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	return p.addServer(id, service, zone, slots, true, handler)
}

func (p *platform) addServer(id, service, zone string, slots int, engine bool,
	handler func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, handler: handler, platform: p,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}), engine: engine,
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.keepRegistered()
	p.servers = append(p.servers, s)
	return s, nil
}

func (s *server) keepRegistered() {
	for {
		s.register()
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the entry of the server.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.engine {
		entry["stage"], entry["kind"], entry["layers"] = "colocated", kindName, s.held
	}
	s.platform.store.put("servers", s.id, entry)
}

// crash ends the server without notice: its connections are closed and nothing listens at its
// address. Its entry is removed after three heartbeats.
func (s *server) crash() {
	s.crashOnce.Do(func() {
		close(s.stopped)
		_ = s.http.Close()
		time.AfterFunc(3*heartbeat, func() { s.platform.store.remove("servers", s.id) })
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.URL.Path == "/v1/report" {
		s.serveReport(w)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/order" {
		s.serveOrder(w, r)
		return
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.platform.noteArrival(id)
	w.Header().Set("X-Response-Seal", "seal."+s.id+"."+id)
	s.handler(s, w, r)
}

// serveReport answers GET /v1/report.
func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := map[string]any{
		"stage": "colocated", "models": []any{}, "busy": s.busy, "seq": s.orders, "waiting": 0, "running": s.running.Load(),
		"kv_used": 0, "kv_total": 1000000, "handles": 0, "pace": 1.0, "stalled": []any{},
	}
	if s.engine {
		report["kind"], report["layers"] = kindName, s.held
	}
	reply(w, http.StatusOK, report)
}
