//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelLayers = 8
	// streamPieces is the number of events of each stream, pieceTime the time between two.
	streamPieces = 40
	pieceTime    = 50 * time.Millisecond
	loadTime     = time.Second
	engineSlots  = 192
)

// A share of the answers of a server has no length for a while after SIGUSR1, as much as the site's days name
// (garble, unframed).
const (
	unframedShare = 0.05
	unframedTime  = 5 * time.Second
)

// engine is a sound model server that runs as a process of its own.
type engine struct {
	id, zone, store, address string
	born                     int64

	// mu guards the fields below.
	mu         sync.Mutex
	seq, beats int
	from, to   int
	busy       bool
	running    int
	// unframedUntil is until when a share of the answers has no length.
	unframedUntil time.Time
}

// unframed reports whether the next answer has no length.
func (e *engine) unframed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.unframedUntil) && rand.Float64() < unframedShare
}

// serveEngine is the main function of the process.
func serveEngine(args []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{born: time.Now().UnixMilli()}
	flags.StringVar(&e.id, "id", "", "id of the server")
	flags.StringVar(&e.zone, "zone", "", "zone of the server")
	flags.StringVar(&e.store, "store", "", "address of the store")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e.address = l.Addr().String()
	e.beat()
	troubled := make(chan os.Signal, 1)
	signal.Notify(troubled, syscall.SIGUSR1)
	go func() {
		for range troubled {
			e.mu.Lock()
			e.unframedUntil = time.Now().Add(unframedTime)
			e.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	_ = http.Serve(l, e)
	return exitHeld
}

// beat writes the entry of the server.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{
		"service": modelService, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "seq": e.beats, "born": e.born, "kind": "l4", "stage": "colocated",
		"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
		"layers": map[string]int{"from": e.from, "to": e.to, "version": 1},
	}
	e.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": e.id}, "spec": entry})
	if e.write(http.MethodPut, "/v1/objects/servers/"+e.id, data) == http.StatusNotFound {
		e.write(http.MethodPost, "/v1/objects/servers", data)
	}
}

func (e *engine) write(method, path string, data []byte) int {
	req, err := http.NewRequest(method, "http://"+e.store+path, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.Header.Get("X-Target-Instance")
	switch {
	case target != "" && target != e.id:
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/v1/report":
		e.serveReport(w)
	case r.URL.Path == "/v1/order":
		e.serveOrder(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": e.busy,
		"seq": e.seq, "waiting": 0, "running": e.running, "kv_used": e.running * 840 * modelLayers, "kv_total": 600_000, "handles": 0,
		"pace": 1, "born": e.born, "layers": map[string]int{"from": e.from, "to": e.to, "version": 1}, "stalled": []any{},
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op       string
		From, To int
		Expect   *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "place" {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, order.Expect != nil && *order.Expect != e.seq:
		answer(w, http.StatusConflict, struct{}{})
		return
	case e.from == order.From && e.to == order.To:
		answer(w, http.StatusOK, struct{}{})
		return
	}
	e.seq++
	e.busy = true
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.busy, e.from, e.to = false, order.From, order.To
		e.mu.Unlock()
		e.beat()
	})
	answer(w, http.StatusAccepted, struct{}{})
}

// serveStream runs a request whose path is this server alone.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	holds := e.from == 0 && e.to == modelLayers
	full := e.running >= engineSlots
	if holds && !full {
		e.running++
	}
	e.mu.Unlock()
	if !holds || full || strings.Count(r.Header.Get("X-Hop-Count"), ",") > 0 {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("At-Server", e.address)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Seal", "seal."+e.id+"."+id)
	h.Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !e.unframed() {
		writePieces(w, http.NewResponseController(w).Flush, id, last)
		return
	}
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(rw, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = h.Write(rw)
	_, _ = io.WriteString(rw, "\r\n")
	writePieces(rw, rw.Flush, id, last)
}

// writePieces writes the events of a stream that follow the event last.
func writePieces(w io.Writer, flush func() error, id string, last int) {
	for n := last + 1; n <= streamPieces; n++ {
		time.Sleep(pieceTime)
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if flush() != nil {
			return
		}
	}
}

// engineProcess is a model server of the run.
type engineProcess struct {
	id, zone string
	cmd      *exec.Cmd
}

// startEngine starts a model server as a process of its own.
func startEngine(r *run, s *store, id, zone string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "engine", "-id", id, "-zone", zone, "-store", s.address)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	r.atEnd(func() { _ = cmd.Process.Signal(syscall.SIGKILL); <-ended })
	return &engineProcess{id, zone, cmd}, nil
}
