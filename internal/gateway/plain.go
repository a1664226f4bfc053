package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// maxResponseBytes bounds a response that is held until it is complete.
	maxResponseBytes = 8 << 20
	// idleForRepeatable and idleForOnce bound how long a connection may have
	// been unused: an instance may close it while a request is on its way,
	// and a request that runs at most once can't be sent again then.
	idleForRepeatable = 4 * time.Second
	idleForOnce       = 1500 * time.Millisecond
	// silenceFactor times the latency objective is how long an idempotent
	// request waits for its response before another instance is tried.
	silenceFactor = 2
)

// errSilent ends an exchange that another instance may answer sooner.
var errSilent = errors.New("gateway: no response in time")

// servePlain forwards a request whose response is passed on as a whole.
func (c *call) servePlain() {
	for {
		grant, err := c.admit()
		if err != nil {
			c.refuseUnadmitted(err)
			return
		}
		if !c.tryGranted(grant) {
			return
		}
	}
}

// tryGranted is tryPlain with the return of what was granted.
func (c *call) tryGranted(grant chain.Grant) bool {
	defer c.g.admission.Release(grant)
	return c.tryPlain(grant)
}

// tryPlain sends the request to one instance. It returns true if another
// instance is to be tried.
func (c *call) tryPlain(grant chain.Grant) bool {
	first := grant.Path.First()
	c.lastPath = grant.Path
	c.sends++
	x, err := c.g.pool.Do(c.context(), first.Address, c.request(grant.Path, c.in.LastEvent), c.plainOptions())
	if err != nil {
		return c.afterBroken(first, err)
	}
	reply := c.g.protocol.Reply(x.Response)
	if reply.NotExecuted {
		x.Abort()
		return c.afterRefusal(first, reply, x.Response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		x.Abort()
		return c.afterBroken(first, errors.Join(backend.ErrBroken, err))
	}
	if !genuine(x.Response, reply) {
		x.Abort()
		return c.afterBroken(first, errors.Join(backend.ErrBroken, errNotGenuine))
	}
	x.Finish()
	if x.Response.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() {
		c.mayHaveRun(first.Instance)
		c.avoid = append(c.avoid, first.Instance)
		c.g.ledger.RecordFailure(first.Instance, time.Now())
		if c.mayRepeat() {
			c.line(events.RequestRepeated).Str("instance", first.Instance).Int("status", x.Response.StatusCode).Send()
			return true
		}
	} else {
		c.g.ledger.RecordSuccess(first.Instance)
	}
	c.pass(x.Response, body)
	return false
}

// errNotGenuine means that a response is not one of the instance's own.
var errNotGenuine = errors.New("gateway: response without signature or with an encoding")

// genuine reports whether a response is complete in what makes it the
// instance's own. A success without signature comes from something else.
func genuine(resp *http.Response, reply Reply) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return reply.Sealed || resp.StatusCode >= http.StatusMultipleChoices
}

func (c *call) request(p chain.Path, lastEvent string) *backend.Request {
	return &backend.Request{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.g.protocol.Outbound(c.r.Header, c.outbound(p, lastEvent)),
		Body:   c.body,
	}
}

func (c *call) plainOptions() backend.Options {
	o := backend.Options{Deadline: c.deadline, MaxIdle: idleForOnce, Mine: c.mine}
	if c.route.Repeatable() {
		o.MaxIdle = idleForRepeatable
	}
	if c.route.Kind == routing.Idempotent && len(c.ran)+1 < c.route.MaxAttempts && c.route.LatencyObjective > 0 {
		o.StallAfter = silenceFactor * c.route.LatencyObjective
		o.OnStall = func(time.Duration) error { return errSilent }
	}
	return o
}

// mine reports whether a response belongs to this call.
func (c *call) mine(resp *http.Response) bool {
	id := c.g.protocol.Reply(resp).ID
	return id == "" || id == c.in.ID
}

