package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns an id that no other request has.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41000000000000+attempts.Add(1)) }

// result is how a request of an ordinary client ended.
type result struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 if there was no whole answer
	body   string
	err    error
}

// get sends an ordinary request on a new connection. header holds pairs of a name and a value.
func get(front, method, path string, deadline time.Duration, header ...string) result {
	r := result{id: newAttempt(), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+front+path, nil)
	if err != nil {
		r.err = err
		return r
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+apiKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: deadline}
	resp, err := client.Do(req)
	if err != nil {
		r.err, r.took = err, time.Since(r.sent)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.took, r.body = time.Since(r.sent), string(data)
	if r.err = err; err == nil {
		r.status = resp.StatusCode
	}
	return r
}

// requestText returns a request as it stands on the wire.
func requestText(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline: %d\r\nAuthorization: Token %s\r\n"+
		"X-Model: m0\r\nX-Token-Count: 760,171\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\nContent-Length: 0\r\n\r\n",
		method, path, host, id, deadline.Milliseconds(), apiKey)
}
