package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/clocktest"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a stopping gateway that accepts requests which it can't finish. The clients'
// estimate of the output length is often far off; using it broke the rule LOST (deployment
// sawt-muscat, day mix of the users' test bench, seed 237698237803). A server may be slower than any
// pace, so that the maximum output length is no bound either (review/6): only the deadline is. A
// stream that was sent 3.017 s after SIGTERM was accepted and cut too (the same deployment, seed
// 9008): the process notices the signal later than it is sent.
func TestAcceptedByStop(t *testing.T) {
	const drainTimeout = 8 * time.Second
	model := &routing.Service{Name: "m", Model: &routing.Model{}}
	plain := &routing.Service{Name: "p"}
	tests := []struct {
		name    string
		service *routing.Service
		// sinceStopBegan is the time from the start of the shutdown to the arrival
		// of the request.
		sinceStopBegan time.Duration
		inbound        Inbound
		// timeout is the time from the arrival to the deadline.
		timeout time.Duration
		want    bool
	}{
		{"at the start", model, time.Second, Inbound{MaxOutputTokens: 2000}, 20 * time.Second, true},
		{"at the start, the signal noticed late", model, 2900 * time.Millisecond, Inbound{MaxOutputTokens: 2000}, 20 * time.Second, false},
		{"late, long", model, 5 * time.Second, Inbound{MaxOutputTokens: 2000, ExpectedOutput: 10}, 20 * time.Second, false},
		{"late, short", model, 4 * time.Second, Inbound{MaxOutputTokens: 50, ExpectedOutput: 10}, 20 * time.Second, false},
		{"late, one token", model, 2800 * time.Millisecond, Inbound{MaxOutputTokens: 1, ExpectedOutput: 1}, 20 * time.Second, false},
		{"late, unknown length", model, 4 * time.Second, Inbound{}, 20 * time.Second, false},
		{"late, long, a deadline before the end", model, 4 * time.Second, Inbound{MaxOutputTokens: 2000}, time.Second, true},
		{"late, unknown length, a deadline before the end", model, 4 * time.Second, Inbound{}, time.Second, true},
		{"plain", plain, 6 * time.Second, Inbound{}, time.Second, true},
		{"plain, a deadline after the end", plain, 4 * time.Second, Inbound{}, 20 * time.Second, false},
		{"plain, at the end", plain, 7 * time.Second, Inbound{}, time.Second, false},
		{"plain, a deadline among the last answers", plain, 6550 * time.Millisecond, Inbound{}, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gateway{settings: Settings{DrainTimeout: drainTimeout}, currentStop: newCurrentStop()}
			g.currentStop.begin(newStop(start, drainTimeout))
			arrival := start.Add(tt.sinceStopBegan)
			c := &call{
				g: g, inbound: tt.inbound, service: tt.service, started: arrival, deadline: arrival.Add(tt.timeout),
				route: &routing.Route{LatencyObjective: 500 * time.Millisecond},
			}
			assert.Equal(t, c.acceptedBy(g.currentStop.get()), tt.want)
		})
	}
	c := &call{g: &Gateway{}, service: model, started: start, route: &routing.Route{}}
	assert.Assert(t, c.acceptedBy(nil), "must be accepted: no shutdown has begun")
}

// Guards against a stopping gateway that accepts requests which it can't finish because the time
// of day jumped back after the stop began, and refuses others because it jumped forward.
func TestStopIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	const drainTimeout = 8 * time.Second
	begun := time.Now()
	for _, jump := range []int64{0, -3, 3} {
		g := &Gateway{settings: Settings{DrainTimeout: drainTimeout}, currentStop: newCurrentStop()}
		g.currentStop.begin(newStop(begun, drainTimeout))
		for sinceStopBegan, want := range map[time.Duration]bool{time.Second: true, 4 * time.Second: false} {
			arrival := clocktest.AfterJump(t, begun.Add(sinceStopBegan), jump)
			c := &call{
				g: g, inbound: Inbound{MaxOutputTokens: 2000}, service: &routing.Service{Name: "m", Model: &routing.Model{}},
				started: arrival, deadline: arrival.Add(20 * time.Second),
				route: &routing.Route{LatencyObjective: 500 * time.Millisecond},
			}
			assert.Equal(t, c.acceptedBy(g.currentStop.get()), want, "jump of %d s, %v after the start of the stop", jump, sinceStopBegan)
		}
	}
}
