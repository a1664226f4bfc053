package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// maxBufferedBytes bounds a response that is buffered until it is complete. A
	// longer one is forwarded while it arrives, and can't be repeated.
	maxBufferedBytes = 256 << 10
	// maxIdleRepeatable and maxIdleOnce bound how long a reused connection to
	// an instance may have been idle. The instance may close an idle connection
	// while a request is on its way; a request that must run at most once can't
	// be sent again then.
	maxIdleRepeatable = 4 * time.Second
	maxIdleOnce       = 1500 * time.Millisecond
	// responseTimeoutFactor times the latency objective is how long an
	// idempotent request waits for its response before another instance is
	// asked as well.
	responseTimeoutFactor = 2
	// minProgressBytes is the number of bytes that must arrive within that time for a
	// response to count as on its way.
	minProgressBytes = 512
)

// serveBuffered forwards a request whose response is buffered and sent to the
// client as a whole.
func (c *call) serveBuffered() {
	defer c.dropSuccessor()
	for {
		grant, err := c.nextGrant(c.admit)
		if err != nil {
			c.refuseUnadmitted(err)
			return
		}
		if !c.tryAndRelease(grant) {
			return
		}
	}
}

// tryAndRelease calls tryInstance and releases the grant.
func (c *call) tryAndRelease(grant chain.Grant) bool {
	c.releaseGrant = sync.OnceFunc(func() { c.g.admission.Release(grant) })
	defer c.releaseGrant()
	return c.tryInstance(grant)
}

// tryInstance sends the request to the first instance of the grant's path. It
// returns true if another instance should be tried.
func (c *call) tryInstance(grant chain.Grant) bool {
	first := grant.Path.First()
	c.lastPath = grant.Path
	x, answer, err := c.openBuffered(grant.Path)
	if err != nil {
		return c.handleIncompleteResponse(first, err)
	}
	reply := c.g.protocol.Reply(x.Response)
	if reply.NotExecuted {
		x.Abort()
		return c.handleRefusal(reply, x.Response.StatusCode)
	}
	if !authentic(x.Response, reply) {
		x.Abort()
		return c.handleIncompleteResponse(first, errors.Join(backend.ErrExchangeFailed, errNotAuthentic))
	}
	if err := answer.read(x.Response.Body); err != nil {
		x.Abort()
		return c.handleIncompleteResponse(first, errors.Join(backend.ErrExchangeFailed, err))
	}
	if !answer.complete {
		c.forwardLong(x, answer.start)
		return false
	}
	x.Finish()
	c.recordAnswered(c.respondedAt)
	c.g.responseTimes.record(c.service.Name, time.Since(c.sentAt), time.Now())
	if x.Response.StatusCode < http.StatusBadRequest {
		c.recordAttempt(time.Now()) // the time of an error says little about that of an answer
	}
	if x.Response.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() {
		c.recordPossibleRun(first.Instance)
		c.addAvoided(first.Instance)
		c.g.tracker.RecordFailure(first.Instance, time.Now())
		if c.successor != nil {
			return true
		}
		if c.takeRepeat() {
			c.logEvent(events.RequestRetried).Str("instance", first.Instance).
				Int("status", x.Response.StatusCode).Send()
			return true
		}
	} else {
		c.g.tracker.RecordSuccess(first.Instance)
	}
	c.dropSuccessor()
	// A client that reads slowly holds no capacity of the instance, which has answered.
	c.releaseGrant()
	c.sendResponse(x.Response, answer.start)
	return false
}

// openBuffered returns the successor's exchange if there is a successor, and otherwise a new
// one.
func (c *call) openBuffered(path chain.Path) (*backend.Exchange, *bufferedBody, error) {
	if n := c.takeSuccessor(); n != nil {
		return n.exchange, &n.answer, n.err
	}
	x, err := c.exchange(path, c.inbound.LastEvent, c.bufferedOptions())
	return x, &bufferedBody{}, err
}

