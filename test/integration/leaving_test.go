package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// maxLeavingDelay is the longest time for which a leaving sidecar may still get new
// work (I5).
const maxLeavingDelay = 3 * time.Second

// load sends short chat requests from several callers until stop is called. Like a
// load balancer, a caller uses only entries that are ready. mu guards sendTimes and
// answers.
type load struct {
	mu sync.Mutex
	// sendTimes holds the time at which each answered request was sent, by request
	// id.
	sendTimes map[string]time.Time
	answers   []answer
	// stop ends the load and waits for the running requests.
	stop func()
}

// load starts a load with a number of callers.
func (c *cluster) load(ctx context.Context, callers int) *load {
	l := &load{sendTimes: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var number atomic.Int64
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				n := int(number.Add(1))
				e := c.entries[n%len(c.entries)]
				if !e.isReady() {
					continue
				}
				sent := time.Now()
				a := c.chat(context.WithoutCancel(ctx), e, "speech", uniquePrompt(n, 10+n%20), nil)
				l.mu.Lock()
				l.sendTimes[a.id] = sent
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	l.stop = func() {
		cancel()
		wg.Wait()
	}
	return l
}

// count returns the number of answers received so far.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// checkUninterrupted returns an error if an answer is incomplete or a stage of its
// chain was replaced. Recovery hides a replaced stage from the caller, but the
// replacement runs the same positions again, which the run counters show.
func (l *load) checkUninterrupted(c *cluster) error {
	for _, a := range l.answers {
		if err := errors.Join(a.checkComplete(), c.checkExactlyOnce(a)); err != nil {
			return fmt.Errorf("request %s, replaced stages %q: %w", a.id, c.replacedStages(a.id), err)
		}
	}
	return nil
}

// replacedStages returns the replacements of stages of a request that the entries
// have logged. Their reasons tell a planned stop from a stage that did not answer.
func (c *cluster) replacedStages(requestID string) []string {
	var replaced []string
	for _, e := range c.entries {
		for line := range strings.Lines(e.log.String()) {
			var l struct{ Event, Request, Lost, Replacement, Reason, Time string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Event == "NR1200" && l.Request == requestID {
				replaced = append(replaced, fmt.Sprintf("%s by %s at %s: %s", l.Lost, l.Replacement, l.Time, l.Reason))
			}
		}
	}
	return replaced
}

// Guards against new work at an engine whose sidecar is leaving, because of a signal
// or of its state in the instance list, and against the loss of work that the
// sidecar has accepted (I5).
func TestLeavingGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *cluster, e *engineNode){
		"signal": func(_ *cluster, e *engineNode) { e.terminate() },
		"list": func(c *cluster, e *engineNode) {
			// maxLeavingDelay starts when the instance list shows the change.
			const lag = time.Second
			c.platform.SetInstanceLag(lag)
			c.platform.MarkLeaving(e.id)
			time.Sleep(lag)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 2, replicas: 2})
			l := c.load(t.Context(), 12)
			c.waitFor("the first 50 answers", func() bool { return l.count() > 50 })
			// A long answer is in progress when the sidecar of its first stage starts
			// to leave.
			var long answer
			firstStage, ended := make(chan *engineNode, 1), make(chan struct{})
			go func() {
				defer close(ended)
				long = c.chat(t.Context(), c.entries[0], "speech", uniquePrompt(100000, 300), func(a *answer, n int) {
					if n == 5 {
						firstStage <- c.engineThatRan(a.id, 0, nil)
					}
				})
			}()
			var e *engineNode
			select {
			case e = <-firstStage:
			case <-ended:
				t.Fatalf("the long answer ended before a sidecar began to leave: %v", long.checkComplete())
			}
			leave(c, e)
			leavingSince := time.Now()
			c.checkRefusesSequences(e, leavingSince)
			// None of the requests that start after maxLeavingDelay may reach the engine.
			c.waitFor("50 requests after maxLeavingDelay", func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				count := 0
				for _, sent := range l.sendTimes {
					if sent.After(leavingSince.Add(maxLeavingDelay)) {
						count++
					}
				}
				return count >= 50
			})
			l.stop()
			<-ended
			assert.NilError(t, l.checkUninterrupted(c))
			assert.NilError(t, long.checkComplete())
			for id, sent := range l.sendTimes {
				if sent.After(leavingSince.Add(maxLeavingDelay)) {
					assert.Assert(t, e.requestRuns(id) == nil, "%s ran request %s, sent %s after the sidecar began to leave", e.id, id, sent.Sub(leavingSince))
				}
			}
			if name == "signal" {
				assert.Equal(t, e.exitCode(), 0)
			}
		})
	}
}

