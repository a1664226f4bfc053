package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// stallCheckInterval is the duration of silence after which the gateway
	// looks for the cause. It looks again after each further stallCheckInterval
	// of silence.
	stallCheckInterval = 250 * time.Millisecond
	// stallLimit is the duration of silence after which a successor is started without
	// a known cause, provided that the route allows another attempt, a path
	// without the first instance has free capacity and takeResend allows the
	// repeat. Clients disconnect after two seconds of silence.
	stallLimit = 1300 * time.Millisecond
	// writeTimeout bounds the sending of an event to a slow client.
	writeTimeout = 10 * time.Second
)

var (
	// errStageLost ends an exchange whose stream waits for an instance that has ended and
	// can't be replaced by a reroute. The repeat has already been charged to the retry
	// budget.
	errStageLost = errors.New("gateway: a later stage has ended")
	// errEventMissing means that an instance skipped an event.
	errEventMissing = errors.New("gateway: event missing")
	// errClientGone means that the client no longer reads.
	errClientGone = errors.New("gateway: client gone")
)

// stream is a call whose response is a stream of server-sent events.
type stream struct {
	*call
	control *http.ResponseController
	// lastEvent is the id of the last event sent to the client, or of the event
	// after which the client resumes.
	lastEvent string
	// lastSent is when an event was last sent to the client.
	lastSent time.Time
	// continuation is true in an exchange that continues a response which has begun,
	// resumedAfter is lastEvent at its start, and skippedEvents is true if it sent an event
	// that the client has.
	continuation, skippedEvents bool
	resumedAfter                string

	// mu guards grant, reroutePending, released, previousGrant, grantSeq and
	// nextReroute, because other goroutines than the one that serves the stream
	// also reroute it.
	mu    sync.Mutex
	grant chain.Grant
	// reroutePending is true while a call to change the path is in progress.
	// released is true once closeGrant has returned the grant to be released.
	reroutePending, released bool
	// previousGrant is the grant before the reroute in progress.
	previousGrant chain.Grant
	// grantSeq counts the grants, so that a reroute that ends late does not
	// change the next grant.
	grantSeq int
	// nextReroute is the earliest time of the next attempt to move the stream
	// off a leaving instance.
	nextReroute time.Time
}

// serveStream forwards a stream, and continues it on other instances if some
// fail.
func (c *call) serveStream() {
	s := &stream{call: c, control: http.NewResponseController(c.w), lastEvent: c.inbound.LastEvent}
	defer s.dropSuccessor()
	for {
		grant, err := s.nextGrant(s.admit)
		if err != nil {
			s.endUnadmitted(err)
			return
		}
		if !s.tryAndRelease(grant) {
			return
		}
	}
}

// tryAndRelease calls tryPath and then releases the stream's current grant. After
// a reroute this is not the grant that was passed in. The grant is also released
// if the stream is cut, which panics.
func (s *stream) tryAndRelease(grant chain.Grant) bool {
	s.lastPath = grant.Path
	s.setGrant(grant)
	s.g.streams.add(s)
	defer func() {
		s.g.streams.remove(s)
		last := s.closeGrant()
		s.lastPath = last.Path
		s.g.admission.Release(last)
	}()
	return s.tryPath(grant.Path)
}

// setGrant starts the use of a new grant.
func (s *stream) setGrant(g chain.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant, s.released, s.reroutePending = g, false, false
	s.grantSeq++
}

// closeGrant returns the current grant, which the caller then releases. After it,
// reroutes no longer change the grant.
func (s *stream) closeGrant() chain.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	return s.grant
}

func (s *stream) currentGrant() chain.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grant
}

// endUnadmitted ends a stream that no instance can serve or continue.
func (s *stream) endUnadmitted(err error) {
	if s.sentStatus == 0 {
		s.refuseUnadmitted(err)
		return
	}
	s.cut("no instance continues the stream: " + err.Error())
}

// tryPath sends the request to the first instance of a path and relays the
// stream. It returns true if another path should be tried.
func (s *stream) tryPath(path chain.Path) bool {
	first := path.First()
	s.beginExchange()
	x, events, err := s.open(path)
	if err != nil {
		return s.handleIncomplete(first, err)
	}
	reply := s.g.protocol.Reply(x.Response)
	if reply.NotExecuted {
		x.Abort()
		return s.handleNotExecuted(reply, x.Response.StatusCode)
	}
	if x.Response.StatusCode != http.StatusOK {
		return s.handleNonStream(x, first)
	}
	if !authentic(x.Response, reply) {
		x.Abort()
		return s.handleIncomplete(first, errors.Join(backend.ErrExchangeFailed, errNotAuthentic))
	}
	if err := s.checkResponse(x.Response); err != nil {
		x.Abort()
		return s.handleIncomplete(first, err)
	}
	err = s.relay(x, events)
	if err == nil {
		x.Finish()
		s.g.tracker.RecordPathSuccess(s.currentGrant().Path)
		if s.answerEvents > 0 {
			s.recordAnswered(s.answerBegunAt)
		}
		return false
	}
	x.Abort()
	return s.handleIncomplete(first, err)
}

