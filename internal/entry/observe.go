package entry

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Kinds of trace events. traceSettled means that the outcome of a call without
// an answer was determined from its operation record, as far as possible.
const (
	traceLost     = "stage-lost"
	traceReplaced = "stage-replaced"
	traceDispatch = "dispatched"
	traceRefused  = "refused"
	traceSettled  = "settled"
)

// metrics holds the metrics of an entry.
type metrics struct {
	scope             tally.Scope
	firstToken        tally.Timer
	betweenTokens     tally.Timer
	recovery          tally.Timer
	stagesReplaced    tally.Counter
	callsRedispatched tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:             scope,
		firstToken:        scope.Timer("first_token_seconds"),
		betweenTokens:     scope.Timer("between_tokens_seconds"),
		recovery:          scope.Timer("recovery_seconds"),
		stagesReplaced:    scope.Counter("stages_replaced"),
		callsRedispatched: scope.Counter("calls_redispatched"),
	}
}

// countRequest counts a finished request by its kind, team and outcome.
func (m *metrics) countRequest(kind, team string, outcome request.Outcome) {
	m.scope.Tagged(map[string]string{"kind": kind, "team": team, "outcome": string(outcome)}).Counter("requests").Inc(1)
}

// recordReplacement traces, counts and logs the replacement of a stage.
func (s *sequence) recordReplacement(lost, replacement upstream.InstanceID, reason string) {
	s.trace.append(traceEvent{
		attempt: s.attempt, kind: traceReplaced, detail: reason, replaced: lost, replacement: replacement,
	})
	s.metrics.stagesReplaced.Inc(1)
	s.log.Log(events.StageReplaced).Str("request", string(s.id)).Str("lost", string(lost)).
		Str("replacement", string(replacement)).Str("reason", reason).Uint32("attempt", uint32(s.attempt)).Send()
}

// recordToken records the time to the first token, the time between tokens, and
// the recovery time from the loss of a stage to the next token.
func (s *sequence) recordToken(now time.Time) {
	if s.lastTokenAt.IsZero() {
		s.metrics.firstToken.Record(now.Sub(s.trace.started))
	} else {
		s.metrics.betweenTokens.Record(now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	if !s.stageLostAt.IsZero() {
		s.metrics.recovery.Record(now.Sub(s.stageLostAt))
		s.stageLostAt = time.Time{}
	}
}

// logRetryBudgetSpent logs that a retry was not made because the team's retry
// budget is spent. It ignores other errors.
func logRetryBudgetSpent(log *events.Logger, name string, err error) {
	if errors.Is(err, team.ErrRetryBudget) {
		log.LogRateLimited(events.RetryBudgetExhausted).Str("team", name).Send()
	}
}

// logConnected logs a new connection to a peer.
func logConnected(log *events.Logger, c *peer.Conn) {
	log.Log(events.PeerConnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).Send()
}

// logDisconnected logs the end of a connection to a peer.
func logDisconnected(log *events.Logger, c *peer.Conn, err error) {
	if errors.Is(err, peer.ErrMalformedFrame) {
		log.Log(events.FrameRejected).Str("peer", c.Hello().ID).Err(err).Send()
	}
	log.Log(events.PeerDisconnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).
		Bool("silent", c.TimedOut()).Err(err).Send()
}

// logTransitions logs the state changes of upstreams.
func logTransitions(log *events.Logger, transitions ...upstream.Transition) {
	for _, t := range transitions {
		if t.Upstream == nil || t.From == t.To {
			continue
		}
		switch {
		case t.To == upstream.StateSuspect:
			log.Log(events.PeerSuspect).Str("upstream", string(t.Upstream.ID)).Send()
		case t.From == upstream.StateSuspect && t.To == upstream.StateReady:
			log.Log(events.PeerRecovered).Str("upstream", string(t.Upstream.ID)).Send()
		case t.To == upstream.StateLeaving:
			log.Log(events.UpstreamLeaving).Str("upstream", string(t.Upstream.ID)).Send()
		case t.To == upstream.StateGone:
			log.Log(events.UpstreamGone).Str("upstream", string(t.Upstream.ID)).Send()
		}
	}
}

// recordLimited counts what a limit of clients did: a connection or a request that was refused, or a
// connection that was closed.
func (m *metrics) recordLimited(what string) {
	m.scope.Tagged(map[string]string{"what": what}).Counter("client_limit").Inc(1)
}
