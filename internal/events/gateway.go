package events

import "github.com/rs/zerolog"

// Events of the gateway, 1800 to 1899.
var (
	RequestDone = define(1800, "request-done", zerolog.InfoLevel,
		"A request was answered with the response of an instance.", noAction)
	OwnResponse = define(1801, "own-answer", zerolog.WarnLevel,
		"The gateway answered a request itself, because the request was refused, denied or failed.",
		"Check status and reason, and other log lines of the same request and of the instances in its path.")
	RequestRetried = define(1802, "request-repeated", zerolog.WarnLevel,
		"An instance failed, refused a request or did not answer; the request is retried on another instance.",
		"Check other log lines of the instance; replace the instance if it fails often.")
	StreamStalled = define(1803, "stream-stalled", zerolog.WarnLevel,
		"A stream received no data and the instance that it waits for is known; the stream is moved to another path.",
		"Check the instance in the field fault or slow.")
	StreamAborted = define(1804, "stream-cut", zerolog.ErrorLevel,
		"A stream ended before it was complete; the client's connection was closed.",
		"Check the reason and the request-repeated lines of the same request.")
	StreamRerouted = define(1806, "stream-detour", zerolog.InfoLevel,
		"A running stream was rerouted around a failed instance; an error means that the new path was not accepted "+
			"and that the stream is restarted on another path.", noAction)
	ClientDisconnected = define(1805, "client-gone", zerolog.InfoLevel,
		"The client disconnected before its request was answered; the request was cancelled.", noAction)
	GatewayStoreUnavailable = define(1810, "store-lost", zerolog.WarnLevel,
		"The platform's store does not answer; the gateway continues with the last known state.",
		"Check the store and the network connection to it.")
	GatewayStoreRecovered = define(1811, "store-regained", zerolog.InfoLevel,
		"The platform's store is available again.", noAction)
	ConfigurationInstalled = define(1812, "configuration-installed", zerolog.InfoLevel,
		"A newer configuration is in use.", noAction)
	ConfigurationRejected = define(1813, "configuration-rejected", zerolog.ErrorLevel,
		"A configuration is inconsistent and was not installed.", "Correct the configuration.")
	InstanceChanged = define(1814, "instance-changed", zerolog.InfoLevel,
		"An upstream instance appeared, changed its state or layers, or was removed.", noAction)
	InstanceLost = define(1819, "instance-lost", zerolog.WarnLevel,
		"An instance does not answer, or refuses requests although it has capacity; it gets no work and its layers "+
			"are placed on other instances until it answers or some seconds have passed.",
		"Check the instance; its entry in the store may be outdated.")
	GatewayReady = define(1815, "gateway-ready", zerolog.InfoLevel,
		"Configuration and instances are known; the gateway accepts clients.", noAction)
	ListenerError = define(1816, "listener-fault", zerolog.WarnLevel,
		"The HTTP server reported an error of a client's connection.", noAction)
	SettingsChecked = define(1817, "settings-reloaded", zerolog.InfoLevel,
		"The settings file was read again on SIGHUP.", noAction)
	SettingsRejected = define(1818, "settings-rejected", zerolog.ErrorLevel,
		"The settings file could not be read on SIGHUP; the previous settings stay in effect.", "Correct the settings file.")
)

// Events of the placement of layers, 1900 to 1999.
var (
	LayersOrdered = define(1900, "layers-ordered", zerolog.InfoLevel,
		"An instance was ordered to hold a range of layers.", noAction)
	LayersObserved = define(1905, "layers-observed", zerolog.InfoLevel,
		"An instance was asked which layers it holds, after an order or after it refused a request; the answer "+
			"counts until the store has a newer entry of the instance.", noAction)
	LayersOrderFailed = define(1901, "layers-order-failed", zerolog.WarnLevel,
		"An order to hold layers was refused or not answered; the instance may still carry it out.",
		"None; the order is repeated if it is still needed.")
	LayersMissing = define(1902, "layers-missing", zerolog.ErrorLevel,
		"Some layers are held by no instance of a failure domain, and no instance of it can load them.",
		"Add instances to the failure domain.")
	PlacerStarted = define(1903, "placer-elected", zerolog.InfoLevel,
		"This process acquired the placement lease and places layers.", noAction)
	PlacerStopped = define(1904, "placer-deposed", zerolog.InfoLevel,
		"This process no longer holds the placement lease.", noAction)
)
