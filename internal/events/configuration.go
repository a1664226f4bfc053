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
		"The process knows of a higher revision that it could not fetch.",
		"Check the platform's store and the connections to the entries.")
	StoreUnavailable = define(1404, "store-unavailable", zerolog.ErrorLevel,
		"Requests to the platform's store fail or are slow. Language-model requests continue.",
		"Check the platform. Changes and non-idempotent operations are refused until the store is available.")
	StoreRecovered = define(1405, "store-recovered", zerolog.InfoLevel,
		"The platform's store is available again.", noAction)
)
