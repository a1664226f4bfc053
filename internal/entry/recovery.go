package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

const (
	// rebindPause is the wait before a chain is tried again when no other
	// upstream is left.
	rebindPause = 100 * time.Millisecond
	// freeReplacements is the number of times that lost stages are replaced
	// without drawing on the team's retry budget.
	freeReplacements = 2
)

// replaceLost puts replacements in the place of lost stages. A stage without
// another upstream is tried again after a pause; it keeps its cursor if it is
// alive, and starts anew otherwise.
func (s *sequence) replaceLost(ctx context.Context, lost map[int]string) error {
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
	for _, i := range slices.Sorted(maps.Keys(lost)) {
		s.trace.add(s.attempt, traceLost, fmt.Sprintf("%s: %s", s.stages[i].ID, lost[i]))
		s.excluded = append(s.excluded, s.stages[i].ID)
		if i == 0 && s.unresolved {
			s.ran = true
		}
	}
	stages := make([]binding, 0, len(s.stages))
	exhausted := false
	for i, b := range s.stages {
		if _, bad := lost[i]; !bad {
			stages = append(stages, b)
			continue
		}
		replacements, err := s.chooser.replace(s.random, s.chain, i, s.planRequest())
		if err != nil {
			exhausted = true
			// The connection is kept, so that the stage is told if the sequence
			// ends before it is opened again.
			stages = append(stages, binding{Stage: b.Stage, conn: b.conn})
			continue
		}
		s.abandon(b)
		for _, r := range replacements {
			s.stageReplaced(b.ID, r.ID, lost[i])
			r.Upstream.Acquire()
			stages = append(stages, binding{Stage: r})
		}
	}
	s.stages = stages
	s.chain.Stages = nil
	for _, b := range stages {
		s.chain.Stages = append(s.chain.Stages, b.Stage)
	}
	if exhausted {
		return s.waitForUpstream(ctx)
	}
	return s.backOff(ctx)
}

// backOff delays and limits repeated replacements. The first freeReplacements
// of a sequence are immediate and not counted, because the loss of one upstream
// hits many sequences at once and each of their callers is waiting.
func (s *sequence) backOff(ctx context.Context) error {
	repeated := int(s.attempt) - freeReplacements
	if repeated <= 0 {
		return nil
	}
	delay, err := s.retries.TakeRetry(time.Now(), s.deadline, s.random, s.team, repeated)
	if err != nil {
		logRetryBudget(s.log, s.team, err)
		return fmt.Errorf("%w: %w", errStageLost, err)
	}
	pause(ctx, delay)
	return ctx.Err()
}

// waitForUpstream pauses when every upstream that could take over has been
// tried, and forgets which ones were.
func (s *sequence) waitForUpstream(ctx context.Context) error {
	s.excluded = nil
	select {
	case <-time.After(rebindPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// blame returns the index of the stage that a report says is lost.
func (s *sequence) blame(sender int, f *peer.SequenceFailed) int {
	if f.Reason != peer.FailedDownstream {
		return sender
	}
	for i := range s.stages {
		if s.stages[i].Address == f.Downstream {
			return i
		}
	}
	return -1
}

// abandon tells a lost stage to stop working for the sequence.
func (s *sequence) abandon(b binding) {
	b.Upstream.Release()
	if b.conn != nil {
		_ = b.conn.Send(&peer.CloseSequence{Request: s.id, Attempt: s.attempt})
	}
}
