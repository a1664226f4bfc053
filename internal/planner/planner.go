// Package planner chooses the chain of stages that serves a request, the
// replacement of a stage, and the upstream of a plain service. It performs no
// I/O; the clock and the random source are arguments.
package planner

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

const (
	// MaxTemplates is the maximum number of templates kept for each model and set
	// of failure domains.
	MaxTemplates = 4
	// MaxSmallModelTemplates is used instead of MaxTemplates for a model of at most
	// SmallModelGroups groups. Such a model has few upstreams in each group, so
	// that only the choice between templates distributes the load. For models
	// with many groups, a rebuild of this many templates would take 7% of a core
	// with 31 models.
	MaxSmallModelTemplates = 16
	SmallModelGroups       = 16
	// Hysteresis is the fraction by which a new template must be cheaper than a
	// feasible old one to replace it. It prevents templates from flapping due to
	// noise in the load reports.
	Hysteresis = 0.20
	// LoadBound is the multiple of the group's mean load up to which the upstream
	// preferred by prefix affinity is chosen.
	LoadBound = 1.25
	// DefaultActivationBytes is the size of one token's activation between
	// stages: 8192 values of 2 bytes.
	DefaultActivationBytes = 16 << 10
	// tokenBytes is the size of a step frame that carries a token.
	tokenBytes = 128
	// unusedPlanTTL is the time after which the plan of an unused set of failure
	// domains is no longer rebuilt in the background.
	unusedPlanTTL = 10 * time.Minute
	// PrefixBytes is the length of the prompt prefix that affinity uses.
	PrefixBytes = 256
)

var (
	// ErrUnknownModel is returned for a model that no upstream holds.
	ErrUnknownModel = errors.New("planner: unknown model")
	// ErrNoChain is returned if the usable upstreams don't cover the layers.
	ErrNoChain = errors.New("planner: no feasible chain")
	// ErrNoUpstream is returned if a plain service has no usable upstream.
	ErrNoUpstream = errors.New("planner: no usable upstream")
)

// Config configures a Planner.
type Config struct {
	// Domain is the failure domain of this entry.
	Domain string
	// ActivationBytes is the size of one token's activation between stages.
	// Default 16 KiB.
	ActivationBytes int
}

// Domains restricts a choice to failure domains. The zero value allows all.
type Domains struct {
	key  string
	list []string
}

// NewDomains returns a restriction to the given failure domains; an empty list
// allows all. Callers build it once per profile revision.
func NewDomains(names []string) Domains {
	list := slices.Clone(names)
	slices.Sort(list)
	list = slices.Compact(list)
	return Domains{key: strings.Join(list, "\x00"), list: list}
}

func (d Domains) allows(domain string) bool {
	if len(d.list) == 0 {
		return true
	}
	_, found := slices.BinarySearch(d.list, domain)
	return found
}

// Exclusions names upstreams and failure domains that must not be chosen. It is
// meant for the few upstreams that just failed.
type Exclusions struct {
	Upstreams []upstream.InstanceID
	Domains   []string
}

func (e Exclusions) has(id upstream.InstanceID) bool { return slices.Contains(e.Upstreams, id) }

// Request describes the request that a chain is chosen for.
type Request struct {
	Model   string
	Domains Domains
	// Prefix is the prompt prefix's key from PrefixKey; 0 means no affinity.
	Prefix  uint64
	Exclude Exclusions
}

// PrefixKey returns the affinity key of a prompt. It is 0 for prompts shorter
// than PrefixBytes, which benefit less from a cached prefix than from a less
// loaded upstream.
func PrefixKey(prompt string) uint64 {
	if len(prompt) < PrefixBytes {
		return 0
	}
	return max(xxhash.Sum64String(prompt[:PrefixBytes]), 1)
}

// Planner chooses chains from a directory. It is safe for concurrent use; the
// request path takes a lock only if a plan is missing or no longer feasible.
type Planner struct {
	config    Config
	directory *upstream.Directory
	// mu serializes replacements of plans; readers load plans without it.
	mu    sync.Mutex
	plans atomic.Pointer[map[planKey]*plan]
}

type planKey struct{ model, domains string }

