package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/request"
)

// Headers of the API.
const (
	HeaderRequestID      = "Nutmegroute-Request-Id"
	HeaderOutcome        = "Nutmegroute-Outcome"
	HeaderProfile        = "Nutmegroute-Profile"
	HeaderReplayed       = "Nutmegroute-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"

	// headerShouldRetry is honoured by the official OpenAI clients, which
	// otherwise repeat every 409, 429 and 5xx response.
	headerShouldRetry = "X-Should-Retry"
)

// Error types in the words of the OpenAI API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServer         = "server_error"
)

// defaultRetryAfter is sent with a not-run response if the backend gives no
// hint.
const defaultRetryAfter = time.Second

// errorBody is the form of every error.
type errorBody struct {
	Error *Error `json:"error"`
	// Extension is only set in the events of a stream.
	Extension *extension `json:"nutmegroute,omitempty"`
}

// extension is the field of the last event of a stream.
type extension struct {
	RequestID request.ID      `json:"request_id"`
	Outcome   request.Outcome `json:"outcome"`
}

// writeJSON sends a whole response with its outcome.
func writeJSON(w http.ResponseWriter, status int, outcome request.Outcome, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types of this package always marshal
	}
	writeBody(w, status, outcome, "application/json", data)
}

func writeBody(w http.ResponseWriter, status int, outcome request.Outcome, contentType string, body []byte) {
	h := w.Header()
	h.Set(HeaderOutcome, string(outcome))
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("X-Content-Type-Options", "nosniff")
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A failed write means that the caller left; nothing is owed to it.
	_, _ = w.Write(body)
}

// writeError sends an error that the API itself found: nothing was run.
func writeError(w http.ResponseWriter, e *Error) {
	writeJSON(w, e.Status, request.OutcomeNotRun, errorBody{Error: e})
}

// writeFailure sends the failed result of the backend.
func writeFailure(w http.ResponseWriter, r Result) {
	h := w.Header()
	if r.Outcome != request.OutcomeNotRun {
		h.Set(headerShouldRetry, "false")
	} else if r.RetryAfter > 0 || r.Err.Status == http.StatusTooManyRequests || r.Err.Status >= 500 {
		h.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	writeJSON(w, r.Err.Status, r.Outcome, errorBody{Error: r.Err})
}

// retryAfterSeconds rounds up, because a caller that returns too early is
// refused again.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ErrInconsistentResult describes a result whose outcome and error contradict
// each other.
var ErrInconsistentResult = errors.New("callerapi: outcome and error of a result contradict each other")

// normalize fills the defaults of a result's error. A result that contradicts
// itself becomes unknown, because any other outcome could be a false promise.
func normalize(r Result, needError bool) (Result, error) {
	var err error
	switch r.Outcome {
	case request.OutcomeCompleted:
		if r.Err != nil {
			err = ErrInconsistentResult
		}
	case request.OutcomeNotRun:
		if r.Err == nil {
			err = ErrInconsistentResult
		}
	case request.OutcomeFailed, request.OutcomeUnknown:
		if r.Err == nil && needError {
			r.Err = &Error{Message: "the request ended as " + string(r.Outcome)}
		}
	default:
		err = ErrInconsistentResult
	}
	if err != nil {
		r = Result{Outcome: request.OutcomeUnknown, Err: internalError()}
	}
	if r.Err != nil {
		e := *r.Err
		if e.Status < 400 || e.Status > 599 {
			e.Status = defaultStatus(r.Outcome)
		}
		if e.Type == "" {
			e.Type = typeServer
			if e.Status < 500 {
				e.Type = typeInvalidRequest
			}
		}
		r.Err = &e
	}
	return r, err
}

func defaultStatus(o request.Outcome) int {
	switch o {
	case request.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case request.OutcomeFailed:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}

func internalError() *Error {
	return &Error{Status: http.StatusInternalServerError, Type: typeServer, Code: "internal_error",
		Message: "internal error; the request may have run"}
}
