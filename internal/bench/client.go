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
	// naiveRetryDelay is how long the naive client waits before a retry.
	naiveRetryDelay = 100 * time.Millisecond
	// maxIdleConns is high enough to keep the connections of all callers open
	// between requests.
	maxIdleConns = 4096
)

var (
	contentMarker   = []byte(`"content":" `)
	completedMarker = []byte(`"outcome":"completed"`)
	dataPrefix      = []byte("data: ")
)

// client sends requests to an entry as a caller does.
type client struct {
	http     http.Client
	address  string
	deadline time.Duration
	// retryFailed makes the client send a request that did not complete again
	// from its start, as a naive caller does.
	retryFailed bool
	// retryDelay is the wait before a retry.
	retryDelay time.Duration
}

func newClient(address string, deadline time.Duration, retryFailed bool) *client {
	return &client{
		http:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		address: address, deadline: deadline, retryFailed: retryFailed, retryDelay: naiveRetryDelay,
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// requestResult is what a caller received for one job. Durations count from the
// time at which the request was due.
type requestResult struct {
	job       job
	requestID string
	completed bool
	// firstToken is when the first token arrived, end when the request ended;
	// each is 0 if that was not observed.
	firstToken, end time.Duration
	// tokens are the arrival times of the tokens of the last attempt.
	tokens []time.Duration
	// receivedTokens is the number of tokens of all attempts.
	receivedTokens int
	attempts       int
}

// send sends the request of a job, reads the streamed response, and retries if
// retryFailed is set. It calls onToken, unless nil, for each token with the number
// of tokens of the current attempt and the request ID.
func (c *client) send(ctx context.Context, j job, due time.Time, onToken func(n int, id string)) requestResult {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.deadline))
	defer cancel()
	result := requestResult{job: j}
	for {
		result.attempts++
		result.tokens = result.tokens[:0]
		result.completed = c.attempt(ctx, j, due, &result, onToken)
		result.end = time.Since(due)
		if result.completed || !c.retryFailed || ctx.Err() != nil {
			return result
		}
		select {
		case <-time.After(c.retryDelay):
		case <-ctx.Done():
			return result
		}
	}
}

// attempt sends the request once, adds the tokens of the response to result, and
// reports whether the response completed before the deadline.
func (c *client) attempt(ctx context.Context, j job, due time.Time, result *requestResult, onToken func(int, string)) bool {
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
	r.Header.Set("Authorization", "Bearer "+apiKey(j.team))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	result.requestID = response.Header.Get("Nutmegroute-Request-Id")
	completed := false
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		line := lines.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		completed = completed || bytes.Contains(line, completedMarker)
		if !bytes.Contains(line, contentMarker) {
			continue
		}
		now := time.Since(due)
		if result.firstToken == 0 {
			result.firstToken = now
		}
		result.tokens = append(result.tokens, now)
		result.receivedTokens++
		if onToken != nil {
			onToken(len(result.tokens), result.requestID)
		}
	}
	return completed && ctx.Err() == nil
}

// sendAll sends each job at its arrival time, without waiting for earlier ones,
// and returns the results when all have ended.
func (c *client) sendAll(ctx context.Context, jobs []job) []requestResult {
	results := make([]requestResult, len(jobs))
	start := time.Now()
	var wg sync.WaitGroup
	for i, j := range jobs {
		due := start.Add(j.arrival)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		wg.Go(func() { results[i] = c.send(ctx, j, due, nil) })
	}
	wg.Wait()
	return results
}
