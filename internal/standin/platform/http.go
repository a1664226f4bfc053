package platform

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
	"github.com/nutmegroute/nutmegroute/internal/standin/httpjson"
)

// Paths of the stand-in's own API.
const (
	// PathFaults serves (GET) and replaces (PUT) Faults.
	PathFaults = "/standin/faults"
	// PathInstances serves the list of instances without lag (GET), adds or
	// replaces an instance (POST) and removes one (DELETE ?id=ID).
	PathInstances = "/standin/instances"
	// PathInstanceLag sets the lag of the list of instances (PUT InstanceLag).
	PathInstanceLag = "/standin/instances/lag"
	// PathCounters serves Counters (GET).
	PathCounters = "/standin/counters"
)

const (
	// maxBodyBytes is the maximum size of a request body: a value of maximum
	// size, which base64 enlarges by a third, and the other fields.
	maxBodyBytes = (api.MaxValueBytes+2)/3*4 + 1024
	// defaultWatchSeconds and maxWatchSeconds are the default and maximum time
	// that a watch waits for a change.
	defaultWatchSeconds = 30
	maxWatchSeconds     = 300
)

// InstanceLag is the body of PUT PathInstanceLag.
type InstanceLag struct {
	LagMillis int64 `json:"lag_ms"`
}

// Handler returns the HTTP API of the platform together with the stand-in's own
// paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		if !respondOutage(w, s.Faults().InstancesOutage) {
			s.mu.Lock()
			rows := s.instances.visibleAt(s.now())
			s.mu.Unlock()
			httpjson.Write(w, http.StatusOK, api.InstancesResponse{Instances: rows})
		}
	})
	mux.HandleFunc("GET "+api.PathObjects, s.withReadFaults(s.serveList))
	mux.HandleFunc("GET "+api.PathWatch, s.withReadFaults(s.serveWatch))
	httpjson.HandleValue(mux, PathFaults, maxBodyBytes, s.Faults, s.SetFaults)
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET "+PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		rows := sortedByID(s.instances.current)
		s.mu.Unlock()
		httpjson.Write(w, http.StatusOK, api.InstancesResponse{Instances: rows})
	})
	mux.HandleFunc("POST "+PathInstances, func(w http.ResponseWriter, r *http.Request) {
		var i api.Instance
		if httpjson.Read(w, r, maxBodyBytes, &i) {
			s.RegisterInstance(i)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("DELETE "+PathInstances, func(w http.ResponseWriter, r *http.Request) {
		if !s.RemoveInstance(r.URL.Query().Get("id")) {
			httpjson.Error(w, http.StatusNotFound, "unknown instance")
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT "+PathInstanceLag, func(w http.ResponseWriter, r *http.Request) {
		var lag InstanceLag
		if httpjson.Read(w, r, maxBodyBytes, &lag) {
			s.SetInstanceLag(time.Duration(lag.LagMillis) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	// Keys are matched outside the ServeMux, which would redirect requests for
	// keys that are not clean paths.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if key, ok := strings.CutPrefix(r.URL.Path, api.PathObjects+"/"); ok && key != "" {
			s.serveObject(w, r, key)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		s.withReadFaults(func(w http.ResponseWriter, _ *http.Request) { s.serveGet(w, key) })(w, r)
	case http.MethodPut, http.MethodDelete:
		s.serveWrite(w, r, key)
	default:
		httpjson.Error(w, http.StatusMethodNotAllowed, "method not allowed")
	}
}

// respondOutage responds to a request according to the outage mode and returns
// true. Without an outage it returns false.
func respondOutage(w http.ResponseWriter, mode OutageMode) bool {
	switch mode {
	case OutageNone:
		return false
	case OutageCloseConnection:
		httpjson.CloseConnection()
	}
	httpjson.Error(w, http.StatusServiceUnavailable, "unavailable")
	return true
}

// withReadFaults returns a handler that counts a read and applies the delay and
// the outage mode before it calls next.
func (s *Server) withReadFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.counters.Reads++
		delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
		s.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		if !respondOutage(w, s.Faults().Outage) {
			next(w, r)
		}
	}
}

func (s *Server) serveGet(w http.ResponseWriter, key string) {
	object := s.Object(key)
	if object.Deleted {
		httpjson.Write(w, http.StatusNotFound, object)
		return
	}
	writeObject(w, http.StatusOK, object)
}

func writeObject(w http.ResponseWriter, status int, o api.Object) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version, 10)))
	httpjson.Write(w, status, o)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	s.mu.Lock()
	response := s.store.list(query.Get("prefix"), query.Get("after"), limit)
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, response)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, "after is not a revision")
		return
	}
	seconds, err := strconv.ParseFloat(query.Get("timeout"), 64)
	if err != nil || seconds < 0 {
		seconds = defaultWatchSeconds
	}
	timeout := time.NewTimer(time.Duration(min(seconds, maxWatchSeconds) * float64(time.Second)))
	defer timeout.Stop()
	expired := false
	for {
		s.mu.Lock()
		response, changed, mode := s.store.changedSince(query.Get("prefix"), after), s.changed, s.faults.Outage
		s.mu.Unlock()
		if respondOutage(w, mode) {
			return
		}
		if len(response.Objects) > 0 || expired {
			httpjson.Write(w, http.StatusOK, response)
			return
		}
		after = max(after, response.Revision)
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, key string) {
	s.mu.Lock()
	s.counters.Writes++
	mode, delay := s.faults.Outage, time.Duration(s.faults.DelayMillis)*time.Millisecond
	s.mu.Unlock()
	if respondOutage(w, mode) {
		return
	}
	version, err := expectedVersion(r)
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	var put api.PutRequest
	if r.Method == http.MethodPut && !httpjson.Read(w, r, maxBodyBytes, &put) {
		return
	}
	if len(put.Value) > api.MaxValueBytes {
		httpjson.Error(w, http.StatusRequestEntityTooLarge, "value exceeds 1 MB")
		return
	}
	time.Sleep(delay)
	if respondOutage(w, s.Faults().Outage) {
		return
	}
	object, lost, err := s.write(key, version, put.Value, r.Method == http.MethodDelete)
	switch {
	case err != nil:
		writeObject(w, http.StatusPreconditionFailed, object)
	case lost:
		httpjson.CloseConnection()
	default:
		writeObject(w, http.StatusOK, object)
	}
}

// expectedVersion returns the version that the headers of a write require; 0
// means that the object must be absent or deleted.
func expectedVersion(r *http.Request) (uint64, error) {
	ifNoneMatch, ifMatch := r.Header.Get("If-None-Match"), r.Header.Get("If-Match")
	switch {
	case ifNoneMatch == "*" && ifMatch == "" && r.Method == http.MethodPut:
		return 0, nil
	case ifNoneMatch == "" && ifMatch != "":
		version, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
		if err == nil && version > 0 {
			return version, nil
		}
	}
	return 0, errors.New("the write needs either If-None-Match: * or If-Match with a version")
}
