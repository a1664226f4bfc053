package deployment_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/dev"
	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

const testTimeout = 60 * time.Second

func start(t *testing.T) *deployment.Deployment {
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

// answer is a streamed answer as its caller saw it.
type answer struct {
	id      string
	text    string
	outcome string
	done    bool
}

// stream sends a request and calls onToken with the number of tokens so far.
func stream(ctx context.Context, address, prompt string, onToken func(int)) (answer, error) {
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

func reference(prompt string) string {
	return strings.Join(standinengine.Reference("nutmeg-30", 30, prompt, 1024), "")
}

// Guards against answers that are cut, mixed up or run twice when many callers
// stream at once and one engine fails in the middle.
func TestConcurrentAnswersSurviveTheLossOfAnEngine(t *testing.T) {
	d := start(t)
	const callers = 60
	var wg sync.WaitGroup
	var fail sync.Once
	answers := make([]answer, callers)
	errs := make([]error, callers)
	prompt := func(i int) string { return fmt.Sprintf("request %d of many [[tokens=40]]", i) }
	for i := range callers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			answers[i], errs[i] = stream(ctx, d.Entries[i%2].CallerAddress(), prompt(i), func(n int) {
				if n == 20 {
					fail.Do(func() { d.Engines[2].SetControls(standinengine.Controls{Down: true}) })
				}
			})
		})
	}
	wg.Wait()
	for i, a := range answers {
		assert.NilError(t, errs[i])
		assert.Equal(t, a.outcome, "completed", "caller %d", i)
		assert.Assert(t, a.done)
		assert.Equal(t, a.text, reference(prompt(i)))
	}
	for i, e := range d.Engines {
		if i != 2 {
			runs := e.Runs()
			assert.Equal(t, runs.DuplicateCount, 0, "engine %d", i)
			assert.Equal(t, runs.GapCount, 0, "engine %d", i)
		}
	}
}
