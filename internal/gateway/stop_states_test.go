package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// ending is how a client's request ends.
type ending string

const (
	served   ending = "served"
	refused  ending = "refused, not run"
	unknown  ending = "may have run"
	cutOff   ending = "response incomplete"
	noAnswer ending = "no answer"
)

// readEnding reads the response to a request and returns how it ended. got is set once
// the instance has got the request.
func (c *client) readEnding(got *atomic.Bool) (ending, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return noAnswer, err
	}
	_, err = io.ReadAll(resp.Body)
	ran := got.Load()
	switch {
	case err != nil:
		return cutOff, err
	case resp.StatusCode == http.StatusOK:
		return served, nil
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && !ran:
		return refused, nil
	case resp.StatusCode == http.StatusBadGateway && ran:
		return unknown, nil
	case resp.StatusCode == http.StatusGatewayTimeout && ran:
		return timedOut, nil
	}
	return "", fmt.Errorf("status %d, ran %v", resp.StatusCode, ran)
}

// hold keeps the request until its connection is closed, which is noticed once the body is read.
func hold(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// sendPart sends a part of a response and then keeps the request.
func sendPart(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		hold(w, r)
	}
}

// sendEvents sends events until its connection is closed. A silent instance would count as lost.
func sendEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	for n := 1; r.Context().Err() == nil; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// stopState is a state in which a request is when a stop ends, or at some moment before.
type stopState struct {
	name     string
	kind     routing.Kind
	instance http.HandlerFunc
	// request is what the client sends.
	request string
	// holder makes another request hold the only place at the instance: from before, or once
	// the instance has got the request if it is repeated.
	holder bool
	// unsynced makes the gateway have no configuration yet.
	unsynced bool
	// early is how the request must end if it is sent while all requests are accepted, late if it
	// is sent shortly before the end.
	early, late ending
}

const request11Waiting = "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTimeout: 20s\r\nContent-Length: 0\r\n\r\n"

const request10 = "POST /x HTTP/1.0\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n"

const request11 = "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\n"

var stopStates = []stopState{
	{name: "connection open", kind: routing.NonIdempotent, instance: hold, early: noAnswer, late: noAnswer},
	{name: "head half read", kind: routing.NonIdempotent, instance: hold, request: request11[:30], early: noAnswer, late: noAnswer},
	{name: "body half read", kind: routing.NonIdempotent, instance: hold, request: request11 + "ab", early: refused, late: refused},
	{name: "body of a stream half read", kind: routing.Streaming, instance: hold, request: request11 + "ab", early: refused, late: refused},
	{name: "no configuration yet", kind: routing.NonIdempotent, instance: hold, request: request11Waiting, unsynced: true, early: refused, late: refused},
	{name: "waiting for room", kind: routing.NonIdempotent, instance: hold, request: request11 + "abcd", holder: true, early: refused, late: refused},
	{name: "stream waiting for room", kind: routing.Streaming, instance: hold, request: request11 + "abcd", holder: true, early: refused, late: refused},
	{name: "written to an instance", kind: routing.NonIdempotent, instance: hold, request: request11 + "abcd", early: unknown, late: refused},
	{name: "stream written to an instance", kind: routing.Streaming, instance: hold, request: request11 + "abcd", early: unknown, late: refused},
	{name: "head received", kind: routing.NonIdempotent, instance: sendPart("x"), request: request11 + "abcd", early: unknown, late: refused},
	{name: "head of a stream received", kind: routing.Streaming, instance: sendPart(""), request: request11 + "abcd", early: unknown, late: refused},
	{name: "events flowing", kind: routing.Streaming, instance: sendPart("id: 1\ndata: x\n\n"), request: request11 + "abcd", early: cutOff, late: refused},
	{name: "events flowing without a length", kind: routing.Streaming, instance: sendPart("id: 1\ndata: x\n\n"), request: request10, early: cutOff, late: refused},
	{name: "long response flowing", kind: routing.NonIdempotent, instance: sendPart(string(make([]byte, 2*maxBufferedBytes))), request: request11 + "abcd", early: cutOff, late: refused},
	{name: "between two instances", kind: routing.Idempotent, instance: abort, request: request11 + "abcd", holder: true, early: unknown, late: refused},
	{name: "answered", kind: routing.NonIdempotent, instance: answerAll, request: request11 + "abcd", early: served, late: refused},
}

