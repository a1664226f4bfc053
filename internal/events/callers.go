package events

import "github.com/rs/zerolog"

// Events of the callers' API, 1700 to 1799.
var (
	RequestFailed = define(1700, "request-failed", zerolog.WarnLevel,
		"A caller's request ended as failed or unknown.",
		"Look the request up with nutmegctl explain REQUEST-ID.")
	HandlerPanicked = define(1701, "handler-panicked", zerolog.ErrorLevel,
		"A request handler panicked; the caller got outcome unknown.", "Report the line as a fault.")
	HTTPServerError = define(1702, "http-server-error", zerolog.WarnLevel,
		"The HTTP server of the callers' API reports an error of a connection.", noAction)
	BackendInconsistent = define(1703, "backend-inconsistent", zerolog.ErrorLevel,
		"The result of a request contradicts itself and was reported as unknown.", "Report the line as a fault.")
)
