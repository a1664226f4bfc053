package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
)

// refusingEngines answers each request for a report with a refusal, as an instance of a
// plain service does.
type refusingEngines struct{ Engines }

func (refusingEngines) Report(context.Context, string) (Report, Notice, error) {
	return Report{}, Notice{}, ErrOrderRefused
}

// Guards against an instance of a plain service that stays lost after its restart, because
// it has no report.
func TestLostInstanceWithoutReportIsUsedAgain(t *testing.T) {
	tracker, directory, now := chain.NewInstanceTracker(), fleet.NewDirectory(), time.Now()
	directory.Replace([]fleet.Record{{ID: "i", Instance: &fleet.Instance{ID: "i", Service: "s"}}}, 0, false, now)
	f := newFaultFinder(&control{refusingEngines{}, &noticeRecorder{directory, tracker, events.Nop()}}, tracker, directory, events.Nop())
	tracker.RecordLost("i", now)
	f.RecheckLost(t.Context(), directory.View(), now.Add(2*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if tracker.IsLost("i", now.Add(2*time.Second)) {
			return poll.Continue("still lost")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	assert.Assert(t, !tracker.IsLost("i", now.Add(7*time.Second)))
}

// countingEngines answers no request for a report and counts them.
type countingEngines struct {
	Engines
	count *int
}

func (e countingEngines) Report(context.Context, string) (Report, Notice, error) {
	*e.count++
	return Report{}, Notice{}, errDown
}

// Guards against an instance that counts as lost because several streams share one missed report.
func TestSharedReportCountsOnce(t *testing.T) {
	tracker, directory, now := chain.NewInstanceTracker(), fleet.NewDirectory(), time.Now()
	count := 0
	instances := &control{countingEngines{count: &count}, &noticeRecorder{directory, tracker, events.Nop()}}
	f := newFaultFinder(instances, tracker, directory, events.Nop())
	for range 3 {
		_, _ = f.Locate(t.Context(), chain.Path{{Instance: "i", Address: "a"}}, "1", now)
	}
	assert.Equal(t, count, 1)
	assert.Assert(t, !tracker.IsLost("i", now))
}
