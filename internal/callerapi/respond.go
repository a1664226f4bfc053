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

	// headerShouldRetry tells the official OpenAI clients whether to retry;
	// without it they retry after every 409, 429 and 5xx response.
	headerShouldRetry = "X-Should-Retry"
)

// Error types defined by the OpenAI API.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeServer         = "server_error"
)

// defaultRetryAfter is the Retry-After of a retryable not-run response if the
// backend sets none.
const defaultRetryAfter = time.Second

// errorBody is the body of an error response and the data of an error event.
type errorBody struct {
	Error *Error `json:"error"`
	// Extension is set only in events of a stream; other responses carry its
	// fields in headers.
	Extension *extension `json:"nutmegroute,omitempty"`
}

// extension is the field nutmegroute in the last event of a stream. It carries
// the outcome, which is not known when the headers are sent.
type extension struct {
	RequestID request.ID      `json:"request_id"`
	Outcome   request.Outcome `json:"outcome"`
}

// writeJSON sends a complete response with a JSON body and its outcome.
func writeJSON(w http.ResponseWriter, status int, outcome request.Outcome, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // unreachable: every response type of this package marshals
	}
	writeBody(w, status, outcome, "application/json", data)
}

// writeBody sends a complete response with its outcome.
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
	// A write error means that the caller disconnected; nobody would read
	// an error response.
	_, _ = w.Write(body)
}

// writeError sends an error that the API found before the request was run; the
// outcome is not-run.
func writeError(w http.ResponseWriter, e *Error) {
	writeJSON(w, e.Status, request.OutcomeNotRun, errorBody{Error: e})
}

// writeFailure sends the error of a backend result. It forbids retries unless
// the request is known not to have run.
func writeFailure(w http.ResponseWriter, r Result) {
	h := w.Header()
	if r.Outcome != request.OutcomeNotRun {
		h.Set(headerShouldRetry, "false")
	} else if r.RetryAfter > 0 || r.Err.Status == http.StatusTooManyRequests || r.Err.Status >= 500 {
		h.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	writeJSON(w, r.Err.Status, r.Outcome, errorBody{Error: r.Err})
}

// retryAfterSeconds formats d for Retry-After. It rounds up, because a caller
// that retries too early is refused again.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ErrInconsistentResult reports a backend result whose outcome and error
// contradict each other.
var ErrInconsistentResult = errors.New("callerapi: outcome and error of a result contradict each other")

// normalizeResult fills in the defaults of a result's error. If outcome and
// error contradict each other it returns outcome unknown and
// ErrInconsistentResult, because any other outcome could be false. If
// requireError is set, a failed or unknown result without an error gets one.
func normalizeResult(r Result, requireError bool) (Result, error) {
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
		if r.Err == nil && requireError {
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
			e.Type = errorTypeServer
			if e.Status < 500 {
				e.Type = errorTypeInvalidRequest
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
	return &Error{Status: http.StatusInternalServerError, Type: errorTypeServer, Code: "internal_error",
		Message: "internal error; the request may have run"}
}
