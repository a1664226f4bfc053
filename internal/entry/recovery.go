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
	// rebindDelay is the delay before the sequence is opened again at the same
	// chain when a lost stage has no replacement.
	rebindDelay = 100 * time.Millisecond
	// immediateReplacements is the number of times that lost stages are
	// replaced without delay and without using the team's retry budget.
	immediateReplacements = 2
)

// replaceLost replaces lost stages. If a stage has no replacement, the same
// stage is tried again after a delay: it continues from its cursor if it is
// still alive, and starts over otherwise.
func (s *sequence) replaceLost(ctx context.Context, lost map[int]string) error {
	if s.stageLostAt.IsZero() {
		s.stageLostAt = time.Now()
	}
	for _, i := range slices.Sorted(maps.Keys(lost)) {
		s.trace.add(s.attempt, traceLost, fmt.Sprintf("%s: %s", s.stages[i].ID, lost[i]))
		s.excluded = append(s.excluded, s.stages[i].ID)
		if i == 0 && s.stepUnresolved {
			s.mayHaveRunStep = true
		}
	}
	stages := make([]stageBinding, 0, len(s.stages))
	noReplacement := false
	for i, b := range s.stages {
		if _, isLost := lost[i]; !isLost {
			stages = append(stages, b)
			continue
		}
		replacements, err := s.chooser.replace(s.random, s.chain, i, s.planRequest())
		if err != nil {
			noReplacement = true
			// The connection is kept, so that the stage is told if the sequence
			// ends before it is opened again.
			stages = append(stages, stageBinding{Stage: b.Stage, conn: b.conn})
			continue
		}
		s.closeStage(b)
		for _, r := range replacements {
			s.recordReplacement(b.ID, r.ID, lost[i])
			r.Upstream.Acquire()
			stages = append(stages, stageBinding{Stage: r})
		}
	}
	s.stages = stages
	s.chain.Stages = nil
	for _, b := range stages {
		s.chain.Stages = append(s.chain.Stages, b.Stage)
	}
	if noReplacement {
		return s.waitForUpstream(ctx)
	}
	return s.backOff(ctx)
}

// backOff delays and limits repeated replacements. The first
// immediateReplacements of a sequence are not delayed and don't use the retry
// budget, because the loss of one upstream affects many sequences at once and
// each of their callers is waiting.
func (s *sequence) backOff(ctx context.Context) error {
	repeated := int(s.attempt) - immediateReplacements
	if repeated <= 0 {
		return nil
	}
	delay, err := s.retries.TakeRetry(time.Now(), s.deadline, s.random, s.team, repeated)
	if err != nil {
		logRetryBudgetSpent(s.log, s.team, err)
		return fmt.Errorf("%w: %w", errStageLost, err)
	}
	sleepContext(ctx, delay)
	return ctx.Err()
}

// waitForUpstream waits for rebindDelay when every possible replacement has
// been tried, and makes all upstreams eligible again.
func (s *sequence) waitForUpstream(ctx context.Context) error {
	s.excluded = nil
	select {
	case <-time.After(rebindDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// failedStageIndex returns the index of the stage that a report names as
// failed, or -1.
func (s *sequence) failedStageIndex(sender int, f *peer.SequenceFailed) int {
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

// closeStage tells a stage to close the sequence and stops counting the
// sequence at the stage's upstream.
func (s *sequence) closeStage(b stageBinding) {
	b.Upstream.Release()
	if b.conn != nil {
		_ = b.conn.Send(&peer.CloseSequence{Request: s.id, Attempt: s.attempt})
	}
}
