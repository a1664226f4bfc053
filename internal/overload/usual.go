package overload

import "time"

const (
	// usualTime is the time constant of the usual demand of a team.
	usualTime = time.Minute
	// minUsualTime bounds how fast the usual demand follows while little was seen.
	minUsualTime = 5 * time.Second
	// aboveFactor slows down how the usual demand of a team follows that is above its share.
	aboveFactor = 0.1
	// minWeightShare is the least weight of a team, as a share of an equal share.
	minWeightShare = 0.5
	// minWeight and maxWeight bound a configured weight, so that shares stay computable.
	minWeight, maxWeight = 1e-3, 1e6
)

// usualDemand is the demand of each team over a longer time. Teams without a configured weight
// share capacity in proportion to it, so that a shortage for which no team is to blame is borne by
// all alike.
type usualDemand struct {
	startedAt, updatedAt time.Time
	teams                map[TeamID]float64
	total                float64
}

func newUsualDemand(now time.Time) *usualDemand {
	return &usualDemand{startedAt: now, updatedAt: now, teams: make(map[TeamID]float64)}
}

// update moves the usual demand towards the present one.
func (u *usualDemand) update(teams map[TeamID]Rate, above map[TeamID]float64, now time.Time) {
	elapsed := min(now.Sub(u.updatedAt), maxAdaptTime)
	if elapsed <= 0 {
		return
	}
	u.updatedAt = now
	step := min(float64(elapsed)/float64(min(max(now.Sub(u.startedAt), minUsualTime), usualTime)), 1)
	u.total = 0
	for id := range teams {
		if _, known := u.teams[id]; !known {
			u.teams[id] = 0
		}
	}
	for id, rate := range u.teams {
		f := step
		if above[id] > 0 {
			f *= aboveFactor
		}
		rate += (teams[id].Offered - rate) * f
		if rate < 1 && teams[id].Offered == 0 {
			delete(u.teams, id)
			continue
		}
		u.teams[id] = rate
		u.total += rate
	}
}

// weights returns the weights of teams. A configured weight of 1 is that of a team with the mean
// usual demand.
func (u *usualDemand) weights(teams map[TeamID]Rate, configured map[string]float64) map[TeamID]float64 {
	mean := max(u.total/float64(max(len(u.teams), 1)), 1)
	weights := make(map[TeamID]float64, len(teams))
	for id := range teams {
		weights[id] = mean
		if u.total > 0 {
			weights[id] = max(u.teams[id], minWeightShare*mean)
		}
	}
	for name, w := range configured {
		if id := teamID(name); w > 0 {
			weights[id] = min(max(w, minWeight), maxWeight) * mean
		}
	}
	return weights
}
