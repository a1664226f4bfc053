package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against requests that a stopping gateway takes and can't finish: the
// clients' estimate of the output is often far off (LOST in a hunted day of
// sawt-muscat, mix --seed 237698237803).
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEndsInTime(t *testing.T) {
	const grace = 8 * time.Second
	model := &routing.Service{Name: "m", Model: &routing.Model{}}
	plain := &routing.Service{Name: "p"}
	tests := []struct {
		name    string
		service *routing.Service
		// at is the time since the begin of the stop.
		at   time.Duration
		in   Inbound
		want bool
	}{
		{"at the begin", model, time.Second, Inbound{MaxOutputTokens: 2000}, true},
		{"late, long", model, 5 * time.Second, Inbound{MaxOutputTokens: 2000, ExpectedOutput: 10}, false},
		{"late, short", model, 4 * time.Second, Inbound{MaxOutputTokens: 50, ExpectedOutput: 10}, true},
		{"late, unknown", model, 4 * time.Second, Inbound{}, false},
		{"plain", plain, 6 * time.Second, Inbound{}, true},
		{"plain, at the end", plain, 7 * time.Second, Inbound{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gateway{settings: Settings{DrainTimeout: grace}}
			g.stopAt.Store(start.Add(grace - drainMargin).UnixNano())
			at := start.Add(tt.at)
			c := &call{
				g: g, in: tt.in, service: tt.service, started: at, deadline: at.Add(time.Second),
				route: &routing.Route{LatencyObjective: 500 * time.Millisecond},
			}
			assert.Equal(t, c.endsInTime(), tt.want)
		})
	}
	c := &call{g: &Gateway{}, service: model, started: start, route: &routing.Route{}}
	assert.Assert(t, c.endsInTime(), "no stop has begun")
}
