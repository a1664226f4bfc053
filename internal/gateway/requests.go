package gateway

import (
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

// requestSet holds the requests that a gateway is handling. The zero value is empty. It is
// safe for concurrent use.
type requestSet struct {
	// mu guards calls.
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (s *requestSet) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = make(map[*call]struct{})
	}
	s.calls[c] = struct{}{}
}

func (s *requestSet) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

func (s *requestSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// logUnfinished logs the requests that a graceful shutdown interrupts. It reads only what
// does not change while a request is handled.
func (s *requestSet) logUnfinished(log *events.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		log.Log(events.RequestUnfinished).Str("request", c.inbound.ID).Dur("elapsed_ms", time.Since(c.started)).Send()
	}
}

// interruptUnanswered interrupts the requests whose responses have not begun.
func (s *requestSet) interruptUnanswered() {
	s.interrupt(func(c *call) bool { return !c.answered.Load() })
}

// interruptAll interrupts all requests.
func (s *requestSet) interruptAll() { s.interrupt(func(*call) bool { return true }) }

func (s *requestSet) interrupt(selects func(*call) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if selects(c) {
			c.interrupt(errInterrupted)
		}
	}
}
