package config

import (
	"k8s.io/apimachinery/pkg/labels"
)

// PolicyMatches returns, for each policy's name, the IDs of the services, routes and classes that its selector
// matches by their own labels alone.
func PolicyMatches(objs []Object) map[string][]string {
	out := map[string][]string{}
	for _, p := range objs {
		if p.Kind != KindPolicy {
			continue
		}
		sel := parseSelector(p.Policy.Selector)
		out[p.Name] = []string{}
		for _, o := range objs {
			if o.Kind != KindPolicy && o.Kind != KindVM && sel.Matches(labels.Set(o.Labels)) {
				out[p.Name] = append(out[p.Name], o.ID())
			}
		}
	}
	return out
}
