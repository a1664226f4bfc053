package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const exampleDir = "../../examples"

func readExample(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(exampleDir, name))
	assert.NilError(t, err)
	return string(data)
}

// Guards against example files that fail to load, secrets that are not read
// from their files, and secrets that package fmt prints.
func TestLoadExamples(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(exampleDir, "*.ini"))
	assert.NilError(t, err)
	// The examples are two entries and four sidecars.
	assert.Equal(t, len(files), 6)
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "peer.secret"), []byte("a-shared-secret-for-tests\n"), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "platform.key"), []byte("key\n"), 0o600))
	for _, f := range files {
		path := filepath.Join(dir, filepath.Base(f))
		assert.NilError(t, os.WriteFile(path, []byte(readExample(t, filepath.Base(f))), 0o600))
		var peer PeerConnections
		if strings.Contains(f, "sidecar") {
			s, err := LoadSidecar(path)
			assert.NilError(t, err)
			peer = s.Peer
		} else {
			e, err := LoadEntry(path)
			assert.NilError(t, err)
			peer = e.Peer
		}
		assert.Equal(t, string(peer.Secret), "a-shared-secret-for-tests")
		assert.Equal(t, fmt.Sprintf("%v %+v", peer.Secret, peer.Secret), "[redacted] [redacted]")
	}
	_, err = LoadEntry(filepath.Join(dir, "sawt-engine-sidecar.ini"))
	assert.ErrorContains(t, err, "[upstream]: unknown section")
}

// Guards against an invalid setting that is accepted, and against an error that
// doesn't contain the file, section and key of the setting.
func TestInvalidSettingsReported(t *testing.T) {
	entry, sidecar := readExample(t, "sawt-entry.ini"), readExample(t, "sawt-engine-sidecar.ini")
	for _, c := range []struct{ content, old, new, want string }{
		{entry, "region = muscat", "", "[process] region: is missing"},
		{entry, "region = muscat", "region = a b", "[process] region: \"a b\" is not a name"},
		{entry, "level = info", "level = loud", "[log] level: \"loud\" is not one of"},
		{entry, "level = info", "levle = info", "[log] levle: unknown key"},
		{entry, "level = info", "level = info\nlevel = info", "[log] level: is given more than once"},
		{entry, "[log]", "[logs]", "[logs]: unknown section"},
		{entry, "[process]", "x = 1\n[process]", "[DEFAULT]: unknown section"},
		{entry, "[process]", "[process", "unclosed section"},
		{entry, "timeout = 2s", "timeout = 2", "[platform] timeout: \"2\" is not a duration"},
		{entry, "http://10.20.0.5:8500", "10.20.0.5:8500", "[platform] address:"},
		{entry, "advertise = 10.20.1.10:7400", "advertise = :7400", "[peer] advertise:"},
		{entry, "advertise = 10.20.1.10:7400", "advertise = 0.0.0.0:7400", "[peer] advertise:"},
		{entry, "seeds = ", "seeds = host:1, ", "[peer] seeds: \"host:1\" is not IP:port"},
		{entry, "secret_file = peer.secret", "", "[peer] secret_file: is missing"},
		{entry, "secret_file = peer.secret", "secret = short", "[peer] secret: the secret is shorter"},
		{entry, "suspect_after = 1s", "suspect_after = 300ms", "[peer] suspect_after: is shorter"},
		{entry, "[caller]", "tls_key_file = k\n[caller]", "[peer] tls_cert_file: is missing"},
		{entry, "max_body = 1 MiB", "max_body = 5 MiB", "[caller] max_body: 5 MiB is outside"},
		{entry, "max_body = 1 MiB", "max_body = 9999999999999 GiB", "[caller] max_body:"},
		{entry, "salma = ", "salma = 00", "[operators] salma: is not a SHA-256"},
		{entry, "[entry]", "other = 5cfc323f09eb2ed3d3febd6abd2104671fed3100b3e2e79bb321aa5ae9b58330\n[entry]", "[operators] other: has the same key as salma"},
		{entry, "forwarding = chain", "forwarding = ring", "[entry] forwarding:"},
		{entry, "drain_delay = 2s", "drain_delay = 20m", "[entry] drain_timeout: is not longer"},
		{entry, "max_in_flight = 4096", "max_in_flight = 0", "[entry] max_in_flight:"},
		{sidecar, "127.0.0.1:9000", "localhost:9000", "[upstream] address: the host of"},
		{sidecar, "group = ", "service = ", "[upstream] group: is missing for an engine"},
		{sidecar, "kind = engine", "kind = service", "[upstream] service: is missing for a service"},
	} {
		text := strings.Replace(c.content, c.old, c.new, 1)
		assert.Assert(t, text != c.content, c.old)
		var err error
		if c.content == entry {
			_, err = ParseEntry("f.ini", []byte(text))
		} else {
			_, err = ParseSidecar("f.ini", []byte(text))
		}
		assert.ErrorContains(t, err, c.want)
		assert.ErrorContains(t, err, "f.ini: ")
	}
}

// Guards against parsing that stops at the first problem.
func TestAllProblemsReported(t *testing.T) {
	_, err := ParseSidecar("f.ini", []byte("[process]\ninstance = x\n[nope]\n"))
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	// Keys are missing in [process] (2), [platform] (1), [peer] (3), [upstream]
	// (2) and [sidecar] (1); the section [nope] is unknown.
	assert.Check(t, cmp.Len(problems, 10), err)
}

// Guards against panics, data accepted as the settings of both processes, and
// problems without the file name.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[peer]\nseeds = 1.2.3.4:5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, entryErr := ParseEntry("f.ini", data)
		_, sidecarErr := ParseSidecar("f.ini", data)
		assert.Assert(t, entryErr != nil || sidecarErr != nil, "accepted as settings of an entry and of a sidecar")
		for _, err := range []error{entryErr, sidecarErr} {
			var p Problems
			assert.Assert(t, err == nil || errors.As(err, &p) && len(p) > 0 && p[0].File == "f.ini")
		}
	})
}

// Guards against settings that the table in docs/OPERATIONS.md doesn't list.
func TestOperationsPageListsAllKeys(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	entry := newReader("e", []byte(readExample(t, "sawt-entry.ini")))
	entry.readEntry()
	sidecar := newReader("s", []byte(readExample(t, "sawt-engine-sidecar.ini")))
	sidecar.readSidecar()
	for _, r := range []*reader{entry, sidecar} {
		for section, keys := range r.known {
			for key := range keys {
				row := fmt.Sprintf("| `[%s]` | `%s` |", section, key)
				assert.Assert(t, section == "operators" || strings.Contains(string(page), row), row)
			}
		}
	}
}
