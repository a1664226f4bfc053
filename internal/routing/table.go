package routing

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
)

// Table is an immutable index of one configuration.
type Table struct {
	version int64
	limits  Limits
	// hosts holds the routes by host and path prefix.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// keysRequired is Configuration.KeysRequired; teams holds the teams by API key.
	keysRequired bool
	teams        map[string]*Team
	// ranks holds the priorities of the requests of each service in their order.
	ranks map[string][]priorityPair
	// byName holds the teams by name.
	byName map[string]*Team
	// weights holds the weights of the teams that have one.
	weights map[string]float64
}

// NewTable returns the table of a configuration, or ErrInvalid if a route is
// invalid.
func NewTable(c Configuration) (*Table, error) {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(c.Services)),
		teams:    make(map[string]*Team),
		ranks:    newRanks(c),
		weights:  make(map[string]float64),
		byName:   make(map[string]*Team, len(c.Teams)),
		// A gateway of an earlier version passes configurations on without KeysRequired.
		keysRequired: c.KeysRequired || len(c.Teams) > 0,
	}
	for _, s := range c.Services {
		t.services[s.Name] = &s
	}
	for _, team := range c.Teams {
		t.byName[team.Name] = &team
		if team.Weight > 0 {
			t.weights[team.Name] = team.Weight
		}
		for _, key := range team.Keys {
			if key != "" { // the key of a request without one
				t.teams[key] = &team
			}
		}
	}
	for _, r := range c.Routes {
		if err := t.addRoute(&r); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// addRoute validates a route and adds it to the table.
func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %s: prefix %q", ErrInvalid, r.Name, r.Prefix)
	}
	if len(r.Backends) == 0 {
		return fmt.Errorf("%w: route %s: no service", ErrInvalid, r.Name)
	}
	for _, b := range r.Backends {
		if t.services[b.Service] == nil {
			return fmt.Errorf("%w: route %s: unknown service %q", ErrInvalid, r.Name, b.Service)
		}
	}
	prefixes := t.hosts[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.limits }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a host whose prefix is the longest one that matches
// path, or ErrNoRoute.
func (t *Table) Match(host, path string) (*Route, error) {
	prefixes := t.hosts[host]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			break
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r, nil
		}
	}
	return nil, ErrNoRoute
}

// Team returns the team that has an API key, or ErrUnknownKey.
func (t *Table) Team(key string) (*Team, error) {
	if team := t.teams[key]; team != nil {
		return team, nil
	}
	return nil, ErrUnknownKey
}

// TeamNamed returns the team with a name, or nil.
func (t *Table) TeamNamed(name string) *Team { return t.byName[name] }

// RouteTo returns the first route by name that sends requests to a service, or nil. kind is the name
// of its Kind, "" for any.
func (t *Table) RouteTo(service, kind string) *Route {
	var first *Route
	for _, prefixes := range t.hosts {
		for _, r := range prefixes {
			to := slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
			if to && (kind == "" || kind == r.Kind.String()) && (first == nil || r.Name < first.Name) {
				first = r
			}
		}
	}
	return first
}

// RequiresKey reports whether a request of the route needs an API key. If no team holds one,
// no request has the one that it needs.
func (t *Table) RequiresKey(r *Route) bool { return t.keysRequired && !r.Public }

// PickService returns a service of the route, chosen by weight. draw is a random
// number, uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(max(b.Weight, 0))
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// ActiveTable holds the table in use. The version of the table never decreases.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Get returns the table in use, or nil before the first Install.
func (c *ActiveTable) Get() *Table { return c.table.Load() }

// Install makes t the table in use unless the current one has the same or a
// higher version. It reports whether it installed t.
func (c *ActiveTable) Install(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && old.version >= t.version {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
