//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Names of the configuration.
const (
	host    = "accounts.example"
	apiKey  = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	service = "accounts"
	// The time budget of requests to accounts.
	budgetMS = 600
)

// configuration returns the configuration of a small deployment: purchases that run at most once and
// licence checks that may be repeated.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": budgetMS, "slo_ms": 100,
			"priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("purchase", "/purchase/", "non_idempotent", 1), route("check", "/check/", "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []any{apiKey}, "priority": 1}},
	}
}

// requester sends requests over a channel that it keeps.
type requester struct {
	run    *run
	to     *gatewayProcess
	client *http.Client
	key    string
}

// lastID numbers the requests of all requesters.
var lastID atomic.Int64

func newRequester(r *run, to *gatewayProcess) *requester {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	r.atEnd(transport.CloseIdleConnections)
	return &requester{run: r, to: to, key: apiKey, client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

// result is what a requester has got.
type result struct {
	id       string
	method   string
	status   int
	sealed   bool
	complete bool
	body     string
	err      error
}

// send sends one request and records it with its answer.
func (q *requester) send(method, path, body string) result {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	res := result{id: id, method: method}
	req, err := http.NewRequest(method, "http://"+q.to.front+path, strings.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline", fmt.Sprint(budgetMS))
	req.Header.Set("Authorization", "Token "+q.key)
	q.run.note("sent %s %s to %s", method, id, q.to.name)
	sent := time.Now()
	resp, err := q.client.Do(req)
	if err != nil {
		res.err = err
		q.run.note("no answer to %s: %v", id, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	res.status, res.sealed, res.complete, res.body, res.err = resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", err == nil, string(data), err
	q.run.note("answer to %s: %d, sealed %t, after %d ms: %.60q", id, res.status, res.sealed, time.Since(sent).Milliseconds(), res.body)
	return res
}