// unawareEntry is a peer in the role of an entry that ignores the announcement of a
// leaving sidecar, like an entry that was paused when the announcement arrived.
type unawareEntry struct{ answers chan *peer.SequenceOpened }

// Connected implements peer.Handler.
func (unawareEntry) Connected(*peer.Conn) {}

// HandleFrame implements peer.Handler.
func (s unawareEntry) HandleFrame(_ *peer.Conn, f peer.Frame) {
	if opened, ok := f.(*peer.SequenceOpened); ok {
		s.answers <- opened
	}
}

// Disconnected implements peer.Handler.
func (unawareEntry) Disconnected(*peer.Conn, error) {}

// checkRefusesSequences checks that the leaving sidecar refuses new sequences,
// because an entry may not know yet that the sidecar is leaving. The refusals must
// begin within maxLeavingDelay after leavingSince.
func (c *cluster) checkRefusesSequences(e *engineNode, leavingSince time.Time) {
	s := unawareEntry{make(chan *peer.SequenceOpened, 1)}
	node := peer.NewNode(peer.Hello{Role: peer.RoleEntry, ID: "stranger", Address: "127.0.0.1:1"}, s,
		func() uint64 { return 0 }, peer.Options{Secret: secret})
	defer node.Close()
	conn, err := node.Dial(c.t.Context(), e.listenAddress)
	assert.NilError(c.t, err)
	layers := e.allServers()[0].Info().Layers
	for {
		sent := time.Now()
		id := request.NewID()
		assert.NilError(c.t, conn.Send(&peer.OpenSequence{Request: id, Attempt: 1, Team: "team", DeadlineMillis: 30000, Model: model, Layers: layers}))
		select {
		case opened := <-s.answers:
			if opened.Refused == peer.RefusedLeaving {
				return
			}
		case <-conn.Done():
			c.t.Fatalf("%s closed the connection without refusing a sequence", e.id)
		}
		assert.NilError(c.t, conn.Send(&peer.CloseSequence{Request: id, Attempt: 1}))
		assert.Assert(c.t, sent.Before(leavingSince.Add(maxLeavingDelay)), "%s accepted a sequence %s after it began to leave", e.id, sent.Sub(leavingSince))
	}
}

// Guards against a cut stream or a refused request when every process is restarted
// gracefully, one after another, under load (I6).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, replicas: 2, services: 2})
	l := c.load(t.Context(), 16)
	stopPurchases := c.startPurchases(t.Context())
	for _, p := range c.processes {
		before := l.count()
		p.terminate()
		assert.Equal(t, p.exitCode(), 0, p.id)
		p.start()
		c.waitReady()
		c.waitFor("20 answers after the restart of "+p.id, func() bool { return l.count() >= before+20 })
	}
	l.stop()
	purchases := stopPurchases()
	assert.NilError(t, l.checkUninterrupted(c))
	for _, p := range purchases {
		assert.Equal(t, p.outcome, request.OutcomeCompleted, "%s: %d %s", p.id, p.status, p.body)
		assert.Equal(t, p.status, http.StatusOK)
	}
	t.Logf("%d answers and %d purchases during %d restarts", l.count(), len(purchases), len(c.processes))
}

// startPurchases sends purchases, one after another, to ready entries. The returned
// function stops the purchases and returns their answers.
func (c *cluster) startPurchases(ctx context.Context) func() []purchase {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var answers []purchase
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			e := c.entries[n%len(c.entries)]
			if !e.isReady() {
				continue
			}
			p, err := c.purchase(context.WithoutCancel(ctx), e, fmt.Sprintf("steady-%d", n), "{}")
			if err != nil {
				p.body = err.Error()
			}
			answers = append(answers, p)
		}
	})
	return func() []purchase {
		cancel()
		wg.Wait()
		return answers
	}
}
