package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// call is one request of a client on its way.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	in      Inbound
	version int64
	route   *routing.Route
	service *routing.Service
	team    string
	urgency int
	body    []byte
	// bodyRead is true once body is complete.
	bodyRead bool
	started  time.Time
	// deadline is the time of the final answer.
	deadline time.Time
	// avoid lists the instances that failed or refused this request.
	avoid []string
	// ran lists the instances that may have run the request, sends counts
	// those that it was sent to.
	ran   []string
	sends int
	// events counts the events of a stream that the client got, firstEvent is
	// the time until the first, longestGap the longest pause between two.
	events                 int
	firstEvent, longestGap time.Duration
	// answered is the status sent to the client, 0 before.
	answered int
	// lastPath and waited explain the outcome in the log.
	lastPath chain.Path
	waited   time.Duration
}

const (
	// maxSends bounds the instances that one request is tried on, with those
	// that refuse it.
	maxSends = 4
	// bodyTimeout bounds the reading of a client's body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody is the limit of a body before a configuration names one.
	defaultMaxBody = 4 << 20
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, in: g.protocol.Inbound(r.Header), started: time.Now()}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	defer c.finish()
	if !c.awaitStart() || !c.resolve() || !c.readBody() {
		return
	}
	if !c.endsInTime() {
		c.refuseStopping()
		return
	}
	g.budget.RecordRequest(c.service.Name, c.started)
	if c.route.Kind == routing.Streaming {
		c.serveStream()
		return
	}
	c.servePlain()
}

const (
	// startWaitShare is the part of the client's patience that a request may
	// wait for the first configuration, at most startWaitMax. Clients that come
	// back after a failure of all gateways have no further try.
	startWaitShare = 0.25
	startWaitMax   = 5 * time.Second
)

// awaitStart waits while the gateway has just started and knows no
// configuration or no instances. The body is read first, so that the client
// knows that its request has arrived.
func (c *call) awaitStart() bool {
	select {
	case <-c.g.started:
		return true
	default:
	}
	if !c.readBody() {
		return false
	}
	wait := min(time.Duration(startWaitShare*float64(c.in.Timeout)), startWaitMax)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.g.started:
		c.waited += time.Since(c.started)
		return true
	case <-timer.C:
	case <-c.r.Context().Done():
		return false
	}
	c.refuse("no configuration", time.Second)
	return false
}

// resolve finds route, service and team, or answers the request.
func (c *call) resolve() bool {
	table := c.g.current.Get()
	if table == nil {
		c.refuse("no configuration", time.Second)
		return false
	}
	c.version = table.Version()
	if c.in.ID == "" || len(c.r.RequestURI) == 0 || c.r.RequestURI[0] != '/' {
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
	c.route, c.urgency = route, route.Priority
	if table.HasTeams() {
		team, err := table.Team(c.in.Credential)
		switch {
		case err == nil:
			c.team = team.Name
			if team.Priority != nil {
				c.urgency = *team.Priority
			}
		case !route.Public:
			c.deny(http.StatusUnauthorized, err)
			return false
		}
	}
	c.service = table.Services()[route.PickService(rand.Float64())]
	patience := route.Timeout
	if c.in.Timeout > 0 && (patience <= 0 || c.in.Timeout < patience) {
		patience = c.in.Timeout
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = c.started.Add(patience)
	return true
}

// defaultPatience bounds requests whose route and client name no limit.
const defaultPatience = 30 * time.Second

// rawPath returns the path of a request target as it was sent.
func rawPath(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// deny refuses a request that the configuration doesn't allow. While the
// configuration may be outdated, the answer is that the request did not run.
func (c *call) deny(status int, reason error) {
	if c.g.stale() {
		c.refuse("configuration may be outdated: "+reason.Error(), time.Second)
		return
	}
	c.fail(status, reason.Error())
}

func (c *call) readBody() bool {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.bodyRead {
		return true
	}
	limit := int64(defaultMaxBody)
	if t := c.g.current.Get(); t != nil && t.Limits().MaxBodyBytes > 0 {
		limit = t.Limits().MaxBodyBytes
	}
	if c.r.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
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

// refuse answers that the request did not run and when to come back.
func (c *call) refuse(reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	c.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with a status of the gateway's own.
func (c *call) fail(status int, reason string) {
	if c.answered != 0 {
		return
	}
	c.answered = status
	c.g.protocol.SetOwnHeaders(c.w.Header(), c.in.ID)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.line(events.OwnAnswer).Int("status", status).Str("reason", reason).Send()
	c.g.metrics.refused(status)
}

// outbound returns the request for the first instance of a path.
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

// ended reports whether the client has left.
func (c *call) ended() bool { return c.r.Context().Err() != nil }

// expired reports whether the time of the final answer has come.
func (c *call) expired() bool { return !time.Now().Before(c.deadline) }

// mayRepeat reports whether a request that may have run may be sent again, and
// takes it from the retry budget.
func (c *call) mayRepeat() bool {
	return c.attemptsLeft() && c.mayResend()
}

// attemptsLeft reports whether the route allows another instance to run the
// request. Instances that are gone do not count; one that only seems lost may
// still be at work.
func (c *call) attemptsLeft() bool {
	if !c.route.Repeatable() {
		return false
	}
	view := c.g.directory.View()
	attempts := 0
	for _, id := range c.ran {
		if _, known := view.Instances[id]; known {
			attempts++
		}
	}
	return attempts < c.route.MaxAttempts
}

// mayHaveRun notes that an instance may have run the request.
func (c *call) mayHaveRun(instance string) {
	if !slices.Contains(c.ran, instance) {
		c.ran = append(c.ran, instance)
	}
}

// mayResend reports whether a request that surely has not run may be sent
// again, and takes it from the retry budget.
func (c *call) mayResend() bool {
	purpose := retry.Restart
	if c.events > 0 {
		purpose = retry.Continuation
	}
	return c.sends < maxSends && !c.ended() && !c.expired() &&
		c.g.budget.AllowRepeat(c.service.Name, purpose, time.Now())
}

// context returns the context of the exchange with instances.
func (c *call) context() context.Context { return c.r.Context() }
