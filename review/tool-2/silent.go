package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contactTime is contact_ms, configTime config_deadline_ms of the settings.
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
	// contactSlack is added to contactTime in favour of the gateways.
	contactSlack = 100 * time.Millisecond
	// changeDelay is when the operator changes the configuration after the channels went silent,
	// judgeTime how long requests are judged.
	changeDelay = 200 * time.Millisecond
	judgeTime   = 2 * time.Second
	accountsNew = "accounts-new"
)

// silent: the open channels to the store go silent for good, while new ones work. A configuration
// that the store acks must be in force in time, once the machines are in touch again.
func silent(p *platform, trouble bool) (broken bool, err error) {
	through, err := newProxy(p.store.address)
	if err != nil {
		return false, err
	}
	p.storeAddress = through.address
	runs := &serviceLog{services: make(map[string]string)}
	for _, service := range []string{accounts, accountsNew} {
		for i := range 2 {
			if _, err := p.startServer(fmt.Sprintf("i-%s-%d", service, i), service, "muscat-a", 64, runs.serve); err != nil {
				return false, err
			}
		}
	}
	var machines []*gateway
	stale, total := 0, 0
	for round, running := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 15 * time.Second} {
		version := 1 + 2*round
		p.store.put("config", "main", accountsConfiguration(version, accounts))
		if machines, err = p.startAgain(machines); err != nil {
			return false, err
		}
		s, n, err := runs.round(p, through, machines, version, running, trouble)
		if err != nil {
			return false, err
		}
		stale += s
		total += n
	}
	p.logf("%d of %d requests were run by the old service over %v after the ack of its replacement", stale, total, configTime)
	return stale > 0, nil
}

// startAgain ends the gateways of the round before and starts them again, or starts three.
func (p *platform) startAgain(machines []*gateway) ([]*gateway, error) {
	for _, g := range machines {
		g.kill()
		if err := p.restart(g); err != nil {
			return nil, err
		}
	}
	for len(machines) < 3 {
		g, err := p.startGateway(fmt.Sprintf("edge-muscat-a-%d", len(machines)+1), "muscat-a", limits{284, 4100})
		if err != nil {
			return nil, err
		}
		machines = append(machines, g)
	}
	return machines, nil
}

// round lets gateways run for a time before the channels go silent, and returns how many of the
// judged requests the old service ran.
func (l *serviceLog) round(p *platform, through *proxy, machines []*gateway, version int, running time.Duration,
	trouble bool) (stale, total int, err error) {
	for _, g := range machines {
		if !waitFor(10*time.Second, func() bool { return get(g.front, "GET", "/licence/x", time.Second).status == 200 }) {
			return 0, 0, fmt.Errorf("the gateway does not serve: %s", p.gatewayLog(g))
		}
	}
	time.Sleep(running)
	silentAt := time.Now()
	if trouble {
		p.logf("%d open channels to the store go silent, new ones work", through.silence())
	}
	time.Sleep(changeDelay)
	p.store.put("config", "main", accountsConfiguration(version+1, accountsNew))
	acked := time.Now()
	p.logf("the store acks version %d, which moves the route to %s", version+1, accountsNew)
	time.Sleep(time.Until(silentAt.Add(contactTime + contactSlack)))
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, g := range machines {
		wait.Go(func() {
			for end := time.Now().Add(judgeTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				r := get(g.front, "GET", "/licence/x", time.Second)
				service := l.of(r.id)
				p.logf("request %s sent to %s %.3f s after the ack, %.3f s after the silence began: status %d, run by %q",
					r.id, g.name, r.sent.Sub(acked).Seconds(), r.sent.Sub(silentAt).Seconds(), r.status, service)
				mu.Lock()
				total++
				if service == accounts {
					stale++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return stale, total, nil
}

// accountsConfiguration returns a version in which a service serves the route of lookups.
func accountsConfiguration(version int, service string) map[string]any {
	r := lookupRoute
	r.Service = service
	c := configuration(version, plainService(llm), streamRoute, r)
	c["services"] = append(c["services"].([]map[string]any), plainService(accountsNew))
	return c
}

// serviceLog holds the service that ran each request.
type serviceLog struct {
	mu       sync.Mutex
	services map[string]string
}

func (l *serviceLog) serve(s *server, w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.services[r.Header.Get("X-Attempt-Id")] = s.service
	l.mu.Unlock()
	serveLookup(s, w, r)
}

func (l *serviceLog) of(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.services[id]
}
