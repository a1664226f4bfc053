package main

import (
	"net/http"
	"time"
)

func init() { cases["keys"] = runKeys }

// runKeys takes away the keys of a deployment's only tenant, of which requests are sent before and
// after it. Without the disruption the tenant keeps one of its two keys.
func runKeys(dir string) {
	st, err := newStore()
	if err != nil {
		fail("%v", err)
	}
	rs := &runs{}
	oldKey, otherKey, foreignKey := "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zz9never0held0by0anyone"
	name := "hule930"
	st.put("config", "main", configuration(7, []tenant{{name, []string{oldKey, otherKey}, 1}}))
	for _, zone := range []string{"muscat-a", "muscat-b", "muscat-c"} {
		if _, err := startPlainServer(st, rs, "i-accounts-"+zone, accounts, zone, 6, 15*time.Millisecond); err != nil {
			fail("%v", err)
		}
	}
	g, err := startGateway(dir, "edge-muscat-a-1", "muscat-a", st.address)
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, g.kill)
	if !g.awaitReady(10 * time.Second) {
		fail("the gateway is not ready")
	}
	holder, foreign := newClient(oldKey), newClient(foreignKey)
	time.Sleep(4 * time.Second)
	if a := holder.send(g, http.MethodPost, purchasePath+"buy", newID(), []byte("{}"), 2500*time.Millisecond); a.status != 200 {
		fail("a proper request before the change: %v", a)
	}
	if a := foreign.send(g, http.MethodPost, purchasePath+"buy", newID(), []byte("{}"), 2500*time.Millisecond); a.status != 401 {
		fail("a key that nobody holds before the change: %v", a)
	}
	kept := []string{}
	if !disrupted {
		kept = []string{otherKey}
	}
	rev := st.put("config", "main", configuration(11, []tenant{{name, kept, 1}}))
	acked := time.Now()
	note("the store acknowledges version 11 at revision %d: tenant %s has the keys %v", rev, name, kept)
	time.Sleep(2500 * time.Millisecond) // config_deadline_ms is 2,000
	bad := 0
	for range 10 {
		for _, c := range []*client{holder, foreign} {
			id := newID()
			a := c.send(g, http.MethodPost, purchasePath+"buy", id, []byte("{}"), 2500*time.Millisecond)
			n := rs.of(id)
			if n > 0 {
				bad++
			}
			note("%.1f s after the ack: purchase %s with key %s: %v; runs: %d", time.Since(acked).Seconds(), id, c.key, a, n)
		}
		time.Sleep(200 * time.Millisecond)
	}
	verdict(bad > 0, "%d of 20 purchases with a key that no configuration in force holds were run", bad)
}
