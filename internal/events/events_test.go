package events

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a docs/events.md that differs from the catalogue, and against
// events with a number outside the ranges, without a meaning or action, or with
// a duplicate or malformed name.
func TestCatalogue(t *testing.T) {
	golden.Assert(t, Markdown(), "../../../docs/events.md")
	names := map[string]bool{}
	for _, e := range All() {
		assert.Assert(t, e.Number >= 1000 && e.Number < 2000, e.Name)
		assert.Assert(t, e.Meaning != "" && e.Action != "" && !names[e.Name], e.Name)
		assert.Assert(t, regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`).MatchString(e.Name), e.Name)
		names[e.Name] = true
	}
}

// Guards against log lines without event number, name or instance.
func TestLogger(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "info", "json", "entry-1")
	assert.NilError(t, err)
	l.Log(StaleFrameDropped).Send() // below the level
	l.With("team", "packs").Std(StageReplaced).Println("text")
	var line map[string]string
	assert.NilError(t, json.Unmarshal(b.Bytes(), &line))
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]string{"event": "NR1200", "name": "stage-replaced", "level": "warn",
		"instance": "entry-1", "team": "packs", "message": "text"})
	_, err = New(&b, "info", "xml", "x")
	assert.ErrorContains(t, err, "xml")
}

// Guards against unlimited log lines under overload, and against withheld lines
// that the next line does not count.
func TestRateLimiterCountsWithheldLines(t *testing.T) {
	l := newRateLimiter()
	now := time.Unix(1, 0)
	for i, want := range []struct {
		after    time.Duration
		withheld int
		ok       bool
	}{{0, 0, true}, {time.Millisecond, 0, false}, {time.Millisecond, 0, false}, {rateLimitInterval, 2, true}, {rateLimitInterval, 0, true}} {
		now = now.Add(want.after)
		withheld, ok := l.allow(1, now)
		assert.Equal(t, ok, want.ok, "line %d", i)
		assert.Equal(t, withheld, want.withheld, "line %d", i)
	}
}
