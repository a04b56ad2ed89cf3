package fairshare

import "slices"

// Level returns the rate up to which each team's demand is admitted so that all together get the capacity, or the highest
// demand if all fit. It sorts the demands.
func Level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if each := max(capacity, 0) / float64(len(demands)-i); d > each {
			return each
		}
		capacity -= d
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}
