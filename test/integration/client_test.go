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

// answer is what a caller got for one chat request.
type answer struct {
	id, prompt string
	outcome    request.Outcome
	tokens     []string
	// done is true if the stream ended with [DONE], failed if an error event or
	// an error response came, and broken if the connection ended before either.
	done, failed, broken bool
}

// silent reports a stream that ended without saying how.
func (a answer) silent() bool { return !a.done && !a.failed && !a.broken }

// chat sends a streaming request and calls onToken with the number of tokens
// received, from the reading goroutine.
func (c *cluster) chat(ctx context.Context, e *process, profile, prompt string, onToken func(a *answer, n int)) answer {
	a := answer{prompt: prompt}
	body, _ := json.Marshal(map[string]any{
		"model": profile, "stream": true, "messages": []any{map[string]string{"role": "user", "content": prompt}},
	})
	response, err := post(ctx, "http://"+e.status+"/v1/chat/completions", body, "")
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
			a.event([]byte(data), onToken)
		}
	}
	// A connection that breaks gives an error; a stream that just ends gives
	// none and counts as silent.
	a.broken = lines.Err() != nil
	return a
}

func (a *answer) event(data []byte, onToken func(a *answer, n int)) {
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

func post(ctx context.Context, url string, body []byte, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		// The transport would repeat a request with this header by itself when a
		// connection breaks, unless the body can't be read again.
		r.GetBody = nil
		r.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	return callers.Do(r)
}

// callers opens a connection for each request, so that each request meets the
// entry as it is now.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// purchase is the answer to one call of the account service.
type purchase struct {
	id, body string
	status   int
	outcome  request.Outcome
	replayed bool
}

func (c *cluster) purchase(ctx context.Context, e *process, key, body string) (purchase, error) {
	response, err := post(ctx, "http://"+e.status+"/v1/services/"+serviceName+"/purchase", []byte(body), key)
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

// prefix reports whether the tokens are the beginning of a's own answer.
func (a answer) prefix() bool {
	want := standinengine.Reference(model, modelLayers, a.prompt, 0)
	return len(a.tokens) <= len(want) && slices.Equal(a.tokens, want[:len(a.tokens)])
}

// prompt returns a prompt that differs from all others of the test.
func prompt(number, tokens int) string {
	return fmt.Sprintf("announcement %d for the morning train [[tokens=%d]]", number, tokens)
}

// whole returns an error unless a is the complete answer to its own prompt.
func (a answer) whole() error {
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

// notRun collects the requests whose response said not-run.
type notRun struct {
	mu  sync.Mutex
	ids []string
}

func (n *notRun) add(id string, outcome request.Outcome) {
	if outcome == request.OutcomeNotRun {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ids = append(n.ids, id)
	}
}

// check guards against a request that runs although its caller was told that
// it was not run (I3). It is called when every process has been thawed and
// every link restored, so that delayed work has had its chance.
func (n *notRun) check(c *cluster) {
	c.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range n.ids {
		for _, e := range c.engines {
			assert.Equal(c.t, len(e.runs(id)), 0, "%s ran request %s, which was answered not-run", e.id, id)
		}
		for _, x := range c.service.Executions() {
			assert.Assert(c.t, x.RequestID != id, "the service executed request %s, which was answered not-run", id)
		}
	}
	c.t.Logf("%d requests answered not-run", len(n.ids))
}

// layersOnce returns an error unless the engines other than the lost ones ran
// each position of an answer exactly once in each layer, and no engine ran one
// twice. The order needs no counter: the stand-in's result for a position
// depends on the order of all earlier ones, so a whole answer shows it.
func (c *cluster) layersOnce(a answer, lost ...*engineNode) error {
	// The end takes a step of its own.
	positions := len(a.tokens) + 1
	sum := make([][]int, modelLayers)
	for layer := range sum {
		sum[layer] = make([]int, positions)
	}
	for _, e := range c.engines {
		for layer, counts := range e.runs(a.id) {
			for p, n := range counts {
				switch {
				case p >= positions:
					return fmt.Errorf("%s ran position %d after the end", e.id, p)
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

// stageOf returns the engine that runs a stage of a request, other than
// except.
func (c *cluster) stageOf(id string, stage int, except *engineNode) *engineNode {
	for _, e := range c.engines {
		if e.stage == stage && e != except && e.runs(id) != nil {
			return e
		}
	}
	return nil
}
