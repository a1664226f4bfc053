package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	maxDuration = 24 * time.Hour
	// maxCallerBody leaves room in a frame body of 4 MiB for the other fields
	// of a call.
	maxCallerBody = 3 << 20
	minHeader     = 4 << 10
	maxHeader     = 1 << 20
	maxLogBytes   = 1 << 40
)

// LoadEntry reads and checks the settings of an entry, with the files they
// name. The error is of type Problems.
func LoadEntry(path string) (*Entry, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	r := newReader(path, data)
	e := r.entry()
	r.loadFiles(&e.Platform, &e.Peer)
	if err := r.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// LoadSidecar reads and checks the settings of a sidecar, with the files they
// name. The error is of type Problems.
func LoadSidecar(path string) (*Sidecar, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	r := newReader(path, data)
	s := r.sidecar()
	r.loadFiles(&s.Platform, &s.Peer)
	if err := r.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseEntry checks the settings of an entry without reading the files they
// name. Name stands for the file in errors, which are of type Problems.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r := newReader(name, data)
	e := r.entry()
	if err := r.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseSidecar checks the settings of a sidecar without reading the files they
// name. Name stands for the file in errors, which are of type Problems.
func ParseSidecar(name string, data []byte) (*Sidecar, error) {
	r := newReader(name, data)
	s := r.sidecar()
	if err := r.err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Reason: err.Error()}}
	}
	return data, nil
}

func (r *reader) entry() *Entry {
	if r.file == nil {
		return &Entry{}
	}
	e := &Entry{
		Process:  r.process(),
		Log:      r.log(),
		Platform: r.platform(),
		Peer:     r.peer(),
		Caller: Caller{
			Listen:    required(r, "caller", "listen", listenAddress),
			MaxBody:   withDefault(r, "caller", "max_body", 1<<20, size(1<<10, maxCallerBody)),
			MaxHeader: withDefault(r, "caller", "max_header", 32<<10, size(minHeader, maxHeader)),
		},
		Admin:        Admin{Listen: required(r, "admin", "listen", listenAddress)},
		Operators:    r.operators(),
		Forwarding:   withDefault(r, "entry", "forwarding", ForwardingChain, oneOf(ForwardingChain, ForwardingStar)),
		DrainDelay:   withDefault(r, "entry", "drain_delay", 2*time.Second, duration(0, maxDuration)),
		DrainTimeout: withDefault(r, "entry", "drain_timeout", 10*time.Minute, duration(time.Second, maxDuration)),
		MaxInFlight:  withDefault(r, "entry", "max_in_flight", 4096, count(1, 1<<20)),
	}
	if e.DrainTimeout <= e.DrainDelay {
		r.report("entry", "drain_timeout", "is not longer than drain_delay")
	}
	r.reportUnknown()
	return e
}

func (r *reader) sidecar() *Sidecar {
	if r.file == nil {
		return &Sidecar{}
	}
	s := &Sidecar{
		Process:        r.process(),
		Log:            r.log(),
		Platform:       r.platform(),
		Peer:           r.peer(),
		Upstream:       r.upstream(),
		MetricsListen:  required(r, "sidecar", "metrics_listen", listenAddress),
		MaxQueue:       withDefault(r, "sidecar", "max_queue", 1024, count(1, 1<<20)),
		MaxQueueTokens: withDefault(r, "sidecar", "max_queue_tokens", 1<<20, count(1, 1<<30)),
		MaxBatch:       withDefault(r, "sidecar", "max_batch", 32, count(1, 1<<16)),
		OutputLogBytes: withDefault(r, "sidecar", "output_log_bytes", 64<<20, size(1<<20, maxLogBytes)),
		DrainTimeout:   withDefault(r, "sidecar", "drain_timeout", 10*time.Minute, duration(time.Second, maxDuration)),
	}
	r.reportUnknown()
	return s
}

func (r *reader) process() Process {
	return Process{
		Instance:      required(r, "process", "instance", name),
		FailureDomain: required(r, "process", "failure_domain", name),
		Region:        required(r, "process", "region", name),
	}
}

func (r *reader) log() Log {
	return Log{
		Level:  withDefault(r, "log", "level", "info", oneOf("debug", "info", "warn", "error")),
		Format: withDefault(r, "log", "format", LogJSON, oneOf(LogJSON, LogConsole)),
	}
}

func (r *reader) platform() Platform {
	return Platform{
		Address: required(r, "platform", "address", baseURL),
		KeyFile: withDefault(r, "platform", "key_file", "", nonEmpty),
		Timeout: withDefault(r, "platform", "timeout", 2*time.Second, duration(time.Millisecond, time.Minute)),
	}
}