// afterBroken decides what follows an exchange that ended without a complete
// response. It returns true if another instance is to be tried.
func (c *call) afterBroken(first chain.Stage, err error) bool {
	if c.ended() {
		return false
	}
	unsent := errors.Is(err, backend.ErrNotSent)
	if !unsent {
		c.mayHaveRun(first.Instance)
	}
	switch {
	case unsent:
		c.g.ledger.RecordUnreachable(first.Instance, time.Now())
	case !c.expired():
		c.g.ledger.RecordFailure(first.Instance, time.Now())
	}
	c.avoid = append(c.avoid, first.Instance)
	if unsent && c.mayResend() || !unsent && c.mayRepeat() {
		c.line(events.RequestRepeated).Str("instance", first.Instance).Err(err).Send()
		return true
	}
	switch {
	case unsent && len(c.ran) == 0:
		c.refuse("no instance can be reached: "+err.Error(), c.returnAfter())
	case c.expired():
		c.fail(http.StatusGatewayTimeout, "no response in time")
	default:
		c.fail(http.StatusBadGateway, "response broken: "+err.Error())
	}
	return false
}

// afterRefusal decides what follows the refusal of an instance, which has not
// run the request.
func (c *call) afterRefusal(first chain.Stage, reply Reply, status int) bool {
	culprit := c.noteRefusal(first, reply, status)
	if c.mayResend() {
		c.line(events.RequestRepeated).Str("instance", culprit).Int("status", status).Bool("not_run", true).Send()
		return true
	}
	if len(c.ran) > 0 {
		c.fail(http.StatusBadGateway, "refused after an attempt that may have run")
		return false
	}
	c.refuse("instances refuse the request", c.returnAfter())
	return false
}

// doubtfulRefusals is the number of refusals in a row after which an instance
// is asked for the reason: reports are too old to tell at once.
const doubtfulRefusals = 3

// noteRefusal keeps new work away from the instance that refused the request,
// and returns it. An instance of a model that is short of memory may still take
// this request when others end.
func (c *call) noteRefusal(first chain.Stage, reply Reply, status int) string {
	culprit := c.culprit(first, reply)
	if c.service.Model != nil && status == http.StatusServiceUnavailable {
		now := time.Now()
		inRow := c.g.ledger.RecordRefusal(culprit, now)
		in, known := c.g.directory.View().Instances[culprit]
		if known && inRow >= doubtfulRefusals {
			go c.g.faults.Refused(context.WithoutCancel(c.context()), in, now)
		}
		return culprit
	}
	c.avoid = append(c.avoid, culprit)
	c.g.ledger.RecordFailure(culprit, time.Now())
	c.observeMisplaced(culprit, status)
	return culprit
}

// culprit returns the instance that a refusal names, or the first of the path.
func (c *call) culprit(first chain.Stage, reply Reply) string {
	for _, part := range c.lastPath {
		if part.Address == reply.FaultAddress {
			return part.Instance
		}
	}
	return first.Instance
}

// observeMisplaced asks an instance which layers it holds after it refused a
// request because it does not hold those that it was thought to.
func (c *call) observeMisplaced(instance string, status int) {
	in, known := c.g.directory.View().Instances[instance]
	if !known || status != http.StatusMisdirectedRequest || c.service.Model == nil {
		return
	}
	o, err := c.g.faults.Observe(c.context(), in, time.Now())
	if err == nil {
		c.g.directory.Observe(o)
	}
	c.line(events.LayersObserved).Str("instance", instance).Int("from", o.Layers.From).Int("to", o.Layers.To).
		Err(err).Send()
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// copyHeaders copies the headers of a response that concern the client.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

// pass sends an instance's response to the client.
func (c *call) pass(resp *http.Response, body []byte) {
	closing := c.w.Header().Get("Connection")
	copyHeaders(c.w.Header(), resp.Header)
	if closing != "" {
		c.w.Header().Set("Connection", closing)
	}
	c.answered = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body)
}