// bufferedBody is the body of a response, or the start of a long one.
type bufferedBody struct {
	start []byte
	// complete is true if start is the whole body; wasRead is true once it was read.
	complete, wasRead bool
}

// read reads the body unless it has been read.
func (b *bufferedBody) read(body io.Reader) error {
	if b.wasRead {
		return nil
	}
	var err error
	b.start, b.complete, err = readStart(body)
	b.wasRead = err == nil
	return err
}

// readStart reads a body of at most maxBufferedBytes to its end. Of a longer one it
// returns the start, and complete is false.
func readStart(body io.Reader) (start []byte, complete bool, err error) {
	start, err = io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	return start, len(start) <= maxBufferedBytes, err
}

// forwardLong forwards a response whose start was read and whose rest is too long to
// be buffered. If it breaks off, the client's connection is closed, so that the client
// sees that the response is incomplete. Without a length, it may also be one that never
// ends; it ends at the deadline.
func (c *call) forwardLong(x *backend.Exchange, start []byte) {
	c.dropSuccessor()
	if x.Response.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(x.Response.ContentLength, 10))
	}
	c.sendHeaders(x.Response)
	client := clientWriter{c.w, http.NewResponseController(c.w), x}
	_, err := client.Write(start)
	if err == nil {
		_, err = io.Copy(client, x.Response.Body)
	}
	if err != nil {
		x.Abort()
		c.cut("long response: " + err.Error())
	}
	x.Finish()
	if x.Response.StatusCode < http.StatusInternalServerError {
		c.g.tracker.RecordSuccess(c.lastPath.First().Instance)
	}
}

// slowWrite is the time from which on a write shows that the client reads slowly.
const slowWrite = 100 * time.Millisecond

// clientWriter writes the response of an exchange to a client. Each write must end
// within writeTimeout. A slow client does not make the instance count as stalled.
type clientWriter struct {
	io.Writer
	control  *http.ResponseController
	exchange *backend.Exchange
}

// Write implements io.Writer.
func (w clientWriter) Write(p []byte) (int, error) {
	started := time.Now()
	_ = w.control.SetWriteDeadline(started.Add(writeTimeout))
	n, err := w.Writer.Write(p)
	if time.Since(started) > slowWrite {
		w.exchange.Progress()
	}
	return n, err
}

// cut aborts the connection of a response that has begun, so that the client sees that
// it is incomplete. It panics with http.ErrAbortHandler.
func (c *call) cut(reason string) {
	c.logEvent(events.StreamAborted).Str("reason", reason).Int("events", c.eventCount).Send()
	c.g.metrics.recordCut()
	c.resetUnframed()
	panic(http.ErrAbortHandler)
}

// resetUnframed resets the client's connection if its end would end the response: for a
// client of HTTP/1.0, a connection that is closed in the usual way shows that a response
// without a length is complete.
func (c *call) resetUnframed() {
	if c.r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		c.g.log.LogRateLimited(events.ListenerError).Str("request", c.inbound.ID).Err(err).Send()
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sendHeaders sends the headers of the first instance that answers to the client.
func (c *call) sendHeaders(resp *http.Response) {
	if c.sentStatus != 0 {
		return
	}
	// These concern the client's connection, not the instance's.
	own := make(http.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Content-Length"} {
		if value := c.w.Header().Get(name); value != "" {
			own.Set(name, value)
		}
	}
	copyHeaders(c.w.Header(), resp.Header)
	maps.Copy(c.w.Header(), own)
	c.setSentStatus(resp.StatusCode)
	c.w.WriteHeader(resp.StatusCode)
}

// errNotAuthentic means that a response lacks the instance's signature, or has
// a content encoding that the instance did not apply.
var errNotAuthentic = errors.New("gateway: response without signature or with an encoding")

// authentic reports whether a response comes unchanged from the instance. A
// response with a content encoding was changed on its way. A successful
// response without the instance's signature was produced by something else;
// other responses need no signature.
func authentic(resp *http.Response, reply Reply) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return reply.Sealed || resp.StatusCode >= http.StatusMultipleChoices
}

