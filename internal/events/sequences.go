package events

import "github.com/rs/zerolog"

// Events of sequences, 1200 to 1299.
var (
	StageReplaced = define(1200, "stage-replaced", zerolog.WarnLevel,
		"A stage of a sequence failed; the sequence continues on a replacement as the next attempt.",
		"If the same upstream fails repeatedly, check it.")
	SequenceIncomplete = define(1201, "sequence-incomplete", zerolog.ErrorLevel,
		"A sequence that had started could not be resumed; the caller got an incomplete response.",
		"Read the reason: no replacement (add upstreams), output log exceeded (raise output_log_bytes) or deadline.")
	NoChain = define(1202, "no-chain", zerolog.ErrorLevel,
		"No chain of ready upstreams covers the model's layers.",
		"Start upstreams for the missing layer range.")
	StaleFrameDropped = define(1203, "stale-frame-dropped", zerolog.DebugLevel,
		"A frame of an earlier attempt or of an unknown request was dropped.", noAction)
	OutputLogExceeded = define(1204, "output-log-exceeded", zerolog.WarnLevel,
		"A sequence's output log exceeded its byte budget; the sequence can no longer be resumed.",
		"Raise output_log_bytes if the instance has enough memory.")
)
