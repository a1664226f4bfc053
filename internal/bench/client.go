package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// naivePause is the wait of the naive client before it repeats a request.
	naivePause = 100 * time.Millisecond
	// maxIdleConns keeps the callers' connections open between requests.
	maxIdleConns = 4096
)

var (
	contentMark   = []byte(`"content":" `)
	completedMark = []byte(`"outcome":"completed"`)
	dataMark      = []byte("data: ")
)

// client is a caller of the router.
type client struct {
	http     http.Client
	address  string
	deadline time.Duration
	// retry repeats a request that did not complete from its start, as a naive
	// caller does.
	retry bool
	// pause is the wait before a request is repeated.
	pause time.Duration
}

func newClient(address string, deadline time.Duration, retry bool) *client {
	return &client{
		http:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		address: address, deadline: deadline, retry: retry, pause: naivePause,
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// answer is what a caller got. Times count from when the request was due.
type answer struct {
	job       job
	id        string
	completed bool
	// firstToken and end are 0 if there was none.
	firstToken, end time.Duration
	// tokens are the arrival times of the tokens of the last attempt.
	tokens []time.Duration
	// received counts the tokens of all attempts.
	received int
	attempts int
}

// ask sends a request and reads the answer. onToken may be nil.
func (c *client) ask(ctx context.Context, j job, due time.Time, onToken func(n int, id string)) answer {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.deadline))
	defer cancel()
	a := answer{job: j}
	for {
		a.attempts++
		a.tokens = a.tokens[:0]
		a.completed = c.attempt(ctx, j, due, &a, onToken)
		a.end = time.Since(due)
		if a.completed || !c.retry || ctx.Err() != nil {
			return a
		}
		select {
		case <-time.After(c.pause):
		case <-ctx.Done():
			return a
		}
	}
}

func (c *client) attempt(ctx context.Context, j job, due time.Time, a *answer, onToken func(int, string)) bool {
	body, err := json.Marshal(map[string]any{
		"model": j.profile, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": j.prompt}},
	})
	if err != nil {
		return false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+keyOf(j.team))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	a.id = response.Header.Get("Nutmegroute-Request-Id")
	completed := false
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		line := lines.Bytes()
		if !bytes.HasPrefix(line, dataMark) {
			continue
		}
		completed = completed || bytes.Contains(line, completedMark)
		if !bytes.Contains(line, contentMark) {
			continue
		}
		now := time.Since(due)
		if a.firstToken == 0 {
			a.firstToken = now
		}
		a.tokens = append(a.tokens, now)
		a.received++
		if onToken != nil {
			onToken(len(a.tokens), a.id)
		}
	}
	return completed && ctx.Err() == nil
}

// load sends jobs at their times and waits for all answers.
func (c *client) load(ctx context.Context, jobs []job) []answer {
	answers := make([]answer, len(jobs))
	start := time.Now()
	var wg sync.WaitGroup
	for i, j := range jobs {
		due := start.Add(j.at)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		wg.Go(func() { answers[i] = c.ask(ctx, j, due, nil) })
	}
	wg.Wait()
	return answers
}
