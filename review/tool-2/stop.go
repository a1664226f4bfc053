package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGap is the pause between two events of 3 tokens: the sheets ask for 200 ms at most.
	stopGap   = 150 * time.Millisecond
	graceTime = 8 * time.Second
	// lateSend is when after the SIGTERM the requests that are judged are sent. Those sent up to
	// 3 s after it are excused when they are cut.
	lateSend     = 3200 * time.Millisecond
	keptChannels = 8
	// lateTokens is how many tokens these requests allow, all of which are made.
	lateTokens = 120
)

// stop: a gateway is stopped in calm while clients keep channels open. A request that it reads on
// such a channel and passes on has to be answered whole.
func stop(p *platform, trouble bool) (broken bool, err error) {
	p.store.put("config", "main", configuration(1, engineService(llm), streamRoute, lookupRoute))
	for i := range 4 {
		if _, err := p.startEngine(fmt.Sprintf("i-llm-%d", i), llm, "muscat-a", 192, serveTokens(stopGap)); err != nil {
			return false, err
		}
	}
	g, err := p.startGateway("edge-muscat-a-1", "muscat-a", limits{284, 4100})
	if err != nil {
		return false, err
	}
	short := []string{"X-Model", "m0", "X-Token-Count", "760,6", "X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:720"}
	if !waitFor(20*time.Second, func() bool { return get(g.front, "POST", "/guide/a", time.Second, short...).status == 200 }) {
		return false, fmt.Errorf("the gateway does not serve: %s", p.gatewayLog(g))
	}
	var kept []*channel
	for range keptChannels {
		c, err := openChannel(g.front)
		if err != nil {
			return false, err
		}
		defer c.close()
		if r := c.stream(6); r.status != 200 {
			return false, fmt.Errorf("a kept channel does not serve: %+v", r)
		}
		kept = append(kept, c)
	}
	// Ordinary streams are in progress all the while.
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			r := get(g.front, "POST", "/guide/a", 20*time.Second, "X-Model", "m0", "X-Token-Count", "760,171",
				"X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:720")
			p.logf("an ordinary stream from before: status %d after %.3f s, %v", r.status, r.took.Seconds(), r.err)
		})
	}
	time.Sleep(time.Second)
	terminated := time.Now()
	if trouble {
		p.logf("SIGTERM to the gateway")
		_ = g.command.Process.Signal(syscall.SIGTERM)
		go func() { // the platform's SIGKILL after the grace time
			time.Sleep(graceTime)
			if g.running() {
				p.logf("SIGKILL to the gateway after the grace time")
				_ = g.command.Process.Signal(syscall.SIGKILL)
			}
		}()
	}
	time.Sleep(time.Until(terminated.Add(lateSend)))
	var mu sync.Mutex
	lost := 0
	for _, c := range kept {
		wait.Go(func() {
			sent := time.Now()
			r := c.stream(lateTokens)
			p.logf("request %s on a kept channel, sent %.3f s after the SIGTERM: status %d, whole answer %v, %d bytes, ended after %.3f s: %v",
				r.id, sent.Sub(terminated).Seconds(), r.head, r.status != 0, len(r.body), r.took.Seconds(), r.err)
			mu.Lock()
			defer mu.Unlock()
			if r.status == 0 && p.passedOn(r.id) {
				lost++
			}
		})
	}
	wait.Wait()
	if trouble {
		<-g.ended
		p.logf("the gateway has ended %.3f s after the SIGTERM", time.Since(terminated).Seconds())
	}
	p.logf("%d of %d requests were passed on and got no whole answer", lost, keptChannels)
	return lost > 0, nil
}

// channel is a connection of a client that it uses for several requests, one after the other.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(front string) (*channel, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// channelResult is a result with the status of an answer that may not be whole.
type channelResult struct {
	result
	head int
}

// stream sends a request for a stream of some tokens and reads its answer to the end.
func (c *channel) stream(tokens int) channelResult {
	r := channelResult{result: result{id: newAttempt(), sent: time.Now()}}
	text := fmt.Sprintf("POST /guide/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline: 20000\r\nAuthorization: Token %s\r\n"+
		"X-Model: m0\r\nX-Token-Count: 760,%d\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\nContent-Length: 0\r\n\r\n",
		host, r.id, apiKey, tokens)
	if _, r.err = c.conn.Write([]byte(text)); r.err != nil {
		return r
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err, r.took = err, time.Since(r.sent)
		return r
	}
	r.head = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	r.body, r.took, r.err = string(data), time.Since(r.sent), err
	if err == nil {
		r.status = resp.StatusCode
	}
	return r
}
