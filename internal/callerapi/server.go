package callerapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	contentTypeStream = "text/event-stream"
	// routeNone is the metric tag of requests that match no route.
	routeNone = "none"
)

// Defaults of Options.
const (
	DefaultMaxBody      = 1 << 20
	DefaultMaxHeader    = 32 << 10
	DefaultReadTimeout  = 30 * time.Second
	DefaultWriteTimeout = 30 * time.Second
)

// Options are the options of NewServer. Zero values select the defaults.
type Options struct {
	// MaxBody bounds a request body, in bytes. Default DefaultMaxBody.
	MaxBody int
	// MaxHeader bounds the request line and headers, in bytes. Default
	// DefaultMaxHeader.
	MaxHeader int
	// ReadTimeout bounds the reading of one request. Default
	// DefaultReadTimeout.
	ReadTimeout time.Duration
	// WriteTimeout bounds the writing of one event of a stream. Default
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Log receives events. Default: none are written.
	Log *events.Logger
	// Scope receives metrics. Default: none are kept.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxHeader == 0 {
		o.MaxHeader = DefaultMaxHeader
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Log == nil {
		o.Log = events.Nop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// NewServer returns an HTTP server for callers over the backend; its address
// is unset. The owner serves it on a listener and ends it with Shutdown, which
// waits for the requests in progress.
func NewServer(b Backend, o Options) (*http.Server, error) {
	h, err := NewHandler(b, o)
	if err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       o.ReadTimeout,
		IdleTimeout:       idleTimeout,
		// The handler rejects larger headers in the API's own form; net/http
		// cuts off what is beyond twice the limit with a bare response.
		MaxHeaderBytes: 2 * o.MaxHeader,
		ErrorLog:       o.Log.Std(events.HTTPServerError),
	}, nil
}

// api holds what the handlers share.
type api struct {
	backend Backend
	options Options
}

// handler serves one route.
type handler func(w http.ResponseWriter, r *http.Request, ctx iris.Context)

// methods are the methods that get a response in the API's form.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions, http.MethodTrace, http.MethodConnect}

// NewHandler returns the API as a handler. The error is one of the router.
func NewHandler(b Backend, o Options) (http.Handler, error) {
	a := &api{backend: b, options: o.withDefaults()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// Error bodies are written by this package, and a redirect to a corrected
	// path would hide a wrong path from the caller.
	app.Configure(iris.WithoutAutoFireStatusCode, iris.WithoutPathCorrection, iris.WithoutPathCorrectionRedirection)
	plain := func(f http.HandlerFunc) handler {
		return func(w http.ResponseWriter, r *http.Request, _ iris.Context) { f(w, r) }
	}
	service := func(w http.ResponseWriter, r *http.Request, ctx iris.Context) {
		a.service(w, r, ctx.Params().Get("service"), ctx.Params().Get("operation"))
	}
	a.route(app, "/v1/chat/completions", plain(a.chat), http.MethodPost)
	a.route(app, "/v1/models", plain(a.models), http.MethodGet, http.MethodHead)
	a.route(app, "/v1/teams", plain(a.teams), http.MethodGet, http.MethodHead)
	a.route(app, "/v1/services/{service}/{operation}", service, http.MethodPost, http.MethodGet)
	a.route(app, "/healthz", plain(a.healthz), http.MethodGet, http.MethodHead)
	a.route(app, "/readyz", plain(a.readyz), http.MethodGet, http.MethodHead)
	a.route(app, "/metrics", plain(a.metrics), http.MethodGet, http.MethodHead)
	a.route(app, "/", plain(notFound), methods...)
	a.route(app, "/{rest:path}", plain(notFound), methods...)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("callerapi: %w", err)
	}
	return a.outer(app), nil
}

// route registers h for the allowed methods, and an error for the others.
func (a *api) route(app *iris.Application, path string, h handler, allowed ...string) {
	for _, m := range methods {
		serve := h
		if !slices.Contains(allowed, m) {
			serve = func(w http.ResponseWriter, r *http.Request, _ iris.Context) {
				w.Header().Set("Allow", strings.Join(allowed, ", "))
				writeError(w, &Error{Status: http.StatusMethodNotAllowed, Type: typeInvalidRequest, Code: "method_not_allowed",
					Message: fmt.Sprintf("%s does not allow %s", path, r.Method)})
			}
		}
		app.Handle(m, path, func(ctx iris.Context) {
			r := ctx.Request()
			exchangeOf(r).route = path
			serve(ctx.ResponseWriter(), r, ctx)
		})
	}
}

// exchange is one request with its response.
type exchange struct {
	id     request.ID
	start  time.Time
	writer *trackingWriter
	// route is the path pattern, or routeNone.
	route string
	// outcome is set once the backend has returned.
	outcome request.Outcome
}

type contextKey struct{}

// exchangeOf returns the exchange that outer began.
func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(contextKey{}).(*exchange)
}