// plan holds the templates for one model and set of failure domains. It is
// immutable except for the time of its last use.
type plan struct {
	domains   Domains
	templates []*Template
	// generation is the generation of the directory for which the plan was
	// computed.
	generation uint64
	// lastUsed is the time of the last use in Unix nanoseconds.
	lastUsed *atomic.Int64
}

// New returns a planner over a directory.
func New(config Config, directory *upstream.Directory) *Planner {
	if config.ActivationBytes <= 0 {
		config.ActivationBytes = DefaultActivationBytes
	}
	p := &Planner{config: config, directory: directory}
	p.plans.Store(&map[planKey]*plan{})
	return p
}

// Rebuild computes the templates of every model and of every set of failure
// domains in use. It runs in the background, periodically and when
// Directory.Generation has changed.
func (p *Planner) Rebuild(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.plans.Load()
	next := make(map[planKey]*plan, len(old))
	for _, model := range p.directory.Models() {
		key := planKey{model: model}
		next[key] = p.computePlan(now, model, Domains{}, old[key])
	}
	for key, existing := range old {
		unused := now.Sub(time.Unix(0, existing.lastUsed.Load()))
		if key.domains != "" && unused < unusedPlanTTL && p.directory.Model(key.model) != nil {
			next[key] = p.computePlan(now, key.model, existing.domains, existing)
		}
	}
	p.plans.Store(&next)
}

// Templates returns the current templates of a model, cheapest first as of the
// last rebuild.
func (p *Planner) Templates(model string, domains Domains) []*Template {
	if existing, ok := (*p.plans.Load())[planKey{model, domains.key}]; ok {
		return existing.templates
	}
	return nil
}

// plan returns the templates for a request. It computes them if there are none or
// if none is feasible any more; computed is then true.
func (p *Planner) plan(now time.Time, r Request) (current *plan, computed bool, err error) {
	key := planKey{r.Model, r.Domains.key}
	if current = (*p.plans.Load())[key]; p.isValid(current) {
		current.lastUsed.Store(now.UnixNano())
		return current, false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	plans := *p.plans.Load()
	if current = plans[key]; p.isValid(current) {
		return current, false, nil
	}
	if p.directory.Model(r.Model) == nil {
		return nil, false, fmt.Errorf("%w: %q", ErrUnknownModel, r.Model)
	}
	current = p.computePlan(now, r.Model, r.Domains, current)
	next := make(map[planKey]*plan, len(plans)+1)
	for k, v := range plans {
		next[k] = v
	}
	next[key] = current
	p.plans.Store(&next)
	return current, true, nil
}

// isValid reports whether a plan has a feasible template, or is known to have
// none until the set of usable upstreams changes.
func (p *Planner) isValid(current *plan) bool {
	if current == nil {
		return false
	}
	if current.generation == p.directory.Generation() {
		return true
	}
	return slices.ContainsFunc(current.templates, func(t *Template) bool { return t.isFeasible() })
}

// computePlan returns a new plan, into which it merges the feasible templates of
// the old one, if any.
func (p *Planner) computePlan(now time.Time, model string, domains Domains, old *plan) *plan {
	next := &plan{domains: domains, generation: p.directory.Generation(), lastUsed: new(atomic.Int64)}
	next.lastUsed.Store(now.UnixNano())
	var kept []*Template
	if old != nil {
		next.lastUsed = old.lastUsed
		for _, t := range old.templates {
			if t.isFeasible() {
				kept = append(kept, p.newTemplate(t.groups))
			}
		}
	}
	next.templates = mergeTemplates(kept, p.cheapestTemplates(model, domains, Exclusions{}), p.modelTemplateLimit(model))
	return next
}

// mergeTemplates returns at most limit templates, cheapest first. Feasible old
// templates are kept and new ones are added up to the limit. A further new
// template replaces the most expensive one only if it is cheaper by the
// hysteresis.
func mergeTemplates(kept, found []*Template, limit int) []*Template {
	result := kept
	for _, t := range found {
		if slices.ContainsFunc(result, t.sameGroups) {
			continue
		}
		if len(result) < limit {
			result = append(result, t)
			continue
		}
		worst := 0
		for i, template := range result {
			if template.plannedCost > result[worst].plannedCost {
				worst = i
			}
		}
		if float64(t.plannedCost) < (1-Hysteresis)*float64(result[worst].plannedCost) {
			result[worst] = t
		}
	}
	slices.SortStableFunc(result, compareTemplates)
	return result
}
