package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
	"github.com/nutmegroute/nutmegroute/internal/validate"
)

// Operator is a person or program with access to the API.
type Operator struct {
	// Name is recorded as the author of changes.
	Name string
	// KeyHash is the hexadecimal SHA-256 digest of the operator's key.
	KeyHash string
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

// operatorNameKey is the context key of the authenticated operator's name.
type operatorNameKey struct{}

type handler struct {
	operators     []operator
	configuration Configuration
	backend       Backend
}

// NewHandler returns the handler of every path under PathPrefix. It returns an
// error if an operator has no name or its key hash isn't a SHA-256 digest.
func NewHandler(operators []Operator, c Configuration, b Backend) (http.Handler, error) {
	h := &handler{configuration: c, backend: b}
	for _, o := range operators {
		raw, err := hex.DecodeString(o.KeyHash)
		if o.Name == "" || err != nil || len(raw) != sha256.Size {
			return nil, fmt.Errorf("adminapi: operator %q needs a name and a SHA-256 key hash", o.Name)
		}
		h.operators = append(h.operators, operator{name: o.Name, hash: [sha256.Size]byte(raw)})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathReady, jsonHandler(h.ready))
	for pattern, f := range map[string]func(*http.Request) (any, error){
		"GET " + PathObjects + "{kind}":        h.listObjects,
		"GET " + PathObjects + "{kind}/{name}": h.getObject,
		"GET " + PathHistory + "{kind}/{name}": h.history,
		"POST " + PathChanges:                  h.proposeChange,
		"GET " + PathAudit:                     h.audit,
		"GET " + PathRevision:                  h.revision,
		"GET " + PathStatus:                    func(r *http.Request) (any, error) { return b.Status(r.Context()) },
		"GET " + PathTeams:                     func(r *http.Request) (any, error) { return b.Teams(r.Context()) },
		"POST " + PathDrain + "{instance}":     h.drain,
		"GET " + PathExplain + "{id}":          h.explain,
	} {
		mux.HandleFunc(pattern, h.authenticated(jsonHandler(f)))
	}
	return mux, nil
}

// authenticated rejects requests without a known operator key. It compares the
// digest of the key with that of every operator in constant time, so that the
// response time reveals nothing about the keys.
func (h *handler) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(key))
		name := ""
		for _, o := range h.operators {
			if subtle.ConstantTimeCompare(digest[:], o.hash[:]) == 1 {
				name = o.name
			}
		}
		if !bearer || name == "" {
			writeError(w, &Error{Code: CodeUnauthorized, Message: "the operator key is missing or unknown"})
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	}
}

func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

// jsonHandler returns a handler that limits the request body and sends the
// result or error of f as JSON.
func jsonHandler(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		result, err := f(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// httpStatus maps each code to the status of its error response.
var httpStatus = map[Code]int{
	CodeInvalid: http.StatusBadRequest, CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound: http.StatusNotFound, CodeConflict: http.StatusConflict,
	CodeChangeIDReused: http.StatusUnprocessableEntity, CodeUnavailable: http.StatusServiceUnavailable,
	CodeUnknownOutcome: http.StatusGatewayTimeout, CodeInternal: http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, err error) {
	e := toAPIError(err)
	writeJSON(w, httpStatus[e.Code], e)
}

// toAPIError converts an error to an *Error. An error of no known kind gets
// CodeInternal.
func toAPIError(err error) *Error {
	e := &Error{Code: CodeInternal, Message: err.Error()}
	var apiErr *Error
	var invalidErr *validate.Error
	var conflictErr *config.ConflictError
	var unknownOutcomeErr *config.UnknownOutcomeError
	var tooLargeErr *http.MaxBytesError
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &invalidErr):
		e.Code, e.Field = CodeInvalid, invalidErr.Field
	case errors.As(err, &tooLargeErr):
		e.Code = CodeInvalid
	case errors.As(err, &conflictErr):
		e.Code, e.ChangeID, e.Author, e.Revision = CodeConflict, conflictErr.ChangeID, conflictErr.Author, conflictErr.Revision
	case errors.As(err, &unknownOutcomeErr):
		e.Code, e.ChangeID = CodeUnknownOutcome, unknownOutcomeErr.ChangeID
	case errors.Is(err, config.ErrChangeIDReused):
		e.Code = CodeChangeIDReused
	case errors.Is(err, config.ErrNotFound), errors.Is(err, ErrNotFound):
		e.Code = CodeNotFound
	case errors.Is(err, config.ErrUnavailable), errors.Is(err, ErrUnavailable):
		e.Code = CodeUnavailable
	}
	return e
}

// pathKind returns the kind in the path of a request.
func pathKind(r *http.Request) (config.Kind, error) {
	kind := config.Kind(r.PathValue("kind"))
	for _, k := range config.Kinds() {
		if k == kind {
			return kind, nil
		}
	}
	return "", validate.Errorf("kind", "%q is not one of %q", kind, config.Kinds())
}

func (h *handler) listObjects(r *http.Request) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	return append([]*config.Object{}, h.configuration.State().Objects(kind)...), nil
}

// getObject also returns deleted objects, without their value, because a change
// that creates the object again needs the version of the deleted one as its
// base.
func (h *handler) getObject(r *http.Request) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	o, _ := h.configuration.State().Object(kind, r.PathValue("name"))
	if o.Version == 0 {
		return nil, config.ErrNotFound
	}
	return o, nil
}

func (h *handler) history(r *http.Request) (any, error) {
	kind, err := pathKind(r)
	if err != nil {
		return nil, err
	}
	limit, err := uintParam(r, "limit", DefaultLimit)
	if err != nil {
		return nil, err
	}
	return h.configuration.History(r.Context(), kind, r.PathValue("name"), int(limit))
}

func (h *handler) proposeChange(r *http.Request) (any, error) {
	var p config.Proposal
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	p.Author = operatorName(r)
	return h.configuration.Accept(r.Context(), p)
}

func (h *handler) audit(r *http.Request) (any, error) {
	after, err := uintParam(r, "after", 0)
	if err != nil {
		return nil, err
	}
	limit, err := uintParam(r, "limit", DefaultLimit)
	if err != nil {
		return nil, err
	}
	changes, err := h.configuration.Audit(r.Context(), config.Revision(after), int(limit))
	return append([]config.Change{}, changes...), err
}

func (h *handler) revision(*http.Request) (any, error) {
	return Revision{Revision: h.configuration.State().Revision()}, nil
}

func (h *handler) drain(r *http.Request) (any, error) {
	err := h.backend.Drain(r.Context(), upstream.InstanceID(r.PathValue("instance")), operatorName(r))
	return struct{}{}, err
}

func (h *handler) explain(r *http.Request) (any, error) {
	id, err := request.ParseID(r.PathValue("id"))
	if err != nil {
		return nil, validate.Errorf("id", "%v", err)
	}
	return h.backend.Explain(r.Context(), id)
}

// ready requires no operator key, because health checks have none. The response
// contains nothing but the reason of not being ready.
func (h *handler) ready(*http.Request) (any, error) {
	if err := h.backend.Ready(); err != nil {
		return nil, &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return struct{}{}, nil
}

// uintParam returns a numeric query parameter, or defaultValue if it is absent.
// It accepts up to 12 digits, the width of a revision in a store key.
func uintParam(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	const limit = 999_999_999_999
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		return 0, validate.Errorf(name, "must be a number up to %d", uint64(limit))
	}
	return n, nil
}