// count records a request that has ended. A stream's final outcome differs
// from its header, so the exchange's own takes precedence.
func (a *api) count(x *exchange) {
	outcome := string(x.outcome)
	if outcome == "" {
		outcome = x.writer.Header().Get(HeaderOutcome)
	}
	s := a.options.Scope.Tagged(map[string]string{"route": x.route, "outcome": outcome})
	s.Counter("caller_requests").Inc(1)
	s.Timer("caller_request_seconds").Record(time.Since(x.start))
}

// outer gives each request its id, sets the headers of every response, bounds
// the request's headers and recovers panics. The outcome is not-run until a
// handler sets another.
func (a *api) outer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(raw http.ResponseWriter, r *http.Request) {
		w := &trackingWriter{ResponseWriter: raw, control: http.NewResponseController(raw), timeout: a.options.WriteTimeout}
		// An earlier response on this connection may have left its deadline.
		_ = w.control.SetWriteDeadline(time.Time{})
		x := &exchange{id: request.NewID(), start: time.Now(), writer: w, route: routeNone}
		w.Header().Set(HeaderRequestID, string(x.id))
		w.Header().Set(HeaderOutcome, string(request.OutcomeNotRun))
		defer a.count(x)
		defer a.recoverPanic(x, r)
		switch {
		case !slices.Contains(methods, r.Method):
			writeError(w, &Error{Status: http.StatusNotImplemented, Type: typeInvalidRequest, Code: "method_not_allowed",
				Message: fmt.Sprintf("unknown method %q", r.Method)})
		case headerBytes(r) > a.options.MaxHeader:
			w.Header().Set("Connection", "close")
			writeError(w, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Type: typeInvalidRequest, Code: "headers_too_large",
				Message: fmt.Sprintf("the request line and headers exceed %d bytes", a.options.MaxHeader)})
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextKey{}, x)))
		}
	})
}

// headerBytes returns the size of the request line and headers as sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4 + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// trackingWriter remembers whether anything was sent and bounds each write: a
// caller that doesn't read for the timeout counts as gone.
type trackingWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	sent    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.sent = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(p []byte) (int, error) {
	w.sent = true
	// Writers without deadlines exist only in tests.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *trackingWriter) Flush() { _ = w.control.Flush() }

// FlushError is Flush with the error of the connection.
func (w *trackingWriter) FlushError() error { return w.control.Flush() }

// Unwrap serves http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanic answers a panic with outcome unknown: the backend may have
// started the request. A response that has begun gets an error event if it is
// a stream; otherwise its connection is cut, so that it can't seem complete.
func (a *api) recoverPanic(x *exchange, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	a.options.Log.Log(events.HandlerPanicked).Str("request", string(x.id)).Str("path", r.URL.Path).
		Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Send()
	x.outcome = request.OutcomeUnknown
	result := Result{Outcome: x.outcome, Err: internalError()}
	w := x.writer
	switch {
	case !w.sent:
		writeFailure(w, result)
	case w.Header().Get("Content-Type") == contentTypeStream:
		s := &stream{w: w, flush: w.FlushError}
		_ = s.event(errorBody{Error: result.Err, Extension: &extension{RequestID: x.id, Outcome: x.outcome}})
	default:
		panic(http.ErrAbortHandler)
	}
}

// finish normalizes a result and logs it unless it is a success or a refusal.
func (a *api) finish(r *http.Request, result Result, needError bool) Result {
	x := exchangeOf(r)
	result, err := normalize(result, needError)
	x.outcome = result.Outcome
	if err != nil {
		a.options.Log.Log(events.BackendInconsistent).Str("request", string(x.id)).Err(err).Send()
	}
	if result.Outcome == request.OutcomeFailed || result.Outcome == request.OutcomeUnknown {
		line := a.options.Log.Log(events.RequestFailed).Str("request", string(x.id)).Str("outcome", string(result.Outcome))
		if result.Err != nil {
			line = line.Str("error", result.Err.Message)
		}
		line.Send()
	}
	return result
}

// authenticate returns the caller's team, or answers 401.
func (a *api) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) == 1 {
		scheme, key, found := strings.Cut(values[0], " ")
		if found && strings.EqualFold(scheme, "Bearer") && key != "" {
			if team, ok := a.backend.Authenticate(key); ok {
				return team, true
			}
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, &Error{Status: http.StatusUnauthorized, Type: typeInvalidRequest, Code: "invalid_api_key",
		Message: "the header \"Authorization: Bearer KEY\" is missing or holds an unknown key"})
	return "", false
}

