// Package settings reads the INI settings of the daemon. Every problem of a
// file is reported at once, each with its file, section and key.
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

// Process is the section [process] of both processes.
type Process struct {
	// Instance names the instance; unique within a deployment. Required.
	Instance string
	// FailureDomain is the failure domain the instance runs in. Required.
	FailureDomain string
	// Region is the region the instance runs in. Required.
	Region string
}

// LogFormat is the form of log lines.
type LogFormat string

const (
	// LogJSON writes one JSON object a line.
	LogJSON LogFormat = "json"
	// LogConsole writes lines for people.
	LogConsole LogFormat = "console"
)

// Log is the section [log] of both processes.
type Log struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	// Default info.
	Level string
	// Format is json or console. Default json.
	Format LogFormat
}

// Platform is the section [platform] of both processes.
type Platform struct {
	// Address is the base URL of the platform's object API, without a trailing
	// slash. Required.
	Address string
	// KeyFile holds the key for the object API; empty means none. A relative
	// path starts at the directory of the settings file. Default empty.
	KeyFile string
	// Key is the content of KeyFile; LoadEntry and LoadSidecar fill it.
	Key Secret
	// Timeout bounds one call, except that a watch adds its waiting time.
	// Default 2s.
	Timeout time.Duration
}

// Peer is the section [peer] of both processes.
type Peer struct {
	// Listen is the address for peer connections, IP:port or :port. Required.
	Listen string
	// Advertise is the IP:port at which others reach Listen. Required.
	Advertise string
	// SecretFile holds the shared secret. Either SecretFile or Secret is
	// required. A relative path starts at the directory of the settings file.
	SecretFile string
	// Secret is the shared secret, at least 16 bytes. LoadEntry and LoadSidecar
	// fill it from SecretFile.
	Secret Secret
	// Seeds are the IP:port addresses that are dialled in addition to the
	// platform's list. Default none.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats. Default 250ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a peer is
	// suspect; at least twice HeartbeatInterval. Default 1s.
	SuspectAfter time.Duration
	// TLSCertFile and TLSKeyFile hold the certificate and key for peer
	// connections, in PEM. Both or neither are set. Default empty: no TLS.
	TLSCertFile string
	TLSKeyFile  string
	// TLSCAFile holds the certificates that peers are checked against, in PEM;
	// needs TLSCertFile. Default empty: the system's.
	TLSCAFile string
}

// Caller is the section [caller] of the entry.
type Caller struct {
	// Listen is the address of the callers' API, IP:port or :port. Required.
	Listen string
	// MaxBody bounds a request body, in bytes. Default 1 MiB.
	MaxBody int
	// MaxHeader bounds the request line and headers, in bytes. Default 32 KiB.
	MaxHeader int
}

// Admin is the section [admin] of the entry.
type Admin struct {
	// Listen is the address of the operators' API, IP:port or :port. Required.
	Listen string
}

// Forwarding says how the stages of a chain exchange activations.
type Forwarding string

const (
	// ForwardingChain sends each stage's output directly to the next stage.
	ForwardingChain Forwarding = "chain"
	// ForwardingStar sends each stage's output through the entry.
	ForwardingStar Forwarding = "star"
)

// Entry holds the settings of an entry.
type Entry struct {
	Process  Process
	Log      Log
	Platform Platform
	Peer     Peer
	Caller   Caller
	Admin    Admin
	// Operators maps an operator's name to the lower-case hexadecimal SHA-256
	// digest of the operator's key; section [operators]. At least one.
	Operators map[string]string
	// Forwarding is chain or star. Default chain.
	Forwarding Forwarding
	// DrainDelay is the time during which a stopping entry still accepts
	// requests: the load balancer's delay. Default 2s.
	DrainDelay time.Duration
	// DrainTimeout bounds a planned stop; longer than DrainDelay. Default 10m.
	DrainTimeout time.Duration
	// MaxInFlight bounds the requests in progress. Default 4096.
	MaxInFlight int
}

// Upstream is the section [upstream] of the sidecar.
type Upstream struct {
	// Kind is engine or service. Required.
	Kind upstream.Kind
	// Address is the base URL of the upstream, with a numeric IP address and
	// without a trailing slash. Required.
	Address string
	// Group names the upstreams that are ordered under one lease. Required for
	// an engine; default empty for a service.
	Group string
	// Service is the plain service's name. Required for, and only for, a
	// service.
	Service string
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process  Process
	Log      Log
	Platform Platform
	Peer     Peer
	Upstream Upstream
	// MetricsListen is the address of /metrics, /healthz and /readyz, IP:port
	// or :port. Required.
	MetricsListen string
	// MaxQueue bounds the waiting steps and calls. Default 1024 items.
	MaxQueue int
	// MaxQueueTokens bounds the cost of the waiting work. Default 1048576
	// tokens.
	MaxQueueTokens int
	// MaxBatch bounds the steps or calls that are at the upstream at once; an
	// engine that reports a lower limit gets no more than that. Default 32.
	MaxBatch int
	// OutputLogBytes bounds the output logs of all sequences together, in
	// bytes. Default 64 MiB.
	OutputLogBytes int
	// DrainTimeout bounds a planned stop. Default 10m.
	DrainTimeout time.Duration
}
