// Package settings reads the INI settings of the daemon. It reports all
// problems of a file together, each with its file, section and key.
package settings

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Secret is a value that must not appear in logs. Convert it with string(s)
// where it is used.
type Secret string

// String implements fmt.Stringer without revealing the value.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[redacted]"
}

// GoString implements fmt.GoStringer without revealing the value.
func (s Secret) GoString() string { return s.String() }

// MarshalText implements encoding.TextMarshaler without revealing the value.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Identity is the section [process] of entries and sidecars: the instance that the
// process runs on and its location.
type Identity struct {
	// Instance is the name of the instance, unique within a deployment.
	// Required.
	Instance string
	// FailureDomain is the failure domain the instance runs in. Required.
	FailureDomain string
	// Region is the region the instance runs in. Required.
	Region string
}

// LogFormat is the format of log lines.
type LogFormat string

const (
	// LogJSON writes one JSON object per line.
	LogJSON LogFormat = "json"
	// LogConsole writes human-readable lines.
	LogConsole LogFormat = "console"
)

// Log is the section [log] of entries and sidecars.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string
	// Format is json or console. Default json.
	Format LogFormat
}

// Platform is the section [platform] of entries and sidecars.
type Platform struct {
	// Address is the base URL of the platform's object API, without a trailing
	// slash. Required.
	Address string
	// KeyFile is the path of the file with the key for the object API; empty
	// means no key. A relative path is relative to the directory of the
	// settings file. Default empty.
	KeyFile string
	// Key is the content of the file that key_file names, read by LoadEntry and
	// LoadSidecar.
	Key Secret
	// Timeout limits the duration of one call. A watch may last longer by the
	// time that the platform holds it open. Default 2s.
	Timeout time.Duration
}

// PeerConnections is the section [peer] of entries and sidecars: the settings of
// this process's connections to its peers.
type PeerConnections struct {
	// Listen is the address for peer connections, IP:port or :port. Required.
	Listen string
	// Advertise is the IP:port at which peers can connect to this process.
	// Required.
	Advertise string
	// SecretFile is the path of the file with the shared secret. Exactly one of
	// secret_file and secret must be set. A relative path is relative to the
	// directory of the settings file.
	SecretFile string
	// Secret is the shared secret, at least 16 bytes. If secret_file is set,
	// LoadEntry and LoadSidecar read the secret from that file.
	Secret Secret
	// Seeds are the IP:port addresses of peers to connect to in addition to the
	// instances on the platform's list. Default none.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a peer is
	// suspect; at least twice heartbeat_interval. Default 1s.
	SuspectAfter time.Duration
	// TLSCertFile and TLSKeyFile are the paths of the PEM files with the
	// certificate and key for peer connections. Both or neither of tls_cert_file
	// and tls_key_file must be set. Default empty: no TLS.
	TLSCertFile string
	TLSKeyFile  string
	// TLSCAFile is the path of the PEM file with the CA certificates that peer
	// certificates are verified against; requires tls_cert_file. Default empty:
	// the system's CA certificates.
	TLSCAFile string
}

// Caller is the section [caller] of the entry.
type Caller struct {
	// Listen is the address of the callers' API, IP:port or :port. Required.
	Listen string
	// MaxBody is the maximum size of a request body in bytes. Default 1 MiB.
	MaxBody int
	// MaxHeader is the maximum size of the request line and headers in bytes.
	// Default 32 KiB.
	MaxHeader int
}

// Admin is the section [admin] of the entry.
type Admin struct {
	// Listen is the address of the operators' API, IP:port or :port. Required.
	Listen string
}

// Forwarding selects how the stages of a chain exchange activations.
type Forwarding string

const (
	// ForwardingChain sends each stage's output directly to the next stage.
	ForwardingChain Forwarding = "chain"
	// ForwardingStar sends each stage's output through the entry.
	ForwardingStar Forwarding = "star"
)

// Entry holds the settings of an entry.
type Entry struct {
	Process  Identity
	Log      Log
	Platform Platform
	Peer     PeerConnections
	Caller   Caller
	Admin    Admin
	// Operators is the section [operators]. It maps each operator's name to the
	// lower-case hexadecimal SHA-256 digest of the operator's key. At least one
	// operator is required.
	Operators map[string]string
	// Forwarding is chain or star. Default chain.
	Forwarding Forwarding
	// DrainDelay is the time during which a stopping entry still accepts
	// requests, because the load balancer keeps sending them until it notices
	// the stop. Default 2s.
	DrainDelay time.Duration
	// DrainTimeout limits the duration of the entry's graceful shutdown; longer
	// than drain_delay. Default 10m.
	DrainTimeout time.Duration
	// MaxInFlight is the maximum number of requests in progress. Default 4096.
	MaxInFlight int
}

// Upstream is the section [upstream] of the sidecar.
type Upstream struct {
	// Kind is engine or service. Required.
	Kind upstream.Kind
	// Address is the base URL of the upstream, with a numeric IP address and
	// without a trailing slash. Required.
	Address string
	// Group is the name of the group of upstreams that share a placement. Only
	// the holder of the group's lease sends them orders. Required for an
	// engine; default empty for a service.
	Group string
	// Service is the name of the plain service. Required for a service, not
	// allowed for an engine.
	Service string
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process  Identity
	Log      Log
	Platform Platform
	Peer     PeerConnections
	Upstream Upstream
	// MetricsListen is the address of /metrics, /healthz and /readyz, IP:port
	// or :port. Required.
	MetricsListen string
	// MaxQueue is the maximum number of queued steps and calls. Default 1024.
	MaxQueue int
	// MaxQueueTokens is the maximum cost of all queued steps and calls
	// together, in tokens. Default 1048576.
	MaxQueueTokens int
	// MaxBatch is the maximum number of steps or calls in progress at the
	// upstream. A lower limit reported by an engine takes precedence. Default
	// 32.
	MaxBatch int
	// OutputLogBytes is the maximum size of the output logs of all sequences
	// together, in bytes. Default 64 MiB.
	OutputLogBytes int
	// DrainTimeout limits the duration of the sidecar's graceful shutdown. Default 10m.
	DrainTimeout time.Duration
}
