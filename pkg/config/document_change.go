package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is an operator's edit of a document.
type Change struct {
	Base   int64      `json:"base"`             // version that the operator saw
	ID     string     `json:"id"`               // chosen by the operator's command, settles lost answers
	Author string     `json:"author,omitempty"` // from the operator's certificate
	Note   string     `json:"note,omitempty"`
	Put    []Object   `json:"put,omitempty"`    // objects to add or replace
	Delete []string   `json:"delete,omitempty"` // IDs of objects to remove
	Label  *LabelEdit `json:"label,omitempty"`
}

// LabelEdit sets and removes labels of the objects that it picks.
type LabelEdit struct {
	Kind     Kind              `json:"kind"`
	Name     string            `json:"name,omitempty"`     // one object, or
	Selector string            `json:"selector,omitempty"` // all of the kind that match
	Names    []string          `json:"names,omitempty"`    // the selector's result, filled in by the daemon for VMs
	Set      map[string]string `json:"set,omitempty"`
	Remove   []string          `json:"remove,omitempty"`
}

// ObjectNotFoundError reports an edit of an object that isn't there.
type ObjectNotFoundError struct{ ID string }

// Error names the object.
func (e *ObjectNotFoundError) Error() string { return fmt.Sprintf("there is no object %s", e.ID) }

// Apply returns the objects of doc with the change made; doc stays as it is.
// The error is a *NoObjectError or an *InvalidError.
func Apply(doc *Document, ch Change) ([]Object, error) {
	byID := map[string]Object{}
	for _, o := range doc.Objects {
		byID[o.ID()] = o
	}
	for _, id := range ch.Delete {
		if _, ok := byID[id]; !ok {
			return nil, &ObjectNotFoundError{id}
		}
		delete(byID, id)
	}
	for _, o := range ch.Put {
		byID[o.ID()] = o
	}
	if ch.Label != nil {
		if err := applyLabels(byID, *ch.Label); err != nil {
			return nil, err
		}
	}
	objs := slices.Collect(maps.Values(byID))
	slices.SortFunc(objs, compareObjects)
	if err := CheckDocument(objs); err != nil {
		return nil, err
	}
	return objs, nil
}

func applyLabels(byID map[string]Object, e LabelEdit) error {
	names := e.Names
	if e.Name != "" {
		names = []string{e.Name}
	}
	if len(names) == 0 {
		return &ObjectNotFoundError{fmt.Sprintf("%s matching %q", e.Kind, e.Selector)}
	}
	for _, name := range names {
		o := Object{Kind: e.Kind, Name: name}
		old, ok := byID[o.ID()]
		if !ok && e.Kind != KindVM {
			return &ObjectNotFoundError{o.ID()}
		}
		o = old
		o.Kind, o.Name = e.Kind, name
		o.Labels = maps.Clone(old.Labels)
		if o.Labels == nil {
			o.Labels = map[string]string{}
		}
		maps.Copy(o.Labels, e.Set)
		for _, k := range e.Remove {
			delete(o.Labels, k)
		}
		byID[o.ID()] = o
	}
	return nil
}

func compareObjects(a, b Object) int {
	ka := slices.Index(Kinds, a.Kind)
	kb := slices.Index(Kinds, b.Kind)
	if ka != kb {
		return ka - kb
	}
	return strings.Compare(a.Name, b.Name)
}
