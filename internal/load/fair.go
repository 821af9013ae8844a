package load

import "github.com/savoryramp/savoryramp/internal/platform"

// claim is what a workspace asks of a capacity.
type claim struct {
	workspace platform.WorkspaceName
	weight    float64
	demand    float64
}

// fairShares divides a capacity by weighted max-min fairness: nobody gets more than
// its demand, and what is left goes to the others by weight until it is used up.
func fairShares(claims []claim, capacity float64) map[platform.WorkspaceName]float64 {
	shares := map[platform.WorkspaceName]float64{}
	open := claims
	for len(open) > 0 {
		weights := 0.0
		for _, c := range open {
			weights += c.weight
		}
		level := capacity / weights
		var unmet []claim
		for _, c := range open {
			if c.demand <= level*c.weight {
				shares[c.workspace] = c.demand
				capacity -= c.demand
				continue
			}
			unmet = append(unmet, c)
		}
		if len(unmet) == len(open) {
			for _, c := range open {
				shares[c.workspace] = level * c.weight
			}
			return shares
		}
		open = unmet
	}
	return shares
}
