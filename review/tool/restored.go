package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["restored"] = runRestored }

const (
	// storeAway is how long the store is away before it comes back from the copy.
	storeAway = 500 * time.Millisecond
	// writtenAgain is how long after the store's return the operator writes the newest
	// configuration again.
	writtenAgain = 6 * time.Second
	// contact and configDeadline are contact_ms and config_deadline_ms.
	contact        = 3 * time.Second
	configDeadline = 2 * time.Second
)

// runRestored takes a key away. Then one of two gateways is stopped as planned, and while it stops,
// the store comes back from a copy that still holds the key.
func runRestored(dir string) {
	st, err := newStore()
	if err != nil {
		fail("%v", err)
	}
	rs := &runs{}
	kept, withdrawn := "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
	st.put("config", "main", configuration(5, []tenant{{"hule930", []string{kept, withdrawn}, 1}}))
	zones := []string{"muscat-a", "muscat-b"}
	var gateways []*gateway
	for _, zone := range zones {
		if _, err := startPlainServer(st, rs, "i-accounts-"+zone, accounts, zone, 6, 15*time.Millisecond); err != nil {
			fail("%v", err)
		}
		g, err := startGateway(dir, "edge-"+zone+"-1", zone, st.address)
		if err != nil {
			fail("%v", err)
		}
		cleanups = append(cleanups, g.kill)
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if !g.awaitReady(10 * time.Second) {
			fail("the gateway %s is not ready", g.name)
		}
	}
	time.Sleep(4 * time.Second)
	buy := func(g *gateway, key string) (answer, int) {
		id := newID()
		a := newClient(key).send(g, http.MethodPost, purchasePath+"buy", id, []byte("{}"), 2500*time.Millisecond)
		note("purchase %s at %s with key %s: %v; runs: %d", id, g.name, key, a, rs.of(id))
		return a, rs.of(id)
	}
	for _, g := range gateways {
		if a, _ := buy(g, withdrawn); a.status != http.StatusOK {
			fail("the key before it is taken away: %v", a)
		}
	}
	older := st.copyNow()
	newest := configuration(7, []tenant{{"hule930", []string{kept}, 1}})
	st.put("config", "main", newest)
	acked := time.Now()
	note("the store acknowledges version 7, without the key %s", withdrawn)
	time.Sleep(configDeadline + time.Second)
	for _, g := range gateways {
		if a, _ := buy(g, withdrawn); a.status != http.StatusUnauthorized {
			fail("the key after it was taken away: %v", a)
		}
	}
	g := gateways[1]
	note("SIGTERM to %s; the platform starts it again", g.name)
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if disrupted {
		note("the store is away")
		st.leave()
		time.Sleep(storeAway)
		st.restore(older)
		note("the store is back from a copy that was made %.1f s ago, with version 5", time.Since(acked).Seconds())
	}
	back := time.Now()
	for g.startCount() < 2 {
		if time.Since(back) > 8*time.Second {
			fail("the gateway has not ended")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !g.awaitReady(5 * time.Second) {
		fail("the gateway is not ready after its restart")
	}
	started := time.Now()
	from := started.Add(contact)
	if atStore := back.Add(contact); atStore.After(from) {
		from = atStore
	}
	time.Sleep(time.Until(from.Add(200 * time.Millisecond)))
	ran, sent := 0, 0
	for time.Since(back) < writtenAgain {
		if _, n := buy(g, withdrawn); n > 0 {
			ran++
		}
		buy(gateways[0], withdrawn)
		sent++
		time.Sleep(200 * time.Millisecond)
	}
	st.put("config", "main", newest)
	note("the operator has written version 7 again, %.1f s after the store's return", time.Since(back).Seconds())
	time.Sleep(configDeadline + 500*time.Millisecond)
	buy(g, withdrawn)
	verdict(ran > 0, "%d of %d purchases with a key that version 7 had taken away were run, over %v after the start of the gateway"+
		" and after the store's return", ran, sent, contact)
}
