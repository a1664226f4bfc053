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

// Guards against requests that are sent late in a stop to instances which are slower than expected, or
// can't answer before it ends, and against streams that are refused while clients have no other
// gateway yet. Without a deadline before the end, what has not run is sent only while all requests are
// accepted.
func TestLastSendOfCalls(t *testing.T) {
	begun := time.Now()
	s := newStop(begun, 8*time.Second)
	model := &routing.Service{Name: "m", Model: &routing.Model{}}
	plain := &routing.Service{Name: "p"}
	const (
		beforeEnd, afterEnd = 7500 * time.Millisecond, 20 * time.Second
		acceptAll           = 2750 * time.Millisecond
		lastAnswers         = 7500 * time.Millisecond
	)
	tests := []struct {
		name     string
		service  *routing.Service
		tokens   int
		deadline time.Duration
		ran      bool
		slowest  time.Duration
		lastSend time.Duration
	}{
		{"plain, no response yet", plain, 0, afterEnd, false, 0, acceptAll},
		{"plain, faster than its objective", plain, 0, afterEnd, false, 10 * time.Millisecond, acceptAll},
		{"plain, slow", plain, 0, afterEnd, false, 2 * time.Second, acceptAll},
		{"plain, too slow", plain, 0, afterEnd, false, 6 * time.Second, 1500 * time.Millisecond},
		{"plain, a deadline before the end", plain, 0, beforeEnd, false, 6 * time.Second, lastAnswers},
		{"plain, repeated", plain, 0, afterEnd, true, 10 * time.Millisecond, 7000 * time.Millisecond},
		{"plain, slow, repeated", plain, 0, afterEnd, true, 2 * time.Second, 5500 * time.Millisecond},
		{"short stream", model, 40, afterEnd, false, 0, acceptAll},
		{"stream that outlasts the stop", model, 2000, afterEnd, false, 0, acceptAll},
		{"stream of unknown length", model, 0, afterEnd, false, 0, acceptAll},
		{"stream with a deadline before the end", model, 2000, beforeEnd, false, 0, lastAnswers},
		{"short stream, repeated", model, 40, afterEnd, true, 0, 6000 * time.Millisecond},
		{"stream that outlasts the stop, repeated", model, 2000, afterEnd, true, 0, acceptAll},
		{"stream of unknown length, repeated", model, 0, afterEnd, true, 0, acceptAll},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gateway{}
			g.responseTimes.record(tt.service.Name, tt.slowest, time.Now())
			c := &call{
				g: g, inbound: Inbound{MaxOutputTokens: tt.tokens}, service: tt.service, started: begun,
				deadline: begun.Add(tt.deadline), route: &routing.Route{LatencyObjective: 500 * time.Millisecond},
			}
			if tt.ran {
				c.possiblyRanOn = []string{"i"}
			}
			assert.Equal(t, c.lastSend(s).Sub(begun), tt.lastSend)
		})
	}
	short := newStop(begun, 2*time.Second)
	c := &call{g: &Gateway{}, service: model, started: begun, deadline: begun.Add(afterEnd), route: &routing.Route{}}
	assert.Equal(t, c.lastSend(short), short.lastAnswers(), "sent after the last answers of a short stop")
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