// open returns the successor's exchange if there is a successor, and otherwise a new one.
// The events of the response are read from the eventReader.
func (s *stream) open(path chain.Path) (*backend.Exchange, *eventReader, error) {
	if n := s.takeSuccessor(); n != nil {
		return n.exchange, n.events, n.err
	}
	x, err := s.exchange(path, s.lastEvent, s.options())
	if err != nil {
		return nil, nil, err
	}
	return x, newEventReader(x.Response.Body), nil
}

func (s *stream) options() backend.Options {
	return backend.Options{
		Deadline: s.deadline, MaxIdle: maxIdleOnce, Matches: s.belongsToCall, StallInterval: stallCheckInterval,
		OnStall: s.onStall,
	}
}

// handleNonStream handles a response that is not a stream, that is, one with a
// status other than 200. It returns true if another path should be tried.
func (s *stream) handleNonStream(x *backend.Exchange, first chain.Stage) bool {
	if !authentic(x.Response, s.g.protocol.Reply(x.Response)) {
		x.Abort()
		return s.handleIncomplete(first, errors.Join(backend.ErrExchangeFailed, errNotAuthentic))
	}
	body, complete, err := readStart(x.Response.Body)
	if err != nil {
		x.Abort()
		return s.handleIncomplete(first, errors.Join(backend.ErrExchangeFailed, err))
	}
	if !complete {
		if s.sentStatus != 0 {
			x.Abort()
			s.cut("the instance fails: " + x.Response.Status)
		}
		s.forwardLong(x, body)
		return false
	}
	x.Finish()
	s.recordPossibleRun(first.Instance)
	s.addAvoided(first.Instance)
	if s.successor != nil {
		return true
	}
	if x.Response.StatusCode >= http.StatusInternalServerError && s.takeRepeat() {
		return true
	}
	if s.sentStatus != 0 {
		s.cut("the instance fails: " + x.Response.Status)
	}
	s.sendResponse(x.Response, body)
	return false
}

// relay forwards whole events until the stream is complete.
func (s *stream) relay(x *backend.Exchange, events *eventReader) error {
	for {
		event, id, err := events.read()
		if err == io.EOF && len(event) == 0 {
			if err := s.checkEnd(x); err != nil {
				return err
			}
			s.sendHeaders(x.Response)
			return nil
		}
		if err != nil {
			return errors.Join(backend.ErrExchangeFailed, err)
		}
		forwarded, err := s.forwardEvent(x, event, id)
		if err != nil {
			return err
		}
		if forwarded && isProgress(event) {
			x.Progress()
			s.dropSuccessor()
		}
	}
}

// forwardEvent sends one event to the client unless the client already has it, and
// reports whether it did. The headers of the response go with the first event: until then
// the request can still be refused, or answered by another instance.
func (s *stream) forwardEvent(x *backend.Exchange, event []byte, id string) (bool, error) {
	if err := s.checkEvent(event, id); err != nil {
		return false, err
	}
	if id != "" {
		switch compareEventIDs(id, s.lastEvent) {
		case eventAlreadySent:
			s.skippedEvents = true
			return false, nil
		case eventAfterGap:
			return false, errors.Join(backend.ErrExchangeFailed, errEventMissing)
		}
	}
	s.sendHeaders(x.Response)
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(event); err != nil {
		return false, errClientGone
	}
	if err := s.control.Flush(); err != nil {
		return false, errClientGone
	}
	if isProgress(event) {
		s.recordEvent(time.Now())
	}
	if id != "" {
		s.lastEvent = id
	}
	return true, nil
}

// recordEvent records the times of events for the metrics and the log.
func (s *stream) recordEvent(now time.Time) {
	if s.eventCount == 0 {
		s.recordAttempt(now)
		s.firstEvent = now.Sub(s.started)
		s.g.metrics.recordFirstEvent(s.firstEvent)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastSent))
	}
	s.eventCount++
	s.lastSent = now
	s.countAnswerEvent(now)
}

// onStall is the backend.StallFunc of a stream. A stream that stalls goes on through a
// successor, while its own exchange is kept until the successor has sent the next event: a
// silent instance may be sound.
func (s *stream) onStall(waited time.Duration) (again time.Duration, err error) {
	if s.successor != nil {
		return s.checkSuccessor(successorLimit, s.startStreamSuccessor)
	}
	if !s.shouldMove(waited) {
		again, hedged := s.hedgeIfLate(s.startStreamHedge)
		if hedged {
			return hedgePollInterval, nil
		}
		return min(again, stallCheckInterval), nil
	}
	first := s.currentGrant().Path.First().Instance
	s.recordPossibleRun(first)
	if !s.attemptsLeft() {
		return 0, nil
	}
	if s.startStreamSuccessor() {
		return successorPollInterval, nil
	}
	if s.laterStageEnded() && s.takeResend() {
		return 0, errStageLost
	}
	return 0, nil
}

