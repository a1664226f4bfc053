// Package httpjson reads JSON requests and writes JSON responses for the
// stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write responds with status and v encoded as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes a request body of at most limit bytes into v. On failure it
// responds with HTTP 413 or 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	Error(w, status, err.Error())
	return false
}

// HandleValue serves a value under a path: GET returns it, PUT replaces it by that of a body
// of at most limit bytes.
func HandleValue[T any](mux *http.ServeMux, path string, limit int64, get func() T, set func(T)) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { Write(w, http.StatusOK, get()) })
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var v T
		if Read(w, r, limit, &v) {
			set(v)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// Error responds with status and a JSON error message.
func Error(w http.ResponseWriter, status int, message string) {
	Write(w, status, map[string]string{"error": message})
}

// CloseConnection aborts the request and closes the connection without a
// response. It panics with http.ErrAbortHandler and does not return.
func CloseConnection() { panic(http.ErrAbortHandler) }
