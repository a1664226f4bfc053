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

	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	contentTypeStream = "text/event-stream"
	// routeNone is the value of the metric tag route for requests that match
	// no route.
	routeNone = "none"
)

// Default values of Options.
const (
	DefaultMaxBody      = 1 << 20
	DefaultMaxHeader    = 32 << 10
	DefaultReadTimeout  = 30 * time.Second
	DefaultWriteTimeout = 30 * time.Second
)

// Options configures NewServer and NewHandler. Zero values select the defaults.
type Options struct {
	// MaxBody is the maximum size of a request body in bytes. Default
	// DefaultMaxBody.
	MaxBody int
	// MaxHeader is the maximum size of the request line and headers in bytes.
	// Default DefaultMaxHeader.
	MaxHeader int
	// ReadTimeout limits the time to read one request. Default
	// DefaultReadTimeout.
	ReadTimeout time.Duration
	// WriteTimeout limits the time of one write, such as an event of a stream.
	// Default DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Log receives log events. Default: none are logged.
	Log *events.Logger
	// Scope receives metrics. Default: none are recorded.
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

// NewServer returns an HTTP server that serves callers from b. Its address is
// unset: the owner calls Serve with a listener, and Shutdown to stop the server
// after the requests in progress.
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
		// The handler rejects headers above MaxHeader with an API error; net/http
		// rejects headers above twice that limit with a plain-text response.
		MaxHeaderBytes: 2 * o.MaxHeader,
		ErrorLog:       o.Log.Std(events.HTTPServerError),
	}, nil
}

// api holds the state shared by all handlers.
type api struct {
	backend Backend
	options Options
}

// routeHandler handles the requests of one route.
type routeHandler func(w http.ResponseWriter, r *http.Request, ctx iris.Context)

// methods lists the HTTP methods that the router knows; other methods get 501.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions, http.MethodTrace, http.MethodConnect}

// NewHandler returns the HTTP handler of the API. It returns an error if the
// router cannot be built.
func NewHandler(b Backend, o Options) (http.Handler, error) {
	a := &api{backend: b, options: o.withDefaults()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// This package writes all error bodies itself, and a redirect to a corrected
	// path would hide the wrong path from the caller.
	app.Configure(iris.WithoutAutoFireStatusCode, iris.WithoutPathCorrection, iris.WithoutPathCorrectionRedirection)
	withoutIrisContext := func(f http.HandlerFunc) routeHandler {
		return func(w http.ResponseWriter, r *http.Request, _ iris.Context) { f(w, r) }
	}
	service := func(w http.ResponseWriter, r *http.Request, ctx iris.Context) {
		a.service(w, r, ctx.Params().Get("service"), ctx.Params().Get("operation"))
	}
	a.addRoute(app, "/v1/chat/completions", withoutIrisContext(a.chat), http.MethodPost)
	a.addRoute(app, "/v1/models", withoutIrisContext(a.models), http.MethodGet, http.MethodHead)
	a.addRoute(app, "/v1/teams", withoutIrisContext(a.teams), http.MethodGet, http.MethodHead)
	a.addRoute(app, "/v1/services/{service}/{operation}", service, http.MethodPost, http.MethodGet)
	a.addRoute(app, "/healthz", withoutIrisContext(a.healthz), http.MethodGet, http.MethodHead)
	a.addRoute(app, "/readyz", withoutIrisContext(a.readyz), http.MethodGet, http.MethodHead)
	a.addRoute(app, "/metrics", withoutIrisContext(a.metrics), http.MethodGet, http.MethodHead)
	a.addRoute(app, "/", withoutIrisContext(notFound), methods...)
	a.addRoute(app, "/{rest:path}", withoutIrisContext(notFound), methods...)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("callerapi: %w", err)
	}
	return a.withExchange(app), nil
}

