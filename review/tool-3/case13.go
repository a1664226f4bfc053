//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[13] = playKilledServer }

const (
	modelHost    = "speech.example"
	modelService = "speech-lm"
	// streamsEach is the number of streams at a time at each gateway, under the slots of a server.
	streamsEach = 80
)

// modelConfiguration returns a configuration with a route of streams that may be resumed and a model of a
// few layers, which each server can hold alone.
func modelConfiguration(version int) map[string]any {
	c := configuration(version)
	c["routes"] = []any{map[string]any{
		"name": "rewrite", "host": modelHost, "path_prefix": "/rewrite/", "kind": "streaming", "timeout_ms": 20000, "slo_ms": 500,
		"priority": 1, "service": modelService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_slo_ms": 200,
	}}
	c["services"] = []any{map[string]any{
		"name": modelService, "health_path": "/health", "max_conns": 1128, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity": 100000, "kv_token_bytes": 91800, "link_mbps": 400000.0, "stride": 3,
			"models":  []any{map[string]any{"name": "m0", "pace": 1.0, "load_s": 1.0, "warm_s": 1.0}},
			"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
			"chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 5, "usual": map[string]any{"prompt": 774, "answer": 200},
			"layers": modelLayers, "layer_mb": 1750.0, "act_bytes": 45900, "pipe_mbps": 26000.0,
			"kinds": []any{map[string]any{"name": "l4", "mb": 21600.0, "pace": 16.0, "read_factor": 8.2}},
		},
	}}
	return c
}

// streamResult is what a requester has got of a stream.
type streamResult struct {
	id       string
	status   int
	pieces   int
	complete bool
	disorder bool
	err      error
}

// playKilledServer kills a model server in the middle of streams of which a few have no length.
func playKilledServer(r *run) error {
	s, err := startStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", modelConfiguration(7))
	var engines []*engineProcess
	for n, zone := range zones {
		e, err := startEngine(r, s, []string{"i-7f3a91c2", "i-02d9e6b4", "i-c41b7e09"}[n], zone)
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	gateways, err := startGateways(r, s, len(zones))
	if err != nil {
		return err
	}
	if err := awaitStream(r, gateways); err != nil {
		return err
	}
	var mu sync.Mutex
	var results []streamResult
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range streamsEach * len(gateways) {
		q := newRequester(r, gateways[n%len(gateways)])
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				res := q.stream("")
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if !res.complete {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("for %v, %.2f of the answers of server %s have no length", unframedTime, unframedShare, engines[0].id)
		_ = engines[0].cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(4 * time.Second)
		r.note("server %s in %s is killed", engines[0].id, engines[0].zone)
		_ = engines[0].cmd.Process.Kill()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	judgeOrder(r, results)
	return nil
}

// awaitStream waits until a stream of each gateway is complete.
func awaitStream(r *run, gateways []*gatewayProcess) error {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		served := 0
		for _, g := range gateways {
			if res := newRequester(r, g).stream(""); res.complete && res.pieces == streamPieces {
				served++
			}
		}
		if served == len(gateways) {
			return nil
		}
	}
	return fmt.Errorf("no streams are served")
}

// stream asks for a stream from its start, or after the event last.
func (q *requester) stream(last string) streamResult {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	res := streamResult{id: id}
	req, err := http.NewRequest(http.MethodPost, "http://"+q.to.front+"/rewrite/2f", strings.NewReader("prompt"))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = modelHost
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline": "20000", "X-Model": "m0", "X-Token-Count": "800,120", "X-Length-Hint": "120",
		"X-Prompt-Prefix": "5c1e07a2:40," + id + ":760", "Authorization": "Token " + q.key,
	} {
		req.Header.Set(name, value)
	}
	q.run.note("sent stream %s to %s", id, q.to.name)
	resp, err := q.client.Do(req)
	if err != nil {
		res.err = err
		q.run.note("no answer to %s: %v", id, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		res.pieces++
		res.disorder = res.disorder || text != fmt.Sprint(res.pieces)
	}
	res.err = lines.Err()
	res.complete = res.status == http.StatusOK && res.err == nil
	q.run.note("stream %s ended: status %d, %d of %d pieces, complete %t, %v", id, res.status, res.pieces, streamPieces, res.complete, res.err)
	return res
}

// judgeOrder checks ORDER: pieces come once and in order, and no stream ends as complete before its last
// piece.
func judgeOrder(r *run, results []streamResult) {
	whole, early, disorder, other := 0, 0, 0, 0
	for _, res := range results {
		switch {
		case res.disorder:
			disorder++
		case res.complete && res.pieces < streamPieces:
			early++
		case res.complete:
			whole++
		default:
			other++
		}
	}
	r.note("%d streams: %d whole, %d ended as complete before the last piece, %d out of order, %d refused or seen as broken off",
		len(results), whole, early, disorder, other)
	if early+disorder > 0 {
		r.breaks("ORDER: %d of %d streams ended as complete before their last piece, %d out of order", early, len(results), disorder)
	}
}
