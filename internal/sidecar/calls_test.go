package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/service"
)

// slowService answers after a second.
type slowService struct{ calls int }

func (s *slowService) Probe(context.Context) error { return nil }

func (s *slowService) Call(context.Context, service.Request) (service.Response, error) {
	s.calls++
	time.Sleep(time.Second)
	return service.Response{Status: 200}, nil
}

// Guards against refusing a duplicate of a dispatch that is in progress. The
// entry would take the refusal for the result of the first dispatch and report
// not-run for a call that is running.
func TestDuplicatedDispatchIsAnsweredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &slowService{}
		health := newHealthCheck(upstream.Probe, func() {})
		c := newCallRunner(upstream, nil, 4, 4, health, events.Nop())
		entry := &fakeEntry{}
		for range 2 {
			c.Start(entry, &peer.Call{Request: "r", Attempt: 1, DeadlineMillis: 5000})
			synctest.Wait()
		}
		c.Drain()
		c.Start(entry, &peer.Call{Request: "r", Attempt: 1, DeadlineMillis: 5000})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(entry.frames), 1)
		assert.Equal(t, entry.frames[0].(*peer.CallResult).Outcome, request.OutcomeCompleted)
		assert.Equal(t, upstream.calls, 1)
	})
}
