package bench

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// idleDuration is how long an idle deployment of each size is observed.
	idleDuration = 3 * time.Second
	// timedChanges is the number of configuration changes whose propagation is
	// timed.
	timedChanges = 8
	// revisionPollInterval is the interval at which the processes' revisions are
	// read, and so the resolution of the propagation time of a change.
	revisionPollInterval = 200 * time.Microsecond
	// changeTimeout bounds the wait until all processes have a change.
	changeTimeout = 10 * time.Second
)

// meshSize is the number of sidecars and of entries in a full mesh.
type meshSize struct{ sidecars, entries int }

// control returns three tables: measurements of idle deployments of several sizes
// (traffic, processor time, memory, and how long a configuration change takes to
// reach all processes), straight lines that are fitted to them, and the encoded
// sizes of heartbeats.
func control(ctx context.Context, p params) ([]Table, error) {
	t := Table{
		Title: "idle deployment: full mesh of entries and sidecars, heartbeats and pings every 250 ms",
		Columns: []Column{
			{"connections", "", false},
			{"per entry", "B/s", false}, {"per sidecar", "B/s", false},
			{"processor per process", "% of a core", false}, {"per connection", "us/s", false},
			{"memory per process", "KiB", false}, {"goroutines per process", "", false},
			{"platform calls", "/s", false},
			{"change in force p50", "ms", false}, {"max", "ms", false},
		},
		Notes: []string{
			"B/s is the size of the frames that a process sends per second; it receives about as many bytes. The processor time per connection includes both ends.",
			"Processor time and memory include the stand-in engines and their health checks once a second. Platform calls count the calls of the object API. They don't count the one pending watch request of each entry and its reading of the list of instances once a second.",
			"Change in force: the time from just before the write to the store until every entry and sidecar has the revision.",
		},
		plottedColumn: 1,
	}
	var measurements []meshMeasurement
	for _, size := range []meshSize{{3, 2}, {10, 2}, {30, 2}, {100, 2}, {30, 1}, {30, 4}} {
		measurement, err := size.measure(ctx, p, &t)
		if err != nil {
			return nil, fmt.Errorf("%d sidecars: %w", size.sidecars, err)
		}
		measurements = append(measurements, measurement)
	}
	heartbeatTable, err := heartbeatSizes()
	if err != nil {
		return nil, err
	}
	return []Table{t, fitSlopes(measurements), heartbeatTable}, ctx.Err()
}

// heartbeatSizes returns the encoded size of heartbeats that report teams and
// links. The heartbeats of the idle deployment contain neither.
func heartbeatSizes() (Table, error) {
	t := Table{Title: "size of a sidecar's heartbeat by the number of teams and links in it", Columns: []Column{{"body", "B", false}}}
	for _, size := range []struct{ teams, links int }{{0, 0}, {10, 0}, {260, 0}, {0, 10}, {0, 100}} {
		heartbeat := peer.Heartbeat{State: upstream.StateReady, Load: upstream.Load{Queued: 500, Running: 32, StepMicros: 8000, StartFraction: 0.37}}
		for i := range size.teams {
			heartbeat.Teams = append(heartbeat.Teams, peer.TeamLoad{
				Team: fmt.Sprintf("team-%03d", i), QueuedTokens: 500, TokensPerSecond: 123.4, Admitted: 100_000, Refused: 1000,
			})
		}
		for range size.links {
			heartbeat.Links = append(heartbeat.Links, peer.LinkDelay{Address: "10.20.30.40:12345", RTTMicros: 1500})
		}
		data, err := cbor.Marshal(heartbeat)
		if err != nil {
			return t, err
		}
		t.addRow(fmt.Sprintf("%d teams, %d links", size.teams, size.links), float64(len(data)))
	}
	return t, nil
}

// meshMeasurement holds the measurements of a deployment of one size to which
// fitSlopes fits lines.
type meshMeasurement struct {
	meshSize
	entryBytesPerSecond, sidecarBytesPerSecond, cpuMicrosPerSecond, memoryKiB float64
}

// fitSlopes fits straight lines: the bytes per second of an entry over the number
// of sidecars, those of a sidecar over the number of entries, processor time over
// the number of connections, and memory over the number of sidecars and of entries.
func fitSlopes(measurements []meshMeasurement) Table {
	t := Table{
		Title:   "slopes, by a least-squares fit over the sizes of the table above",
		Columns: []Column{{"slope", "", false}, {"at zero", "", false}},
	}
	addFit := func(name string, include func(meshMeasurement) bool, x, y func(meshMeasurement) float64) {
		var xs, ys []float64
		for _, m := range measurements {
			if include(m) {
				xs, ys = append(xs, x(m)), append(ys, y(m))
			}
		}
		slope, intercept := leastSquares(xs, ys)
		t.addRow(name, slope, intercept)
	}
	twoEntries := func(c meshMeasurement) bool { return c.entries == 2 }
	thirtySidecars := func(c meshMeasurement) bool { return c.sidecars == 30 }
	sidecars := func(c meshMeasurement) float64 { return float64(c.sidecars) }
	addFit("entry's B/s for each sidecar", twoEntries, sidecars, func(c meshMeasurement) float64 { return c.entryBytesPerSecond })
	addFit("sidecar's B/s for each entry", thirtySidecars, func(c meshMeasurement) float64 { return float64(c.entries) }, func(c meshMeasurement) float64 { return c.sidecarBytesPerSecond })
	addFit("processor us/s for each connection", func(meshMeasurement) bool { return true },
		func(c meshMeasurement) float64 { return float64(c.entries * c.sidecars) }, func(c meshMeasurement) float64 { return c.cpuMicrosPerSecond })
	addFit("memory KiB for each sidecar (2 entries)", twoEntries, sidecars, func(c meshMeasurement) float64 { return c.memoryKiB })
	addFit("memory KiB for each entry (30 sidecars)", thirtySidecars, func(c meshMeasurement) float64 { return float64(c.entries) }, func(c meshMeasurement) float64 { return c.memoryKiB })
	return t
}

