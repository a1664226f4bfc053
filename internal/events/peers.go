package events

import "github.com/rs/zerolog"

// Events of peers and membership, 1100 to 1199.
var (
	PeerConnected = define(1100, "peer-connected", zerolog.InfoLevel,
		"A connection to a peer is open and both sides have sent Hello.", noAction)
	PeerDisconnected = define(1101, "peer-disconnected", zerolog.WarnLevel,
		"A connection to a peer ended. An entry dials its peers again, a sidecar its seeds.",
		"If this repeats, check the network between the two failure domains.")
	PeerRejected = define(1102, "peer-rejected", zerolog.ErrorLevel,
		"A connection to a peer failed in the handshake: wrong shared secret, protocol version or Hello.",
		"Compare the peer sections of both settings files and the versions of both programs.")
	PeerSuspect = define(1103, "peer-suspect", zerolog.WarnLevel,
		"An upstream is silent for suspect_after, fails a probe or disconnects; it gets no new work and its sequences move.",
		"Check the instance; if its whole failure domain is suspect, check the domain's network.")
	PeerRecovered = define(1104, "peer-recovered", zerolog.InfoLevel,
		"A suspect upstream sends heartbeats again.", noAction)
	UpstreamLeaving = define(1105, "upstream-leaving", zerolog.InfoLevel,
		"An upstream is leaving, or an operator ordered it to leave (field operator). It gets no new work.", noAction)
	UpstreamGone = define(1106, "upstream-gone", zerolog.InfoLevel,
		"An upstream was removed from the entry's directory.", noAction)
	UpstreamEjected = define(1107, "upstream-ejected", zerolog.WarnLevel,
		"An upstream gets no new work because it fails or is slow compared with the other upstreams of its pool.",
		"Check the upstream's log and accelerator.")
	InstanceListStale = define(1108, "instance-list-stale", zerolog.WarnLevel,
		"The platform's list of instances could not be read; the last known list stays in use.",
		"Check the platform. New instances join through the seeds meanwhile.")
	FrameRejected = define(1109, "frame-rejected", zerolog.WarnLevel,
		"A frame was malformed or exceeded a limit.", "Compare the versions of both programs.")
)
