package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// stallCheck is how long a stream may be silent before the gateway looks
	// for the cause, at each further stallCheck again.
	stallCheck = 250 * time.Millisecond
	// stallLimit is how long a stream may be silent before it is moved
	// whatever the cause: clients leave after two seconds.
	stallLimit = 1300 * time.Millisecond
	// writeTimeout bounds the sending of an event to a slow client.
	writeTimeout = 10 * time.Second
)

var (
	// errMoved ends an exchange of a stream that goes on elsewhere, for which
	// a repeat has been taken from the retry budget.
	errMoved = errors.New("gateway: stream moves to other instances")
	// errEventOrder means that an instance left out an event.
	errEventOrder = errors.New("gateway: event missing")
	// errClientGone means that the client no longer reads.
	errClientGone = errors.New("gateway: client gone")
)

// stream is a call whose response is a series of events.
type stream struct {
	*call
	control *http.ResponseController
	// lastEvent is the id of the last event sent to the client.
	lastEvent string
	// lastSent is when that was.
	lastSent time.Time

	// mu guards what follows: a stream is also moved by others than the
	// goroutine that serves it.
	mu    sync.Mutex
	grant chain.Grant
	// moving is true while an order to change the path is on its way, returned
	// once the grant was.
	moving, returned bool
	// former is the grant before the detour that is on its way.
	former chain.Grant
	// turn counts the grants, so that a detour that ends late does not touch
	// the next one.
	turn int
	// nextDetour is the earliest time of the next move off a leaving instance.
	nextDetour time.Time
}

// serveStream forwards a stream, over several instances if some fail.
func (c *call) serveStream() {
	s := &stream{call: c, control: http.NewResponseController(c.w), lastEvent: c.in.LastEvent}
	for {
		grant, err := s.admit()
		if err != nil {
			s.unadmitted(err)
			return
		}
		if !s.tryGranted(grant) {
			return
		}
	}
}

// tryGranted is try with the return of what was granted, also if the stream is
// cut, which panics. A detour changes the grant meanwhile.
func (s *stream) tryGranted(grant chain.Grant) bool {
	s.lastPath = grant.Path
	s.setGrant(grant)
	s.g.streams.add(s)
	defer func() {
		s.g.streams.remove(s)
		last := s.endGrant()
		s.lastPath = last.Path
		s.g.admission.Release(last)
	}()
	return s.try(grant.Path)
}

func (s *stream) setGrant(g chain.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant, s.returned, s.moving = g, false, false
	s.turn++
}

// endGrant returns the grant to release; no detour changes it afterwards.
func (s *stream) endGrant() chain.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returned = true
	return s.grant
}

func (s *stream) currentGrant() chain.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grant
}

// unadmitted ends a stream that no instance can serve or continue.
func (s *stream) unadmitted(err error) {
	if s.answered == 0 {
		s.refuseUnadmitted(err)
		return
	}
	s.cut("no instance continues the stream: " + err.Error())
}

// cut ends a stream that has begun so that the client sees that it is not
// complete.
func (s *stream) cut(reason string) {
	s.line(events.StreamCut).Str("reason", reason).Int("events", s.events).Send()
	s.g.metrics.cut()
	panic(http.ErrAbortHandler)
}

// try sends the stream to one path. It returns true if another is to be tried.
func (s *stream) try(path chain.Path) bool {
	first := path.First()
	s.sends++
	options := backend.Options{
		Deadline: s.deadline, MaxIdle: idleForOnce, Mine: s.mine, StallAfter: stallCheck, OnStall: s.stalled,
	}
	x, err := s.g.pool.Do(s.context(), first.Address, s.request(path, s.lastEvent), options)
	if err != nil {
		return s.afterEnd(first, err)
	}
	reply := s.g.protocol.Reply(x.Response)
	if reply.NotExecuted {
		x.Abort()
		return s.afterNotRun(first, reply, x.Response.StatusCode)
	}
	if x.Response.StatusCode != http.StatusOK {
		return s.passFailure(x, first)
	}
	if !genuine(x.Response, reply) {
		x.Abort()
		return s.afterEnd(first, errors.Join(backend.ErrBroken, errNotGenuine))
	}
	s.begin(x.Response)
	err = s.relay(x.Response.Body)
	if err == nil {
		x.Finish()
		s.g.ledger.RecordPathSuccess(s.currentGrant().Path)
		return false
	}
	x.Abort()
	return s.afterEnd(first, err)
}

// passFailure handles a response that is not a stream.
func (s *stream) passFailure(x *backend.Exchange, first chain.Stage) bool {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxResponseBytes))
	if err != nil {
		x.Abort()
		return s.afterEnd(first, errors.Join(backend.ErrBroken, err))
	}
	x.Finish()
	s.mayHaveRun(first.Instance)
	s.avoid = append(s.avoid, first.Instance)
	if x.Response.StatusCode >= http.StatusInternalServerError && s.mayRepeat() {
		return true
	}
	if s.answered != 0 {
		s.cut("the instance fails: " + x.Response.Status)
	}
	s.pass(x.Response, body)
	return false
}

// begin sends the headers of the first instance that answers.
func (s *stream) begin(resp *http.Response) {
	if s.answered != 0 {
		return
	}
	closing := s.w.Header().Get("Connection")
	copyHeaders(s.w.Header(), resp.Header)
	if closing != "" {
		s.w.Header().Set("Connection", closing)
	}
	s.answered = resp.StatusCode
	s.w.WriteHeader(resp.StatusCode)
}

