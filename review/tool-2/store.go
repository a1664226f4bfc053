package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision
// counter, conditional writes and watches.
type store struct {
	address string
	server  *http.Server

	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev,omitempty"`
	Created    uint64   `json:"created,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]*object),
		changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object without a condition and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Metadata.Rev
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for name := range s.objects[kind] {
		list = append(list, name)
	}
	return list
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Spec, o.Metadata.Rev = spec, s.revision
	s.record(event{kind: kind, rev: s.revision, Object: *o})
	return *o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(event{kind: kind, rev: s.revision, Object: *o, Deleted: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.change(w, r, kind, name, status)
	case http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, changed, now := []event{}, s.changed, s.revision
		for _, e := range s.history {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = body.Metadata.Name
	}
	o := s.objects[kind][name]
	switch {
	case create && o != nil, o != nil && body.Metadata.Rev != 0 && body.Metadata.Rev != o.Metadata.Rev:
		reply(w, http.StatusConflict, o)
	case !create && o == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case status:
		o.Status = body.Status
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
