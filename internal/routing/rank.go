package routing

import (
	"cmp"
	"slices"
)

// MaxRank is the least urgent rank.
const MaxRank = 9

// priorityPair is the priority of a request: that of its team goes before that of its route.
type priorityPair struct{ team, route int }

func comparePriorities(a, b priorityPair) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
}

// newRanks returns, for each service, the priorities of the requests that it can get, the most
// urgent first.
func newRanks(c Configuration) map[string][]priorityPair {
	var teams []int
	if !c.KeysRequired || slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Public }) {
		teams = append(teams, teamPriority(nil))
	}
	for _, t := range c.Teams {
		teams = append(teams, teamPriority(&t))
	}
	slices.Sort(teams)
	teams = slices.Compact(teams)
	ranks := make(map[string][]priorityPair)
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			for _, team := range teams {
				ranks[b.Service] = append(ranks[b.Service], priorityPair{team, r.Priority})
			}
		}
	}
	for service, list := range ranks {
		slices.SortFunc(list, comparePriorities)
		ranks[service] = slices.Compact(list)
	}
	return ranks
}

// teamPriority returns the priority of a team, which is nil for requests without one.
func teamPriority(t *Team) int {
	if t == nil || t.Priority == nil {
		return DefaultPriority
	}
	return *t.Priority
}

// Rank returns the rank of a team's requests of a route at a service: 0 for the most urgent ones,
// at most MaxRank. The team's priority goes first, then the route's. If the service has more than
// MaxRank+1 different priorities, neighbouring ones share a rank.
func (t *Table) Rank(service string, r *Route, team *Team) int {
	list := t.ranks[service]
	at, _ := slices.BinarySearchFunc(list, priorityPair{teamPriority(team), r.Priority}, comparePriorities)
	if len(list) > MaxRank+1 {
		at = at * (MaxRank + 1) / len(list)
	}
	return min(at, MaxRank) // a pair that the configuration doesn't have may come after all
}

// TeamWeights returns the weights of the teams that have one. The map must not be changed.
func (t *Table) TeamWeights() map[string]float64 { return t.weights }

// RoutePriorities returns the priority of the routes of each rank of a service. The ranks of a
// service with more than MaxRank+1 different priorities have the lowest priority that shares them.
func (t *Table) RoutePriorities(service string) []int {
	list := t.ranks[service]
	if len(list) == 0 {
		return nil
	}
	priorities := make([]int, min(len(list), MaxRank+1))
	for rank := range priorities {
		priorities[rank] = list[rank*len(list)/len(priorities)].route
	}
	return priorities
}
