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
	// maxCallerBodyBytes is less than the 4 MiB of a peer frame, so that the
	// other fields of a call fit beside the caller's body.
	maxCallerBodyBytes = 3 << 20
	minHeaderBytes     = 4 << 10
	maxHeaderBytes     = 1 << 20
	maxOutputLogBytes  = 1 << 40
)

// LoadEntry reads and validates the settings of an entry and the files that
// they refer to. A returned error is of type Problems.
func LoadEntry(path string) (*Entry, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	r := newReader(path, data)
	e := r.readEntry()
	r.loadFiles(&e.Platform, &e.Peer)
	if err := r.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// LoadSidecar reads and validates the settings of a sidecar and the files that
// they refer to. A returned error is of type Problems.
func LoadSidecar(path string) (*Sidecar, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	r := newReader(path, data)
	s := r.readSidecar()
	r.loadFiles(&s.Platform, &s.Peer)
	if err := r.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseEntry parses and validates the settings of an entry without reading the
// files that they refer to. Errors are of type Problems and use name as the
// file name.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r := newReader(name, data)
	e := r.readEntry()
	if err := r.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseSidecar parses and validates the settings of a sidecar without reading
// the files that they refer to. Errors are of type Problems and use name as the
// file name.
func ParseSidecar(name string, data []byte) (*Sidecar, error) {
	r := newReader(name, data)
	s := r.readSidecar()
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

// readEntry reads all sections of an entry. If the file is not valid INI, it
// returns empty settings.
func (r *reader) readEntry() *Entry {
	if r.file == nil {
		return &Entry{}
	}
	e := &Entry{
		Process:  r.readIdentity(),
		Log:      r.readLog(),
		Platform: r.readPlatform(),
		Peer:     r.readPeerConnections(),
		Caller: Caller{
			Listen:    required(r, "caller", "listen", parseListenAddress),
			MaxBody:   withDefault(r, "caller", "max_body", 1<<20, parseSize(1<<10, maxCallerBodyBytes)),
			MaxHeader: withDefault(r, "caller", "max_header", 32<<10, parseSize(minHeaderBytes, maxHeaderBytes)),
		},
		Admin:        Admin{Listen: required(r, "admin", "listen", parseListenAddress)},
		Operators:    r.readOperators(),
		Forwarding:   withDefault(r, "entry", "forwarding", ForwardingChain, parseOneOf(ForwardingChain, ForwardingStar)),
		DrainDelay:   withDefault(r, "entry", "drain_delay", 2*time.Second, parseDuration(0, maxDuration)),
		DrainTimeout: withDefault(r, "entry", "drain_timeout", 10*time.Minute, parseDuration(time.Second, maxDuration)),
		MaxInFlight:  withDefault(r, "entry", "max_in_flight", 4096, parseCount(1, 1<<20)),
	}
	if e.DrainTimeout <= e.DrainDelay {
		r.report("entry", "drain_timeout", "is not longer than drain_delay")
	}
	r.reportUnknown()
	return e
}

// readSidecar reads all sections of a sidecar. If the file is not valid INI, it
// returns empty settings.
func (r *reader) readSidecar() *Sidecar {
	if r.file == nil {
		return &Sidecar{}
	}
	s := &Sidecar{
		Process:        r.readIdentity(),
		Log:            r.readLog(),
		Platform:       r.readPlatform(),
		Peer:           r.readPeerConnections(),
		Upstream:       r.readUpstream(),
		MetricsListen:  required(r, "sidecar", "metrics_listen", parseListenAddress),
		MaxQueue:       withDefault(r, "sidecar", "max_queue", 1024, parseCount(1, 1<<20)),
		MaxQueueTokens: withDefault(r, "sidecar", "max_queue_tokens", 1<<20, parseCount(1, 1<<30)),
		MaxBatch:       withDefault(r, "sidecar", "max_batch", 32, parseCount(1, 1<<16)),
		OutputLogBytes: withDefault(r, "sidecar", "output_log_bytes", 64<<20, parseSize(1<<20, maxOutputLogBytes)),
		DrainTimeout:   withDefault(r, "sidecar", "drain_timeout", 10*time.Minute, parseDuration(time.Second, maxDuration)),
	}
	r.reportUnknown()
	return s
}

func (r *reader) readIdentity() Identity {
	return Identity{
		Instance:      required(r, "process", "instance", parseName),
		FailureDomain: required(r, "process", "failure_domain", parseName),
		Region:        required(r, "process", "region", parseName),
	}
}

func (r *reader) readLog() Log {
	return Log{
		Level:  withDefault(r, "log", "level", "info", parseOneOf("debug", "info", "warn", "error")),
		Format: withDefault(r, "log", "format", LogJSON, parseOneOf(LogJSON, LogConsole)),
	}
}

func (r *reader) readPlatform() Platform {
	return Platform{
		Address: required(r, "platform", "address", parseBaseURL),
		KeyFile: withDefault(r, "platform", "key_file", "", parseNonEmpty),
		Timeout: withDefault(r, "platform", "timeout", 2*time.Second, parseDuration(time.Millisecond, time.Minute)),
	}
}

func (r *reader) readPeerConnections() PeerConnections {
	p := PeerConnections{
		Listen:            required(r, "peer", "listen", parseListenAddress),
		Advertise:         required(r, "peer", "advertise", parsePeerAddress),
		Seeds:             withDefault(r, "peer", "seeds", nil, parsePeerAddresses),
		HeartbeatInterval: withDefault(r, "peer", "heartbeat_interval", 250*time.Millisecond, parseDuration(10*time.Millisecond, time.Minute)),
		SuspectAfter:      withDefault(r, "peer", "suspect_after", time.Second, parseDuration(20*time.Millisecond, 10*time.Minute)),
		TLSCertFile:       withDefault(r, "peer", "tls_cert_file", "", parseNonEmpty),
		TLSKeyFile:        withDefault(r, "peer", "tls_key_file", "", parseNonEmpty),
		TLSCAFile:         withDefault(r, "peer", "tls_ca_file", "", parseNonEmpty),
	}
	var inFile, inline bool
	p.SecretFile, inFile = optional(r, "peer", "secret_file", "", parseNonEmpty)
	p.Secret, inline = optional(r, "peer", "secret", "", parseSecret)
	switch {
	case !inFile && !inline:
		r.report("peer", "secret_file", "is missing; set secret_file or secret")
	case inFile && inline:
		r.report("peer", "secret", "must not be set together with secret_file")
	}
	if p.SuspectAfter < 2*p.HeartbeatInterval {
		r.report("peer", "suspect_after", "is shorter than two heartbeat intervals")
	}
	if p.TLSCertFile == "" && (p.TLSKeyFile != "" || p.TLSCAFile != "") {
		r.report("peer", "tls_cert_file", "is missing although another TLS file is set")
	}
	if p.TLSCertFile != "" && p.TLSKeyFile == "" {
		r.report("peer", "tls_key_file", "is missing although tls_cert_file is set")
	}
	return p
}

// readOperators reads the section [operators], which maps operator names to key
// digests. It rejects a digest that occurs twice because the audit trail could
// not distinguish two operators with the same key.
func (r *reader) readOperators() map[string]string {
	const section = "operators"
	byName, byDigest := map[string]string{}, map[string]string{}
	s, err := r.file.GetSection(section)
	if err != nil || len(s.Keys()) == 0 {
		r.known[section] = map[string]bool{}
		r.report(section, "", "lists no operators")
		return nil
	}
	for _, k := range s.Keys() {
		if _, err := parseName(k.Name()); err != nil {
			r.report(section, k.Name(), err.Error())
		}
		keyDigest := required(r, section, k.Name(), parseDigest)
		if other, ok := byDigest[keyDigest]; ok && keyDigest != "" {
			r.report(section, k.Name(), "has the same key as "+other)
		}
		byName[k.Name()], byDigest[keyDigest] = keyDigest, k.Name()
	}
	return byName
}

func (r *reader) readUpstream() Upstream {
	const section = "upstream"
	u := Upstream{
		Kind:    required(r, section, "kind", parseOneOf(upstream.KindEngine, upstream.KindService)),
		Address: required(r, section, "address", parseNumericURL),
	}
	var hasGroup, hasService bool
	u.Group, hasGroup = optional(r, section, "group", "", parseName)
	u.Service, hasService = optional(r, section, "service", "", parseName)
	if u.Kind == upstream.KindEngine && !hasGroup {
		r.report(section, "group", "is missing for an engine")
	}
	if u.Kind == upstream.KindEngine && hasService {
		r.report(section, "service", "must not be set for an engine")
	}
	if u.Kind == upstream.KindService && !hasService {
		r.report(section, "service", "is missing for a service")
	}
	return u
}

// loadFiles resolves the file paths in the settings against the directory of the
// settings file. It reads the platform key and the shared secret into the settings
// and checks that the TLS files can be loaded.
func (r *reader) loadFiles(platform *Platform, peer *PeerConnections) {
	dir := filepath.Dir(r.name)
	for _, path := range []*string{&platform.KeyFile, &peer.SecretFile, &peer.TLSCertFile, &peer.TLSKeyFile, &peer.TLSCAFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if platform.KeyFile != "" {
		platform.Key = r.readSecretFile("platform", "key_file", platform.KeyFile, func(s string) (Secret, error) {
			key, err := parseNonEmpty(s)
			return Secret(key), err
		})
	}
	if peer.SecretFile != "" {
		peer.Secret = r.readSecretFile("peer", "secret_file", peer.SecretFile, parseSecret)
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
			r.report("peer", "tls_ca_file", "contains no certificate")
		}
	}
}

// readSecretFile reads the file at path and parses its content without leading
// and trailing white space.
func (r *reader) readSecretFile(section, key, path string, parse func(string) (Secret, error)) Secret {
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
