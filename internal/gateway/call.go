package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/clientconn"
	"github.com/nutmegroute/nutmegroute/internal/clientlimit"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/overload"
	"github.com/nutmegroute/nutmegroute/internal/quarantine"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// call is one request of a client while the gateway handles it.
type call struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request
	// ctx is the context of r until interrupt ends it.
	ctx           context.Context
	interrupt     context.CancelCauseFunc
	inbound       Inbound
	configVersion int64
	route         *routing.Route
	service       *routing.Service
	team          string
	urgency       int
	// offered is true once the call was counted as demand for capacity; granted is what was counted
	// as granted.
	offered bool
	granted overload.Request
	body    []byte
	// account is what the client's connection has taken, memory what the call has taken there.
	account *clientlimit.Connection
	memory  int64
	// bodyRead is true once body is complete.
	bodyRead bool
	started  time.Time
	// deadline is when the client must have the complete response.
	deadline time.Time
	// avoid lists the instances that the request must not use, because they
	// failed, refused the request or stalled it.
	avoid []string
	// possiblyRanOn lists the instances that may have run the request. sends
	// counts how often it was sent to an instance.
	possiblyRanOn []string
	sends         int
	// sentTo lists the instances that the request was sent to.
	sentTo []string
	// parts are the shared parts of the prompt.
	parts []quarantine.Part
	// sentAt and respondedAt are when the latest exchange sent the request and received
	// the head of the response.
	sentAt, respondedAt time.Time
	// answerEvents is the number of events of the latest exchange, answerBegunAt when the
	// first of them arrived.
	answerEvents  int
	answerBegunAt time.Time
	// eventCount is the number of events of a stream sent to the client,
	// firstEvent the time until the first one, longestGap the longest pause
	// between two.
	eventCount             int
	firstEvent, longestGap time.Duration
	// unnumbered is true if the client has got an event without an id. Such a stream can't
	// be continued: what the client has is not known to another instance.
	unnumbered bool
	// sentStatus is the status code sent to the client, 0 before that. answered is true from
	// then on; other goroutines may read it.
	sentStatus int
	answered   atomic.Bool
	// releaseGrant releases the capacity of the current attempt, nil if there is none.
	releaseGrant func()
	// successor is a second exchange beside a silent one, or nil.
	successor *successor
	// attempt describes the exchange in progress for hedging.
	attempt attempt
	// lastPath (the latest path) and waited (the total waiting time) are logged
	// with the outcome.
	lastPath chain.Path
	waited   time.Duration
}

const (
	// maxSends bounds how often one request is sent in total, to any instance and
	// including sends that are refused.
	maxSends = 4
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// noMemoryDelay is after what time a client should retry whose request found no memory.
	noMemoryDelay = 250 * time.Millisecond
	// defaultMaxBody is the limit of a request body while no configuration sets
	// one.
	defaultMaxBody = 4 << 20
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, inbound: g.protocol.Inbound(r.Header), started: time.Now()}
	c.ctx, c.interrupt = context.WithCancelCause(r.Context())
	defer c.interrupt(nil)
	defer c.recordReleased()
	for _, part := range c.inbound.SharedParts {
		c.parts = append(c.parts, quarantine.Part(part))
	}
	room := c.openAccount()
	defer c.closeAccount()
	g.inProgress.add(c)
	defer g.inProgress.remove(c)
	g.setConnectionHeaders(w.Header())
	defer c.recordOutcome()
	if room {
		c.serve()
	} else {
		c.refuse(clientconn.ErrNoMemory.Error(), noMemoryDelay)
	}
	if c.sentStatus == 0 {
		// The client has left. Without an abort, the server would send an empty success.
		panic(http.ErrAbortHandler)
	}
}

// serve answers the request, unless the client disconnects before.
func (c *call) serve() {
	g := c.g
	if !c.waitForSync() || !c.resolve() || !c.readBody() {
		return
	}
	if c.refuseQuarantined() {
		return
	}
	if !c.accept(g.currentStop.get()) {
		c.refuseStopping()
		return
	}
	g.budget.RecordRequest(c.service.Name, c.started)
	if g.hedges != nil {
		g.hedges.RecordRequest(c.service.Name, c.started)
	}
	if c.route.Kind == routing.Streaming {
		c.serveStream()
		return
	}
	c.serveBuffered()
}

