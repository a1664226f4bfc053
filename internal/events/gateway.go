package events

import "github.com/rs/zerolog"

// Events of the gateway, 1800 to 1899.
var (
	RequestDone = define(1800, "request-done", zerolog.InfoLevel,
		"A request for which an instance was contacted ended; see also own-answer and stream-cut lines of the request.",
		noAction)
	OwnResponse = define(1801, "own-answer", zerolog.WarnLevel,
		"The gateway answered a request itself because no response of an instance could be forwarded.",
		"Check status and reason, and other log lines of the same request and of the instances in its path.")
	RequestRetried = define(1802, "request-repeated", zerolog.WarnLevel,
		"An instance failed, refused a request, did not answer or was too slow; the request is sent again.",
		"Check other log lines of the instance; replace the instance if it fails often.")
	StreamStalled = define(1803, "stream-stalled", zerolog.WarnLevel,
		"A stream stalled because an instance of its path failed or is slow; it is moved to another path if possible.",
		"Check the instance named in the field fault, slow or silent.")
	StreamAborted = define(1804, "stream-cut", zerolog.ErrorLevel,
		"A stream ended before it was complete; the client's connection was closed.",
		"Check the reason and the request-repeated lines of the same request.")
	StreamRerouted = define(1806, "stream-detour", zerolog.InfoLevel,
		"A running stream was ordered onto a path without a failed or leaving instance; an error means that the order was "+
			"refused or not confirmed. A stream of a failed instance is then restarted on another path if possible.", noAction)
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
		"An instance that refused requests does not answer, or reports free capacity and so seems to be leaving; it gets "+
			"no work and its layers are placed elsewhere, until it answers again or, if it seems to be leaving, for 5 s.",
		"Check the instance; its record in the store may be outdated.")
	GatewayReady = define(1815, "gateway-ready", zerolog.InfoLevel,
		"Configuration and instances are known; the gateway accepts clients.", noAction)
	FeedSourceChanged = define(1820, "feed-source-changed", zerolog.InfoLevel,
		"The gateway reads a feed of the platform's store from another relay, or from the store itself if the field relay "+
			"is empty; an error says why the previous relay was given up.", noAction)
	ResponseInterrupted = define(1821, "response-interrupted", zerolog.WarnLevel,
		"An instance closed the connection of a request before its response was complete. The field ended tells whether the "+
			"instance has refused connections since, events how many events it had sent, parts the shared parts of the prompt.",
		"If ended is true, check the instance. If many instances ended under requests without events that share a part, "+
			"requests with that part may crash instances.")
	PartQuarantined = define(1822, "part-quarantined", zerolog.ErrorLevel,
		"Instances end as soon as they begin to answer requests with this part in their prompts; such requests are refused "+
			"from now on. The field source tells whether this gateway decided by crashes that it knows (evidence), or took the "+
			"decision over from another gateway (peer) or the store.",
		"Find out why the part crashes instances: see the response-interrupted lines that name it. If the decision is wrong or "+
			"the cause is mended, release the part with nutmegctl.")
	PartReleased = define(1823, "part-released", zerolog.WarnLevel,
		"Requests with a part that was quarantined are served again. The field source tells whether one of them was answered, an "+
			"operator released the part, or the decision came from another gateway or the store.", noAction)
	InstanceLimit = define(1824, "instance-limit", zerolog.InfoLevel,
		"An instance named another limit of the requests a second that it takes from all gateways together, or named none any "+
			"more (unlimited).", "If it lasts, check the instance: it is in need.")
	CapacityShort = define(1850, "capacity-short", zerolog.WarnLevel,
		"The demand for a service reaches its capacity, or no longer does (short): from then on capacity is reserved for more urgent "+
			"requests, and teams that ask for more than their share give way.",
		"If it lasts, add instances; see the gauges overload_* for the demand by rank.")
	DemandReportRejected = define(1851, "demand-report-rejected", zerolog.WarnLevel,
		"The report of another gateway about the demand for a service holds values that can't be; it is not used.",
		"Check the version of the gateway named in the field peer.")
	ConnectionClosedIdle = define(1840, "idle-connection-closed", zerolog.InfoLevel,
		"A client's connection was closed because it had been idle for longer than the configuration allows (idle_ms, limit_ms).",
		noAction)
	RequestUnfinished = define(1841, "request-unfinished", zerolog.ErrorLevel,
		"A request was still in progress when the time of a graceful shutdown was over; its connection ends with the process.",
		"Allow more time for the shutdown, or check the instances in the request's path.")
	SuccessorUsed = define(1842, "successor-used", zerolog.InfoLevel,
		"Another instance takes over a request whose instance is silent or failed. The field begun tells whether it had sent the "+
			"next event or the whole response by then.", noAction)
	SuccessorDropped = define(1843, "successor-dropped", zerolog.InfoLevel,
		"A silent instance went on by itself; the request that was sent to another instance meanwhile was cancelled.", noAction)
	SuccessorFailed = define(1844, "successor-failed", zerolog.InfoLevel,
		"Another instance could not take over a request whose instance is silent; the request goes on waiting for the first.",
		noAction)
	AcceptedInStop = define(1845, "accepted-in-stop", zerolog.InfoLevel,
		"A request that arrived later than the first 2.75 s of a graceful stop was accepted, because its deadline comes before the end "+
			"of the stop: since_stop_ms is the time since the signal, left_ms the time until the connections are closed, deadline_ms the "+
			"time until the deadline.", noAction)
	HedgeSent = define(1880, "hedge-sent", zerolog.InfoLevel,
		"A request whose instance takes longer than nearly all recent ones was sent to another instance, the successor, as well.",
		noAction)
	HedgeWon = define(1881, "hedge-won", zerolog.InfoLevel,
		"A hedge answered first; the exchange with the slow instance was cancelled.", noAction)
	HedgeCancelled = define(1882, "hedge-cancelled", zerolog.InfoLevel,
		"A hedge was cancelled because the slow instance answered first, the client disconnected or the request ended.", noAction)
	StoreRestored = define(1825, "store-restored", zerolog.WarnLevel,
		"The platform's store was restored from an older copy: its era rose. What was written since the copy is lost until its "+
			"writers write it again; the gateway keeps the configuration and the leavings of instances that it knows.",
		"None if the restore was planned; otherwise check the store.")
	InstanceLeaving = define(1830, "instance-leaving", zerolog.InfoLevel,
		"An instance said in an answer that it leaves, to this gateway or to the one in the field peer. It gets no new work and its "+
			"streams are moved, whatever its record in the store says, until it has started again.", noAction)
	InstanceBackoff = define(1831, "instance-backoff", zerolog.InfoLevel,
		"An instance refused a call and named a time for which it wants none from this gateway (wait_ms, as it was named): no "+
			"requests, reports or orders. One minute at most is kept.", "If it recurs, check the instance: it is overloaded.")
	EntryRejected = define(1832, "entry-rejected", zerolog.WarnLevel,
		"An entry of the platform's store can't be used: its fields are missing, of another type or out of range, or it can't be "+
			"read. A server whose entry is rejected gets no requests; the other entries are used. The field entry is empty if its "+
			"name can't be read, withheld counts the lines that were left out.",
		"Find out which program wrote the entry, and remove it.")
	CellChanged = define(1890, "cell-changed", zerolog.InfoLevel,
		"The gateway belongs to another cell of its failure domain, or the failure domain is divided into another number of cells. "+
			"The gateway places its requests on the instances of its cell and of the partner cells.", noAction)
	ProcessDelayed = define(1891, "process-delayed", zerolog.WarnLevel,
		"A timer of the process fired late (delay_ms): the process had no processor time, or was suspended. Other gateways drop a "+
			"gateway that is silent for a second.", "If it recurs, give the gateway more processor time.")
	ReportsLate = define(1892, "reports-late", zerolog.WarnLevel,
		"No other gateway has been heard for a second (latest_report_ms), although this process had processor time.",
		"Check the network between the gateways, unless this is the only one that runs.")
	ClientRequestRefused = define(1870, "client-memory-refused", zerolog.WarnLevel,
		"A client's request found no memory; it was refused and has not run.",
		"Compare client_memory_bytes with the limit. If ordinary clients meet it, raise memory_mb or add gateways.")
	ClientConnectionRefused = define(1871, "client-connection-refused", zerolog.WarnLevel,
		"A client's connection found no room; it was closed before a request.",
		"Find the addresses with many connections; if they are ordinary clients, raise max_fds or memory_mb, or add gateways.")
	ClientConnectionEnded = define(1872, "client-connection-ended", zerolog.WarnLevel,
		"A client's connection without progress was closed, because others need its memory or descriptor.",
		"None if it was a client that stops halfway. Otherwise raise max_fds or memory_mb, or add gateways.")
	ListenerError = define(1816, "listener-fault", zerolog.WarnLevel,
		"The HTTP server reported an error of a client's connection.", noAction)
	SettingsChecked = define(1817, "settings-reloaded", zerolog.InfoLevel,
		"The settings file was checked on SIGHUP and is valid; a restart applies it.", noAction)
	SettingsRejected = define(1818, "settings-rejected", zerolog.ErrorLevel,
		"The settings file was checked on SIGHUP and is unreadable or invalid; the running process keeps its settings.",
		"Correct the settings file before the next restart.")
)