// request returns the request to send to the first instance of a path.
// lastEvent is the id of the last event that the client has.
func (c *call) request(p chain.Path, lastEvent string) *backend.Request {
	return &backend.Request{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.g.protocol.Outbound(c.r.Header, c.outbound(p, lastEvent)),
		Body:   c.body,
	}
}

// bufferedOptions returns the options of an exchange whose response is buffered.
func (c *call) bufferedOptions() backend.Options {
	o := backend.Options{Deadline: c.deadline, MaxIdle: maxIdleOnce, Matches: c.belongsToCall}
	if c.route.Repeatable() {
		o.MaxIdle = maxIdleRepeatable
	}
	if c.route.Kind == routing.Idempotent && c.route.LatencyObjective > 0 {
		o.StallInterval = c.silenceLimit()
		o.OnStall, o.ProgressBytes = c.onSilence, minProgressBytes
	}
	if wait, known := c.hedgeWait(); known && (o.OnStall == nil || wait < o.StallInterval) {
		o.StallInterval = wait
		o.OnStall, o.ProgressBytes = c.onSilence, minProgressBytes
	}
	return o
}

// silenceLimit is how long a buffered response may be silent before another instance is asked
// as well, whether or not a hedge was allowed.
func (c *call) silenceLimit() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return noSilenceLimit
	}
	return responseTimeoutFactor * c.route.LatencyObjective
}

// onSilence is the backend.StallFunc of a response that is buffered. A successor asks
// another instance, while the exchange is kept until one of them has the whole response.
func (c *call) onSilence(waited time.Duration) (again time.Duration, err error) {
	if c.sentStatus != 0 {
		return 0, nil // a response that is being forwarded can't be replaced
	}
	limit := c.silenceLimit()
	first := c.lastPath.First().Instance
	if waited >= limit && !slices.Contains(c.avoid, first) {
		c.recordPossibleRun(first)
		c.addAvoided(first)
		c.g.tracker.RecordFailure(first, time.Now())
	}
	if c.successor != nil {
		return c.checkSuccessor(limit, c.startBufferedSuccessor)
	}
	again, hedged := c.hedgeIfLate(c.startBufferedHedge)
	switch {
	case hedged:
		return hedgePollInterval, nil
	case waited < limit && again > 0:
		return min(again, limit-waited), nil
	case waited < limit:
		return limit - waited, nil
	case !c.attemptsLeft() || !c.startBufferedSuccessor():
		return limit, nil
	}
	if c.g.hedges != nil {
		c.g.hedges.RecordRepeat(c.service.Name, time.Now())
	}
	return successorPollInterval, nil
}

// startBufferedSuccessor starts a successor and reports whether it did.
func (c *call) startBufferedSuccessor() bool {
	req := admitRequest{service: c.service, demand: c.demand(), urgency: c.urgency}
	return c.startSuccessor(req, c.inbound.LastEvent, c.bufferedOptions(), c.beginBuffered)
}

// belongsToCall reports whether a response belongs to this call. A response that
// carries no ID counts as belonging to it only if it can't be a late one for an earlier
// request of the connection.
func (c *call) belongsToCall(resp *http.Response, reused bool) bool {
	id := c.g.protocol.Reply(resp).ID
	return id == c.inbound.ID || id == "" && !reused
}