const (
	// syncWaitShare is the fraction of the client's timeout that a request may
	// wait for the first configuration, limited to maxSyncWait. Clients that
	// retry after a failure of all gateways have no further attempt left.
	syncWaitShare = 0.25
	maxSyncWait   = 5 * time.Second
)

// waitForSync waits while the gateway has just started and has no configuration
// or no instances yet. It reports whether the request can proceed. It reads the
// body first, which shows the client that its request has arrived.
func (c *call) waitForSync() bool {
	select {
	case <-c.g.synced:
		return true
	default:
	}
	if !c.readBody() {
		return false
	}
	wait := min(time.Duration(syncWaitShare*float64(c.inbound.Timeout)), maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.g.synced:
		c.waited += time.Since(c.started)
		return true
	case <-timer.C:
		c.refuse("no configuration", time.Second)
	case <-c.ctx.Done():
		if c.interrupted() {
			c.refuseStopping()
		}
	}
	return false
}

// resolve finds the route, service and team of the request. If it fails, it
// answers the request and returns false.
func (c *call) resolve() bool {
	table := c.g.activeTable.Get()
	if table == nil {
		c.refuse("no configuration", time.Second)
		return false
	}
	c.configVersion = table.Version()
	if c.inbound.ID == "" || len(c.r.RequestURI) == 0 || c.r.RequestURI[0] != '/' {
		c.fail(http.StatusBadRequest, "malformed request")
		return false
	}
	if limit := table.Limits().MaxHeaderBytes; limit > 0 && headerBytes(c.r.Header) > limit {
		c.fail(http.StatusRequestHeaderFieldsTooLarge, "headers too large")
		return false
	}
	route, err := table.Match(c.r.Host, rawPath(c.r.RequestURI))
	if err != nil {
		c.deny(http.StatusNotFound, err)
		return false
	}
	c.route = route
	team, ok := c.identifyTeam(table)
	if !ok {
		return false
	}
	c.service = table.Services()[route.PickService(rand.Float64())]
	c.urgency = table.Rank(c.service.Name, route, team)
	timeout := route.Timeout
	if c.inbound.Timeout > 0 && (timeout <= 0 || c.inbound.Timeout < timeout) {
		timeout = c.inbound.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.started.Add(timeout)
	return true
}

// identifyTeam finds the team that holds the request's API key. If the route requires a key and
// no team holds it, it answers the request and returns false. The team is nil if the request needs
// none.
func (c *call) identifyTeam(table *routing.Table) (*routing.Team, bool) {
	team, err := table.Team(c.inbound.Credential)
	if err != nil {
		if table.RequiresKey(c.route) {
			c.deny(http.StatusUnauthorized, err)
			return nil, false
		}
		return nil, true
	}
	c.team = team.Name
	c.account.SetTeam(team.Name)
	return team, true
}

// defaultTimeout applies to requests for which neither the route nor the client
// sets a timeout.
const defaultTimeout = 30 * time.Second

// rawPath returns the path of a request target without decoding it.
func rawPath(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// deny rejects a request that the configuration does not allow. While the
// configuration may be outdated, it refuses the request instead, so that the
// client retries.
func (c *call) deny(status int, reason error) {
	if c.g.configStale() || c.g.configBehind() {
		c.refuse("configuration may be outdated: "+reason.Error(), time.Second)
		return
	}
	c.fail(status, reason.Error())
}

// readBody reads the request body. If it fails, it answers the request and
// returns false.
func (c *call) readBody() bool {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.bodyRead {
		return true
	}
	limit := int64(defaultMaxBody)
	if t := c.g.activeTable.Get(); t != nil && t.Limits().MaxBodyBytes > 0 {
		limit = t.Limits().MaxBodyBytes
	}
	if c.r.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	body, err := c.readAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, clientconn.ErrNoMemory):
		c.g.memory.RequestRefused(c.r.RemoteAddr)
		c.refuse(err.Error(), noMemoryDelay)
	case err != nil && c.interrupted():
		c.refuseStopping()
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		c.fail(http.StatusRequestTimeout, "body not received: "+err.Error())
	default:
		c.body, c.bodyRead = body, true
		return true
	}
	return false
}