func (r *reader) peer() Peer {
	p := Peer{
		Listen:            required(r, "peer", "listen", listenAddress),
		Advertise:         required(r, "peer", "advertise", peerAddress),
		Seeds:             withDefault(r, "peer", "seeds", nil, peerAddresses),
		HeartbeatInterval: withDefault(r, "peer", "heartbeat_interval", 250*time.Millisecond, duration(10*time.Millisecond, time.Minute)),
		SuspectAfter:      withDefault(r, "peer", "suspect_after", time.Second, duration(20*time.Millisecond, 10*time.Minute)),
		TLSCertFile:       withDefault(r, "peer", "tls_cert_file", "", nonEmpty),
		TLSKeyFile:        withDefault(r, "peer", "tls_key_file", "", nonEmpty),
		TLSCAFile:         withDefault(r, "peer", "tls_ca_file", "", nonEmpty),
	}
	var inFile, inline bool
	p.SecretFile, inFile = optional(r, "peer", "secret_file", "", nonEmpty)
	p.Secret, inline = optional(r, "peer", "secret", "", secret)
	switch {
	case !inFile && !inline:
		r.report("peer", "secret_file", "is missing, and so is secret")
	case inFile && inline:
		r.report("peer", "secret", "is given together with secret_file")
	}
	if p.SuspectAfter < 2*p.HeartbeatInterval {
		r.report("peer", "suspect_after", "is shorter than two heartbeat intervals")
	}
	if p.TLSCertFile == "" && (p.TLSKeyFile != "" || p.TLSCAFile != "") {
		r.report("peer", "tls_cert_file", "is missing beside the other TLS files")
	}
	if p.TLSCertFile != "" && p.TLSKeyFile == "" {
		r.report("peer", "tls_key_file", "is missing beside tls_cert_file")
	}
	return p
}

// operators reads [operators], whose keys are names. Two operators with the
// same key could not be told apart in the audit trail.
func (r *reader) operators() map[string]string {
	const section = "operators"
	byName, byDigest := map[string]string{}, map[string]string{}
	s, err := r.file.GetSection(section)
	if err != nil || len(s.Keys()) == 0 {
		r.known[section] = map[string]bool{}
		r.report(section, "", "names no operator")
		return nil
	}
	for _, k := range s.Keys() {
		if _, err := name(k.Name()); err != nil {
			r.report(section, k.Name(), err.Error())
		}
		d := required(r, section, k.Name(), digest)
		if other, ok := byDigest[d]; ok && d != "" {
			r.report(section, k.Name(), "has the same key as "+other)
		}
		byName[k.Name()], byDigest[d] = d, k.Name()
	}
	return byName
}

func (r *reader) upstream() Upstream {
	const section = "upstream"
	u := Upstream{
		Kind:    required(r, section, "kind", oneOf(upstream.KindEngine, upstream.KindService)),
		Address: required(r, section, "address", numericURL),
	}
	var hasGroup, hasService bool
	u.Group, hasGroup = optional(r, section, "group", "", name)
	u.Service, hasService = optional(r, section, "service", "", name)
	if u.Kind == upstream.KindEngine && !hasGroup {
		r.report(section, "group", "is missing for an engine")
	}
	if u.Kind == upstream.KindEngine && hasService {
		r.report(section, "service", "is given for an engine")
	}
	if u.Kind == upstream.KindService && !hasService {
		r.report(section, "service", "is missing for a service")
	}
	return u
}

// loadFiles reads the files that the settings name and resolves their paths.
func (r *reader) loadFiles(platform *Platform, peer *Peer) {
	dir := filepath.Dir(r.name)
	for _, path := range []*string{&platform.KeyFile, &peer.SecretFile, &peer.TLSCertFile, &peer.TLSKeyFile, &peer.TLSCAFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if platform.KeyFile != "" {
		platform.Key = r.secretFile("platform", "key_file", platform.KeyFile, func(s string) (Secret, error) {
			key, err := nonEmpty(s)
			return Secret(key), err
		})
	}
	if peer.SecretFile != "" {
		peer.Secret = r.secretFile("peer", "secret_file", peer.SecretFile, secret)
	}
	if peer.TLSCertFile != "" && peer.TLSKeyFile != "" {
		if _, err := tls.LoadX509KeyPair(peer.TLSCertFile, peer.TLSKeyFile); err != nil {
			r.report("peer", "tls_cert_file", err.Error())
		}
	}
	if peer.TLSCAFile != "" {
		pem, err := os.ReadFile(peer.TLSCAFile)
		if err != nil {
			r.report("peer", "tls_ca_file", err.Error())
		} else if !x509.NewCertPool().AppendCertsFromPEM(pem) {
			r.report("peer", "tls_ca_file", "holds no certificate")
		}
	}
}

func (r *reader) secretFile(section, key, path string, parse func(string) (Secret, error)) Secret {
	data, err := os.ReadFile(path)
	if err != nil {
		r.report(section, key, err.Error())
		return ""
	}
	s, err := parse(strings.TrimSpace(string(data)))
	if err != nil {
		r.report(section, key, path+": "+err.Error())
	}
	return s
}
