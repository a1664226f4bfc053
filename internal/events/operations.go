package events

import "github.com/rs/zerolog"

// Events of non-idempotent operations, 1300 to 1399.
var (
	OperationUnknown = define(1300, "operation-unknown", zerolog.ErrorLevel,
		"A claimed operation has no outcome; the caller was told unknown.",
		"Look the operation up in the upstream's own records before it is repeated by hand.")
	OperationRefused = define(1301, "operation-refused", zerolog.WarnLevel,
		"A non-idempotent operation was refused as not-run because the store could not be reached.",
		"Check the platform's store.")
	OperationReplayed = define(1302, "operation-replayed", zerolog.InfoLevel,
		"A repeated key was answered with the recorded response.", noAction)
	OperationReleased = define(1303, "operation-released", zerolog.InfoLevel,
		"A claim was released because no byte had been sent to the upstream.", noAction)
	RecordMismatch = define(1304, "record-mismatch", zerolog.WarnLevel,
		"A key was reused with a different body and refused.", "Tell the team: its client reuses keys.")
)
