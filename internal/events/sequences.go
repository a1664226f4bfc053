package events

import "github.com/rs/zerolog"

// Events of sequences, 1200 to 1299.
var (
	StageReplaced = define(1200, "stage-replaced", zerolog.WarnLevel,
		"A stage of a sequence failed; the sequence continues on a replacement as the next attempt.",
		"If the same upstream fails repeatedly, check it.")
	SequenceIncomplete = define(1201, "sequence-incomplete", zerolog.ErrorLevel,
		"A sequence that may have run did not complete. The caller got an error response or, if part of a stream "+
			"had been sent, an incomplete stream that ends with an error.",
		"Check the field reason. If no replacement was available, add upstreams; if an output log was exceeded, raise "+
			"output_log_bytes; if the deadline passed, add upstreams or raise the profile's deadline.")
	NoChain = define(1202, "no-chain", zerolog.ErrorLevel,
		"An admitted request was not run, usually because no chain of ready upstreams covers the model's layers.",
		"Check the field reason; start upstreams for a missing layer range.")
	StaleFrameDropped = define(1203, "stale-frame-dropped", zerolog.DebugLevel,
		"A frame of an unknown request, usually of one that has ended, was dropped.", noAction)
	OutputLogExceeded = define(1204, "output-log-exceeded", zerolog.WarnLevel,
		"A sequence could not be resumed, because a sidecar had deleted the sequence's output log when the sidecar's output "+
			"logs together exceeded output_log_bytes.",
		"Raise output_log_bytes if the sidecar has enough memory.")
)
