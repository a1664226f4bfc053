package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
	"github.com/nutmegroute/nutmegroute/internal/events"
)

const (
	// endCheckTimeout bounds one connection attempt of an end check.
	endCheckTimeout = 300 * time.Millisecond
	// endCheckDelay is the time between two attempts: a connection may still be accepted
	// while the process of an instance ends.
	endCheckDelay    = 150 * time.Millisecond
	endCheckAttempts = 2
	// endCheckMaxAge is how long the result of an end check is reused. All responses of
	// an instance break off together when it ends.
	endCheckMaxAge = time.Second
)

// endDetector finds out whether an instance that closed a connection has ended: whether
// nothing listens on its address. It is safe for concurrent use.
type endDetector struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// mu guards checks, which holds the latest check of each instance by address.
	mu     sync.Mutex
	checks map[string]*endCheck
}

// endCheck is one check of an instance.
type endCheck struct {
	startedAt time.Time
	// done is closed when ended is set; ended may be read only afterwards.
	done  chan struct{}
	ended bool
}

func newEndDetector() *endDetector {
	return &endDetector{dial: backend.NewDialer().DialContext, checks: make(map[string]*endCheck)}
}

// Ended reports whether the instance at address refuses connections. Concurrent callers
// share one check.
func (d *endDetector) Ended(ctx context.Context, address string, now time.Time) bool {
	check := d.check(ctx, address, now)
	<-check.done
	return check.ended
}

// KnownEnded is like Ended but does not wait: it returns false until the check has ended.
func (d *endDetector) KnownEnded(ctx context.Context, address string, now time.Time) bool {
	check := d.check(ctx, address, now)
	select {
	case <-check.done:
		return check.ended
	default:
		return false
	}
}

// check returns a recent check of the instance at address, or a new one that it starts.
func (d *endDetector) check(ctx context.Context, address string, now time.Time) *endCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	if check := d.checks[address]; check != nil && now.Sub(check.startedAt) <= endCheckMaxAge {
		return check
	}
	check := &endCheck{startedAt: now, done: make(chan struct{})}
	d.checks[address] = check
	go func() {
		check.ended = d.refusesConnections(context.WithoutCancel(ctx), address)
		close(check.done)
	}()
	return check
}

func (d *endDetector) refusesConnections(ctx context.Context, address string) bool {
	for attempt := range endCheckAttempts {
		if attempt > 0 {
			time.Sleep(endCheckDelay)
		}
		ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
		conn, err := d.dial(ctx, "tcp", address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	return false
}

// prune deletes the checks that are no longer reused.
func (d *endDetector) prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, check := range d.checks {
		if now.Sub(check.startedAt) > endCheckMaxAge {
			delete(d.checks, address)
		}
	}
}

// closedByInstance reports whether an exchange failed because the instance closed the
// connection after the request was sent.
func closedByInstance(err error) bool {
	return !errors.Is(err, backend.ErrNotSent) &&
		(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
			errors.Is(err, syscall.EPIPE))
}

// observeInterruption logs a response that an instance broke off, after a check of
// whether the instance has ended. An instance that has counts as lost at all gateways; if
// it had not begun to answer, the parts of the prompt become suspects.
func (c *call) observeInterruption(first chain.Stage, err error) {
	c.observeEnd(first, err, c.answerEvents < answeredEvents, c.sentAt)
}

// observeEnd is observeInterruption for any exchange of the request. unanswered is true if
// the instance had not begun to answer what was sent to it at sentAt.
func (c *call) observeEnd(first chain.Stage, err error, unanswered bool, sentAt time.Time) {
	if !closedByInstance(err) {
		return
	}
	ctx, now := context.WithoutCancel(c.context()), time.Now()
	line := c.logEvent(events.ResponseInterrupted).Str("instance", first.Instance).Err(err).
		Int("events", c.eventCount).Strs("parts", c.inbound.SharedParts)
	go func() {
		ended := c.g.ends.Ended(ctx, first.Address, now)
		line.Bool("ended", ended).Send()
		c.g.metrics.recordInterruption(unanswered && ended)
		if !ended {
			return
		}
		c.g.tracker.RecordLost(first.Instance, now)
		if unanswered {
			c.g.quarantine.RecordCrash(first.Instance, c.parts, sentAt, now)
		}
	}()
}