// readAll reads the body of the request within bodyTimeout, until it is interrupted.
func (c *call) readAll(body io.Reader) ([]byte, error) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	stopWatch := context.AfterFunc(c.ctx, func() { _ = control.SetReadDeadline(time.Now()) })
	defer func() {
		if stopWatch() {
			_ = control.SetReadDeadline(time.Time{})
		}
	}()
	read, taken, err := c.g.guard.ReadBody(c.account, body, c.r.ContentLength, bodyTimeout)
	c.memory += taken
	return read, err
}

// refuse answers that the request did not run, and when the client should
// retry.
func (c *call) refuse(reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	c.fail(http.StatusServiceUnavailable, reason)
}

// setSentStatus records that the response begins.
func (c *call) setSentStatus(status int) {
	c.sentStatus = status
	c.answered.Store(true)
}

// fail answers with a response that the gateway itself produces.
func (c *call) fail(status int, reason string) {
	if c.sentStatus != 0 {
		return
	}
	c.setSentStatus(status)
	c.limitDiscard()
	c.g.protocol.SetOwnHeaders(c.w.Header(), c.inbound.ID)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.logEvent(events.OwnResponse).Int("status", status).Str("reason", reason).Send()
	c.g.metrics.recordOwnResponse(status)
}

// limitDiscard bounds the time for which the server reads the rest of a body that was not read
// before it sends the response. The last answers of a stop leave no time for it.
func (c *call) limitDiscard() {
	if c.bodyRead || c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	limit := clientconn.DiscardTime
	if c.interrupted() {
		limit = 0
	}
	clientconn.LimitDiscard(c.w, limit)
}

// outbound returns what a request to the first instance of a path carries.
func (c *call) outbound(p chain.Path, lastEvent string) Outbound {
	o := Outbound{
		Instance:  p.First().Instance,
		Team:      c.team,
		Remaining: time.Until(c.deadline),
		Urgency:   c.urgency,
		LastEvent: lastEvent,
	}
	if c.service.Model != nil {
		o.Path = p
	}
	return o
}

// clientGone reports whether the client has disconnected.
func (c *call) clientGone() bool { return c.r.Context().Err() != nil }

// deadlinePassed reports whether the deadline of the response has passed.
func (c *call) deadlinePassed() bool { return !time.Now().Before(c.deadline) }

// takeRepeat reports whether a request that may have run may be sent again. If
// so, it charges the repeat to the retry budget.
func (c *call) takeRepeat() bool {
	return c.attemptsLeft() && c.takeResend()
}

// attemptsLeft reports whether the route allows another instance to run the
// request. Attempts on instances that have left the directory are not counted.
// An instance that only seems lost is counted, as it may still be running the
// request.
func (c *call) attemptsLeft() bool {
	if !c.route.Repeatable() || c.unnumbered {
		return false
	}
	view := c.g.directory.View()
	attempts := 0
	for _, id := range c.possiblyRanOn {
		if _, known := view.Instances[id]; known {
			attempts++
		}
	}
	return attempts < c.route.MaxAttempts
}

// recordPossibleRun records that an instance may have run the request.
func (c *call) recordPossibleRun(instance string) {
	if !slices.Contains(c.possiblyRanOn, instance) {
		c.possiblyRanOn = append(c.possiblyRanOn, instance)
	}
}

// recordNotRun records that an instance said that it has not run the request. It may have run
// it all the same if it was sent there before.
func (c *call) recordNotRun(instance string) {
	sent := 0
	for _, id := range c.sentTo {
		if id == instance {
			sent++
		}
	}
	if sent == 1 {
		c.possiblyRanOn = slices.DeleteFunc(c.possiblyRanOn, func(id string) bool { return id == instance })
	}
}

// addAvoided makes the request avoid an instance.
func (c *call) addAvoided(instance string) {
	if !slices.Contains(c.avoid, instance) {
		c.avoid = append(c.avoid, instance)
	}
}

// takeResend reports whether a request may be sent again that has certainly not
// run, or for which the caller has checked attemptsLeft. If so, it charges the
// repeat to the retry budget.
func (c *call) takeResend() bool {
	purpose := retry.Restart
	if c.eventCount > 0 {
		purpose = retry.Continuation
	}
	return c.sends < maxSends && !c.clientGone() && !c.deadlinePassed() &&
		c.g.budget.TakeRepeat(c.service.Name, purpose, time.Now())
}

// context returns the context of the exchanges with instances.
func (c *call) context() context.Context { return c.ctx }
