package deployment_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/dev"
	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const testTimeout = 60 * time.Second

// startDeployment starts the development deployment, publishes its configuration
// and waits until it is ready.
func startDeployment(t *testing.T) *deployment.Deployment {
	t.Helper()
	options := dev.Options("127.0.0.1:0", "127.0.0.1:0")
	options.Entry.DrainDelay = time.Millisecond
	d, err := deployment.Start(options)
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, dev.Configure(ctx, d))
	assert.NilError(t, d.WaitReady(ctx))
	return d
}

// answer is a streamed answer, as its caller received it.
type answer struct {
	id      string
	text    string
	outcome string
	done    bool
}

// streamChat sends a streaming chat request and calls onToken for each token with the
// number of tokens received so far.
func streamChat(ctx context.Context, address, prompt string, onToken func(int)) (answer, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, dev.ProfileName, prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header.Set("Authorization", "Bearer "+dev.SmallTeamKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	a := answer{id: response.Header.Get("Nutmegroute-Request-Id"), outcome: response.Header.Get("Nutmegroute-Outcome")}
	tokens := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string } `json:"delta"`
			} `json:"choices"`
			Nutmegroute struct{ Outcome string } `json:"nutmegroute"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return a, err
		}
		if chunk.Nutmegroute.Outcome != "" {
			a.outcome = chunk.Nutmegroute.Outcome
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			a.text += chunk.Choices[0].Delta.Content
			tokens++
			onToken(tokens)
		}
	}
	return a, nil
}

// referenceAnswer returns the text of the complete answer to a prompt.
func referenceAnswer(prompt string) string {
	return strings.Join(standinengine.Reference("nutmeg-30", 30, prompt, 1024), "")
}

// Guards against answers that are cut, mixed up or run twice when many callers stream
// concurrently and one engine fails in the middle of an answer.
func TestConcurrentStreamsWithFailedEngine(t *testing.T) {
	d := startDeployment(t)
	const callers = 60
	var wg sync.WaitGroup
	var failOnce sync.Once
	answers := make([]answer, callers)
	errs := make([]error, callers)
	prompt := func(i int) string { return fmt.Sprintf("request %d of many [[tokens=40]]", i) }
	for i := range callers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			answers[i], errs[i] = streamChat(ctx, d.Entries[i%2].CallerAddress(), prompt(i), func(n int) {
				if n == 20 {
					failOnce.Do(func() { d.Engines[2].SetControls(standinengine.Controls{Down: true}) })
				}
			})
		})
	}
	wg.Wait()
	for i, a := range answers {
		assert.NilError(t, errs[i])
		assert.Equal(t, a.outcome, "completed", "caller %d", i)
		assert.Assert(t, a.done)
		assert.Equal(t, a.text, referenceAnswer(prompt(i)))
	}
	response, err := http.Get("http://" + d.Entries[0].CallerAddress() + "/metrics")
	assert.NilError(t, err)
	page, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(string(page), "nutmegroute_first_token_seconds"), "%s", page)
	for i, e := range d.Engines {
		if i != 2 {
			runs := e.Runs()
			assert.Equal(t, runs.DuplicateCount, 0, "engine %d", i)
			assert.Equal(t, runs.GapCount, 0, "engine %d", i)
		}
	}
}

// applyChange publishes a configuration object.
func applyChange(ctx context.Context, t *testing.T, d *deployment.Deployment, kind config.Kind, name string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, d.Apply(ctx, config.Proposal{
		ID: uuid.NewString(), Author: "test", Kind: kind, Name: name, Value: data,
	}))
}

// Guards against a change of the model version that interrupts answers, mixes
// versions in one chain, or does not reach every engine.
func TestVersionChangeUnderLoad(t *testing.T) {
	d := startDeployment(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d request %d [[tokens=20]]", i, n)
				a, err := streamChat(ctx, d.Entries[i%2].CallerAddress(), prompt, func(int) {})
				assert.Check(t, err)
				assert.Check(t, a.outcome == "completed" && a.text == referenceAnswer(prompt), "%+v", a)
			}
		})
	}
	for stage := range 3 {
		group := fmt.Sprintf("nutmeg-30-stage%d", stage)
		applyChange(ctx, t, d, config.KindPlacement, group, config.Placement{Name: group, Version: "2"})
	}
	for _, e := range d.Engines {
		for e.Info().Version != "2" {
			assert.NilError(t, ctx.Err())
			time.Sleep(10 * time.Millisecond)
		}
	}
	close(stop)
	wg.Wait()
	for _, e := range d.Engines {
		orders := e.Orders()
		assert.Equal(t, len(orders), 1)
		assert.Assert(t, orders[0].Fencing > 0)
	}
}

// Guards against goroutines that outlive the processes of a deployment, also after
// callers that disconnected in the middle of a stream.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
		os.Exit(code)
	}))
}

// Guards against a sequence that continues at the stages after its caller
// disconnected.
func TestDisconnectedCallerEndsSequence(t *testing.T) {
	d := startDeployment(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	callerCtx, disconnect := context.WithCancel(ctx)
	_, err := streamChat(callerCtx, d.Entries[0].CallerAddress(), "a long answer [[tokens=100000]]", func(n int) {
		if n == 3 {
			disconnect()
		}
	})
	assert.Assert(t, callerCtx.Err() != nil, "%v", err)
	for kvUsed := 1; kvUsed > 0; time.Sleep(10 * time.Millisecond) {
		assert.NilError(t, ctx.Err())
		kvUsed = 0
		for _, e := range d.Engines {
			load := e.Load()
			kvUsed += load.KVUsed
		}
	}
}
