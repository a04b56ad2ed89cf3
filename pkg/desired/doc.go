// Package desired holds the desired state that the operator has applied:
// routes, services, teams with their keys, and limits.
//
// A State is immutable: a node decodes each version once, indexes it and
// publishes it whole. A request keeps the State that it was admitted with. Match
// finds the route of a request by its host and the longest path prefix.
//
// An entry that is invalid by itself affects only itself and is a Problem of the
// State; an InvalidError names the field of a state that is invalid as a whole.
package desired