// Events of the placement of layers, 1895 to 1899 and 1900 to 1999.
var (
	PlacementSuspended = define(1895, "placement-suspended", zerolog.WarnLevel,
		"The gateway that places layers did not run for a while (gap_ms). It asks the instances that may be loading before "+
			"it orders anything.",
		"If it recurs, the gateway lacks processor time: check the load of its machine.")
	ForeignOrder = define(1896, "order-of-other-gateway", zerolog.InfoLevel,
		"An instance carries out an order that this gateway did not send, usually that of the previous placer.", noAction)
	LayersOverdue = define(1897, "layers-overdue", zerolog.WarnLevel,
		"The load of an instance's layers takes more than three times as long as expected, concurrent loads included.",
		"Check the instance and the weight store.")
	LayersMoved = define(1898, "layers-moved", zerolog.InfoLevel,
		"An order to an instance improves a placement in which all layers have holders.",
		"If such orders recur while no instances come or go, report it.")
	PlacementRoundSlow = define(1899, "placement-round-slow", zerolog.WarnLevel,
		"A round of the placement took more than 50 ms (duration_ms).",
		"If it recurs, the gateway lacks processor time: check the load of its machine.")
	LayersOrdered = define(1900, "layers-ordered", zerolog.InfoLevel,
		"An instance accepted an order to hold a range of layers.", noAction)
	LayersObserved = define(1905, "layers-observed", zerolog.InfoLevel,
		"An instance was asked which layers it holds, after an order or after it refused a request. An answer that is used "+
			"overrides the instance's record in the store until a newer record arrives; an error means that no answer came.",
		noAction)
	LayersOrderFailed = define(1901, "layers-order-failed", zerolog.WarnLevel,
		"An order to hold layers was not sent, refused or not answered; without an answer, it may still be carried out.",
		"None; the order is repeated if it is still needed.")
	LayersMissing = define(1902, "layers-missing", zerolog.ErrorLevel,
		"Layers of a model are neither held nor being loaded in a failure domain, and no instance there can load them.",
		"Add instances to the failure domain.")
	PlacerStarted = define(1903, "placer-elected", zerolog.InfoLevel,
		"This gateway starts leading the placement of layers, with its lease or, if the store is unreachable, without it.",
		noAction)
	PlacerStopped = define(1904, "placer-deposed", zerolog.InfoLevel,
		"This gateway stops leading the placement of layers, for example because it lost or yields the placement lease.",
		noAction)
)
