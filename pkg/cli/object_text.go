package cli

import (
	"fmt"
	"strings"

	"github.com/rockspoke/rockspoke/pkg/config"
)

// specText returns a one-line summary of an object's spec for a table cell.
func specText(o config.Object) string {
	switch {
	case o.Service != nil:
		return fmt.Sprintf("%d slots, %d connections", o.Service.Slots, o.Service.Connections)
	case o.Route != nil:
		return fmt.Sprintf("host %q path %q to %s", o.Route.Host, o.Route.PathPrefix, o.Route.Service)
	case o.Class != nil:
		return classText(*o.Class)
	case o.Policy != nil:
		return policyText(*o.Policy)
	default:
		return "-"
	}
}

// classText returns a one-line summary of a class.
func classText(c config.ClassSpec) string {
	s := fmt.Sprintf("tier %d", c.Tier)
	if c.OnceOnly {
		s += ", once only"
	}
	if len(c.Services) > 0 {
		s += ", of " + strings.Join(c.Services, " ")
	}
	if len(c.Methods) > 0 {
		s += ", " + strings.Join(c.Methods, " ")
	}
	if c.PathPrefix != "" {
		s += ", path " + c.PathPrefix
	}
	return s
}

// policyText returns a one-line summary of a policy.
func policyText(p config.PolicySpec) string {
	s := "selects " + p.Selector
	if p.Retries != nil {
		s += fmt.Sprintf(", %d retries", *p.Retries)
	}
	for _, t := range p.Targets {
		s += fmt.Sprintf(", weight %d to %s", t.Weight, t.Selector)
	}
	return s
}