// stateTimeout is the time for the stops of the test: they end after 900 ms, and the last answers are
// given after 800 ms.
const stateTimeout = 1300 * time.Millisecond

// Guards against requests that end without an answer or a true refusal because a gateway stops:
// requests in each state, sent at each moment of a stop.
func TestEveryStateOfARequestInAStop(t *testing.T) {
	moments := []struct {
		name string
		// at is when the request is sent, since the start of the stop.
		at time.Duration
	}{
		{"before the stop", -100 * time.Millisecond},
		{"at its start", 50 * time.Millisecond},
		{"while it closes connections", 680 * time.Millisecond},
		{"among the last answers", 830 * time.Millisecond},
	}
	for _, state := range stopStates {
		for _, moment := range moments {
			t.Run(state.name+" "+moment.name, func(t *testing.T) {
				t.Parallel()
				ended, sentAt, err := state.run(t, moment.at)
				want := state.endings(sentAt)
				assert.Assert(t, slices.Contains(want, ended), "%q (%v) is none of %q", ended, err, want)
			})
		}
	}
}

// endings returns how the request may end if it was sent at a time since the start of the stop.
func (s stopState) endings(sentAt time.Duration) []ending {
	end := stateTimeout - exitTime
	switch lastAnswers := end - answerTime; {
	case sentAt < lastAnswers/2:
		return []ending{s.early}
	case sentAt < lastAnswers:
		return []ending{s.early, s.late}
	case sentAt < end-answerTime/2:
		return []ending{s.late}
	}
	return []ending{s.late, noAnswer} // it crosses the close of its connection
}

// run sends the request at a time since the start of a stop. It returns how it ended, and when it
// was really sent.
func (s stopState) run(t *testing.T, at time.Duration) (ended ending, sentAt time.Duration, err error) {
	var got atomic.Bool
	holderWaits := make(chan struct{})
	release := sync.OnceFunc(func() { close(holderWaits) })
	g := newTestGateway(t, routing.Route{Kind: s.kind, Timeout: 20 * time.Second, MaxAttempts: 2},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Id") != "1" {
				sendEvents(w, r)
				return
			}
			got.Store(true)
			if s.holder {
				<-holderWaits
			}
			s.instance(w, r)
		}))
	g.settings.DrainTimeout = stateTimeout
	g.budget = retry.NewBudget(retry.Limits{Window: time.Second, Reserve: 100}, func() int { return 1 }, time.Time{})
	if s.unsynced {
		g.synced = make(chan struct{})
	}
	server, address := serveClients(t, g)
	begin := time.Now().Add(max(-at, 0) + 50*time.Millisecond)
	drained := make(chan error, 1)
	go func() {
		sleepUntil(begin)
		drained <- g.drain(server, begin)
	}()
	t.Cleanup(release)
	c, holder := dialClient(t, address), dialClient(t, address)
	repeated := s.kind == routing.Idempotent
	// The gateway closes connections on which no part of a request has arrived.
	if s.holder {
		holder.write(holderRequest[:4])
	}
	if s.holder && !repeated {
		holder.startHolder(g)
	}
	first := min(len(s.request), len("POST"))
	c.write(s.request[:first])
	sleepUntil(begin.Add(at))
	sentAt = time.Since(begin)
	c.write(s.request[first:])
	if s.holder && repeated {
		for range 200 {
			if got.Load() {
				holder.startHolder(g)
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	release()
	ended, err = c.readEnding(&got)
	if drainErr := <-drained; drainErr != nil {
		err = errors.Join(err, drainErr)
	}
	return ended, sentAt, err
}

const holderRequest = "POST /x HTTP/1.1\r\nHost: h\r\nId: 2\r\nContent-Length: 0\r\n\r\n"

// startHolder sends the rest of the other request and waits until it holds the instance or waits
// for it.
func (c *client) startHolder(g *Gateway) {
	c.t.Helper()
	before := g.inProgress.count()
	c.write(holderRequest[4:])
	for range 200 {
		if g.inProgress.count() > before {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
}
