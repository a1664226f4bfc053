package events

import "github.com/rs/zerolog"

// Events of orders to engines, 1600 to 1699.
var (
	OrderCompleted = define(1600, "order-accepted", zerolog.InfoLevel,
		"An engine carried out an order.", noAction)
	OrderFenced = define(1601, "order-fenced", zerolog.WarnLevel,
		"An order with an outdated fencing token was refused.",
		"None if the lease has a new holder; otherwise check the clock and load of the previous holder.")
	OrderFailed = define(1602, "order-failed", zerolog.ErrorLevel,
		"An order was not carried out: the engine or sidecar refused it or failed, or the group's lease was not usable.",
		"Read the error in the log line; check the engine's log, the weight store and the platform's store.")
	LeaseNotHeld = define(1603, "lease-not-held", zerolog.InfoLevel,
		"The entry sends no order to a group, because it doesn't hold the group's lease.", noAction)
)
