//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[14] = playMovedStore }

const (
	// withdrawnKey is the API key that is taken away.
	withdrawnKey = "anfqasnmgkcuyj8pjbvk"
	// The bounds of the site sawt-muscat.
	contactTime    = 3 * time.Second
	configDeadline = 2 * time.Second
	outerTime      = 5 * time.Second
)

// playMovedStore changes the store's address in the settings files, as SIGHUP says, and then takes a key
// away. Without the trouble, only the key is taken away.
func playMovedStore(r *run) error {
	s, err := startStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", withKeys(7, apiKey, withdrawnKey))
	for n, zone := range zones {
		id := []string{"i-7f3a91c2", "i-02d9e6b4", "i-c41b7e09"}[n]
		if _, err := startServer(r, s, id, service, zone, 6, 15*time.Millisecond); err != nil {
			return err
		}
	}
	gateways, err := startGateways(r, s, len(zones))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		if err := moveStore(r, s, gateways); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second)
	s.put("config", "main", withKeys(8, apiKey))
	withdrawn := time.Now()
	r.note("version 8 takes the key %s away; the store has acknowledged it", withdrawnKey)
	time.Sleep(configDeadline + outerTime + time.Second)
	var mu sync.Mutex
	ran, refused, other := 0, 0, 0
	var clients sync.WaitGroup
	for _, g := range gateways {
		q := newRequester(r, g)
		q.key = withdrawnKey
		clients.Go(func() {
			for range 20 {
				res := q.send(http.MethodPost, "/purchase/2f", "pack=oman-female-2&price=4.500")
				mu.Lock()
				switch {
				case res.status == http.StatusOK && res.sealed:
					ran++
				case res.status == http.StatusUnauthorized:
					refused++
				default:
					other++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	r.note("sent %v and later after the key was taken away: %d ran, %d got 401, %d something else",
		(configDeadline + outerTime + time.Second), ran, refused, other)
	if ran > 0 {
		r.breaks("CONFIG: %d purchases with a key that was taken away ran, sent over %v after the ack", ran,
			(time.Since(withdrawn) - 3*time.Second).Round(time.Second))
	}
	if other > 0 && !r.trouble {
		return fmt.Errorf("%d purchases got another answer", other)
	}
	return nil
}

// withKeys returns a configuration whose tenant holds the given keys.
func withKeys(version int, keys ...string) map[string]any {
	c := configuration(version)
	c["tenants"] = []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1}}
	return c
}

// moveStore makes the store listen at another address, writes that into the settings files, sends SIGHUP
// and closes the former address.
func moveStore(r *run, s *store, gateways []*gatewayProcess) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	r.atEnd(func() { _ = server.Close() })
	for _, g := range gateways {
		text, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		moved := strings.ReplaceAll(string(text), s.address, l.Addr().String())
		if err := os.WriteFile(g.settings, []byte(moved), 0o600); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
		r.note("settings of %s changed, SIGHUP", g.name)
	}
	time.Sleep(2 * time.Second)
	s.close()
	r.note("the store's former address is closed")
	return nil
}
