package desired

import (
	"fmt"
	"strings"
)

// InvalidError reports an invalid field of a desired state.
type InvalidError struct {
	Field string
	Value string
	Msg   string
}

// Error names the field, its value and what is wrong with it.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("desired state: %s %q: %s", e.Field, e.Value, e.Msg)
}

// checkPlace returns what is wrong with the route's host or prefix, or nil.
func (r *Route) checkPlace() *InvalidError {
	at := "route " + r.Name
	switch {
	case r.Host == "":
		return &InvalidError{at + " host", r.Host, "must be set"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &InvalidError{at + " prefix", r.Prefix, "must begin and end with '/'"}
	}
	return nil
}

// check returns the route's first invalid field other than host, prefix and kind, or nil.
func (r *Route) check() *InvalidError {
	at := "route " + r.Name
	switch {
	case r.Unusable:
		return &InvalidError{at, "", "can't be decoded"}
	case len(r.Targets) == 0:
		return &InvalidError{at + " service", "", "must be set"}
	}
	return r.checkSplit(at)
}

// checkSplit checks the weights of the targets; at is the prefix of the field's name in an *InvalidError.
func (r *Route) checkSplit(at string) *InvalidError {
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return &InvalidError{at + " weight", fmt.Sprint(t.Weight), "must not be negative"}
		}
		total += t.Weight
	}
	if total == 0 {
		return &InvalidError{at + " split", "0", "needs a target with a weight above 0"}
	}
	return nil
}
