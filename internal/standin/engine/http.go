package engine

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	api "github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/standin/httpjson"
)

// maxBodyBytes bounds a request body in bytes.
const maxBodyBytes = 64 << 20

// Paths of the stand-in's own API.
const (
	// PathRuns serves RunReport or, with ?request=ID, RequestRuns. DELETE resets the
	// run counters.
	PathRuns = "/standin/runs"
	// PathControls serves (GET) and replaces (PUT) Controls.
	PathControls = "/standin/controls"
	// PathExecutedOrders serves the orders that the engine executed.
	PathExecutedOrders = "/standin/orders"
)

// Handler returns a handler that serves the engine's HTTP API and the stand-in's
// own API.
func (s *Server) Handler() http.Handler {
	v1 := http.NewServeMux()
	v1.HandleFunc("GET "+api.PathInfo, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Info())
	})
	v1.HandleFunc("GET "+api.PathLoadReport, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Load())
	})
	v1.HandleFunc("POST "+api.PathBatch, s.serveBatch)
	v1.HandleFunc("GET "+api.PathSequences+"{id}", s.serveSequence)
	v1.HandleFunc("DELETE "+api.PathSequences+"{id}", s.serveCancel)
	v1.HandleFunc("GET "+api.PathSequences+"{id}/kv", s.serveKVExport)
	v1.HandleFunc("PUT "+api.PathSequences+"{id}/kv", s.serveKVImport)
	v1.HandleFunc("GET "+api.PathCacheEvents, s.serveCacheEvents)
	v1.HandleFunc("POST "+api.PathOrders, s.serveOrder)

	mux := http.NewServeMux()
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		s.waitWhileFrozen(r.Context())
		if s.Controls().Down {
			httpjson.Error(w, http.StatusServiceUnavailable, "engine down")
			return
		}
		v1.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) {
		if id := r.URL.Query().Get("request"); id != "" {
			httpjson.Write(w, http.StatusOK, s.RequestRuns(id))
			return
		}
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("DELETE "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		s.ResetRuns()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathControls, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Controls())
	})
	mux.HandleFunc("PUT "+PathControls, func(w http.ResponseWriter, r *http.Request) {
		var c Controls
		if httpjson.Read(w, r, maxBodyBytes, &c) {
			s.SetControls(c)
			httpjson.Write(w, http.StatusOK, s.Controls())
		}
	})
	mux.HandleFunc("GET "+PathExecutedOrders, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Orders())
	})
	return mux
}

func (s *Server) serveBatch(w http.ResponseWriter, r *http.Request) {
	var batch api.BatchRequest
	if !httpjson.Read(w, r, maxBodyBytes, &batch) {
		return
	}
	results, err := s.Batch(r.Context(), batch.Steps)
	if errors.Is(err, errQueueFull) || errors.Is(err, errClosed) {
		httpjson.Error(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.waitWhileFrozen(r.Context())
	if err != nil || s.shouldLoseResponse() {
		httpjson.CloseConnection() // does not return
	}
	httpjson.Write(w, http.StatusOK, api.BatchResponse{Results: results})
}

// shouldLoseResponse reports whether the response to the current batch is to be lost
// and, if so, decrements Controls.LoseResponses.
func (s *Server) shouldLoseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.controls.LoseResponses == 0 {
		return false
	}
	s.controls.LoseResponses--
	return true
}

func (s *Server) serveSequence(w http.ResponseWriter, r *http.Request) {
	status, ok := s.Sequence(r.PathValue("id"))
	if !ok {
		httpjson.Error(w, http.StatusNotFound, errUnknownSequence.Error())
		return
	}
	httpjson.Write(w, http.StatusOK, status)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.Cancel(r.PathValue("id")) {
		httpjson.Error(w, http.StatusNotFound, errUnknownSequence.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveKVExport(w http.ResponseWriter, r *http.Request) {
	kv, err := s.ExportKV(r.PathValue("id"))
	if err != nil {
		httpjson.Error(w, http.StatusNotFound, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(kv)
}

func (s *Server) serveKVImport(w http.ResponseWriter, r *http.Request) {
	kv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = s.ImportKV(r.PathValue("id"), kv)
	}
	if err != nil {
		httpjson.Error(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events := s.cache.eventsAfter(after)
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, api.CacheEventsResponse{Events: events})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !httpjson.Read(w, r, maxBodyBytes, &order) {
		return
	}
	switch err := s.Order(order); {
	case errors.Is(err, errStaleFencing):
		httpjson.Error(w, http.StatusConflict, err.Error())
	case err != nil:
		httpjson.Error(w, http.StatusUnprocessableEntity, err.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
