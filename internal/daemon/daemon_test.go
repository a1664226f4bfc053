package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/settings"
)

// fakeProcess puts SIGTERM on signals when it runs, and returns stopErr when its
// context is cancelled. If exitsAtOnce is set, it returns runErr at once. If
// ignoresStop is set, it puts a second signal on signals when its context is
// cancelled, and never returns.
type fakeProcess struct {
	runErr, stopErr          error
	exitsAtOnce, ignoresStop bool
	signals                  chan<- os.Signal
}

func (p fakeProcess) Run(ctx context.Context) error {
	if p.exitsAtOnce {
		return p.runErr
	}
	p.signals <- syscall.SIGTERM // the first signal arrives while the process runs
	<-ctx.Done()
	if p.ignoresStop {
		p.signals <- syscall.SIGINT
		select {}
	}
	return p.stopErr
}

// writeSettings copies an example of a settings file to a temporary directory,
// writes the secret and key files that it names beside it, and returns the path of
// the settings file.
func writeSettings(t *testing.T, example string) string {
	t.Helper()
	dir := t.TempDir()
	data, err := os.ReadFile("../../examples/" + example)
	assert.NilError(t, err)
	for name, content := range map[string]string{"s.ini": string(data), "peer.secret": "0123456789abcdef", "platform.key": "k"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	return filepath.Join(dir, "s.ini")
}

// Guards against wrong exit codes, in particular a complete graceful shutdown for
// which the exit code isn't 0, and against a second signal that is ignored.
func TestExitCodes(t *testing.T) {
	entry, sidecar := writeSettings(t, "ghana-entry.ini"), writeSettings(t, "ghana-parts-sidecar.ini")
	for _, c := range []struct {
		args    string
		process fakeProcess
		code    int
		want    string
	}{
		{"", fakeProcess{}, ExitUsage, "subcommand is missing"},
		{"entry", fakeProcess{}, ExitUsage, "--config is required"},
		{"--version", fakeProcess{}, ExitOK, "nutmegrouted "},
		{"--help", fakeProcess{}, ExitOK, "sidecar"},
		{"entry --check --config " + entry, fakeProcess{}, ExitOK, "the settings are valid"},
		{"entry --check --config " + sidecar, fakeProcess{}, ExitSettings, "[caller] listen: is missing"},
		{"entry --check --config none.ini", fakeProcess{}, ExitSettings, "none.ini"},
		{"entry --config " + entry, fakeProcess{}, ExitOK, events.ProcessStopped.Code()},
		{"sidecar --config " + sidecar, fakeProcess{}, ExitOK, events.ProcessStopped.Code()},
		{"sidecar --config " + sidecar, fakeProcess{stopErr: process.ErrDrainTimeout}, ExitDrainTimeout, events.DrainTimedOut.Code()},
		{"entry --config " + entry, fakeProcess{ignoresStop: true}, 130, events.ProcessInterrupted.Code()},
		{"entry --config " + entry, fakeProcess{exitsAtOnce: true, runErr: errors.New("address in use")}, ExitFailed, "address in use"},
		{"entry --config " + entry, fakeProcess{exitsAtOnce: true}, ExitFailed, "without a graceful shutdown"},
	} {
		signals := make(chan os.Signal, 2)
		c.process.signals = signals
		var out bytes.Buffer
		code := run(strings.Fields(c.args), &out, &out, signals, Constructors{
			Entry:   func(*settings.Entry, Environment) (Process, error) { return c.process, nil },
			Sidecar: func(*settings.Sidecar, Environment) (Process, error) { return c.process, nil },
		})
		assert.Equal(t, code, c.code, "%s: %s", c.args, &out)
		assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
	}
}

// hangingProcess ignores the cancellation of its context.
type hangingProcess struct{}

func (hangingProcess) Run(context.Context) error { select {} }

// Guards against waiting forever for a process that doesn't stop.
func TestStopTimeout(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	assert.Equal(t, supervise(events.Nop(), hangingProcess{}, signals, time.Millisecond), ExitDrainTimeout)
}
