// Package httpjson reads and writes JSON bodies for the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write answers with status and v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes a body of at most limit bytes into v. If it returns false, it
// has answered with 413 or 400.
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

// Error answers with status and a JSON error message.
func Error(w http.ResponseWriter, status int, message string) {
	Write(w, status, map[string]string{"error": message})
}

// CloseConnection ends the request by closing the connection without a response.
func CloseConnection() { panic(http.ErrAbortHandler) }
