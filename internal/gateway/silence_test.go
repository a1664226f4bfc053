package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/retry"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// silence is how long a sound instance writes nothing and then goes on.
const silence = 1200 * time.Millisecond

// newGatewayWithRepeats returns a gateway that may repeat requests, with one instance.
func newGatewayWithRepeats(t *testing.T, route routing.Route, instance http.Handler) *Gateway {
	t.Helper()
	g := newTestGateway(t, route, instance)
	g.budget = retry.NewBudget(retry.Limits{Window: 10 * time.Second, Reserve: 100}, func() int { return 1 }, time.Time{})
	return g
}

// addInstance adds an instance with slots to the directory of a gateway.
func addInstance(t *testing.T, g *Gateway, id string, slots int, instance http.Handler) {
	t.Helper()
	server := httptest.NewServer(instance)
	t.Cleanup(server.Close)
	g.directory.Update([]fleet.Record{{ID: id, Revision: 2, Instance: &fleet.Instance{
		ID: id, Service: "s", Slots: slots, Address: strings.TrimPrefix(server.URL, "http://"),
	}}}, time.Now())
}

// writePieces writes pieces of a response, each flushed, with a pause after the piece at
// index silentAfter.
func writePieces(w http.ResponseWriter, r *http.Request, pieces []string, silentAfter int) {
	w.Header().Set("Id", r.Header.Get("Id"))
	if silentAfter < 0 {
		time.Sleep(silence)
	}
	w.WriteHeader(http.StatusOK)
	for i, piece := range pieces {
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
		if i == silentAfter {
			time.Sleep(silence)
		}
	}
}

// streamPieces are the pieces of a stream of two events. The first one is empty: it ends the
// head of the response.
var streamPieces = []string{"", "id: 1\nda", "ta: x\n\n", "id: 2\ndata: y\n\n"}

const wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

var resumableRoute = routing.Route{Kind: routing.Streaming, Timeout: 10 * time.Second, MaxAttempts: 2, Resumable: true}

// Guards against streams that are cut because their sound instance is silent for a second,
// before its response, after the head, inside an event or between two, while no other
// instance can take them.
func TestStreamOfASilentInstanceIsNotCut(t *testing.T) {
	for _, silentAfter := range []int{-1, 0, 1, 2} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			g := newGatewayWithRepeats(t, resumableRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writePieces(w, r, streamPieces, silentAfter)
			}))
			resp := get(t, g)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, string(body), wholeStream)
		})
	}
}

// Guards against streams that are cut because the instance to which they move when their
// sound instance is silent refuses them, breaks off, answers with an error or is silent too.
func TestSilentStreamSurvivesAFailedMove(t *testing.T) {
	others := map[string]http.HandlerFunc{
		"refuses": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Refused", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"breaks off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"fails": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.WriteHeader(http.StatusInternalServerError)
		},
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, other := range others {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayWithRepeats(t, resumableRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writePieces(w, r, streamPieces, 2)
			}))
			resp := get(t, g)
			addInstance(t, g, "j", 1, other)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), wholeStream)
		})
	}
}

// Guards against idempotent requests that end with an error because their sound instance is
// silent for a second and no other instance can take them.
func TestResponseOfASilentInstanceIsAwaited(t *testing.T) {
	route := routing.Route{
		Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond,
	}
	g := newGatewayWithRepeats(t, route, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writePieces(w, r, []string{"answer"}, -1)
	}))
	resp := get(t, g)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "answer")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a connection that is closed without an answer because the instance broke
// off between the head of its response and the first event: nothing was written to the
// client yet, so it can be told.
func TestStreamThatBreaksBeforeItsFirstEventIsAnswered(t *testing.T) {
	route := routing.Route{Kind: routing.Streaming, Timeout: 5 * time.Second, MaxAttempts: 1}
	g := newGatewayWithRepeats(t, route, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	resp := get(t, g)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// Guards against a stream that waits for its deadline because the first successor is silent too.
func TestStreamLeavesASilentSuccessor(t *testing.T) {
	route := resumableRoute
	route.MaxAttempts = 4
	silent := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() }
	g := newGatewayWithRepeats(t, route, http.HandlerFunc(silent))
	addInstance(t, g, "j", 1, http.HandlerFunc(silent))
	addInstance(t, g, "k", 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writePieces(w, r, streamPieces, 99)
	}))
	begun := time.Now()
	resp := get(t, g)
	body, err := io.ReadAll(resp.Body)
	t.Logf("%v %v %d %q", time.Since(begun), err, resp.StatusCode, body)
	assert.Equal(t, string(body), wholeStream)
	assert.Assert(t, time.Since(begun) < 5*time.Second)
}

// Guards against an idempotent request that waits for its deadline because the first successor is silent too.
func TestRequestLeavesASilentSuccessor(t *testing.T) {
	route := routing.Route{Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 4, LatencyObjective: 100 * time.Millisecond}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	g := newGatewayWithRepeats(t, route, http.HandlerFunc(silent))
	addInstance(t, g, "j", 1, http.HandlerFunc(silent))
	addInstance(t, g, "k", 8, answerAll)
	begun := time.Now()
	resp := get(t, g)
	t.Log(time.Since(begun), resp.StatusCode)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// silentBetweenEvents sends the first event of a stream and the second one after 1.8 s.
var silentBetweenEvents = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(1800 * time.Millisecond)
	_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
})

// Guards against a sound stream that is left for a successor that ends before its first event.
func TestStreamIsNotLeftForASuccessorWithoutEvents(t *testing.T) {
	g := newGatewayWithRepeats(t, resumableRoute, silentBetweenEvents)
	resp := get(t, g)
	addInstance(t, g, "j", 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\n")
		_ = conn.Close()
	}))
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), wholeStream)
}

// Guards against a sound stream that is replaced by a successor without events, whose end looks complete.
func TestStreamIsNotLeftForAnEmptySuccessor(t *testing.T) {
	g := newGatewayWithRepeats(t, resumableRoute, silentBetweenEvents)
	resp := get(t, g)
	addInstance(t, g, "j", 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), wholeStream)
}

// Guards against a long response that is cut because its sound instance is silent within it.
func TestLongResponseOfASilentInstanceIsNotCut(t *testing.T) {
	for _, other := range []bool{false, true} {
		t.Run("", func(t *testing.T) {
			route := routing.Route{
				Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond,
			}
			long := strings.Repeat("x", maxBufferedBytes+1000)
			pause := 1200 * time.Millisecond
			g := newGatewayWithRepeats(t, route, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, long)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
				_, _ = io.WriteString(w, "rest")
			}))
			resp := get(t, g)
			if other {
				addInstance(t, g, "j", 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Id", r.Header.Get("Id"))
					_, _ = io.WriteString(w, long+"rest")
				}))
			}
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), len(long)+4)
		})
	}
}

// Guards against a true refusal that becomes a 502 because its instance was silent before it.
func TestRefusalAfterSilenceStaysARefusal(t *testing.T) {
	for _, kind := range []routing.Route{resumableRoute, {Kind: routing.Streaming, Timeout: 10 * time.Second, MaxAttempts: 1}} {
		t.Run("", func(t *testing.T) {
			g := newTestGateway(t, kind, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				time.Sleep(1800 * time.Millisecond)
				w.Header().Set("Refused", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			resp := get(t, g)
			b, _ := io.ReadAll(resp.Body)
			t.Logf("%d %s", resp.StatusCode, b)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		})
	}
}
