package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: objects by kind and name, lists, watches and conditional writes.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	changed chan struct{}
	// era is the number in all answers, one higher after each restore. away is true while the
	// store refuses all calls.
	era  uint64
	away bool
}

// copied is an older state of the store.
type copied struct {
	rev     uint64
	kinds   map[string]map[string]object
	history []change
}

// copyNow returns the present state.
func (s *store) copyNow() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{s.rev, make(map[string]map[string]object), slices.Clone(s.history)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// leave makes the store refuse all calls until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy. Revisions are given out again from there.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.kinds, s.history, s.away = c.rev, c.kinds, c.history, false
	s.era++
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one entry of the history.
type change struct {
	kind    string
	at      uint64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), rev: 1, era: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object as the operator or a server does. When it returns, the store has
// acknowledged the write.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Metadata.Rev
}

// write replaces the spec of an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, exists := s.kinds[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.rev++
	o.Metadata.Name, o.Metadata.Rev, o.Spec = name, s.rev, spec
	if !exists {
		o.Metadata.Created = int64(s.rev)
	}
	s.kinds[kind][name] = o
	s.record(change{kind: kind, at: s.rev, Object: o})
	return o
}

// remove deletes an object. The caller holds mu.
func (s *store) remove(kind, name string) {
	o, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.record(change{kind: kind, at: s.rev, Deleted: true, Object: o})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	away := s.away
	s.mu.Unlock()
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name != "":
		s.serveGet(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.kinds[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as_of": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, rev, changed := []change{}, s.rev, s.changed
		if after > rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, c := range s.history {
			if c.kind == kind && c.at > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
			if s.isAway() {
				panic(http.ErrAbortHandler) // a watch that waits may be cut off
			}
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	var body object
	if err != nil || r.Method != http.MethodDelete && json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = body.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, body.Metadata.Rev != 0 && body.Metadata.Rev != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete && !exists, r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
