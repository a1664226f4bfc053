//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A list has pages of at most so many items and bytes.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// store is a stand-in of the platform's store: objects by kind and name with revisions, lists,
// watches, conditional writes.
type store struct {
	address string

	// mu guards the fields below.
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	// changed is closed and replaced at each change.
	changed chan struct{}
	// delay is the time of an answer, rate the bytes a second, 0 for no limit.
	delay time.Duration
	rate  float64
}

// setPace sets how long an answer takes, and how many bytes a second are sent.
func (s *store) setPace(delay time.Duration, bytesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.rate = delay, bytesPerSecond
}

// pause takes the time of an answer of a number of bytes.
func (s *store) pause(bytes int) {
	s.mu.Lock()
	d := s.delay
	if s.rate > 0 {
		d += time.Duration(float64(bytes) / s.rate * float64(time.Second))
	}
	s.mu.Unlock()
	time.Sleep(d)
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is an event of the history; rev is the store's revision at the change.
type change struct {
	kind    string
	rev     uint64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

func startStore(r *run) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	r.atEnd(func() { _ = server.Close() })
	return s, nil
}

// put writes an object, as the operator, a server or another writer does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.publish(change{kind: kind, rev: s.rev, Deleted: true, Object: o})
}

// write changes an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, exists := s.kinds[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.rev++
	if !exists {
		o = object{Metadata: metadata{Name: name, Created: s.rev, Finalizers: []string{}}}
	}
	o.Metadata.Rev, o.Spec = s.rev, spec
	s.kinds[kind][name] = o
	s.publish(change{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, exists := s.kinds[kind][name]
		s.mu.Unlock()
		if !exists {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	default:
		s.serveList(w, r, kind)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, rev := []object{}, s.rev
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	bytes, page := 0, 0
	for page < len(items) && page < pageItems && (page == 0 || bytes+len(items[page].Spec) <= pageBytes) {
		bytes += len(items[page].Spec)
		page++
	}
	s.pause(bytes)
	answer(w, http.StatusOK, map[string]any{"items": items[:page], "truncated": page < len(items), "as_of": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, rev, changed := []change{}, s.rev, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.rev > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		answer(w, http.StatusOK, struct{}{})
		return
	}
	var body object
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, body.Metadata.Rev != 0 && exists && body.Metadata.Rev != old.Metadata.Rev:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		answer(w, http.StatusNotFound, struct{}{})
	default:
		answer(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