// laterStageEnded reports whether an instance of the path that the request avoids, apart
// from the first, is known to have ended. The first one then can't go on, and may have to
// finish the stream before it can load the layers that are missing.
func (s *stream) laterStageEnded() bool {
	path := s.currentGrant().Path
	return slices.ContainsFunc(path[1:], func(stage chain.Stage) bool {
		return slices.Contains(s.avoid, stage.Instance) && s.g.ends.KnownEnded(s.context(), stage.Address, time.Now())
	})
}

// startStreamSuccessor starts a successor and reports whether it did. Its path does not begin
// at the first instance of the silent exchange, which identifies streams by the id of their
// request.
func (s *stream) startStreamSuccessor() bool {
	demand := s.demand()
	demand.Avoid = append(slices.Clone(s.avoid), s.currentGrant().Path.First().Instance)
	urgency := s.urgency
	if s.eventCount > 0 {
		urgency = continueUrgency
	}
	req := admitRequest{service: s.service, demand: demand, urgency: urgency}
	return s.startSuccessor(req, s.lastEvent, s.options(), s.beginStream(s.lastEvent))
}

// shouldMove reports whether a stream that has been silent for waited is to be continued on
// another path: an instance of its path has failed and can't be replaced by a reroute, or is
// slow while a faster path exists, or the silence has lasted for stallLimit.
func (s *stream) shouldMove(waited time.Duration) bool {
	grant := s.currentGrant()
	stalled := func() *zerolog.Event {
		return s.logEvent(events.StreamStalled).Dur("silent_ms", waited).Int("events", s.eventCount)
	}
	fault, err := s.g.faults.Locate(s.context(), grant.Path, s.inbound.ID, time.Now())
	if err == nil && fault != "" {
		s.addAvoided(fault)
		stalled().Str("fault", fault).Send()
		return !s.reroute(fault)
	}
	if err == nil {
		if slow, factor := s.slowStage(grant); slow != "" {
			stalled().Str("slow", slow).Float64("slowness", factor).Send()
			return true
		}
	}
	if waited < stallLimit {
		return false
	}
	stalled().Str("silent", grant.Path.First().Instance).Send()
	return true
}

// slowFactor is the minimum slowness factor of an instance at which silent streams
// are moved to a faster path.
const slowFactor = 3

// slowStage returns the instance of the path that makes a silent stream slow and its
// slowness factor, or "" if there is none or no faster path could take the stream.
func (s *stream) slowStage(grant chain.Grant) (string, float64) {
	now := time.Now()
	slow, factor := s.g.faults.SlowestStage(s.context(), grant.Path, now)
	if factor < slowFactor || !s.g.tracker.HasFasterPath(s.g.directory.View(), s.service, s.demand(), grant, now) {
		return "", 0
	}
	return slow, factor
}

// handleIncomplete handles an exchange that ended before the stream was
// complete. It returns true if another path should be tried; otherwise the
// stream has ended.
func (s *stream) handleIncomplete(first chain.Stage, err error) bool {
	if errors.Is(err, errClientGone) || s.clientGone() {
		return false
	}
	if errors.Is(err, errMoved) || errors.Is(err, errStageLost) {
		s.recordPossibleRun(first.Instance)
		s.recordOvertaken(first)
		return true
	}
	if s.interrupted() {
		s.endInterrupted(first, err)
		return false
	}
	s.observeInterruption(first, err)
	if s.endQuarantined() {
		return false
	}
	unsent := errors.Is(err, backend.ErrNotSent)
	switch {
	case unsent:
		s.g.tracker.RecordUnreachable(first.Instance, time.Now())
	default:
		s.g.tracker.RecordFailure(first.Instance, time.Now())
	}
	s.addAvoided(first.Instance)
	if !unsent {
		s.recordPossibleRun(first.Instance)
	}
	if s.successor != nil {
		return true
	}
	if unsent && s.takeResend() || !unsent && s.takeRepeat() {
		s.logEvent(events.RequestRetried).Str("instance", first.Instance).Err(err).Int("events", s.eventCount).Send()
		return true
	}
	switch {
	case s.sentStatus != 0:
		s.cut(err.Error())
	case s.deadlinePassed():
		s.fail(http.StatusGatewayTimeout, "no response in time")
	case len(s.possiblyRanOn) == 0:
		s.refuse("no instance can be reached", s.retryDelay())
	default:
		s.fail(http.StatusBadGateway, "response broken: "+err.Error())
	}
	return false
}

// handleNotExecuted handles the refusal of an instance. It returns true if
// another path should be tried.
func (s *stream) handleNotExecuted(reply Reply, status int) bool {
	if s.successor != nil {
		s.recordRefusal(s.lastPath, reply, status)
		return true
	}
	if s.sentStatus == 0 {
		return s.handleRefusal(reply, status)
	}
	s.recordRefusal(s.lastPath, reply, status)
	if s.takeResend() {
		return true
	}
	s.cut("instances refuse to continue the stream")
	return false
}
