package callerapi

import (
	"fmt"
	"net/http"
	"regexp"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// namePattern matches the name of a service or operation.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// service serves POST and GET /v1/services/{service}/{operation}.
func (a *api) service(w http.ResponseWriter, r *http.Request, service, operation string) {
	team, ok := a.authenticate(w, r)
	if !ok {
		return
	}
	req, e := a.serviceRequest(w, r, service, operation)
	if e != nil {
		writeError(w, e)
		return
	}
	req.Team = team
	result := a.backend.Call(r.Context(), req)
	if result.Err == nil && (result.Status < 200 || result.Status > 599) {
		result.Outcome = "" // not a valid status: makes the result inconsistent
	}
	result.Result = a.finishResult(r, result.Result, false)
	if result.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	if result.Err != nil {
		writeFailure(w, result.Result)
		return
	}
	if result.Status >= http.StatusBadRequest {
		w.Header().Set(headerShouldRetry, "false")
	}
	writeBody(w, result.Status, result.Outcome, result.ContentType, result.Body)
}

// serviceRequest validates a service call. A non-idempotent operation requires
// POST and exactly one idempotency key; for other operations the key is
// optional.
func (a *api) serviceRequest(w http.ResponseWriter, r *http.Request, service, operation string) (ServiceRequest, *Error) {
	if !namePattern.MatchString(service) || !namePattern.MatchString(operation) {
		return ServiceRequest{}, &Error{Status: http.StatusNotFound, Type: errorTypeInvalidRequest, Code: "not_found",
			Message: "the path is not /v1/services/SERVICE/OPERATION"}
	}
	if r.URL.RawQuery != "" {
		return ServiceRequest{}, badRequest("", "unsupported_parameter", "query parameters are not passed to services; use the body of a POST")
	}
	key, e := idempotencyKey(r)
	if e != nil {
		return ServiceRequest{}, e
	}
	needsKey := a.backend.RequiresIdempotencyKey(service, operation)
	if needsKey && r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return ServiceRequest{}, &Error{Status: http.StatusMethodNotAllowed, Type: errorTypeInvalidRequest, Code: "method_not_allowed",
			Message: fmt.Sprintf("%s/%s is not idempotent and needs POST", service, operation)}
	}
	if needsKey && key == "" {
		return ServiceRequest{}, badRequest(HeaderIdempotencyKey, "idempotency_key_required",
			fmt.Sprintf("%s/%s is not idempotent and needs the header %s", service, operation, HeaderIdempotencyKey))
	}
	body, e := a.readBody(w, r)
	if e != nil {
		return ServiceRequest{}, e
	}
	if r.Method == http.MethodGet && len(body) > 0 {
		return ServiceRequest{}, badRequest("", "invalid_value", "a GET request can't have a body")
	}
	return ServiceRequest{
		ID:             exchangeOf(r).id,
		Service:        service,
		Operation:      operation,
		Method:         r.Method,
		IdempotencyKey: key,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
	}, nil
}

// idempotencyKey returns the request's key, or "" if it has none.
func idempotencyKey(r *http.Request) (string, *Error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	valid := len(values) == 1 && key != "" && len(key) <= maxIdempotencyKeyBytes
	for i := range len(key) {
		valid = valid && key[i] > ' ' && key[i] < 0x7f
	}
	if !valid {
		return "", badRequest(HeaderIdempotencyKey, "invalid_value",
			fmt.Sprintf("%s must be given once, as 1 to %d printable ASCII characters without spaces", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
	}
	return key, nil
}
