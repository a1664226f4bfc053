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
	// controlTime is how long idle traffic is observed at each size.
	controlTime = 3 * time.Second
	// controlChanges is the number of configuration changes that are timed.
	controlChanges = 8
	// inForcePoll is the resolution of the time until a change is in force.
	inForcePoll = 200 * time.Microsecond
	// inForceTimeout bounds the wait for a change.
	inForceTimeout = 10 * time.Second
)

// controlSize is a number of sidecars and entries in a full mesh.
type controlSize struct{ sidecars, entries int }

// control measures the traffic and the cost of an idle deployment.
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
			"Bytes are those of frames sent; a process receives about as much. A connection's processor time is that of both ends.",
			"Processor time and memory include the stand-in engines and their health probes once a second. Platform calls count the object API; each entry also has one waiting watch and reads the list of instances once a second, which the counter leaves out.",
			"In force: from before the write to the store until every entry and sidecar has the revision.",
		},
		plotted: 1,
	}
	var points []controlPoint
	for _, size := range []controlSize{{3, 2}, {10, 2}, {30, 2}, {100, 2}, {30, 1}, {30, 4}} {
		point, err := size.measure(ctx, p, &t)
		if err != nil {
			return nil, fmt.Errorf("%d sidecars: %w", size.sidecars, err)
		}
		points = append(points, point)
	}
	sizes, err := heartbeats()
	if err != nil {
		return nil, err
	}
	return []Table{t, slopes(points), sizes}, ctx.Err()
}

// heartbeats gives the size of heartbeats that report teams and links. The idle
// deployment reports neither.
func heartbeats() (Table, error) {
	t := Table{Title: "size of a sidecar's heartbeat by what it reports", Columns: []Column{{"body", "B", false}}}
	for _, size := range []struct{ teams, links int }{{0, 0}, {10, 0}, {260, 0}, {0, 10}, {0, 100}} {
		beat := peer.Heartbeat{State: upstream.StateReady, Load: upstream.Load{Queued: 500, Running: 32, StepMicros: 8000, StartFraction: 0.37}}
		for i := range size.teams {
			beat.Teams = append(beat.Teams, peer.TeamLoad{
				Team: fmt.Sprintf("team-%03d", i), QueuedTokens: 500, TokensPerSecond: 123.4, Admitted: 100_000, Refused: 1000,
			})
		}
		for range size.links {
			beat.Links = append(beat.Links, peer.LinkDelay{Address: "10.20.30.40:12345", RTTMicros: 1500})
		}
		data, err := cbor.Marshal(beat)
		if err != nil {
			return t, err
		}
		t.add(fmt.Sprintf("%d teams, %d links", size.teams, size.links), float64(len(data)))
	}
	return t, nil
}

// controlPoint is what one size measured, for the slopes.
type controlPoint struct {
	controlSize
	perEntry, perSidecar, processor, memory float64
}

// slopes fits straight lines: an entry's bytes against the sidecars, a sidecar's
// bytes against the entries, processor time against the connections, and memory
// against the sidecars.
func slopes(points []controlPoint) Table {
	t := Table{
		Title:   "slopes, by least squares over the sizes above",
		Columns: []Column{{"slope", "", false}, {"at zero", "", false}},
	}
	fit := func(name string, use func(controlPoint) bool, x, y func(controlPoint) float64) {
		var xs, ys []float64
		for _, point := range points {
			if use(point) {
				xs, ys = append(xs, x(point)), append(ys, y(point))
			}
		}
		slope, zero := leastSquares(xs, ys)
		t.add(name, slope, zero)
	}
	twoEntries := func(c controlPoint) bool { return c.entries == 2 }
	thirtySidecars := func(c controlPoint) bool { return c.sidecars == 30 }
	sidecars := func(c controlPoint) float64 { return float64(c.sidecars) }
	fit("entry's B/s for each sidecar", twoEntries, sidecars, func(c controlPoint) float64 { return c.perEntry })
	fit("sidecar's B/s for each entry", thirtySidecars, func(c controlPoint) float64 { return float64(c.entries) }, func(c controlPoint) float64 { return c.perSidecar })
	fit("processor us/s for each connection", func(controlPoint) bool { return true },
		func(c controlPoint) float64 { return float64(c.entries * c.sidecars) }, func(c controlPoint) float64 { return c.processor })
	fit("memory KiB for each sidecar (2 entries)", twoEntries, sidecars, func(c controlPoint) float64 { return c.memory })
	fit("memory KiB for each entry (30 sidecars)", thirtySidecars, func(c controlPoint) float64 { return float64(c.entries) }, func(c controlPoint) float64 { return c.memory })
	return t
}