// relay forwards whole events until the stream is complete.
func (s *stream) relay(body io.Reader) error {
	r := bufio.NewReaderSize(body, eventBufferBytes)
	for {
		event, id, err := readEvent(r)
		if err == io.EOF && len(event) == 0 {
			return nil
		}
		if err != nil {
			return errors.Join(backend.ErrBroken, err)
		}
		if err := s.forward(event, id); err != nil {
			return err
		}
	}
}

// forward sends one event to the client unless the client has it.
func (s *stream) forward(event []byte, id string) error {
	if id != "" {
		switch compareIDs(id, s.lastEvent) {
		case eventKnown:
			return nil
		case eventGap:
			return errors.Join(backend.ErrBroken, errEventOrder)
		}
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(event); err != nil {
		return errClientGone
	}
	if err := s.control.Flush(); err != nil {
		return errClientGone
	}
	s.noteEvent(time.Now())
	if id != "" {
		s.lastEvent = id
	}
	return nil
}

// noteEvent keeps the times that explain a late stream.
func (s *stream) noteEvent(now time.Time) {
	if s.events == 0 {
		s.firstEvent = now.Sub(s.started)
		s.g.metrics.firstEvent(s.firstEvent)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastSent))
	}
	s.events++
	s.lastSent = now
}

// stalled is called while a stream is silent. An error moves the stream.
func (s *stream) stalled(waited time.Duration) error {
	path := s.currentGrant().Path
	first := path.First().Instance
	if waited >= stallLimit && s.attemptsLeftAfter(first) && s.elsewhere(first) && s.mayResend() {
		return errMoved
	}
	fault, err := s.g.faults.Locate(s.context(), path, s.in.ID, time.Now())
	if err != nil {
		return nil
	}
	if fault == "" {
		return s.afterSlowness(waited)
	}
	s.avoid = append(s.avoid, fault)
	s.line(events.StreamStalled).Str("fault", fault).Dur("silent_ms", waited).Int("events", s.events).Send()
	if s.detour(fault) || !s.attemptsLeftAfter(first) || !s.mayResend() {
		return nil
	}
	return errMoved
}

// attemptsLeftAfter reports whether the stream may still move after the
// present instance has counted as an attempt.
func (s *stream) attemptsLeftAfter(instance string) bool {
	s.mayHaveRun(instance)
	return s.attemptsLeft()
}

// slowFactor is the slowness of an instance from which streams are moved away
// from it.
const slowFactor = 3

// afterSlowness moves a stream that waits for a slow instance if others can
// take it.
func (s *stream) afterSlowness(waited time.Duration) error {
	now := time.Now()
	grant := s.currentGrant()
	slow, factor := s.g.faults.SlowPart(s.context(), grant.Path, now)
	if factor < slowFactor || !s.attemptsLeftAfter(grant.Path.First().Instance) ||
		!s.g.ledger.HasFasterPath(s.g.directory.View(), s.service, s.demand(), grant, now) || !s.mayResend() {
		return nil
	}
	s.line(events.StreamStalled).Str("slow", slow).Float64("slowness", factor).Dur("silent_ms", waited).
		Int("events", s.events).Send()
	return errMoved
}

// elsewhere reports whether instances other than the first of the path could
// take the stream, and keeps it away from that one. Sent to the same path again
// it would only lose its place.
func (s *stream) elsewhere(first string) bool {
	demand := s.demand()
	demand.Avoid = append(append([]string{}, s.avoid...), first)
	if !s.g.ledger.Fits(s.g.directory.View(), s.service, demand, time.Now()) {
		return false
	}
	s.avoid = append(s.avoid, first)
	return true
}

// afterEnd decides what follows a stream that ended before it was complete.
func (s *stream) afterEnd(first chain.Stage, err error) bool {
	if errors.Is(err, errClientGone) || s.ended() {
		return false
	}
	if errors.Is(err, errMoved) {
		s.mayHaveRun(first.Instance)
		s.line(events.RequestRepeated).Str("instance", first.Instance).Err(err).Int("events", s.events).Send()
		return true
	}
	unsent := errors.Is(err, backend.ErrNotSent)
	switch {
	case unsent:
		s.g.ledger.RecordUnreachable(first.Instance, time.Now())
	default:
		s.g.ledger.RecordFailure(first.Instance, time.Now())
	}
	s.avoid = append(s.avoid, first.Instance)
	if !unsent {
		s.mayHaveRun(first.Instance)
	}
	if unsent && s.mayResend() || !unsent && s.mayRepeat() {
		s.line(events.RequestRepeated).Str("instance", first.Instance).Err(err).Int("events", s.events).Send()
		return true
	}
	switch {
	case s.answered != 0:
		s.cut(err.Error())
	case s.expired():
		s.fail(http.StatusGatewayTimeout, "no response in time")
	case len(s.ran) == 0:
		s.refuse("no instance can be reached", s.returnAfter())
	default:
		s.fail(http.StatusBadGateway, "response broken: "+err.Error())
	}
	return false
}

// afterNotRun handles a refusal.
func (s *stream) afterNotRun(first chain.Stage, reply Reply, status int) bool {
	if s.answered == 0 {
		return s.afterRefusal(first, reply, status)
	}
	s.noteRefusal(first, reply, status)
	if s.mayResend() {
		return true
	}
	s.cut("instances refuse to continue the stream")
	return false
}