// selectProfile returns the profile of a chat request. The header takes
// precedence over the field model, because some clients fix the model's name.
func (a *api) selectProfile(r *http.Request, model string) (string, *Error) {
	param := "model"
	if values := r.Header.Values(HeaderProfile); len(values) > 1 {
		return "", badRequest(HeaderProfile, "invalid_value", HeaderProfile+" is given more than once")
	} else if len(values) == 1 {
		model, param = values[0], HeaderProfile
	}
	if model == "" {
		return "", badRequest(param, "invalid_value", "neither the field model nor the header "+HeaderProfile+" names a profile")
	}
	if !slices.Contains(a.backend.Profiles(), model) {
		return "", &Error{Status: http.StatusNotFound, Type: typeInvalidRequest, Param: param, Code: "model_not_found",
			Message: fmt.Sprintf("profile %q does not exist", model)}
	}
	return model, nil
}

// readBody reads the whole body, which also lets net/http notice a caller that
// leaves.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.options.MaxBody)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Type: typeInvalidRequest, Code: "request_too_large",
			Message: fmt.Sprintf("the request body exceeds %d bytes", a.options.MaxBody)}
	case err != nil:
		return nil, badRequest("", "incomplete_body", "the request body could not be read")
	}
	return body, nil
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// models serves GET /v1/models: one entry for each profile.
func (a *api) models(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.authenticate(w, r); !ok {
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range a.backend.Profiles() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "nutmegroute"})
	}
	writeJSON(w, http.StatusOK, request.OutcomeCompleted, list)
}

type teamList struct {
	Object string     `json:"object"`
	Data   []TeamLoad `json:"data"`
}

// teams shows every team the load of all teams, so that a small team can watch
// the largest one.
func (a *api) teams(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.authenticate(w, r); !ok {
		return
	}
	list := teamList{Object: "list", Data: a.backend.TeamLoads()}
	if list.Data == nil {
		list.Data = []TeamLoad{}
	}
	writeJSON(w, http.StatusOK, request.OutcomeCompleted, list)
}

type status struct {
	Status string `json:"status"`
}

// healthz reports that the process serves HTTP.
func (a *api) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, request.OutcomeCompleted, status{"ok"})
}

// readyz reports whether the load balancer may send callers here.
func (a *api) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := a.backend.Ready(); err != nil {
		writeError(w, &Error{Status: http.StatusServiceUnavailable, Type: typeServer, Code: "not_ready", Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, request.OutcomeCompleted, status{"ready"})
}

func (a *api) metrics(w http.ResponseWriter, r *http.Request) {
	h := a.backend.Metrics()
	if h == nil {
		notFound(w, r)
		return
	}
	w.Header().Set(HeaderOutcome, string(request.OutcomeCompleted))
	h.ServeHTTP(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	exchangeOf(r).route = routeNone
	writeError(w, &Error{Status: http.StatusNotFound, Type: typeInvalidRequest, Code: "not_found",
		Message: fmt.Sprintf("unknown path %q", r.URL.Path)})
}
