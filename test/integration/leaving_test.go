package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/request"
)

// leavingLimit is the target of I5.
const leavingLimit = 3 * time.Second

// load sends short chat requests from several callers until stop is called.
// Like a load balancer, a caller uses only entries that are ready.
type load struct {
	mu      sync.Mutex
	started map[string]time.Time
	answers []answer
	stop    func()
}

func (c *cluster) load(ctx context.Context, callers int) *load {
	l := &load{started: make(map[string]time.Time)}
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
				a := c.chat(context.WithoutCancel(ctx), e, "speech", prompt(n, 10+n%20), nil)
				l.mu.Lock()
				l.started[a.id] = sent
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

// count returns the number of answers so far.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// undisturbed returns an error if an answer is not whole, or if a stage of it
// was replaced: recovery hides an interrupted stage from the caller, but costs
// a second run.
func (l *load) undisturbed(c *cluster) error {
	for _, a := range l.answers {
		if err := errors.Join(a.whole(), c.layersOnce(a)); err != nil {
			return err
		}
	}
	return nil
}

// Guards against new work at an engine whose sidecar is leaving, and against
// the loss of work that the sidecar had accepted (I5).
func TestLeavingGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *cluster, e *engineNode){
		"signal": func(_ *cluster, e *engineNode) { e.terminate() },
		"list": func(c *cluster, e *engineNode) {
			// The limit counts from the moment at which the list shows the change.
			const lag = time.Second
			c.platform.SetInstanceLag(lag)
			c.platform.MarkLeaving(e.id)
			time.Sleep(lag)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{entries: 2, replicas: 2})
			l := c.load(t.Context(), 12)
			c.wait("load", func() bool { return l.count() > 50 })
			// A long answer is in progress while the sidecar of its first stage
			// leaves.
			var long answer
			reached, ended := make(chan *engineNode, 1), make(chan struct{})
			go func() {
				defer close(ended)
				long = c.chat(t.Context(), c.entries[0], "speech", prompt(100000, 300), func(a *answer, n int) {
					if n == 5 {
						reached <- c.stageOf(a.id, 0, nil)
					}
				})
			}()
			e := <-reached
			leave(c, e)
			left := time.Now()
			c.refusesStranger(e, left)
			// Requests that start after the limit are the ones to judge.
			c.wait("requests after the limit", func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				late := 0
				for _, sent := range l.started {
					if sent.After(left.Add(leavingLimit)) {
						late++
					}
				}
				return late >= 50
			})
			l.stop()
			<-ended
			assert.NilError(t, l.undisturbed(c))
			assert.NilError(t, long.whole())
			for id, sent := range l.started {
				if sent.After(left.Add(leavingLimit)) {
					assert.Assert(t, e.runs(id) == nil, "%s ran request %s, sent %s after it began to leave", e.id, id, sent.Sub(left))
				}
			}
			if name == "signal" {
				assert.Equal(t, e.exitCode(), 0)
			}
		})
	}
}

// stranger is an entry that heeds no announcement, like one that was paused
// when it came.
type stranger struct{ answers chan *peer.SequenceOpened }

// Connected implements peer.Handler.
func (stranger) Connected(*peer.Conn) {}

// HandleFrame implements peer.Handler.
func (s stranger) HandleFrame(_ *peer.Conn, f peer.Frame) {
	if opened, ok := f.(*peer.SequenceOpened); ok {
		s.answers <- opened
	}
}

// Disconnected implements peer.Handler.
func (stranger) Disconnected(*peer.Conn, error) {}

// refusesStranger checks that the sidecar itself refuses a new sequence within
// the limit, because an entry may not know yet that it is leaving.
func (c *cluster) refusesStranger(e *engineNode, left time.Time) {
	s := stranger{make(chan *peer.SequenceOpened, 1)}
	node := peer.NewNode(peer.Hello{Role: peer.RoleEntry, ID: "stranger", Address: "127.0.0.1:1"}, s,
		func() uint64 { return 0 }, peer.Options{Secret: secret})
	defer node.Close()
	conn, err := node.Dial(c.t.Context(), e.listen)
	assert.NilError(c.t, err)
	layers := e.servers()[0].Info().Layers
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
			c.t.Fatalf("%s ended without refusing a sequence", e.id)
		}
		assert.NilError(c.t, conn.Send(&peer.CloseSequence{Request: id, Attempt: 1}))
		assert.Assert(c.t, sent.Before(left.Add(leavingLimit)), "%s accepts a sequence %s after it began to leave", e.id, sent.Sub(left))
	}
}

// Guards against a cut stream or a refused request during the planned restart
// of every process, one after another, under load (I6).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := start(t, shape{entries: 2, replicas: 2, services: 2})
	l := c.load(t.Context(), 16)
	buy := c.keepBuying(t.Context())
	for _, p := range c.all {
		before := l.count()
		p.terminate()
		assert.Equal(t, p.exitCode(), 0, p.id)
		p.start()
		c.ready()
		c.wait("answers after the restart of "+p.id, func() bool { return l.count() >= before+20 })
	}
	l.stop()
	purchases := buy()
	assert.NilError(t, l.undisturbed(c))
	for _, p := range purchases {
		assert.Equal(t, p.outcome, request.OutcomeCompleted, "%s: %d %s", p.id, p.status, p.body)
		assert.Equal(t, p.status, http.StatusOK)
	}
	t.Logf("%d answers and %d purchases during %d restarts", l.count(), len(purchases), len(c.all))
}

// keepBuying makes purchases at ready entries until the returned function is
// called, which returns the answers.
func (c *cluster) keepBuying(ctx context.Context) func() []purchase {
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
