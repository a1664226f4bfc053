package chain

import (
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

// explainedChoices is the number of choices in an Explanation: the one that Choose would make and
// those that it would make without the instances of the ones before.
const explainedChoices = 3

// Choice is a path that Choose would reserve.
type Choice struct {
	Path Path
	// Cost is the time of a token step over the path, with the cost of another failure domain.
	Cost time.Duration
	// Load is the number of requests on the instance of a plain service, with the penalty of another
	// failure domain.
	Load int
}

// Exclusion is why an instance can't get the request.
type Exclusion struct {
	Instance, Domain string
	Reason           ExclusionReason
}

// ExclusionReason says why an instance can't get a request.
type ExclusionReason string

// The reasons, in the order in which they are checked.
const (
	ExcludedDraining ExclusionReason = "draining"
	ExcludedLost     ExclusionReason = "lost"
	ExcludedBackoff  ExclusionReason = "backoff"
	ExcludedAvoided  ExclusionReason = "avoided"
	ExcludedNoLayers ExclusionReason = "no_layers"
	ExcludedLimit    ExclusionReason = "limit"
	ExcludedFull     ExclusionReason = "full"
)

// Explanation tells what Choose would do, without reserving anything.
type Explanation struct {
	// Choices holds the choice that Choose would make and the next best ones.
	Choices []Choice
	// Err is the error that Choose would return.
	Err error
	// Excluded holds the instances of the service that can't get the request, by id. An instance
	// with a limit can be a later stage of a path.
	Excluded []Exclusion
}

// Explain returns what Choose would do for a demand, by the same search.
func (t *InstanceTracker) Explain(view *fleet.View, s *routing.Service, d Demand, now time.Time) Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Explanation{Excluded: t.exclusions(view, s, d, now)}
	d.Avoid = slices.Clone(d.Avoid)
	for range explainedChoices {
		choice, err := t.find(view, s, d, now)
		if err != nil {
			if len(e.Choices) == 0 {
				e.Err = err
			}
			break
		}
		e.Choices = append(e.Choices, choice)
		for _, stage := range choice.Path {
			d.Avoid = append(d.Avoid, stage.Instance)
		}
	}
	return e
}

// find returns the choice that choose would reserve.
func (t *InstanceTracker) find(view *fleet.View, s *routing.Service, d Demand, now time.Time) (Choice, error) {
	if s.Model == nil {
		in, load, err := t.findInstance(view, s, d, now)
		if err != nil {
			return Choice{}, err
		}
		return Choice{Path: Path{{Instance: in.ID, Address: in.Address}}, Load: load}, nil
	}
	path, cost, err := t.findPath(view, s, d, now)
	return Choice{Path: path, Cost: cost}, err
}

// exclusions returns the instances of a service that can't get a request.
func (t *InstanceTracker) exclusions(view *fleet.View, s *routing.Service, d Demand, now time.Time) []Exclusion {
	var list []Exclusion
	near, far := view.Groups(s.Name)
	for _, group := range slices.Concat(near, far) {
		for _, in := range group.Instances {
			if reason := t.exclusion(in, s, d, now); reason != "" {
				list = append(list, Exclusion{in.ID, in.Domain, reason})
			}
		}
	}
	return list
}

// exclusion returns why an instance can't get a request, "" if it can.
func (t *InstanceTracker) exclusion(in *fleet.Instance, s *routing.Service, d Demand, now time.Time) ExclusionReason {
	state := t.totalState(in.ID, now)
	switch {
	case in.Draining:
		return ExcludedDraining
	case t.isLost(in.ID, now):
		return ExcludedLost
	case t.instances[in.ID].backsOff(now):
		return ExcludedBackoff
	case t.isAvoided(in.ID, now):
		return ExcludedAvoided
	case s.Model != nil && in.Layers.Len() == 0:
		return ExcludedNoLayers
	case !t.maySend(in.ID, now):
		return ExcludedLimit
	case in.Slots > 0 && state.requests >= in.Slots:
		return ExcludedFull
	case s.Model != nil && t.lacksKVCache(in, s.Model, state, d, now):
		return ExcludedFull
	}
	return ""
}

// lacksKVCache reports whether an instance has no KV cache for the tokens of a demand in even one
// of its layers.
func (t *InstanceTracker) lacksKVCache(in *fleet.Instance, m *routing.Model, state instanceState, d Demand, now time.Time) bool {
	neighbours := t.neighbours(now)
	state.addUnreported(neighbours, now)
	maxReserved := maxReservedShareBeside(neighbours) - d.Margin
	return t.freeKVCache(m, m.Accelerators[in.Accelerator], in, state, maxReserved, now) < float64(d.Tokens)
}
