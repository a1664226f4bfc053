// Package bench generates load and runs the project's experiments against the
// stand-ins, ours beside a naive version of the router.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Args are the command-line arguments.
type Args struct {
	Experiment string  `arg:"--experiment" help:"run only this experiment"`
	Runs       int     `arg:"--runs" default:"1" help:"number of runs; the tables show the median and the worst"`
	Seed       uint64  `arg:"--seed" default:"1" help:"seed of arrivals, prompts and lengths"`
	Scale      float64 `arg:"--scale" default:"1" help:"factor for the duration of each measurement"`
	JSON       string  `arg:"--json" placeholder:"FILE" help:"write the results as JSON"`
	Plots      string  `arg:"--plots" placeholder:"DIR" help:"write one SVG plot for each table"`
	CPUProfile string  `arg:"--cpu-profile" placeholder:"FILE" help:"write a CPU profile of the whole run"`
}

// Description implements the description of the go-arg package.
func (Args) Description() string {
	return "Measures the router against stand-ins, beside a naive version of itself.\nExperiments: " +
		strings.Join(names(), ", ") + ". All of them take about 5 minutes."
}

// ErrUnknownExperiment is returned for a name that no experiment has.
var ErrUnknownExperiment = errors.New("bench: unknown experiment")

// experiment measures one aspect and returns its tables.
type experiment struct {
	name string
	run  func(ctx context.Context, p params) ([]Table, error)
}

// params are given to each run of an experiment.
type params struct {
	seed uint64
	// scale multiplies the durations.
	scale    float64
	progress io.Writer
}

// lasting returns a scaled duration.
func (p params) lasting(d time.Duration) time.Duration {
	return time.Duration(p.scale * float64(d))
}

// count returns a scaled number of repetitions, at least 1.
func (p params) count(n int) int { return max(1, int(p.scale*float64(n))) }

func (p params) say(format string, args ...any) { fmt.Fprintf(p.progress, "  "+format+"\n", args...) }

// experiments lists the experiments in the order in which they run.
func experiments() []experiment {
	return []experiment{
		{"throughput", throughput},
		{"fairness", fairness},
		{"faults", faults},
		{"recovery", recovery},
		{"forwarding", forwarding},
		{"overhead", overhead},
		{"control", control},
		{"decisions", decisions},
	}
}

func names() []string {
	var list []string
	for _, e := range experiments() {
		list = append(list, e.name)
	}
	return list
}

func selected(name string) ([]experiment, error) {
	if name == "" {
		return experiments(), nil
	}
	for _, e := range experiments() {
		if e.name == name {
			return []experiment{e}, nil
		}
	}
	return nil, fmt.Errorf("%w: %q, want one of %s", ErrUnknownExperiment, name, strings.Join(names(), ", "))
}

// Run runs the chosen experiments, prints their tables to out and reports
// progress to progress.
func Run(ctx context.Context, args Args, out, progress io.Writer) error {
	list, err := selected(args.Experiment)
	if err != nil {
		return err
	}
	stop, err := startProfile(args.CPUProfile)
	if err != nil {
		return err
	}
	defer stop()
	report := Report{Seed: args.Seed, Runs: max(args.Runs, 1), Scale: args.Scale}
	for _, e := range list {
		tables, err := repeat(ctx, e, args, progress)
		if err != nil {
			return fmt.Errorf("bench: %s: %w", e.name, err)
		}
		for _, t := range tables {
			t.Write(out)
		}
		report.Tables = append(report.Tables, tables...)
	}
	return report.save(args.JSON, args.Plots)
}

// repeat runs an experiment several times and combines the tables.
func repeat(ctx context.Context, e experiment, args Args, progress io.Writer) ([]Table, error) {
	var runs [][]Table
	for i := range max(args.Runs, 1) {
		fmt.Fprintf(progress, "%s: run %d of %d\n", e.name, i+1, max(args.Runs, 1))
		start := time.Now()
		tables, err := e.run(ctx, params{seed: args.Seed + uint64(i), scale: args.Scale, progress: progress})
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%s: took %.1f s\n", e.name, time.Since(start).Seconds())
		runs = append(runs, tables)
	}
	return combine(e.name, runs), nil
}
