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

// Operator is a person or program that may use the API.
type Operator struct {
	// Name is the author in the audit trail.
	Name string
	// KeyHash is the SHA-256 digest of the operator's key in hexadecimal.
	KeyHash string
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

type operatorKey struct{}

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
	mux.HandleFunc("GET "+PathReady, serve(h.ready))
	for pattern, f := range map[string]func(*http.Request) (any, error){
		"GET " + PathObjects + "{kind}":        h.list,
		"GET " + PathObjects + "{kind}/{name}": h.get,
		"GET " + PathHistory + "{kind}/{name}": h.history,
		"POST " + PathChanges:                  h.change,
		"GET " + PathAudit:                     h.audit,
		"GET " + PathRevision:                  h.revision,
		"GET " + PathStatus:                    func(r *http.Request) (any, error) { return b.Status(r.Context()) },
		"GET " + PathTeams:                     func(r *http.Request) (any, error) { return b.Teams(r.Context()) },
		"POST " + PathDrain + "{instance}":     h.drain,
		"GET " + PathExplain + "{id}":          h.explain,
	} {
		mux.HandleFunc(pattern, h.authenticated(serve(f)))
	}
	return mux, nil
}

// authenticated refuses requests without a known operator key. It compares the
// digest with every operator's in constant time, so the duration says nothing
// about the keys.
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
		next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	}
}

func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

func serve(f func(*http.Request) (any, error)) http.HandlerFunc {
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
	// A failed write means that the operator disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

var statusOf = map[Code]int{
	CodeInvalid: http.StatusBadRequest, CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound: http.StatusNotFound, CodeConflict: http.StatusConflict,
	CodeChangeIDReused: http.StatusUnprocessableEntity, CodeUnavailable: http.StatusServiceUnavailable,
	CodeUnknownOutcome: http.StatusGatewayTimeout, CodeInternal: http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, err error) {
	e := convert(err)
	writeJSON(w, statusOf[e.Code], e)
}

// convert returns the API's form of an error of a lower layer.
func convert(err error) *Error {
	e := &Error{Code: CodeInternal, Message: err.Error()}
	var api *Error
	var invalid *validate.Error
	var conflict *config.ConflictError
	var unknown *config.UnknownOutcomeError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &invalid):
		e.Code, e.Field = CodeInvalid, invalid.Field
	case errors.As(err, &tooLarge):
		e.Code = CodeInvalid
	case errors.As(err, &conflict):
		e.Code, e.ChangeID, e.Author, e.Revision = CodeConflict, conflict.ChangeID, conflict.Author, conflict.Revision
	case errors.As(err, &unknown):
		e.Code, e.ChangeID = CodeUnknownOutcome, unknown.ChangeID
	case errors.Is(err, config.ErrChangeIDReused):
		e.Code = CodeChangeIDReused
	case errors.Is(err, config.ErrNotFound), errors.Is(err, ErrNotFound):
		e.Code = CodeNotFound
	case errors.Is(err, config.ErrUnavailable), errors.Is(err, ErrUnavailable):
		e.Code = CodeUnavailable
	}
	return e
}

func kindOf(r *http.Request) (config.Kind, error) {
	kind := config.Kind(r.PathValue("kind"))
	for _, k := range config.Kinds() {
		if k == kind {
			return kind, nil
		}
	}
	return "", validate.Errorf("kind", "%q is not one of %q", kind, config.Kinds())
}

func (h *handler) list(r *http.Request) (any, error) {
	kind, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	return append([]*config.Object{}, h.configuration.State().Objects(kind)...), nil
}

// get also returns a deleted object without its value: its version is the base
// of the change that creates the object again.
func (h *handler) get(r *http.Request) (any, error) {
	kind, err := kindOf(r)
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
	kind, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	limit, err := number(r, "limit", DefaultLimit)
	if err != nil {
		return nil, err
	}
	return h.configuration.History(r.Context(), kind, r.PathValue("name"), int(limit))
}

func (h *handler) change(r *http.Request) (any, error) {
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
	after, err := number(r, "after", 0)
	if err != nil {
		return nil, err
	}
	limit, err := number(r, "limit", DefaultLimit)
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

// ready needs no key: a health check has none, and the answer holds no more
// than the reason.
func (h *handler) ready(*http.Request) (any, error) {
	if err := h.backend.Ready(); err != nil {
		return nil, &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return struct{}{}, nil
}

// number returns a query parameter of at most 12 digits, the width of a
// revision in a store key.
func number(r *http.Request, name string, fallback uint64) (uint64, error) {
	const limit = 999_999_999_999
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		return 0, validate.Errorf(name, "must be a number up to %d", uint64(limit))
	}
	return n, nil
}
