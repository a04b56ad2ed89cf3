// Package onceonly makes work that must not be repeated run at most once.
//
// Each key has one home: a backend server whose node remembers it. A caller's
// key hashes to one of a fixed number of key ranges, and one Row a service says
// which node owns each range. A Token is a key that names its home itself. The
// home's Memory holds every key it has met, joins repeats to the running call,
// and answers later ones from the record. Ownership doesn't lapse with time: it
// moves by a hand-over of the memory, or, when the owner's VM is gone, to a new
// owner that answers "unknown" for one repeat window.
package onceonly
