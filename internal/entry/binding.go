package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
)

// openTimeout bounds the answers to OpenSequence.
const openTimeout = 1500 * time.Millisecond

// bind opens the sequence at every stage under a new attempt. Stages that
// refuse or can't be reached are replaced.
func (s *sequence) bind(ctx context.Context) error {
	for {
		s.attempt++
		lost := s.openAll(ctx)
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

// openAll sends OpenSequence to all stages and waits for the answers. It
// returns the indexes of the stages that are lost.
func (s *sequence) openAll(ctx context.Context) map[int]string {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	lost := s.dialAll(ctx)
	for i := range s.stages {
		b := &s.stages[i]
		b.opened = false
		if _, bad := lost[i]; bad {
			continue
		}
		if err := b.conn.Send(s.openFrame(i)); err != nil {
			lost[i] = err.Error()
		}
	}
	stall := newStallTimer()
	defer stall.stop()
	for !s.allAnswered(lost) {
		select {
		case <-s.notify:
			s.handleOpenEvents(lost)
		case <-stall.timer.C:
			maps.Copy(lost, s.checkStall(stall))
		case <-ctx.Done():
			s.markUnanswered(lost)
			return lost
		}
	}
	return lost
}

// dialAll connects to all stages at once.
func (s *sequence) dialAll(ctx context.Context) map[int]string {
	lost := make(map[int]string)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range s.stages {
		b := &s.stages[i]
		if b.conn = s.peers.Connection(b.Address); b.conn != nil {
			continue
		}
		wg.Go(func() {
			conn, err := s.peers.Dial(ctx, b.Address)
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

func (s *sequence) openFrame(i int) *peer.OpenSequence {
	b := s.stages[i]
	open := &peer.OpenSequence{
		Request: s.id, Attempt: s.attempt, Team: s.team, Priority: s.priority,
		DeadlineMillis:   time.Until(s.deadline).Milliseconds(),
		FirstTokenMillis: s.firstToken.Milliseconds(),
		Model:            s.model, Layers: b.Layers, PromptTokens: s.promptTokens,
	}
	if !s.star && i+1 < len(s.stages) {
		open.Downstream = s.stages[i+1].Address
	}
	return open
}

func (s *sequence) allAnswered(lost map[int]string) bool {
	for i := range s.stages {
		if _, bad := lost[i]; !bad && !s.stages[i].opened {
			return false
		}
	}
	return true
}

func (s *sequence) markUnanswered(lost map[int]string) {
	for i := range s.stages {
		if _, bad := lost[i]; !bad && !s.stages[i].opened {
			lost[i] = "no answer to open"
		}
	}
}

func (s *sequence) handleOpenEvents(lost map[int]string) {
	for _, e := range s.takeEvents() {
		i := s.stageOf(e.conn)
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
			s.stages[i].next = f.NextPosition
			s.stages[i].opened = true
		case *peer.SequenceFailed:
			if j := s.blame(i, f); f.Attempt == s.attempt && j >= 0 {
				lost[j] = string(f.Reason) + ": " + f.Detail
				// A stage that reports the next one has answered. It is opened
				// again with the replacement.
				s.stages[i].opened = true
			}
		case nil:
			lost[i] = "connection lost"
		}
	}
}

// stageOf returns the index of the stage behind conn, or -1.
func (s *sequence) stageOf(conn peer.Sender) int {
	for i := range s.stages {
		if s.stages[i].conn == conn {
			return i
		}
	}
	return -1
}

// resume has every stage send what its successor has not run yet, then feeds
// the first stage from the entry's own log.
func (s *sequence) resume() {
	if s.attempt > 1 {
		for i := range s.stages {
			from := s.answer.NextPosition()
			if i+1 < len(s.stages) {
				from = s.stages[i+1].next
			}
			_ = s.stages[i].conn.Send(&peer.ResumeSequence{Request: s.id, Attempt: s.attempt, From: from})
		}
	}
	for p := s.stages[0].next; int(p) <= len(s.tokens); p++ {
		s.sendStep(p)
	}
}
