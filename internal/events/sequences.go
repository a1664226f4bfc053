package events

import "github.com/rs/zerolog"

// Events of sequences, 1200 to 1299.
var (
	StageReplaced = define(1200, "stage-replaced", zerolog.WarnLevel,
		"A stage of a sequence failed; the sequence continues on a replacement as the next attempt.",
		"If the same upstream fails repeatedly, check it.")
	SequenceIncomplete = define(1201, "sequence-incomplete", zerolog.ErrorLevel,
		"A sequence that may have run did not complete; the caller got an error, or a stream that ends with an error.",
		"Check the field reason. No replacement: add upstreams. Output log exceeded: raise output_log_bytes.")
	NoChain = define(1202, "no-chain", zerolog.ErrorLevel,
		"An admitted request was not run, usually because no chain of ready upstreams covers the model's layers.",
		"Check the field reason; start upstreams for a missing layer range.")
	StaleFrameDropped = define(1203, "stale-frame-dropped", zerolog.DebugLevel,
		"A frame of an unknown request, usually of one that has ended, was dropped.", noAction)
	OutputLogExceeded = define(1204, "output-log-exceeded", zerolog.WarnLevel,
		"A sequence could not be resumed: its output log was deleted when output_log_bytes of the sidecar was exceeded.",
		"Raise output_log_bytes if the sidecar has enough memory.")
)
