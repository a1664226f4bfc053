// Package service is a stand-in of a plain service. It records each execution
// and ignores idempotency keys, so that a call that runs twice shows.
package service

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	api "github.com/nutmegroute/nutmegroute/internal/service"
	"github.com/nutmegroute/nutmegroute/internal/standin/httpjson"
)

// Paths of the stand-in's own API.
const (
	// PathExecutions serves the ledger.
	PathExecutions = "/executions"
	// PathOptions serves (GET) and replaces (PUT) Options.
	PathOptions = "/standin/options"
)

// maxBodyBytes bounds a request body in bytes.
const maxBodyBytes = 16 << 20

// Execution is one entry of the ledger.
type Execution struct {
	// Number counts executions from 1.
	Number         int    `json:"number"`
	Operation      string `json:"operation"`
	Method         string `json:"method"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	Body           string `json:"body,omitempty"`
	// Status is the HTTP status of the response.
	Status int `json:"status"`
	// Dropped is true if the connection was closed instead of being answered.
	Dropped bool `json:"dropped,omitempty"`
}

// Result is the body of a response.
type Result struct {
	Number    int    `json:"number"`
	Operation string `json:"operation"`
}

// Options changes the service's behaviour. They may change at run time.
type Options struct {
	// DelayMillis delays each execution. A delayed call executes even if its
	// caller has given up.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// ResponseDelayMillis delays each response after the execution.
	ResponseDelayMillis int64 `json:"answer_delay_ms,omitempty"`
	// Status is the status of responses. Default 200. Calls execute whatever
	// the status.
	Status int `json:"status,omitempty"`
	// DropResponses is the number of next calls that execute but whose connection is
	// closed instead of being answered.
	DropResponses int `json:"drop,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	options Options
	ledger  []Execution
}

// NewServer returns a service with an empty ledger.
func NewServer(o Options) *Server { return &Server{options: o} }

// SetOptions replaces the options.
func (s *Server) SetOptions(o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options = o
}

// Options returns the current options; Drop counts down.
func (s *Server) Options() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options
}

// Executions returns the ledger.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.ledger...)
}

// Duplicates returns the idempotency keys that executed more than once.
func (s *Server) Duplicates() []string {
	seen := make(map[[2]string]bool)
	var duplicates []string
	for _, e := range s.Executions() {
		id := [2]string{e.Operation, e.IdempotencyKey}
		if e.IdempotencyKey != "" && seen[id] && !slices.Contains(duplicates, e.IdempotencyKey) {
			duplicates = append(duplicates, e.IdempotencyKey)
		}
		seen[id] = true
	}
	return duplicates
}

// execute appends e to the ledger and completes it.
func (s *Server) execute(e Execution) Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Number = len(s.ledger) + 1
	e.Status = http.StatusOK
	if s.options.Status != 0 {
		e.Status = s.options.Status
	}
	if s.options.DropResponses > 0 {
		s.options.DropResponses--
		e.Dropped = true
	}
	s.ledger = append(s.ledger, e)
	return e
}

// Handler returns the service's HTTP API: POST or GET /OPERATION, and the
// stand-in's own paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET "+PathOptions, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Options())
	})
	mux.HandleFunc("PUT "+PathOptions, func(w http.ResponseWriter, r *http.Request) {
		var o Options
		if httpjson.Read(w, r, maxBodyBytes, &o) {
			s.SetOptions(o)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /{operation}", s.serveCall)
	mux.HandleFunc("GET /{operation}", s.serveCall)
	return mux
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	options := s.Options()
	time.Sleep(time.Duration(options.DelayMillis) * time.Millisecond)
	e := s.execute(Execution{
		Operation: r.PathValue("operation"), Method: r.Method, Body: string(body),
		IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey), RequestID: r.Header.Get(api.HeaderRequestID),
	})
	time.Sleep(time.Duration(options.ResponseDelayMillis) * time.Millisecond)
	if e.Dropped {
		httpjson.CloseConnection()
	}
	httpjson.Write(w, e.Status, Result{Number: e.Number, Operation: e.Operation})
}
