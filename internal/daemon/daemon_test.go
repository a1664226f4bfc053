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

// fakeProcess runs until ctx ends and then returns stop, unless it hangs.
type fakeProcess struct {
	startErr, stopErr error
	ends, hangs       bool
	running           chan<- os.Signal
}

func (p fakeProcess) Run(ctx context.Context) error {
	if p.ends {
		return p.startErr
	}
	p.running <- syscall.SIGTERM // the first signal arrives while it runs
	<-ctx.Done()
	if p.hangs {
		p.running <- syscall.SIGINT
		select {}
	}
	return p.stopErr
}

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

// Guards against wrong exit codes, above all a planned stop that doesn't exit
// with 0 and a second signal that is ignored.
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
		{"entry --config " + entry, fakeProcess{hangs: true}, 130, events.ProcessInterrupted.Code()},
		{"entry --config " + entry, fakeProcess{ends: true, startErr: errors.New("address in use")}, ExitFailed, "address in use"},
		{"entry --config " + entry, fakeProcess{ends: true}, ExitFailed, "without a planned stop"},
	} {
		signals := make(chan os.Signal, 2)
		c.process.running = signals
		var out bytes.Buffer
		code := run(strings.Fields(c.args), &out, &out, signals, Constructors{
			Entry:   func(*settings.Entry, Environment) (Process, error) { return c.process, nil },
			Sidecar: func(*settings.Sidecar, Environment) (Process, error) { return c.process, nil },
		})
		assert.Equal(t, code, c.code, "%s: %s", c.args, &out)
		assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
	}
}

// stuck ignores the end of its context.
type stuck struct{}

func (stuck) Run(context.Context) error { select {} }

// Guards against a planned stop that never ends.
func TestStopLimit(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	assert.Equal(t, supervise(events.Nop(), stuck{}, signals, time.Millisecond), ExitDrainTimeout)
}
