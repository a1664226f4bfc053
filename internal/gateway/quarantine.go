package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/process"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/revision"
)

// answeredEvents is the number of events after which an instance has begun to answer
// without a crash.
const answeredEvents = 3

// errQuarantined means that a request was not sent because of a part of its prompt.
var errQuarantined = errors.New("gateway: a part of the prompt crashes instances")

// exchange sends the request to the first instance of a path and waits for the head of the
// response. Its errors are errQuarantined and those of backend.Pool.Do.
func (c *call) exchange(p chain.Path, lastEvent string, o backend.Options) (*backend.Exchange, error) {
	first := p.First()
	asked, err := c.beginSend(first, &o)
	if err != nil {
		return nil, err
	}
	c.sentAt, c.answerEvents = time.Now(), 0
	c.beginAttempt()
	x, err := c.g.pool.Do(c.context(), first.Address, c.request(p, lastEvent), o)
	c.respondedAt = time.Now()
	if err == nil {
		c.recordReply(asked, x)
	}
	return x, err
}

// beginSend is called before each send of the request: first attempts, repeats, successors
// and continued streams, also those that waited since before a part of their prompts was
// quarantined. It returns errQuarantined if the request must not be sent, and otherwise what
// identifies the instance for recordReply.
func (c *call) beginSend(first chain.Stage, o *backend.Options) (fleet.Departure, error) {
	if _, refused := c.g.quarantine.Check(c.parts, time.Now()); refused {
		return fleet.Departure{}, errQuarantined
	}
	// The repeat of a request carries the same id. On a connection that was used before, an
	// instance may write its answer to the first attempt once more.
	o.NewConnection = slices.Contains(c.sentTo, first.Instance)
	c.sentTo = append(c.sentTo, first.Instance)
	c.sends++
	return c.g.notices.asked(first.Instance), nil
}

// recordReply takes over what an instance says of itself in the head of a response.
func (c *call) recordReply(asked fleet.Departure, x *backend.Exchange) {
	reply := c.g.protocol.Reply(x.Response)
	c.recordLimit(asked.ID, reply.Limit)
	c.g.notices.record(asked, reply.Notice)
}

// countAnswerEvent counts an event of the latest exchange.
func (c *call) countAnswerEvent(now time.Time) {
	if c.answerEvents == 0 {
		c.answerBegunAt = now
	}
	c.answerEvents++
	if c.answerEvents == answeredEvents {
		c.recordAnswered(c.answerBegunAt)
	}
}

// recordAnswered records that an instance began to answer the request and did not end.
func (c *call) recordAnswered(begunAt time.Time) { c.g.quarantine.RecordAnswered(c.parts, begunAt) }

// refuseQuarantined answers a request with a part that crashes instances, and reports
// whether it did. The status tells the client not to send the request again.
func (c *call) refuseQuarantined() bool {
	part, refused := c.g.quarantine.Check(c.parts, time.Now())
	if !refused {
		return false
	}
	reason := "part " + string(part) + " of the prompt crashes instances"
	if len(c.possiblyRanOn) == 0 {
		reason += "; the request has not run"
	}
	c.g.metrics.refusedParts.Inc(1)
	c.fail(http.StatusBadRequest, reason)
	return true
}

// endQuarantined ends a stream with a part that crashes instances, and reports whether it
// did.
func (s *stream) endQuarantined() bool {
	if s.sentStatus == 0 {
		return s.refuseQuarantined()
	}
	part, refused := s.g.quarantine.Check(s.parts, time.Now())
	if refused {
		s.cut("part " + string(part) + " of the prompt crashes instances")
	}
	return refused
}

// QuarantineStore keeps the quarantined parts, so that they are known when all gateways
// restart.
type QuarantineStore interface {
	feed.Source[QuarantineRecord]
	// Save stores a quarantined part. It is not an error if the part is stored already.
	Save(ctx context.Context, part quarantine.Part) error
	// Remove removes a part. It is not an error if the part is not stored.
	Remove(ctx context.Context, part quarantine.Part) error
}

// QuarantineRecord is the record of a quarantined part in the platform's store.
type QuarantineRecord struct {
	Part quarantine.Part
	// Revision is the revision of the record's last change.
	Revision revision.Revision
	// Removed is true if the record was removed from the store.
	Removed bool
}

// quarantineHandler passes the records of quarantined parts to the register.
type quarantineHandler struct {
	g *Gateway
	// revisions holds the highest known revision of each record, so that an older removal
	// does not release a part that was quarantined again.
	revisions map[quarantine.Part]revision.Revision
}

