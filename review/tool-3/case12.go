//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[12] = playUnreadableEntries }

const (
	// unreadableEntries is the number of entries of another writer, unreadableBytes the size of each: just
	// under value_bytes.
	unreadableEntries = 128
	unreadableBytes   = valueBytes - 64
	valueBytes        = 1 << 20
	// restartDelay is the time between the end of a process and its restart, recoveryTime recovery_s.
	restartDelay = 900 * time.Millisecond
	recoveryTime = 12 * time.Second
	// drainTime is drain_ms; drainMargin is added to it.
	drainTime   = 2 * time.Second
	drainMargin = 500 * time.Millisecond
)

// playUnreadableEntries leaves entries among the servers that can't be read, and kills all gateways, which
// are started again. Without the trouble, there are no such entries.
func playUnreadableEntries(r *run) error {
	s, err := startStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", configuration(7))
	var servers []*server
	for n, zone := range zones {
		id := []string{"i-7f3a91c2", "i-02d9e6b4", "i-c41b7e09"}[n]
		v, err := startServer(r, s, id, service, zone, 6, 15*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, v)
	}
	gateways, err := startGateways(r, s, len(zones))
	if err != nil {
		return err
	}
	s.setPace(4*time.Millisecond, 125e6) // as the sheet says: 4 ms an answer, 1,000 Mbit/s
	if r.trouble {
		text := strings.Repeat("x", unreadableBytes)
		for n := range unreadableEntries {
			s.put("servers", fmt.Sprintf("dump-%03d", n), text)
		}
		r.note("another writer has left %d entries of %d bytes that hold no server", unreadableEntries, unreadableBytes)
	}
	time.Sleep(time.Second)
	before, _, err := servedShare(r, gateways, 4*time.Second)
	if err != nil {
		return err
	}
	servers[0].drain()
	r.note("%s is draining; the store has acknowledged it", servers[0].id)
	time.Sleep(drainTime + drainMargin)
	_, late, err := servedShare(r, gateways, 2*time.Second)
	if err != nil {
		return err
	}
	if n := servers[0].runs(late); n > 0 {
		r.breaks("DRAIN: %d of %d requests sent %v and more after the ack reached the server that is draining", n, len(late), drainTime+drainMargin)
	}
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
	}
	r.note("all gateways are killed")
	time.Sleep(restartDelay)
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	r.note("all gateways are started again")
	time.Sleep(recoveryTime)
	after, _, err := servedShare(r, gateways, 8*time.Second)
	if err != nil {
		return err
	}
	if before >= 0.25 && after < 0.25 {
		r.breaks("RECOVER: %.3f of the requests sent %v and more after the gateways were back are served, %.3f before they were killed",
			after, recoveryTime, before)
	}
	return nil
}

// servedShare sends requests to all gateways for a time and returns the share that is served, and the ids of
// all requests.
func servedShare(r *run, gateways []*gatewayProcess, d time.Duration) (share float64, ids []string, err error) {
	var mu sync.Mutex
	sent, served := 0, 0
	statuses := make(map[int]int)
	end := time.Now().Add(d)
	var clients sync.WaitGroup
	for n := range 2 * len(gateways) {
		q := newRequester(r, gateways[n%len(gateways)])
		clients.Go(func() {
			for time.Now().Before(end) {
				res := q.send(http.MethodPost, "/purchase/2f", "pack=oman-female-2&price=4.500")
				mu.Lock()
				sent++
				ids = append(ids, res.id)
				statuses[res.status]++
				if res.status == http.StatusOK && res.sealed {
					served++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	r.note("%d requests sent, %d served; by status: %v", sent, served, statuses)
	if sent == 0 {
		return 0, nil, fmt.Errorf("no requests were sent")
	}
	return float64(served) / float64(sent), ids, nil
}
