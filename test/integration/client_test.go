package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/callerapi"
	"github.com/nutmegroute/nutmegroute/internal/request"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// answer is the response to one streaming chat request, as its caller received it.
type answer struct {
	id, prompt string
	outcome    request.Outcome
	tokens     []string
	// done is true if the stream ended with [DONE], failed if the caller received
	// an error event or an error response, and broken if the connection failed.
	done, failed, broken bool
}

// unterminated reports whether the stream ended normally, but without [DONE] or an
// error event.
func (a answer) unterminated() bool { return !a.done && !a.failed && !a.broken }

// chat sends a streaming chat request. If onToken is not nil, chat calls it for
// each token with the number of tokens received so far.
func (c *cluster) chat(ctx context.Context, e *process, profile, prompt string, onToken func(a *answer, n int)) answer {
	a := answer{prompt: prompt}
	body, _ := json.Marshal(map[string]any{
		"model": profile, "stream": true, "messages": []any{map[string]string{"role": "user", "content": prompt}},
	})
	response, err := postJSON(ctx, "http://"+e.httpAddress+"/v1/chat/completions", body, "")
	if err != nil {
		a.broken = true
		return a
	}
	defer response.Body.Close()
	a.id = response.Header.Get(callerapi.HeaderRequestID)
	a.outcome = request.Outcome(response.Header.Get(callerapi.HeaderOutcome))
	if response.StatusCode != http.StatusOK {
		a.failed = true
		return a
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isEvent:
		case data == "[DONE]":
			a.done = true
		default:
			a.addEvent([]byte(data), onToken)
		}
	}
	// A failed connection gives an error. A stream that ends without [DONE] or an
	// error event gives none and is unterminated.
	a.broken = lines.Err() != nil
	return a
}

// addEvent adds the content of one event of the stream.
func (a *answer) addEvent(data []byte, onToken func(a *answer, n int)) {
	var event struct {
		Choices     []struct{ Delta struct{ Content *string } }
		Error       any
		Nutmegroute struct{ Outcome request.Outcome }
	}
	if err := json.Unmarshal(data, &event); err != nil {
		panic(err)
	}
	a.failed = a.failed || event.Error != nil
	if event.Nutmegroute.Outcome != "" {
		a.outcome = event.Nutmegroute.Outcome
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != nil {
			a.tokens = append(a.tokens, *choice.Delta.Content)
			if onToken != nil {
				onToken(a, len(a.tokens))
			}
		}
	}
}

// postJSON sends a request with the key of the test team and, unless key is empty,
// an idempotency key.
func postJSON(ctx context.Context, url string, body []byte, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		// After a connection failure the transport retries a request with this
		// header on its own, unless GetBody is nil.
		r.GetBody = nil
		r.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	return httpClient.Do(r)
}

// httpClient opens a connection for each request, so that no request uses a
// connection to an earlier process at the same address.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// purchase is the response to one call of the operation purchase of the account
// service.
type purchase struct {
	id, body string
	status   int
	outcome  request.Outcome
	replayed bool
}

// purchase calls the operation purchase through an entry.
func (c *cluster) purchase(ctx context.Context, e *process, key, body string) (purchase, error) {
	response, err := postJSON(ctx, "http://"+e.httpAddress+"/v1/services/"+serviceName+"/purchase", []byte(body), key)
	if err != nil {
		return purchase{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return purchase{
		id: response.Header.Get(callerapi.HeaderRequestID), body: string(data), status: response.StatusCode,
		outcome:  request.Outcome(response.Header.Get(callerapi.HeaderOutcome)),
		replayed: response.Header.Get(callerapi.HeaderReplayed) != "",
	}, err
}

// isPrefix reports whether the received tokens are a prefix of the reference answer
// to a's prompt.
func (a answer) isPrefix() bool {
	want := standinengine.Reference(model, modelLayers, a.prompt, 0)
	return len(a.tokens) <= len(want) && slices.Equal(a.tokens, want[:len(a.tokens)])
}

// uniquePrompt returns a prompt that contains number and whose answer has the given
// number of tokens.
func uniquePrompt(number, tokens int) string {
	return fmt.Sprintf("announcement %d for the morning train [[tokens=%d]]", number, tokens)
}

// checkComplete returns an error unless a is the complete answer to its prompt.
func (a answer) checkComplete() error {
	want := standinengine.Reference(model, modelLayers, a.prompt, 0)
	switch {
	case !a.done || a.failed || a.outcome != request.OutcomeCompleted:
		return fmt.Errorf("request %s ended with outcome %q, done %t, failed %t, broken %t after %d tokens",
			a.id, a.outcome, a.done, a.failed, a.broken, len(a.tokens))
	case !slices.Equal(a.tokens, want):
		return fmt.Errorf("request %s got %q instead of %q", a.id, a.tokens, want)
	}
	return nil
}

// notRunRequests collects the ids of the requests with the outcome not-run. mu
// guards ids.
type notRunRequests struct {
	mu  sync.Mutex
	ids []string
}

// add adds a request if its outcome is not-run.
func (n *notRunRequests) add(id string, outcome request.Outcome) {
	if outcome == request.OutcomeNotRun {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ids = append(n.ids, id)
	}
}

// checkNeverRun guards against a request that runs although it was answered not-run
// (I3). Tests call it after every process is unfrozen and every link is restored,
// so that delayed work has arrived.
func (n *notRunRequests) checkNeverRun(c *cluster) {
	c.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range n.ids {
		for _, e := range c.engines {
			assert.Equal(c.t, len(e.requestRuns(id)), 0, "%s ran request %s, which was answered not-run", e.id, id)
		}
		for _, execution := range c.service.Executions() {
			assert.Assert(c.t, execution.RequestID != id, "the service executed request %s, which was answered not-run", id)
		}
	}
	c.t.Logf("%d requests answered not-run", len(n.ids))
}

// checkExactlyOnce returns an error unless the engines other than the lost ones
// together ran each layer exactly once for each position of the answer, and no
// engine ran a layer twice for a position. The order needs no check: the result of
// the stand-in for a position depends on the order of all earlier positions, so a
// complete answer proves it.
func (c *cluster) checkExactlyOnce(a answer, lost ...*engineNode) error {
	// The end-of-sequence token takes one more step.
	positions := len(a.tokens) + 1
	sum := make([][]int, modelLayers)
	for layer := range sum {
		sum[layer] = make([]int, positions)
	}
	for _, e := range c.engines {
		for layer, counts := range e.requestRuns(a.id) {
			for p, n := range counts {
				switch {
				case p >= positions:
					return fmt.Errorf("%s ran position %d, which is after the end of the answer", e.id, p)
				case n > 1:
					return fmt.Errorf("%s ran position %d, layer %d, %d times", e.id, p, layer, n)
				}
				if !slices.Contains(lost, e) {
					sum[layer][p] += n
				}
			}
		}
	}
	for layer, counts := range sum {
		for p, n := range counts {
			if n != 1 {
				return fmt.Errorf("the surviving engines ran position %d, layer %d, %d times", p, layer, n)
			}
		}
	}
	return nil
}

// engineThatRan returns the engine, other than except, that has run a stage of a
// request, or nil if there is none.
func (c *cluster) engineThatRan(id string, stage int, except *engineNode) *engineNode {
	for _, e := range c.engines {
		if e.stage == stage && e != except && e.requestRuns(id) != nil {
			return e
		}
	}
	return nil
}
