package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

// orderTimeoutRepath bounds the order that changes the path of a stream.
const orderTimeoutRepath = 300 * time.Millisecond

// detour keeps a stream where it is and replaces the part that an instance at
// fault runs. The other instances keep what they have computed.
func (s *stream) detour(fault string) bool {
	g, turn, ok := s.beginDetour(fault)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.context(), orderTimeoutRepath)
	defer cancel()
	err := s.g.engines.Repath(ctx, g.Path.First().Address, s.in.ID, g.Path)
	s.endDetour(g, turn, err)
	s.g.log.Log(events.StreamDetour).Str("request", s.in.ID).Str("avoided", fault).
		Str("path", formatPath(g.Path)).Err(err).Send()
	return err == nil
}

// beginDetour charges the path of a detour, and returns it with the turn to
// which it belongs.
func (s *stream) beginDetour(fault string) (chain.Grant, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned || s.moving {
		return chain.Grant{}, s.turn, false
	}
	g, ok := s.g.ledger.Detour(s.g.directory.View(), s.service, s.grant, fault, time.Now())
	if !ok {
		return chain.Grant{}, s.turn, false
	}
	s.former, s.grant, s.moving = s.grant, g, true
	return g, s.turn, true
}

// endDetour notes the outcome of a detour. A stream whose order was refused
// stays where it was.
func (s *stream) endDetour(g chain.Grant, turn int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned || s.turn != turn {
		return
	}
	s.moving = false
	if errors.Is(err, ErrOrderRefused) {
		s.grant = s.g.ledger.Restore(g, s.former)
	}
}
