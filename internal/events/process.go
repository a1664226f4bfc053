package events

import "github.com/rs/zerolog"

// Events of the process, 1000 to 1099.
var (
	ProcessStarted = define(1000, "process-started", zerolog.InfoLevel,
		"The process has read its settings and starts.", noAction)
	ProcessReady = define(1001, "process-ready", zerolog.InfoLevel,
		"The process answers 200 on /readyz.", noAction)
	ProcessNotReady = define(1002, "process-not-ready", zerolog.WarnLevel,
		"The process was ready and no longer is, without a graceful shutdown.",
		"Read the error in the log line; check the platform's store and the peers.")
	ProcessStopping = define(1003, "process-stopping", zerolog.InfoLevel,
		"A graceful shutdown began: no new work is accepted, work in progress is finished.", noAction)
	ProcessStopped = define(1004, "process-stopped", zerolog.InfoLevel,
		"The graceful shutdown is complete.", noAction)
	DrainTimedOut = define(1005, "drain-timed-out", zerolog.ErrorLevel,
		"Work that was still in progress when drain_timeout passed was interrupted.",
		"Raise drain_timeout (grace_s of a gateway) above the longest deadline of the profiles or routes in use.")
	ProcessInterrupted = define(1006, "process-interrupted", zerolog.ErrorLevel,
		"A second signal ended the process immediately; work in progress was interrupted.",
		"Wait for the graceful shutdown instead, or shorten drain_timeout.")
	ProcessFailed = define(1007, "process-failed", zerolog.ErrorLevel,
		"The process ends because of an error.",
		"Read the error in the log line; the usual reason is that a listen address is in use.")
	MetricsRejected = define(1008, "metrics-rejected", zerolog.ErrorLevel,
		"A metric could not be registered and is missing from /metrics, or a gateway could not listen on its metrics port.",
		"If the metrics port is in use, free it; otherwise report the log line as a bug.")
)
