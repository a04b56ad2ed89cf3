package overload

import "maps"

// leastPart of what every kind would get if all were alike is what even the least urgent one gets: an urgent kind
// whose calls fill a small service would else shut out all others there, down to those whose only service it is.
const leastPart = 0.55

// grantLeast gives the first attempts of each kind that much.
func grantLeast(flows []flow, left map[string]float64, out map[string]Share) {
	var fresh []flow
	for _, f := range flows {
		if !f.returning {
			fresh = append(fresh, f)
		}
	}
	alike := make(map[string]Share, len(fresh))
	fillAlike(fresh, maps.Clone(left), alike)
	for i := range flows {
		if f := &flows[i]; !f.returning {
			least := leastPart * alike[f.root.Kind].Fresh
			grant(*f, least, left, out)
			f.rate -= least * f.whole
		}
	}
}