// leastSquares fits y = slope*x + zero.
func leastSquares(xs, ys []float64) (slope, zero float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return math.NaN(), math.NaN()
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

func (s controlSize) measure(ctx context.Context, p params, t *Table) (controlPoint, error) {
	memory, goroutines := memoryNow(), runtime.NumGoroutine()
	e, err := start(ctx, setup{
		stages: 1, replicas: s.sidecars, entries: s.entries, engine: standinengine.Config{},
		firstToken: targetFirstToken, deadline: targetDeadline,
	})
	if err != nil {
		return controlPoint{}, err
	}
	defer e.close()
	processes := float64(s.sidecars + s.entries)
	// Connections and readiness settle before the observation.
	time.Sleep(p.lasting(time.Second))
	entryBytes, sidecarBytes, calls, before := e.entryBytes(), e.sidecarBytes(), e.Platform.Counters(), usageNow()
	time.Sleep(p.lasting(controlTime))
	after, callsAfter := usageNow(), e.Platform.Counters()
	seconds := after.at.Sub(before.at).Seconds()
	processor := float64((after.processor - before.processor).Microseconds()) / seconds
	point := controlPoint{
		controlSize: s, processor: processor,
		perEntry:   float64(e.entryBytes()-entryBytes) / seconds / float64(s.entries),
		perSidecar: float64(e.sidecarBytes()-sidecarBytes) / seconds / float64(s.sidecars),
		memory:     (memoryNow() - memory) / 1024,
	}
	perProcess := float64(runtime.NumGoroutine()-goroutines) / processes
	inForce, err := e.timeChanges(ctx, p)
	if err != nil {
		return point, err
	}
	name := fmt.Sprintf("%d sidecars, %d entries", s.sidecars, s.entries)
	p.say("%s: %.0f B/s an entry, in force after %.1f ms", name, point.perEntry, inForce.millis(50))
	t.add(name, float64(s.sidecars*s.entries), point.perEntry, point.perSidecar,
		processor/1e4/processes, processor/float64(s.sidecars*s.entries),
		point.memory/processes, perProcess,
		float64(callsAfter.Reads+callsAfter.Writes-calls.Reads-calls.Writes)/seconds,
		inForce.millis(50), inForce.millis(100))
	return point, nil
}

func (e *environment) entryBytes() (sum uint64) {
	for _, x := range e.Entries {
		sum += x.SentBytes()
	}
	return sum
}

func (e *environment) sidecarBytes() (sum uint64) {
	for _, n := range e.Engines {
		sum += n.Sidecar.SentBytes()
	}
	return sum
}

// timeChanges measures how long a change takes to be in force everywhere.
func (e *environment) timeChanges(ctx context.Context, p params) (latencies, error) {
	times := newLatencies()
	for i := range p.count(controlChanges) {
		revision := e.Entries[0].Revision() + 1
		start := time.Now()
		name := fmt.Sprintf("team-%d", i)
		if err := e.apply(ctx, config.KindTeam, name, team.Team{Name: name, Weight: 1, KeyHashes: []string{keyHash(name)}}); err != nil {
			return times, err
		}
		for e.lowestRevision() < revision {
			if time.Since(start) > inForceTimeout {
				return times, fmt.Errorf("revision %d is not in force after %v", revision, inForceTimeout)
			}
			time.Sleep(inForcePoll)
		}
		times.add(time.Since(start))
	}
	return times, nil
}

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
