// Package service is a stand-in for a plain service. It executes each call, also
// one whose idempotency key has been used before, and records the execution with
// its key, so that tests detect a call that runs twice.
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
	// PathExecutions serves the recorded executions.
	PathExecutions = "/executions"
	// PathOptions serves (GET) and replaces (PUT) Options.
	PathOptions = "/standin/options"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Execution records one execution of an operation.
type Execution struct {
	// Number is the sequential number of the execution, starting at 1.
	Number         int    `json:"number"`
	Operation      string `json:"operation"`
	Method         string `json:"method"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	Body           string `json:"body,omitempty"`
	// Status is the HTTP status of the response. It is set but not sent if Dropped
	// is true.
	Status int `json:"status"`
	// Dropped is true if the stand-in closes the connection after the execution
	// without sending a response.
	Dropped bool `json:"dropped,omitempty"`
}

// Result is the body of a response to a call.
type Result struct {
	Number    int    `json:"number"`
	Operation string `json:"operation"`
}

// Options control the behaviour of the stand-in and may change at run time.
type Options struct {
	// DelayMillis delays each execution. A delayed call executes even if the
	// caller has disconnected.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// ResponseDelayMillis delays each response after the execution.
	ResponseDelayMillis int64 `json:"answer_delay_ms,omitempty"`
	// Status is the HTTP status of responses. Default 200. Calls execute with
	// any status.
	Status int `json:"status,omitempty"`
	// DropResponses is the number of calls, starting with the next one, that
	// execute but whose connection is closed without a response.
	DropResponses int `json:"drop,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu         sync.Mutex
	options    Options
	executions []Execution
}

// NewServer returns a stand-in without executions.
func NewServer(o Options) *Server { return &Server{options: o} }

// SetOptions replaces the options.
func (s *Server) SetOptions(o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options = o
}

// Options returns the current options. Each execution whose response is dropped
// decrements DropResponses.
func (s *Server) Options() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options
}

// Executions returns a copy of all recorded executions, in order.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// Duplicates returns the idempotency keys with which an operation executed more
// than once.
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

// recordExecution sets Number, Status and Dropped of e according to the options,
// appends e to the recorded executions and returns it. If DropResponses is above
// 0, it decrements it and sets Dropped.
func (s *Server) recordExecution(e Execution) Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Number = len(s.executions) + 1
	e.Status = http.StatusOK
	if s.options.Status != 0 {
		e.Status = s.options.Status
	}
	if s.options.DropResponses > 0 {
		s.options.DropResponses--
		e.Dropped = true
	}
	s.executions = append(s.executions, e)
	return e
}

// Handler returns the HTTP API of the service, POST and GET /OPERATION,
// together with the stand-in's own paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	httpjson.HandleValue(mux, PathOptions, maxBodyBytes, s.Options, s.SetOptions)
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
	e := s.recordExecution(Execution{
		Operation: r.PathValue("operation"), Method: r.Method, Body: string(body),
		IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey), RequestID: r.Header.Get(api.HeaderRequestID),
	})
	time.Sleep(time.Duration(options.ResponseDelayMillis) * time.Millisecond)
	if e.Dropped {
		httpjson.CloseConnection()
	}
	httpjson.Write(w, e.Status, Result{Number: e.Number, Operation: e.Operation})
}
