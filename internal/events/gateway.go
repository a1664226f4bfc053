package events

import "github.com/rs/zerolog"

// Events of the gateway, 1800 to 1899.
var (
	RequestDone = define(1800, "request-done", zerolog.InfoLevel,
		"A request was finished after at least one attempt to send it to an instance. The response is that of an instance "+
			"or the gateway's own (see own-answer); a stream may have been cut (see stream-cut).", noAction)
	OwnResponse = define(1801, "own-answer", zerolog.WarnLevel,
		"The gateway answered a request itself because no response of an instance could be forwarded.",
		"Check status and reason, and other log lines of the same request and of the instances in its path.")
	RequestRetried = define(1802, "request-repeated", zerolog.WarnLevel,
		"An instance failed, refused a request, did not answer or was too slow; the request is sent again, usually to "+
			"another instance.",
		"Check other log lines of the instance; replace the instance if it fails often.")
	StreamStalled = define(1803, "stream-stalled", zerolog.WarnLevel,
		"A stream received no data because an instance of its path is at fault (field fault) or slow (field slow). The "+
			"stream is moved off that instance if another path and another attempt are available.",
		"Check the instance named in the field fault or the field slow.")
	StreamAborted = define(1804, "stream-cut", zerolog.ErrorLevel,
		"A stream ended before it was complete; the client's connection was closed.",
		"Check the reason and the request-repeated lines of the same request.")
	StreamRerouted = define(1806, "stream-detour", zerolog.InfoLevel,
		"A running stream was ordered to change its path to avoid a failed or leaving instance. An error means that the "+
			"change was refused or not confirmed; if the instance failed, the stream is restarted on another path if another "+
			"attempt is available.", noAction)
	ClientDisconnected = define(1805, "client-gone", zerolog.InfoLevel,
		"The client disconnected before a response was sent; the request was cancelled.", noAction)
	GatewayStoreUnavailable = define(1810, "store-lost", zerolog.WarnLevel,
		"Requests to the platform's store fail; the gateway continues with the last known state.",
		"Check the store and the network connection to it.")
	GatewayStoreRecovered = define(1811, "store-regained", zerolog.InfoLevel,
		"The platform's store is available again.", noAction)
	ConfigurationInstalled = define(1812, "configuration-installed", zerolog.InfoLevel,
		"A newer configuration is in use.", noAction)
	ConfigurationRejected = define(1813, "configuration-rejected", zerolog.ErrorLevel,
		"A configuration is invalid and was not installed.", "Correct the configuration.")
	InstanceChanged = define(1814, "instance-changed", zerolog.InfoLevel,
		"An upstream instance appeared, changed its state or layers, or was removed.", noAction)
	InstanceLost = define(1819, "instance-lost", zerolog.WarnLevel,
		"An instance that refused requests does not answer, or reports that it has capacity and is therefore assumed to "+
			"be leaving. It gets no work and its layers are placed on other instances until it answers again or, if it is "+
			"assumed to be leaving, for 5 s.",
		"Check the instance; its record in the store may be outdated.")
	GatewayReady = define(1815, "gateway-ready", zerolog.InfoLevel,
		"Configuration and instances are known; the gateway accepts clients.", noAction)
	ListenerError = define(1816, "listener-fault", zerolog.WarnLevel,
		"The HTTP server reported an error of a client's connection.", noAction)
	SettingsChecked = define(1817, "settings-reloaded", zerolog.InfoLevel,
		"The settings file was checked on SIGHUP and is valid; a restart applies it.", noAction)
	SettingsRejected = define(1818, "settings-rejected", zerolog.ErrorLevel,
		"The settings file was checked on SIGHUP and is unreadable or invalid; the running process keeps its settings.",
		"Correct the settings file before the next restart.")
)

// Events of the placement of layers, 1900 to 1999.
var (
	LayersOrdered = define(1900, "layers-ordered", zerolog.InfoLevel,
		"An instance accepted an order to hold a range of layers.", noAction)
	LayersObserved = define(1905, "layers-observed", zerolog.InfoLevel,
		"An instance was asked which layers it holds, after an order or after it refused a request. An answer that is "+
			"used takes precedence over the instance's record in the store until the store has a newer one; an error means "+
			"that the instance gave no answer.", noAction)
	LayersOrderFailed = define(1901, "layers-order-failed", zerolog.WarnLevel,
		"An order to hold layers was not sent, refused or not answered; an instance that did not answer may still carry "+
			"it out.",
		"None; the order is repeated if it is still needed.")
	LayersMissing = define(1902, "layers-missing", zerolog.ErrorLevel,
		"Some layers of a model are neither held nor being loaded by any instance of a failure domain, and no instance "+
			"of the domain can be ordered to load them.",
		"Add instances to the failure domain.")
	PlacerStarted = define(1903, "placer-elected", zerolog.InfoLevel,
		"This gateway starts leading the placement of layers: it holds the placement lease, or leads without it because "+
			"the store is unreachable.", noAction)
	PlacerStopped = define(1904, "placer-deposed", zerolog.InfoLevel,
		"This gateway stops leading the placement of layers, for example because it lost or yields the placement lease.",
		noAction)
)
