package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The model of the engines. Each server has room for all layers, and for half of them.
const (
	modelLayers = 8
	layerMB     = 1750.0
	kindName    = "a100"
	kindMB      = 72000.0
	loadTime    = 200 * time.Millisecond
	eventTokens = 3
)

// engineService is the entry of a configuration for a service whose servers hold layers.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "engine": map[string]any{
		"layers": modelLayers, "layer_mb": layerMB, "kv_token_bytes": 918000.0, "step_ms": 1.02, "per_seq_ms": 0.00714,
		"context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "stride": 3,
		"act_bytes": 45900.0, "link_mbps": 400000.0, "pipe_mbps": 26000.0, "report_lag_ms": 200, "loads_at_once": 4,
		"usual":  map[string]any{"prompt": 760, "answer": 171},
		"models": []map[string]any{{"name": "m0", "load_s": 1.0}},
		"kinds":  []map[string]any{{"name": kindName, "mb": kindMB, "pace": 2.4, "read_factor": 3.2}},
	}}
}

// layers is the part of the model that an engine holds.
type layers struct {
	From    int `json:"from"`
	To      int `json:"to"`
	Version int `json:"version"`
}

// order is the body of POST /v1/order.
type order struct {
	Op     string `json:"op"`
	Expect *int64 `json:"expect"`
	From   int    `json:"from"`
	To     int    `json:"to"`
}

// serveOrder answers an order. Only "place" is known.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Expect != nil && *o.Expect != s.orders:
		w.WriteHeader(http.StatusConflict)
	case s.held.From == o.From && s.held.To == o.To:
		w.WriteHeader(http.StatusOK)
	default:
		s.orders++
		s.busy = true
		s.platform.logf("server %s is ordered to hold layers %d to %d", s.id, o.From, o.To)
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			s.held, s.busy = layers{o.From, o.To, 1}, false
			s.mu.Unlock()
			s.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// holds reports whether a path of X-Hop-Count is held by the servers that it names.
func (p *platform) holds(path string) bool {
	for _, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		first, _ := strconv.Atoi(from)
		last, _ := strconv.Atoi(to)
		found := false
		for _, s := range p.servers {
			s.mu.Lock()
			found = found || s.address == address && s.held.From <= first && last <= s.held.To
			s.mu.Unlock()
		}
		if !found {
			return false
		}
	}
	return true
}

// serveTokens returns a handler that makes the tokens that a request allows, as events with a
// gap between them.
func serveTokens(gap time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		if path := r.Header.Get("X-Hop-Count"); path != "" && !s.platform.holds(path) {
			w.Header().Del("X-Response-Seal")
			w.Header().Set("At-Server", s.address)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
		tokens, _ := strconv.Atoi(output)
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		s.platform.logf("server %s runs request %s from event %d", s.id, id, first)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := first; n <= tokens/eventTokens; n++ {
			select {
			case <-r.Context().Done():
				s.platform.logf("server %s: the channel of request %s is closed before event %d", s.id, id, n)
				return
			case <-time.After(gap):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
				return
			}
			_ = control.Flush()
		}
		s.platform.logf("server %s has ended request %s", s.id, id)
	}
}
