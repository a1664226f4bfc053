package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

// openTimeout bounds the wait for the answers to OpenSequence.
const openTimeout = 1500 * time.Millisecond

// bind opens the sequence at every stage under a new attempt. If stages refuse
// or are unreachable, it replaces them and repeats with the next attempt.
func (s *sequence) bind(ctx context.Context) error {
	for {
		s.attempt++
		lost := s.openStages(ctx)
		if len(lost) == 0 {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := s.replaceLost(ctx, lost); err != nil {
			return err
		}
	}
}

// openStages sends OpenSequence to all stages and waits for the answers. It
// returns the lost stages by index, with the reason.
func (s *sequence) openStages(ctx context.Context) map[int]string {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	lost := s.dialStages(ctx)
	for i := range s.stages {
		b := &s.stages[i]
		b.opened = false
		if _, isLost := lost[i]; isLost {
			continue
		}
		if err := b.conn.Send(s.openSequenceFrame(i)); err != nil {
			lost[i] = err.Error()
		}
	}
	stall := newStallTimer()
	defer stall.stop()
	for !s.allStagesAnswered(lost) {
		select {
		case <-s.notify:
			s.handleOpenEvents(lost)
		case <-stall.timer.C:
			maps.Copy(lost, s.checkStall(stall))
		case <-ctx.Done():
			s.markUnansweredLost(lost)
			return lost
		}
	}
	return lost
}

// dialStages connects to all stages concurrently. It returns the unreachable
// stages by index, with the reason.
func (s *sequence) dialStages(ctx context.Context) map[int]string {
	lost := make(map[int]string)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range s.stages {
		b := &s.stages[i]
		if b.conn = s.dialer.Connection(b.Address); b.conn != nil {
			continue
		}
		wg.Go(func() {
			conn, err := s.dialer.Dial(ctx, b.Address)
			mu.Lock()
			defer mu.Unlock()
			b.conn = conn
			if err != nil {
				lost[i] = err.Error()
			}
		})
	}
	wg.Wait()
	return lost
}

func (s *sequence) openSequenceFrame(i int) *peer.OpenSequence {
	b := s.stages[i]
	open := &peer.OpenSequence{
		Request: s.id, Attempt: s.attempt, Team: s.team, Priority: s.priority,
		DeadlineMillis:   time.Until(s.deadline).Milliseconds(),
		FirstTokenMillis: s.firstTokenTarget.Milliseconds(),
		Model:            s.model, Layers: b.Layers, PromptTokens: s.estimatedPromptTokens,
	}
	if !s.starForwarding && i+1 < len(s.stages) {
		open.Downstream = s.stages[i+1].Address
	}
	return open
}

// allStagesAnswered reports whether every stage that is not lost has opened the
// sequence.
func (s *sequence) allStagesAnswered(lost map[int]string) bool {
	for i := range s.stages {
		if _, isLost := lost[i]; !isLost && !s.stages[i].opened {
			return false
		}
	}
	return true
}

// markUnansweredLost adds the stages that have not answered to the lost ones.
func (s *sequence) markUnansweredLost(lost map[int]string) {
	for i := range s.stages {
		if _, isLost := lost[i]; !isLost && !s.stages[i].opened {
			lost[i] = "no answer to open"
		}
	}
}

// handleOpenEvents handles the answers to OpenSequence and the failures that have
// arrived. It adds stages that refused or failed to the lost ones.
func (s *sequence) handleOpenEvents(lost map[int]string) {
	for _, e := range s.takeEvents() {
		i := s.stageIndex(e.conn)
		if i < 0 {
			continue
		}
		switch f := e.frame.(type) {
		case *peer.SequenceOpened:
			if f.Attempt != s.attempt {
				continue
			}
			if f.Refused != "" {
				lost[i] = "refused: " + string(f.Refused)
				continue
			}
			s.stages[i].nextPosition = f.NextPosition
			s.stages[i].opened = true
		case *peer.SequenceFailed:
			if j := s.failedStageIndex(i, f); f.Attempt == s.attempt && j >= 0 {
				lost[j] = string(f.Reason) + ": " + f.Detail
				// A stage that reports its successor as failed has itself
				// answered. It is opened again together with the replacement.
				s.stages[i].opened = true
			}
		case nil:
			lost[i] = "connection lost"
		}
	}
}

// stageIndex returns the index of the stage that conn connects to, or -1.
func (s *sequence) stageIndex(conn peer.Sender) int {
	for i := range s.stages {
		if s.stages[i].conn == conn {
			return i
		}
	}
	return -1
}

// resume asks every stage to resend the outputs that its successor has not run
// yet. It then sends the first stage the steps that the first stage has not run.
// Their inputs are the prompt and the tokens, which the entry keeps.
func (s *sequence) resume() {
	if s.attempt > 1 {
		for i := range s.stages {
			from := s.answer.NextPosition()
			if i+1 < len(s.stages) {
				from = s.stages[i+1].nextPosition
			}
			_ = s.stages[i].conn.Send(&peer.ResumeSequence{Request: s.id, Attempt: s.attempt, From: from})
		}
	}
	for p := s.stages[0].nextPosition; int(p) <= len(s.tokens); p++ {
		s.sendStep(p)
	}
}
