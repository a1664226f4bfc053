package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

// repathTimeout bounds the call that changes the path of a running stream.
const repathTimeout = 300 * time.Millisecond

// detour replaces the stage of the path that a failed instance runs, without
// interrupting the stream. The other instances keep what they have computed. It
// returns false if no replacement exists or the call that changes the path
// fails.
func (s *stream) detour(fault string) bool {
	g, grantSeq, ok := s.beginDetour(fault)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.context(), repathTimeout)
	defer cancel()
	err := s.g.engines.Reroute(ctx, g.Path.First().Address, s.inbound.ID, g.Path)
	s.endDetour(g, grantSeq, err)
	s.g.log.Log(events.StreamRerouted).Str("request", s.inbound.ID).Str("avoided", fault).
		Str("path", formatPath(g.Path)).Err(err).Send()
	return err == nil
}

// beginDetour charges the path of a detour to the tracker. It returns the new
// grant and the grantSeq to which the detour belongs.
func (s *stream) beginDetour(fault string) (chain.Grant, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || s.repathPending {
		return chain.Grant{}, s.grantSeq, false
	}
	g, ok := s.g.tracker.Reroute(s.g.directory.View(), s.service, s.grant, fault, time.Now())
	if !ok {
		return chain.Grant{}, s.grantSeq, false
	}
	s.previousGrant, s.grant, s.repathPending = s.grant, g, true
	return g, s.grantSeq, true
}

// endDetour records the outcome of a detour. If the change of path was refused,
// the stream keeps its previous grant.
func (s *stream) endDetour(g chain.Grant, grantSeq int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || s.grantSeq != grantSeq {
		return
	}
	s.repathPending = false
	if errors.Is(err, ErrOrderRefused) {
		s.grant = s.g.tracker.Restore(g, s.previousGrant)
	}
}
