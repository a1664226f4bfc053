package events

import "github.com/rs/zerolog"

// Events of the callers' API, 1700 to 1799.
var (
	RequestFailed = define(1700, "request-failed", zerolog.WarnLevel,
		"A caller's request ended as failed or unknown.",
		"Run nutmegctl explain REQUEST-ID.")
	HandlerPanicked = define(1701, "handler-panicked", zerolog.ErrorLevel,
		"A request handler panicked; the outcome of its request is unknown.", "Report the log line as a bug.")
	HTTPServerError = define(1702, "http-server-error", zerolog.WarnLevel,
		"The HTTP server of the callers' API reported a connection error.", noAction)
	BackendInconsistent = define(1703, "backend-inconsistent", zerolog.ErrorLevel,
		"The outcome and the error of a request contradict each other; the outcome was reported as unknown.",
		"Report the log line as a bug.")
	CallerRequestRefused = define(1704, "caller-memory-refused", zerolog.WarnLevel,
		"A caller's request found no memory; it was refused as not-run.",
		"If ordinary callers meet the limit, raise GOMEMLIMIT or add entries.")
	CallerConnectionRefused = define(1705, "caller-connection-refused", zerolog.WarnLevel,
		"A caller's connection found no room; it was closed before a request.",
		"If ordinary callers meet the limit, raise the limit of descriptors or GOMEMLIMIT, or add entries.")
	CallerConnectionEnded = define(1706, "caller-connection-ended", zerolog.WarnLevel,
		"A caller's connection without progress was closed, because others need its memory or descriptor.",
		"None if it was a caller that stops halfway. Otherwise raise the limits or add entries.")
)
