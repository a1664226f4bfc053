package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

// rerouteTimeout bounds the call that changes the path of a running stream.
const rerouteTimeout = 300 * time.Millisecond

// reroute replaces the stage of the path that the instance avoided runs, without
// interrupting the stream. The other instances keep what they have computed. It
// returns false if no replacement exists, the first instance wants no calls, another reroute
// of the stream is in progress or the call that changes the path fails.
func (s *stream) reroute(avoided string) bool {
	if _, refused := s.g.quarantine.Check(s.parts, time.Now()); refused {
		return false
	}
	if s.g.tracker.InBackoff(s.currentGrant().Path.First().Instance, time.Now()) {
		return false
	}
	g, grantSeq, ok := s.beginReroute(avoided)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.context(), rerouteTimeout)
	defer cancel()
	err := s.g.control.Reroute(ctx, s.inbound.ID, g.Path)
	s.endReroute(g, grantSeq, err)
	s.g.log.Log(events.StreamRerouted).Str("request", s.inbound.ID).Str("avoided", avoided).
		Str("path", formatPath(g.Path)).Err(err).Send()
	return err == nil
}

// beginReroute reserves the path of a reroute. It returns the new grant and the
// grantSeq to which the reroute belongs.
func (s *stream) beginReroute(avoided string) (chain.Grant, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || s.reroutePending {
		return chain.Grant{}, s.grantSeq, false
	}
	g, ok := s.g.tracker.Reroute(s.g.directory.View(), s.service, s.grant, avoided, time.Now())
	if !ok {
		return chain.Grant{}, s.grantSeq, false
	}
	s.previousGrant, s.grant, s.reroutePending = s.grant, g, true
	return g, s.grantSeq, true
}

// endReroute records the outcome of a reroute. If the change of path was refused,
// the stream keeps its previous grant.
func (s *stream) endReroute(g chain.Grant, grantSeq int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || s.grantSeq != grantSeq {
		return
	}
	s.reroutePending = false
	if errors.Is(err, ErrOrderRefused) {
		s.grant = s.g.tracker.Restore(g, s.previousGrant)
	}
}
