package overload

import "maps"

// minimumFraction is the fraction of an equal share that every kind is granted first. Without it, an urgent kind whose
// calls fill a small service shuts out all other kinds there, including those that need only that service.
const minimumFraction = 0.55

// grantMinimum grants the first attempts of each kind minimumFraction of their equal share.
func grantMinimum(flows []flow, left map[string]float64, out map[string]Share) {
	var fresh []flow
	for _, f := range flows {
		if !f.returning {
			fresh = append(fresh, f)
		}
	}
	equal := make(map[string]Share, len(fresh))
	grantEqualShares(fresh, maps.Clone(left), equal)
	for i := range flows {
		if f := &flows[i]; !f.returning {
			minimum := minimumFraction * equal[f.kind.Kind].Fresh
			grant(*f, minimum, left, out)
			f.ungranted -= minimum * f.demand
		}
	}
}
