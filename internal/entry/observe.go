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

// Kinds of trace events.
const (
	traceLost     = "stage-lost"
	traceReplaced = "stage-replaced"
	traceDispatch = "dispatched"
	traceRefused  = "refused"
	traceSettled  = "settled"
)

// meters are the metrics of an entry.
type meters struct {
	scope         tally.Scope
	firstToken    tally.Timer
	betweenTokens tally.Timer
	recovery      tally.Timer
	replaced      tally.Counter
	redispatched  tally.Counter
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:         scope,
		firstToken:    scope.Timer("first_token_seconds"),
		betweenTokens: scope.Timer("between_tokens_seconds"),
		recovery:      scope.Timer("recovery_seconds"),
		replaced:      scope.Counter("stages_replaced"),
		redispatched:  scope.Counter("calls_redispatched"),
	}
}

// requestEnded counts a request by its kind, team and outcome.
func (m *meters) requestEnded(kind, team string, outcome request.Outcome) {
	m.scope.Tagged(map[string]string{"kind": kind, "team": team, "outcome": string(outcome)}).Counter("requests").Inc(1)
}

// stageReplaced logs and counts the replacement of a stage.
func (s *sequence) stageReplaced(lost, replacement upstream.InstanceID, reason string) {
	s.trace.append(traceEvent{
		attempt: s.attempt, kind: traceReplaced, detail: reason, replaced: lost, replacement: replacement,
	})
	s.meters.replaced.Inc(1)
	s.log.Log(events.StageReplaced).Str("request", string(s.id)).Str("lost", string(lost)).
		Str("replacement", string(replacement)).Str("reason", reason).Uint32("attempt", uint32(s.attempt)).Send()
}

// observeToken measures the time to the first token, between tokens, and from
// the loss of a stage to the next token.
func (s *sequence) observeToken(now time.Time) {
	if s.lastToken.IsZero() {
		s.meters.firstToken.Record(now.Sub(s.trace.started))
	} else {
		s.meters.betweenTokens.Record(now.Sub(s.lastToken))
	}
	s.lastToken = now
	if !s.lostAt.IsZero() {
		s.meters.recovery.Record(now.Sub(s.lostAt))
		s.lostAt = time.Time{}
	}
}

// logRetryBudget reports a retry that was not made.
func logRetryBudget(log *events.Logger, name string, err error) {
	if errors.Is(err, team.ErrRetryBudget) {
		log.LogLimited(events.RetryBudgetSpent).Str("team", name).Send()
	}
}

// logConnected and logDisconnected report the connections to peers.
func logConnected(log *events.Logger, c *peer.Conn) {
	log.Log(events.PeerConnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).Send()
}

func logDisconnected(log *events.Logger, c *peer.Conn, err error) {
	if errors.Is(err, peer.ErrMalformedFrame) {
		log.Log(events.FrameRejected).Str("peer", c.Hello().ID).Err(err).Send()
	}
	log.Log(events.PeerDisconnected).Str("peer", c.Hello().ID).Str("address", c.Hello().Address).
		Bool("silent", c.TimedOut()).Err(err).Send()
}

// logTransitions reports the changes of upstreams' states.
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
