package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// Names of the configuration that all cases share.
const (
	host         = "ficu95.example"
	purchasePath = "/puxa403/"
	checkPath    = "/cufi504/"
	accounts     = "wuno96b"
)

var attempts atomic.Int64

// newID returns the id of a requester attempt.
func newID() string { return fmt.Sprintf("%08x%08x", began.Unix()&0xffffffff, attempts.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d sealed=%v %.60q", a.status, a.sealed, a.body)
}

// client is a requester with kept channels.
type client struct {
	http *http.Client
	key  string
}

func newClient(key string) *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}, key}
}

// send sends one requester attempt.
func (c *client) send(g *gateway, method, path, id string, body []byte, budget time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.GetBody = nil // this client repeats nothing by itself
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline", strconv.FormatInt(budget.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", string(data), err}
}

// isTimeout reports whether the client itself gave up.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// configuration returns the operator's configuration with two routes to one plain service.
func configuration(version int, tenants []tenant) map[string]any {
	return configurationWithTimeout(version, tenants, 2500*time.Millisecond)
}

// configurationWithTimeout is configuration with another timeout of the routes.
func configurationWithTimeout(version int, tenants []tenant, timeout time.Duration) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "slo_ms": 150,
			"priority": 2, "service": accounts, "max_attempts": attempts, "public": false, "sticky": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-purchase", purchasePath, "non_idempotent", 1), route("r-check", checkPath, "idempotent", 2),
		},
		"services": []any{
			map[string]any{"name": accounts, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants,
	}
}
