// Package daemon implements the program nutmegrouted: command line, settings,
// signals and exit codes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/metrics"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/settings"
)

// Exit codes of the program. After a second signal the exit code is 128 plus
// the signal's number.
const (
	// ExitOK means a complete graceful shutdown, or valid settings with --check.
	ExitOK = 0
	// ExitFailed means that the process failed to start or stopped on an error.
	ExitFailed = 1
	// ExitUsage means an invalid command line.
	ExitUsage = 2
	// ExitSettings means invalid settings.
	ExitSettings = 3
	// ExitDrainTimeout means that a graceful shutdown interrupted work in
	// progress.
	ExitDrainTimeout = 4

	exitSignalBase = 128
)

// stopGrace is the time after the drain timeout in which a process must
// interrupt its work and return.
const stopGrace = 5 * time.Second

var (
	errNoConstructor  = errors.New("daemon: this program was built without the selected process")
	errUnexpectedExit = errors.New("daemon: the process exited without a graceful shutdown")
)

// Process is an entry or a sidecar.
type Process interface {
	// Run serves until ctx is cancelled. It then performs a graceful shutdown,
	// which finishes the work in progress within the drain timeout, and returns
	// nil if the shutdown was complete.
	Run(ctx context.Context) error
}

// Environment holds the logger, metrics and version that the daemon provides to
// a process.
type Environment struct {
	Log   *events.Logger
	Scope tally.Scope
	// Metrics serves the page /metrics.
	Metrics http.Handler
	// Version is the program's version.
	Version string
}

// Constructors create the processes. Starting a process whose constructor is
// nil fails.
type Constructors struct {
	Entry   func(*settings.Entry, Environment) (Process, error)
	Sidecar func(*settings.Sidecar, Environment) (Process, error)
}

type startOptions struct {
	Config string `arg:"--config" placeholder:"FILE.ini" help:"settings file; required"`
	Check  bool   `arg:"--check" help:"check the settings and exit"`
}

type commandLine struct {
	Entry   *startOptions `arg:"subcommand:entry" help:"serve callers and operators"`
	Sidecar *startOptions `arg:"subcommand:sidecar" help:"run beside one upstream"`
}

// options returns the options of the selected subcommand.
func (c commandLine) options() *startOptions {
	if c.Entry != nil {
		return c.Entry
	}
	return c.Sidecar
}

// Description implements arg.Described.
func (commandLine) Description() string {
	return "Router for language-model pipelines.\n"
}

// Version implements arg.Versioned.
func (commandLine) Version() string { return "nutmegrouted " + Version() }

// Version returns the program's version from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// Main runs the program with the arguments that follow the program name and
// returns the exit code. The first SIGTERM or SIGINT starts a graceful
// shutdown; after a second signal Main returns immediately.
func Main(args []string, stdout, stderr io.Writer, c Constructors) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return run(args, stdout, stderr, signals, c)
}

func run(args []string, stdout, stderr io.Writer, signals <-chan os.Signal, c Constructors) int {
	var line commandLine
	parser, err := arg.NewParser(arg.Config{Program: "nutmegrouted"}, &line)
	if err != nil {
		panic(err) // commandLine has invalid tags
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, line.Version())
		return ExitOK
	case err == nil && line.Entry == nil && line.Sidecar == nil:
		err = errors.New("a subcommand is missing: entry or sidecar")
	case err == nil && line.options().Config == "":
		err = errors.New("--config is required")
	}
	if err != nil {
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	options := line.options()
	spec, err := loadSettings(line, c)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if options.Check {
		fmt.Fprintf(stdout, "%s: the settings are valid\n", options.Config)
		return ExitOK
	}
	return spec.runProcess(stderr, signals)
}

// processSpec holds the settings that an entry and a sidecar have in common,
// and the constructor of the selected process.
type processSpec struct {
	role         string
	process      settings.Identity
	log          settings.Log
	drainTimeout time.Duration
	// make creates the process; nil if the program was built without it.
	make func(Environment) (Process, error)
}

// loadSettings reads the settings of the selected process.
func loadSettings(line commandLine, c Constructors) (processSpec, error) {
	if line.Entry != nil {
		s, err := settings.LoadEntry(line.Entry.Config)
		if err != nil {
			return processSpec{}, err
		}
		p := processSpec{role: "entry", process: s.Process, log: s.Log, drainTimeout: s.DrainTimeout}
		if c.Entry != nil {
			p.make = func(e Environment) (Process, error) { return c.Entry(s, e) }
		}
		return p, nil
	}
	s, err := settings.LoadSidecar(line.Sidecar.Config)
	if err != nil {
		return processSpec{}, err
	}
	p := processSpec{role: "sidecar", process: s.Process, log: s.Log, drainTimeout: s.DrainTimeout}
	if c.Sidecar != nil {
		p.make = func(e Environment) (Process, error) { return c.Sidecar(s, e) }
	}
	return p, nil
}

// runProcess creates the process, runs it until it exits and returns the exit
// code of the program.
func (p processSpec) runProcess(stderr io.Writer, signals <-chan os.Signal) int {
	log, err := events.New(stderr, p.log.Level, string(p.log.Format), p.process.Instance)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	scope, handler, closer := metrics.NewScope(map[string]string{
		"role": p.role, "instance": p.process.Instance, "failure_domain": p.process.FailureDomain,
	}, log)
	defer func() { _ = closer.Close() }()
	if p.make == nil {
		return logFailure(log, errNoConstructor)
	}
	proc, err := p.make(Environment{Log: log, Scope: scope, Metrics: handler, Version: Version()})
	if err != nil {
		return logFailure(log, err)
	}
	log.Log(events.ProcessStarted).Str("role", p.role).Str("version", Version()).
		Str("failure_domain", p.process.FailureDomain).Str("region", p.process.Region).Send()
	return supervise(log, proc, signals, p.drainTimeout+stopGrace)
}

// supervise runs a process until it exits, a second signal arrives or a graceful
// shutdown exceeds stopTimeout. It returns the exit code of the program.
func supervise(log *events.Logger, proc Process, signals <-chan os.Signal, stopTimeout time.Duration) int {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	exited := make(chan error, 1)
	go func() { exited <- proc.Run(ctx) }()

	select {
	case err := <-exited:
		if err == nil {
			err = errUnexpectedExit
		}
		return logFailure(log, err)
	case s := <-signals:
		log.Log(events.ProcessStopping).Str("signal", s.String()).Send()
		stop()
	}
	stopTimer := time.NewTimer(stopTimeout)
	defer stopTimer.Stop()
	select {
	case err := <-exited:
		switch {
		case err == nil:
			log.Log(events.ProcessStopped).Send()
			return ExitOK
		case errors.Is(err, process.ErrDrainTimeout):
			log.Log(events.DrainTimedOut).Err(err).Send()
			return ExitDrainTimeout
		}
		return logFailure(log, err)
	case s := <-signals:
		log.Log(events.ProcessInterrupted).Str("signal", s.String()).Send()
		return signalExitCode(s)
	case <-stopTimer.C:
		log.Log(events.DrainTimedOut).Dur("limit_ms", stopTimeout).Send()
		return ExitDrainTimeout
	}
}

// logFailure logs err and returns ExitFailed.
func logFailure(log *events.Logger, err error) int {
	log.Log(events.ProcessFailed).Str("error", eris.ToString(err, false)).Send()
	return ExitFailed
}

// signalExitCode returns the exit code after a second signal.
func signalExitCode(s os.Signal) int {
	if n, ok := s.(syscall.Signal); ok {
		return exitSignalBase + int(n)
	}
	return ExitFailed
}
