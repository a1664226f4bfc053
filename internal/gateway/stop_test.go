package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// Guards against a stop whose decisions go by different times: when requests are accepted, may be
// sent to instances, and when connections are closed.
func TestTimesOfAStop(t *testing.T) {
	begun := time.Now()
	s := newStop(begun, 8*time.Second)
	since := func(at time.Time) time.Duration { return at.Sub(begun) }
	assert.Equal(t, since(s.end), 7600*time.Millisecond)
	assert.Equal(t, since(s.acceptAllEnd()), 2750*time.Millisecond)
	assert.Equal(t, since(s.closing()), 7350*time.Millisecond)
	assert.Equal(t, since(s.lastAnswers()), 7500*time.Millisecond)
	assert.Equal(t, since(s.lastSend(2*time.Second)), 5500*time.Millisecond)
}

// Guards against requests that are sent to instances which can't answer before the stop ends, and
// against streams that are refused while clients have no other gateway yet.
func TestLastSendOfCalls(t *testing.T) {
	begun := time.Now()
	s := newStop(begun, 8*time.Second)
	model := &routing.Service{Name: "m", Model: &routing.Model{}}
	tests := []struct {
		name     string
		service  *routing.Service
		tokens   int
		slowest  time.Duration
		lastSend time.Duration
	}{
		{"plain, no response yet", &routing.Service{Name: "p"}, 0, 0, 7000 * time.Millisecond},
		{"plain, faster than its objective", &routing.Service{Name: "p"}, 0, 10 * time.Millisecond, 7000 * time.Millisecond},
		{"plain, slow", &routing.Service{Name: "p"}, 0, 2 * time.Second, 5500 * time.Millisecond},
		{"short stream", model, 40, 0, 6000 * time.Millisecond},
		{"stream that outlasts the stop", model, 2000, 0, 2750 * time.Millisecond},
		{"stream of unknown length", model, 0, 0, 2750 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gateway{}
			g.responseTimes.record(tt.service.Name, tt.slowest, time.Now())
			c := &call{
				g: g, inbound: Inbound{MaxOutputTokens: tt.tokens}, service: tt.service, started: begun,
				route: &routing.Route{LatencyObjective: 500 * time.Millisecond},
			}
			assert.Equal(t, c.lastSend(s).Sub(begun), tt.lastSend)
		})
	}
}

// Guards against requests that wait for an instance until their connections are closed by a stop.
func TestWaitingRequestsAreRefusedInAStop(t *testing.T) {
	const (
		remaining    = 100 * time.Millisecond // until the last send
		responseTime = 3 * time.Second
	)
	a, service := newSingleSlotAdmission()
	held, err := a.Acquire(context.Background(), admitRequest{service: service, maxWait: longWait})
	assert.NilError(t, err)
	request := admitRequest{service: service, maxWait: longWait, lastSend: func(s *stop) time.Time { return s.lastSend(responseTime) }}
	waited := make(chan error, 1)
	go func() {
		_, err := a.Acquire(context.Background(), request)
		waited <- err
	}()
	a.waitForQueueLength(t, 1)
	stopping := newStop(time.Now(), remaining+responseTime+answerTime+exitTime)
	a.stopping.begin(stopping)
	assert.ErrorIs(t, <-waited, errStopping)
	assert.Assert(t, time.Now().Before(stopping.end), "refused too late")
	a.Release(held)
	_, err = a.Acquire(context.Background(), request)
	assert.ErrorIs(t, err, errStopping, "sent although the instance can't answer in time")
}

// Guards against a response time that is forgotten at once, or never.
func TestLongestResponseTime(t *testing.T) {
	var r responseTimes
	begun := time.Now()
	assert.Equal(t, r.longest("s", begun), time.Duration(0))
	r.record("s", 2*time.Second, begun)
	r.record("s", time.Second, begun)
	r.record("other", 5*time.Second, begun)
	assert.Equal(t, r.longest("s", begun.Add(responseTimeSlot/2)), 2*time.Second)
	r.record("s", time.Second, begun.Add(responseTimeSlot*3/2))
	assert.Equal(t, r.longest("s", begun.Add(responseTimeSlot*3/2)), 2*time.Second)
	assert.Equal(t, r.longest("s", begun.Add(responseTimeSlot*5/2)), time.Second)
	assert.Equal(t, r.longest("s", begun.Add(responseTimeSlot*5)), time.Duration(0))
}
