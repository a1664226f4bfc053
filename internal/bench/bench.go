// Package bench runs load experiments with the router and stand-in servers, and
// compares the router with a naive version: round robin, FIFO queues, no
// admission control and no resuming of interrupted answers.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Args are the command-line arguments of nutmegroute-bench.
type Args struct {
	Experiment string  `arg:"--experiment" help:"run only this experiment"`
	Runs       int     `arg:"--runs" default:"1" help:"number of runs; the tables show the median and the worst"`
	Seed       uint64  `arg:"--seed" default:"1" help:"seed of arrivals, prompts and lengths"`
	Scale      float64 `arg:"--scale" default:"1" help:"factor for the duration of each measurement"`
	JSON       string  `arg:"--json" placeholder:"FILE" help:"write the results as JSON"`
	Plots      string  `arg:"--plots" placeholder:"DIR" help:"write one SVG plot for each table"`
	CPUProfile string  `arg:"--cpu-profile" placeholder:"FILE" help:"write a CPU profile of the whole run"`
}

// Description implements the Described interface of the go-arg package.
func (Args) Description() string {
	return "Measures the router with stand-in servers and compares it with a naive version.\nExperiments: " +
		strings.Join(experimentNames(), ", ") + ". Running all of them takes about 5 minutes."
}

// ErrUnknownExperiment is returned if Args.Experiment names no experiment.
var ErrUnknownExperiment = errors.New("bench: unknown experiment")

// experiment is a named measurement; run returns its result tables.
type experiment struct {
	name string
	run  func(ctx context.Context, p params) ([]Table, error)
}

// params are the parameters of one run of an experiment.
type params struct {
	seed uint64
	// scale multiplies the durations and the numbers of repetitions.
	scale    float64
	progress io.Writer
}

// scaledDuration returns d multiplied by the scale.
func (p params) scaledDuration(d time.Duration) time.Duration {
	return time.Duration(p.scale * float64(d))
}

// scaledCount returns n multiplied by the scale, at least 1.
func (p params) scaledCount(n int) int { return max(1, int(p.scale*float64(n))) }

// logf writes an indented progress line.
func (p params) logf(format string, args ...any) { fmt.Fprintf(p.progress, "  "+format+"\n", args...) }

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

func experimentNames() []string {
	var list []string
	for _, e := range experiments() {
		list = append(list, e.name)
	}
	return list
}

// selectExperiments returns the experiment with the given name, or all of them
// if name is empty.
func selectExperiments(name string) ([]experiment, error) {
	if name == "" {
		return experiments(), nil
	}
	for _, e := range experiments() {
		if e.name == name {
			return []experiment{e}, nil
		}
	}
	return nil, fmt.Errorf("%w: %q, want one of %s", ErrUnknownExperiment, name, strings.Join(experimentNames(), ", "))
}

// Run runs the selected experiments, prints their tables to out and writes
// progress lines to progress.
func Run(ctx context.Context, args Args, out, progress io.Writer) error {
	list, err := selectExperiments(args.Experiment)
	if err != nil {
		return err
	}
	stopProfile, err := startCPUProfile(args.CPUProfile)
	if err != nil {
		return err
	}
	defer stopProfile()
	report := Report{Seed: args.Seed, Runs: max(args.Runs, 1), Scale: args.Scale}
	for _, e := range list {
		tables, err := runRepeatedly(ctx, e, args, progress)
		if err != nil {
			return fmt.Errorf("bench: %s: %w", e.name, err)
		}
		for _, t := range tables {
			t.Write(out)
		}
		report.Tables = append(report.Tables, tables...)
	}
	return report.writeFiles(args.JSON, args.Plots)
}

// runRepeatedly runs an experiment args.Runs times, each with another seed, and
// combines the tables of the runs.
func runRepeatedly(ctx context.Context, e experiment, args Args, progress io.Writer) ([]Table, error) {
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
	return combineRuns(e.name, runs), nil
}