// addRoute registers h for the allowed methods and a 405 response for all other
// methods.
func (a *api) addRoute(app *iris.Application, path string, h routeHandler, allowed ...string) {
	for _, m := range methods {
		serve := h
		if !slices.Contains(allowed, m) {
			serve = func(w http.ResponseWriter, r *http.Request, _ iris.Context) {
				w.Header().Set("Allow", strings.Join(allowed, ", "))
				writeError(w, &Error{Status: http.StatusMethodNotAllowed, Type: errorTypeInvalidRequest, Code: "method_not_allowed",
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

// exchange is the state of one request and its response.
type exchange struct {
	id     request.ID
	start  time.Time
	writer *trackingWriter
	// route is the path pattern of the matched route, or routeNone.
	route string
	// outcome is set once the backend has returned or a handler has panicked.
	outcome request.Outcome
}

type exchangeKey struct{}

// exchangeOf returns the exchange that withExchange stored in the request's
// context.
func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

// recordMetrics records the count and duration of a finished request. The
// outcome of the exchange takes precedence over the response header, because the
// header of a stream is sent before its final outcome is known.
func (a *api) recordMetrics(x *exchange) {
	outcome := string(x.outcome)
	if outcome == "" {
		outcome = x.writer.Header().Get(HeaderOutcome)
	}
	s := a.options.Scope.Tagged(map[string]string{"route": x.route, "outcome": outcome})
	s.Counter("caller_requests").Inc(1)
	s.Timer("caller_request_seconds").Record(time.Since(x.start))
}

// withExchange is the outermost middleware. It creates the exchange with its
// request id, sets the headers common to all responses, rejects oversized
// request headers, recovers panics and records metrics. The outcome header is
// not-run until a handler replaces it.
func (a *api) withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(raw http.ResponseWriter, r *http.Request) {
		w := &trackingWriter{ResponseWriter: raw, controller: http.NewResponseController(raw), timeout: a.options.WriteTimeout}
		// Clears the write deadline that an earlier response on this connection
		// may have set.
		_ = w.controller.SetWriteDeadline(time.Time{})
		x := &exchange{id: request.NewID(), start: time.Now(), writer: w, route: routeNone}
		w.Header().Set(HeaderRequestID, string(x.id))
		w.Header().Set(HeaderOutcome, string(request.OutcomeNotRun))
		defer a.recordMetrics(x)
		defer a.recoverPanic(x, r)
		switch {
		case !slices.Contains(methods, r.Method):
			writeError(w, &Error{Status: http.StatusNotImplemented, Type: errorTypeInvalidRequest, Code: "method_not_allowed",
				Message: fmt.Sprintf("unknown method %q", r.Method)})
		case headerBytes(r) > a.options.MaxHeader:
			w.Header().Set("Connection", "close")
			writeError(w, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Type: errorTypeInvalidRequest, Code: "headers_too_large",
				Message: fmt.Sprintf("the request line and headers exceed %d bytes", a.options.MaxHeader)})
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
		}
	})
}

// headerBytes returns the size of the request line and headers on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4 + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// trackingWriter records whether the response has started and sets a deadline
// for each write, so that a caller that stops reading for timeout is treated as
// disconnected.
type trackingWriter struct {
	http.ResponseWriter
	controller  *http.ResponseController
	timeout     time.Duration
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(p []byte) (int, error) {
	w.wroteHeader = true
	// The error is ignored: only the response recorders of tests don't
	// support deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *trackingWriter) Flush() { _ = w.controller.Flush() }

// FlushError is like Flush but returns the error of the connection.
func (w *trackingWriter) FlushError() error { return w.controller.Flush() }

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanic reports a panic of a handler to the caller with outcome unknown,
// because the backend may have started the request. If the response has already
// started, a stream gets an error event; any other response is aborted together
// with its connection, so that the caller cannot take it for a complete one.
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
	case !w.wroteHeader:
		writeFailure(w, result)
	case w.Header().Get("Content-Type") == contentTypeStream:
		s := &stream{w: w, flush: w.FlushError}
		_ = s.sendJSON(errorBody{Error: result.Err, Extension: &extension{RequestID: x.id, Outcome: x.outcome}})
	default:
		panic(http.ErrAbortHandler)
	}
}

// finishResult normalizes a result, stores its outcome in the exchange and logs
// failed, unknown and inconsistent results.
func (a *api) finishResult(r *http.Request, result Result, requireError bool) Result {
	x := exchangeOf(r)
	result, err := normalizeResult(result, requireError)
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

// authenticate returns the caller's team. If the key is missing or unknown it
// writes a 401 response and returns false.
func (a *api) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) == 1 {
		scheme, key, found := strings.Cut(values[0], " ")
		if found && strings.EqualFold(scheme, "Bearer") && key != "" {
			if team, ok := a.backend.Authenticate(key); ok {
				clientconn.SetTeam(r, team)
				return team, true
			}
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, &Error{Status: http.StatusUnauthorized, Type: errorTypeInvalidRequest, Code: "invalid_api_key",
		Message: "the header \"Authorization: Bearer KEY\" is missing or holds an unknown key"})
	return "", false
}

// selectProfile returns the profile of a chat request. The header takes
// precedence over the field model, because some clients can't change the model
// name.
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
		return "", &Error{Status: http.StatusNotFound, Type: errorTypeInvalidRequest, Param: param, Code: "model_not_found",
			Message: fmt.Sprintf("profile %q does not exist", model)}
	}
	return model, nil
}

// readBody reads the whole body, up to MaxBody. net/http detects that a caller
// has disconnected only after the body has been read.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.options.MaxBody)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, clientconn.ErrNoMemory):
		w.Header().Set("Retry-After", retryAfterSeconds(defaultRetryAfter))
		return nil, &Error{Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "not_run", Message: err.Error()}
	case errors.As(err, &tooLarge):
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Type: errorTypeInvalidRequest, Code: "request_too_large",
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

// models serves GET /v1/models. Each profile is listed as a model.
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

// teams serves GET /v1/teams. Every team sees the load of all teams, so that a
// small team can watch the largest one.
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

// healthz is the liveness check: it succeeds while the process serves HTTP.
func (a *api) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, request.OutcomeCompleted, status{"ok"})
}

// readyz is the readiness check: it reports whether a load balancer may send
// callers to this process.
func (a *api) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := a.backend.Ready(); err != nil {
		writeError(w, &Error{Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "not_ready", Message: err.Error()})
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
	writeError(w, &Error{Status: http.StatusNotFound, Type: errorTypeInvalidRequest, Code: "not_found",
		Message: fmt.Sprintf("unknown path %q", r.URL.Path)})
}
