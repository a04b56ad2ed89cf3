// Package desired holds the desired state that the operator has applied:
// routes, services, teams with their keys, and limits.
//
// A State is immutable: a node decodes each version once, indexes it and
// publishes it whole. A request keeps the State that it was admitted with. Match
// finds the route of a request by its host and the longest path prefix; an
// InvalidError names the field of a state that can't be applied.
package desired
