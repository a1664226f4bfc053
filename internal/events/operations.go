package events

import "github.com/rs/zerolog"

// Events of non-idempotent operations, 1300 to 1399.
var (
	OperationUnknown = define(1300, "operation-unknown", zerolog.ErrorLevel,
		"The outcome of a claimed operation is unknown and was reported as unknown to the caller.",
		"Check the upstream's own records before repeating the operation manually.")
	OperationRefused = define(1301, "operation-refused", zerolog.WarnLevel,
		"A non-idempotent operation was refused as not-run because the store could not be reached.",
		"Check the platform's store.")
	OperationReplayed = define(1302, "operation-replayed", zerolog.InfoLevel,
		"A request with a repeated idempotency key was answered with the recorded response.", noAction)
	OperationReleased = define(1303, "operation-released", zerolog.InfoLevel,
		"A claim was released because no part of the request had been sent to the upstream.", noAction)
	RecordMismatch = define(1304, "record-mismatch", zerolog.WarnLevel,
		"An idempotency key was reused with another operation or body; the request was refused.",
		"Inform the team that its client reuses idempotency keys.")
)