// leastSquares fits y = slope*x + intercept. Both are NaN if all xs are equal.
func leastSquares(xs, ys []float64) (slope, intercept float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	determinant := n*sxx - sx*sx
	if determinant == 0 {
		return math.NaN(), math.NaN()
	}
	slope = (n*sxy - sx*sy) / determinant
	return slope, (sy - slope*sx) / n
}

// measure observes an idle deployment of this size and adds a row with the results
// to t.
func (size meshSize) measure(ctx context.Context, p params, t *Table) (meshMeasurement, error) {
	memoryBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
	e, err := startEnvironment(ctx, setup{
		stages: 1, replicas: size.sidecars, entries: size.entries, engine: standinengine.Config{},
		firstToken: firstTokenTarget, deadline: deadlineTarget,
	})
	if err != nil {
		return meshMeasurement{}, err
	}
	defer e.close()
	processes := float64(size.sidecars + size.entries)
	// Wait until all connections exist and readiness no longer changes.
	time.Sleep(p.scaledDuration(time.Second))
	entryBytesBefore, sidecarBytesBefore, callsBefore, usageBefore := e.entrySentBytes(), e.sidecarSentBytes(), e.Platform.Counters(), currentUsage()
	time.Sleep(p.scaledDuration(idleDuration))
	usageAfter, callsAfter := currentUsage(), e.Platform.Counters()
	seconds := usageAfter.at.Sub(usageBefore.at).Seconds()
	cpuMicrosPerSecond := float64((usageAfter.cpuTime - usageBefore.cpuTime).Microseconds()) / seconds
	measurement := meshMeasurement{
		meshSize: size, cpuMicrosPerSecond: cpuMicrosPerSecond,
		entryBytesPerSecond:   float64(e.entrySentBytes()-entryBytesBefore) / seconds / float64(size.entries),
		sidecarBytesPerSecond: float64(e.sidecarSentBytes()-sidecarBytesBefore) / seconds / float64(size.sidecars),
		memoryKiB:             (memoryInUse() - memoryBefore) / 1024,
	}
	goroutinesPerProcess := float64(runtime.NumGoroutine()-goroutinesBefore) / processes
	changeLatencies, err := e.measureChangeLatencies(ctx, p)
	if err != nil {
		return measurement, err
	}
	name := fmt.Sprintf("%d sidecars, %d entries", size.sidecars, size.entries)
	p.logf("%s: %.0f B/s per entry, changes in force after %.1f ms", name, measurement.entryBytesPerSecond, changeLatencies.percentileMillis(50))
	t.addRow(name, float64(size.sidecars*size.entries), measurement.entryBytesPerSecond, measurement.sidecarBytesPerSecond,
		cpuMicrosPerSecond/1e4/processes, cpuMicrosPerSecond/float64(size.sidecars*size.entries),
		measurement.memoryKiB/processes, goroutinesPerProcess,
		float64(callsAfter.Reads+callsAfter.Writes-callsBefore.Reads-callsBefore.Writes)/seconds,
		changeLatencies.percentileMillis(50), changeLatencies.percentileMillis(100))
	return measurement, nil
}

// entrySentBytes returns the number of bytes that all entries have sent.
func (e *environment) entrySentBytes() (sum uint64) {
	for _, x := range e.Entries {
		sum += x.SentBytes()
	}
	return sum
}

// sidecarSentBytes returns the number of bytes that all sidecars have sent.
func (e *environment) sidecarSentBytes() (sum uint64) {
	for _, n := range e.Engines {
		sum += n.Sidecar.SentBytes()
	}
	return sum
}

// measureChangeLatencies measures how long configuration changes take to reach
// every entry and sidecar.
func (e *environment) measureChangeLatencies(ctx context.Context, p params) (latencyHistogram, error) {
	latencies := newLatencyHistogram()
	for i := range p.scaledCount(timedChanges) {
		revision := e.Entries[0].Revision() + 1
		start := time.Now()
		name := fmt.Sprintf("team-%d", i)
		if err := e.apply(ctx, config.KindTeam, name, team.Team{Name: name, Weight: 1, KeyHashes: []string{apiKeyHash(name)}}); err != nil {
			return latencies, err
		}
		for e.lowestRevision() < revision {
			if time.Since(start) > changeTimeout {
				return latencies, fmt.Errorf("not all entries and sidecars have revision %d after %v", revision, changeTimeout)
			}
			time.Sleep(revisionPollInterval)
		}
		latencies.add(time.Since(start))
	}
	return latencies, nil
}

// lowestRevision returns the lowest configuration revision of all entries and
// sidecars.
func (e *environment) lowestRevision() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, x := range e.Entries {
		lowest = min(lowest, x.Revision())
	}
	for _, n := range e.Engines {
		lowest = min(lowest, n.Sidecar.Revision())
	}
	return lowest
}
