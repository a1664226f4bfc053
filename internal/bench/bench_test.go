package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// Guards against a throughput bound that leaves out a part of an engine's cost.
func TestEngineBound(t *testing.T) {
	c := standinengine.Config{
		MaxBatch: 10, BaseCost: 10 * time.Millisecond, DecodeCost: time.Millisecond, PrefillCost: 100 * time.Microsecond,
	}
	// The prefill step takes 1 ms of base cost and 2 ms of prefill cost, each of
	// the 4 decode steps 1 ms of base cost and 1 ms of decode cost.
	b := engineBound(c, requestShape{promptTokens: 20, minOutput: 3, maxOutput: 5}).times(2)
	assert.Assert(t, math.Abs(b.requestsPerSecond-2/0.011) < 1e-6)
	assert.Assert(t, math.Abs(b.tokensPerSecond-8/0.011) < 1e-6)
}

// Guards against worth that is counted for late or incomplete answers, and against
// tokens that are counted although they arrived after the load had ended.
func TestSummarizeCountsAnswersInTime(t *testing.T) {
	ms := time.Millisecond
	results := []requestResult{
		{completed: true, firstToken: 10 * ms, end: 50 * ms, tokens: []time.Duration{10 * ms, 30 * ms}},
		{completed: true, firstToken: 21 * ms, end: 50 * ms},
		{completed: true, firstToken: 10 * ms, end: 101 * ms},
		{completed: false, firstToken: 10 * ms, end: 50 * ms},
		{job: job{arrival: 990 * ms}, completed: true, firstToken: 20 * ms, end: 100 * ms, tokens: []time.Duration{20 * ms}},
	}
	summary := summarize(results, 3, 20*ms, 100*ms, time.Second)
	assert.Equal(t, summary.worthRatio, 0.4)
	assert.Equal(t, summary.completed, 4)
	assert.Equal(t, summary.tokensPerSecond, 2.0)
	// The histogram keeps three significant digits.
	assert.Assert(t, math.Abs(summary.betweenTokens.percentileMillis(50)-20) < 0.02)
}

// Guards against runs with the same seed that offer different load.
func TestSameSeedGivesSameArrivals(t *testing.T) {
	s := requestShape{promptTokens: 20, minOutput: 2, maxOutput: 9}
	draw := func(seed uint64) []job { return poissonJobs(rand.New(rand.NewPCG(seed, 0)), "a", s, 100, time.Second) }
	assert.Assert(t, slices.Equal(draw(1), draw(1)))
	assert.Assert(t, draw(1)[0].arrival != draw(2)[0].arrival)
	assert.Equal(t, len(strings.Fields(draw(1)[0].prompt)), s.promptTokens-1)
}

// Guards against a wrong median, a worst value that is the best one, ratios that
// are computed from a single run instead of the medians, and a wrong linear fit.
func TestCombineRunsAndLeastSquares(t *testing.T) {
	run := func(a, b float64) []Table {
		table := Table{Title: "t", Columns: []Column{{"worth", "", true}, {"wait", "ms", false}}}
		table.addRow("ours", a, b)
		table.addRow("naive", 2, math.NaN())
		table.addRatio("ours", "naive")
		return []Table{table}
	}
	table := combineRuns("x", [][]Table{run(1, 5), run(4, 9), run(2, 6)})[0]
	assert.DeepEqual(t, table.Rows[0], Row{"ours", []Number{2, 6}, []Number{1, 9}})
	assert.Equal(t, table.Rows[2].Name, "ours / naive")
	assert.Equal(t, table.Rows[2].Values[0], Number(1))

	slope, intercept := leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
	assert.Equal(t, [2]float64{slope, intercept}, [2]float64{2, 3})
}

// Guards against reports whose text, JSON or SVG output is malformed.
func TestReportFormats(t *testing.T) {
	table := Table{Experiment: "x", Title: "a < b", Columns: []Column{{"wait", "ms", false}}}
	table.addRow("one & two", 12.345)
	table.addRow("none", math.NaN())
	var text bytes.Buffer
	table.Write(&text)
	assert.Assert(t, strings.Contains(text.String(), "one & two  12.3\n"), text.String())

	dir := t.TempDir()
	file := filepath.Join(dir, "report.json")
	assert.NilError(t, Report{Seed: 7, Tables: []Table{table}}.writeFiles(file, dir))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var report Report
	assert.NilError(t, json.Unmarshal(data, &report))
	assert.Equal(t, report.Tables[0].Rows[0].Values[0], Number(12.345))
	assert.Assert(t, math.IsNaN(float64(report.Tables[0].Rows[1].Values[0])))

	plot, err := os.Open(filepath.Join(dir, "01-x.svg"))
	assert.NilError(t, err)
	defer plot.Close()
	for d := xml.NewDecoder(plot); err == nil; {
		_, err = d.Token()
	}
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// Guards against links that deliver before their delay has passed, wrong byte
// counts, and isolated processes that are still reachable.
func TestNetworkDelayAndIsolation(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	const delay = 20 * time.Millisecond
	n := newNetwork(0, false)
	n.Register(listener.Addr().String(), "echo", "domain-b")
	n.setDelay("domain-a", "domain-b", delay)
	dial := n.Dialer("caller", "domain-a")
	c, err := dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	start := time.Now()
	_, err = c.Write([]byte("ping"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 2*delay)
	assert.Equal(t, n.byteCount("echo"), uint64(8))

	n.isolate("echo")
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = dial(t.Context(), "tcp", listener.Addr().String())
	assert.ErrorIs(t, err, errIsolated)
}

// Guards against an experiment that can't start its deployment, a report without
// all rows, and an unknown experiment that is accepted.
func TestSmoke(t *testing.T) {
	file := filepath.Join(t.TempDir(), "report.json")
	var out bytes.Buffer
	args := Args{Experiment: "fairness", Seed: 1, Scale: 0.05, JSON: file}
	assert.NilError(t, Run(context.Background(), args, &out, io.Discard))
	assert.Assert(t, strings.Contains(out.String(), "beside ours / beside naive"), out.String())
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var report Report
	assert.NilError(t, json.Unmarshal(data, &report))
	assert.Equal(t, len(report.Tables[0].Rows), 6)

	args.Experiment = "none"
	assert.ErrorIs(t, Run(context.Background(), args, &out, io.Discard), ErrUnknownExperiment)
}