// Replace implements feed.Handler. A part that is missing in a list may not be stored
// yet: only its removal releases it.
func (h *quarantineHandler) Replace(b feed.Batch[QuarantineRecord], _ bool) {
	h.Update(b)
	h.g.markSynced(&h.g.quarantinesSynced)
}

// Update implements feed.Handler.
func (h *quarantineHandler) Update(b feed.Batch[QuarantineRecord]) {
	h.g.reportChange(quarantineFeed, b.LatestChange)
	for _, r := range b.Records {
		if r.Revision < h.revisions[r.Part] {
			continue
		}
		h.revisions[r.Part] = r.Revision
		if r.Removed {
			h.g.quarantine.RemoveStored(r.Part, time.Now())
			continue
		}
		h.g.quarantine.AddStored(r.Part, time.Now())
	}
}

// SourceFailed implements feed.Handler.
func (h *quarantineHandler) SourceFailed(err error) {
	h.g.log.Log(events.GatewayStoreUnavailable).Str("feed", "quarantines").Err(err).Send()
}

// SourceRecovered implements feed.Handler.
func (h *quarantineHandler) SourceRecovered() {
	h.g.log.Log(events.GatewayStoreRecovered).Str("feed", "quarantines").Send()
}

const (
	// quarantineInterval is the interval of keepQuarantines.
	quarantineInterval = 250 * time.Millisecond
	// quarantineSyncWait is how long a gateway that has a configuration and instances
	// waits for the quarantined parts.
	quarantineSyncWait = 2 * time.Second
	// quarantineStoreTimeout bounds one call to the store.
	quarantineStoreTimeout = time.Second
	// othersSaveAfter is the time after which a gateway stores a decision that the first
	// gateway by name has not stored, othersSaveSpread the longest random addition.
	othersSaveAfter  = 4 * time.Second
	othersSaveSpread = 8 * time.Second
)

// keepQuarantines logs the decisions on parts of prompts and stores them, until ctx ends.
func (g *Gateway) keepQuarantines(ctx context.Context) {
	saveAfter := othersSaveAfter + rand.N(othersSaveSpread)
	var othersSynced time.Time
	process.RunEvery(ctx, quarantineInterval, func(now time.Time) {
		if othersSynced = g.waitForQuarantines(othersSynced, now); g.settings.PeerPort == 0 {
			g.quarantine.Report(now) // decides on suspects; no gateway to report to
		}
		g.logQuarantineChanges()
		g.metrics.quarantined.Update(float64(len(g.quarantine.List())))
		minAge := saveAfter
		if g.ranksFirst(now) {
			minAge = 0
		}
		g.storeQuarantines(ctx, minAge, now)
	})
}

// waitForQuarantines gives up waiting for the quarantined parts quarantineSyncWait after
// all else is known. othersSynced is when that was, zero if it is not.
func (g *Gateway) waitForQuarantines(othersSynced, now time.Time) time.Time {
	g.mu.Lock()
	known := g.configSynced && g.instancesSynced
	g.mu.Unlock()
	switch {
	case !known:
		return time.Time{}
	case othersSynced.IsZero():
		return now
	case now.Sub(othersSynced) >= quarantineSyncWait:
		g.markSynced(&g.quarantinesSynced)
	}
	return othersSynced
}

func (g *Gateway) logQuarantineChanges() {
	for _, c := range g.quarantine.Changes() {
		event := events.PartReleased
		if c.Quarantined {
			event = events.PartQuarantined
		}
		g.log.Log(event).Str("part", string(c.Part)).Str("source", string(c.Source)).Int("instances", c.Instances).Send()
	}
}

// storeQuarantines writes the decisions of at least minAge that the store lacks, and
// removes those that this gateway ended or that a restore brought back. What fails is tried again.
func (g *Gateway) storeQuarantines(ctx context.Context, minAge time.Duration, now time.Time) {
	write := func(part quarantine.Part, stored bool, call func(context.Context, quarantine.Part) error) {
		ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
		defer cancel()
		if err := call(ctx, part); err != nil {
			g.log.LogRateLimited(events.GatewayStoreUnavailable).Str("feed", "quarantines").Str("part", string(part)).
				Err(err).Send()
			return
		}
		g.quarantine.MarkStored(part, stored)
	}
	for _, part := range g.quarantine.Unstored(minAge, now) {
		write(part, true, g.platform.Quarantines.Save)
	}
	for _, part := range g.quarantine.Outdated(minAge, now) {
		write(part, false, g.platform.Quarantines.Remove)
	}
}
