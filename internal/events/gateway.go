package events

import "github.com/rs/zerolog"

// Events of the gateway, 1800 to 1899.
var (
	RequestDone = define(1800, "request-done", zerolog.InfoLevel,
		"A request ended with the response of an instance.", noAction)
	LocalResponse = define(1801, "own-answer", zerolog.WarnLevel,
		"The gateway answered a request itself: it was refused, denied or failed.",
		"Read status and reason; look for lines of the same request and of the instances in its path.")
	RequestRetried = define(1802, "request-repeated", zerolog.WarnLevel,
		"An instance failed, refused or did not answer; the request goes to another one.",
		"Look for the instance in other lines; replace it if it fails often.")
	StreamStalled = define(1803, "stream-stalled", zerolog.WarnLevel,
		"A stream was silent and the instance that it waits for is known; the stream moves.",
		"Check the instance named as fault.")
	StreamAborted = define(1804, "stream-cut", zerolog.ErrorLevel,
		"A stream ended before it was complete; the client's connection was closed.",
		"Read the reason; look for repeated lines of the same request.")
	StreamRerouted = define(1806, "stream-detour", zerolog.InfoLevel,
		"A running stream passes through other instances in place of one at fault; an error means that the "+
			"instance did not accept the new path and that the stream starts anew elsewhere.", noAction)
	ClientDisconnected = define(1805, "client-gone", zerolog.InfoLevel,
		"The client left before its request was answered; the work was cancelled.", noAction)
	GatewayStoreUnavailable = define(1810, "store-lost", zerolog.WarnLevel,
		"The platform's store does not answer; the last known state goes on serving.",
		"Check the store and the path to it.")
	GatewayStoreRecovered = define(1811, "store-regained", zerolog.InfoLevel,
		"The platform's store answers again.", noAction)
	ConfigurationInstalled = define(1812, "configuration-installed", zerolog.InfoLevel,
		"A newer configuration is in force.", noAction)
	ConfigurationRejected = define(1813, "configuration-rejected", zerolog.ErrorLevel,
		"A configuration contradicts itself and was not installed.", "Correct the configuration.")
	InstanceChanged = define(1814, "instance-changed", zerolog.InfoLevel,
		"An upstream instance appeared, changed its state or layers, or is gone.", noAction)
	InstanceLost = define(1819, "instance-lost", zerolog.WarnLevel,
		"An instance does not answer, or refuses requests for which it has room; it gets no work and its layers "+
			"are placed elsewhere until it answers or some seconds have passed.",
		"Check the instance; its entry in the store may be outdated.")
	GatewayReady = define(1815, "gateway-ready", zerolog.InfoLevel,
		"Configuration and instances are known; the gateway takes clients.", noAction)
	ListenerError = define(1816, "listener-fault", zerolog.WarnLevel,
		"A library reports a fault of a client's connection.", noAction)
	SettingsReloaded = define(1817, "settings-reloaded", zerolog.InfoLevel,
		"SIGHUP: the settings file was read again.", noAction)
	SettingsRejected = define(1818, "settings-rejected", zerolog.ErrorLevel,
		"SIGHUP: the settings file can't be read; the former settings stay in force.", "Correct the settings file.")
)

// Events of the placement of layers, 1900 to 1999.
var (
	LayersOrdered = define(1900, "layers-ordered", zerolog.InfoLevel,
		"An instance was ordered to hold a range of layers.", noAction)
	LayersObserved = define(1905, "layers-observed", zerolog.InfoLevel,
		"An instance was asked which layers it holds, after an order or after it refused a request; the answer "+
			"counts until the store has a newer entry of the instance.", noAction)
	LayersOrderFailed = define(1901, "layers-order-failed", zerolog.WarnLevel,
		"An order to hold layers was refused or not answered; it may still be carried out.",
		"None; the order is repeated if it is still needed.")
	LayersMissing = define(1902, "layers-missing", zerolog.ErrorLevel,
		"No instance of a failure domain holds some layers and none can take them.",
		"Add instances to the failure domain.")
	PlacerLeaseAcquired = define(1903, "placer-elected", zerolog.InfoLevel,
		"This process holds the lease and places layers.", noAction)
	PlacerLeaseLost = define(1904, "placer-deposed", zerolog.InfoLevel,
		"This process no longer holds the lease of the placement.", noAction)
)
