package events

import "github.com/rs/zerolog"

// Events of the configuration, 1400 to 1499.
var (
	ChangeAccepted = define(1400, "change-accepted", zerolog.InfoLevel,
		"An operator's change was accepted and assigned a revision.", noAction)
	ChangeConflict = define(1401, "change-conflict", zerolog.InfoLevel,
		"A change was refused because the object changed since the version it is based on.",
		"The operator reads the conflicting change and proposes the change again.")
	ChangeUnknown = define(1402, "change-unknown", zerolog.WarnLevel,
		"The store did not confirm whether a change was accepted.",
		"Repeat the command with the same change id.")
	RevisionBehind = define(1403, "revision-behind", zerolog.WarnLevel,
		"Configuration changes could not be sent to or applied from a peer; one process may stay at an older revision.",
		"Read the error in the log line; check the platform's store and the versions of both programs.")
	StoreUnavailable = define(1404, "store-unavailable", zerolog.ErrorLevel,
		"The configuration in the platform's store could not be read or written. Language-model requests continue.",
		"Check the platform. Changes and non-idempotent operations are refused until the store is available.")
	StoreRecovered = define(1405, "store-recovered", zerolog.InfoLevel,
		"The platform's store is available again.", noAction)
)