// handleIncompleteResponse handles an exchange that ended without a complete
// response. It returns true if another instance should be tried; otherwise the
// client has been answered or has disconnected.
func (c *call) handleIncompleteResponse(first chain.Stage, err error) bool {
	if c.clientGone() {
		return false
	}
	if errors.Is(err, errMoved) {
		c.recordPossibleRun(first.Instance)
		c.recordOvertaken(first)
		return true
	}
	if c.interrupted() {
		c.endInterrupted(first, err)
		return false
	}
	c.observeInterruption(first, err)
	if c.refuseQuarantined() {
		return false
	}
	unsent := errors.Is(err, backend.ErrNotSent)
	if !unsent {
		c.recordPossibleRun(first.Instance)
	}
	switch {
	case unsent:
		c.g.tracker.RecordUnreachable(first.Instance, time.Now())
	case !c.deadlinePassed():
		c.g.tracker.RecordFailure(first.Instance, time.Now())
	}
	c.addAvoided(first.Instance)
	if c.successor != nil {
		return true
	}
	if unsent && c.takeResend() || !unsent && c.takeRepeat() {
		c.logEvent(events.RequestRetried).Str("instance", first.Instance).Err(err).Send()
		return true
	}
	switch {
	case unsent && len(c.possiblyRanOn) == 0:
		c.refuse("no instance can be reached: "+err.Error(), c.retryDelay())
	case c.deadlinePassed():
		c.fail(http.StatusGatewayTimeout, "no response in time")
	default:
		c.fail(http.StatusBadGateway, "response broken: "+err.Error())
	}
	return false
}

// handleRefusal handles the refusal of an instance, which has not run the
// request. It returns true if another instance should be tried; otherwise it
// has answered the client.
func (c *call) handleRefusal(reply Reply, status int) bool {
	refusing := c.recordRefusal(c.lastPath, reply, status)
	if c.successor != nil {
		return true
	}
	if c.takeResend() {
		c.logEvent(events.RequestRetried).Str("instance", refusing).Int("status", status).Bool("not_run", true).Send()
		return true
	}
	if len(c.possiblyRanOn) > 0 {
		c.fail(http.StatusBadGateway, "refused after an attempt that may have run")
		return false
	}
	c.refuse("instances refuse the request", c.retryDelay())
	return false
}

// refusalsBeforeCheck is the number of full periods of an instance, as returned by
// chain.InstanceTracker.RecordRefusal, after which its report is checked for the
// reason of the refusals. At the first refusal, its report is still too old to
// show the reason.
const refusalsBeforeCheck = 3

// recordRefusal keeps new work away from the instance of the path that refused the request,
// and returns its ID. An instance of a model that refused for lack of memory is
// not avoided by this request: it may accept the request when others end.
func (c *call) recordRefusal(path chain.Path, reply Reply, status int) string {
	c.recordNotRun(path.First().Instance)
	refusing := refusingInstance(path, reply)
	if c.service.Model != nil && status == http.StatusServiceUnavailable {
		now := time.Now()
		fullPeriods := c.g.tracker.RecordRefusal(refusing, now)
		in, known := c.g.directory.View().Instances[refusing]
		if known && fullPeriods >= refusalsBeforeCheck {
			go c.g.faults.ClassifyRefusal(context.WithoutCancel(c.context()), in, now)
		}
		return refusing
	}
	c.addAvoided(refusing)
	c.g.tracker.RecordFailure(refusing, time.Now())
	c.observeMisdirected(refusing, status)
	return refusing
}

// refusingInstance returns the instance of the path that a refusal names, or
// the first instance of the path.
func refusingInstance(path chain.Path, reply Reply) string {
	for _, stage := range path {
		if stage.Address == reply.FaultAddress {
			return stage.Instance
		}
	}
	return path.First().Instance
}

// observeMisdirected asks an instance which layers it holds, after it refused a
// request as misdirected because it does not hold the layers in the directory.
func (c *call) observeMisdirected(instance string, status int) {
	in, known := c.g.directory.View().Instances[instance]
	if !known || status != http.StatusMisdirectedRequest || c.service.Model == nil {
		return
	}
	o, err := c.g.faults.ObserveLayers(c.context(), in, time.Now())
	if err == nil {
		c.g.directory.Observe(o)
	}
	c.logEvent(events.LayersObserved).Str("instance", instance).Int("from", o.Layers.From).Int("to", o.Layers.To).
		Err(err).Send()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// copyHeaders copies the headers of a response that are meant for the client.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}

// sendResponse sends an instance's response to the client.
func (c *call) sendResponse(resp *http.Response, body []byte) {
	c.charge(int64(len(body)))
	c.sendHeaders(resp)
	_, _ = c.w.Write(body)
}
