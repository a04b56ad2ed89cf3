package config

import (
	"reflect"
	"slices"
)

// Difference is one object that differs between two versions.
type Difference struct {
	ID     string  `json:"id"`
	Before *Object `json:"before,omitempty"` // nil if the object was added
	After  *Object `json:"after,omitempty"`  // nil if the object was deleted
}

// Diff returns the objects that differ, sorted by kind and name.
func Diff(before, after []Object) []Difference {
	old := index(before)
	now := index(after)
	var out []Difference
	for _, o := range after {
		was, ok := old[o.ID()]
		if ok && reflect.DeepEqual(*was, o) {
			continue
		}
		out = append(out, Difference{ID: o.ID(), Before: was, After: now[o.ID()]})
	}
	for _, o := range before {
		if now[o.ID()] == nil {
			out = append(out, Difference{ID: o.ID(), Before: old[o.ID()]})
		}
	}
	slices.SortStableFunc(out, func(a, b Difference) int { return compareObjects(a.object(), b.object()) })
	return out
}

// object returns the object after the change, or the one before if it was deleted.
func (d Difference) object() Object {
	if d.After != nil {
		return *d.After
	}
	return *d.Before
}

// index returns pointers into the list, keyed by object ID.
func index(list []Object) map[string]*Object {
	m := make(map[string]*Object, len(list))
	for i := range list {
		m[list[i].ID()] = &list[i]
	}
	return m
}
