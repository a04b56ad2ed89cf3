package config

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Treatment holds how one class of calls to one service is handled.
type Treatment struct {
	Service     string
	Class       string // empty if no class matches
	Policies    []string
	Tier        priority.Tier
	OnceOnly    bool
	Timeout     time.Duration
	Retries     int
	RetryShare  float64
	RepeatShare float64
	Targets     []CompiledTarget // empty means every VM of the service

	spec ClassSpec
}

// CompiledTarget is a Target with its selector parsed.
type CompiledTarget struct {
	Selector labels.Selector
	Weight   int
}

// policyRule is a compiled policy.
type policyRule struct {
	name     string
	spec     PolicySpec
	selector labels.Selector
	targets  []CompiledTarget
}

// compilePolicies returns the document's policies in order of precedence.
func compilePolicies(doc *Document) []policyRule {
	var rules []policyRule
	for _, o := range doc.Objects {
		if o.Kind != KindPolicy {
			continue
		}
		r := policyRule{name: o.Name, spec: *o.Policy, selector: parseSelector(o.Policy.Selector)}
		for _, t := range o.Policy.Targets {
			r.targets = append(r.targets, CompiledTarget{parseSelector(t.Selector), t.Weight})
		}
		rules = append(rules, r)
	}
	slices.SortFunc(rules, func(a, b policyRule) int {
		return cmp.Or(cmp.Compare(b.spec.Order, a.spec.Order), cmp.Compare(a.name, b.name))
	})
	return rules
}

// parseSelector parses a selector that CheckDocument has accepted; any other invalid one matches nothing.
func parseSelector(s string) labels.Selector {
	sel, err := labels.Parse(s)
	if err != nil {
		return labels.Nothing()
	}
	return sel
}

// compileClasses returns the treatments of the service's classes in matching order, and the one for calls that match no class.
func compileClasses(doc *Document, s *Service, routeLabels labels.Set, policies []policyRule) ([]*Treatment, *Treatment) {
	base := labels.Merge(s.labels, routeLabels)
	var list []*Treatment
	for _, o := range doc.Objects {
		if o.Kind != KindClass || (len(o.Class.Services) > 0 && !slices.Contains(o.Class.Services, s.Name)) {
			continue
		}
		t := &Treatment{
			Service: s.Name, Class: o.Name, Tier: o.Class.Tier, OnceOnly: o.Class.OnceOnly,
			Timeout: cmp.Or(o.Class.Timeout, DefaultTimeout), spec: *o.Class,
		}
		t.attach(labels.Merge(base, o.Labels), policies)
		list = append(list, t)
	}
	// The most specific class comes first: by path, then by method, then by service.
	slices.SortStableFunc(list, func(a, b *Treatment) int {
		return cmp.Or(
			cmp.Compare(len(b.spec.PathPrefix), len(a.spec.PathPrefix)),
			cmp.Compare(min(len(b.spec.Methods), 1), min(len(a.spec.Methods), 1)),
			cmp.Compare(min(len(b.spec.Services), 1), min(len(a.spec.Services), 1)),
			cmp.Compare(a.Class, b.Class))
	})
	other := &Treatment{Service: s.Name, Tier: DefaultTier, Timeout: DefaultTimeout}
	other.attach(base, policies)
	return list, other
}

// attach sets each field from the first matching policy that sets it, or to its default.
func (t *Treatment) attach(set labels.Set, policies []policyRule) {
	var retries *int
	var retryShare, repeatShare *float64
	for _, r := range policies {
		if !r.selector.Matches(set) {
			continue
		}
		t.Policies = append(t.Policies, r.name)
		retries = cmp.Or(retries, r.spec.Retries)
		retryShare = cmp.Or(retryShare, r.spec.RetryShare)
		repeatShare = cmp.Or(repeatShare, r.spec.RepeatShare)
		if t.Targets == nil {
			t.Targets = r.targets
		}
	}
	t.Retries = valueOr(retries, DefaultRetries)
	t.RetryShare = valueOr(retryShare, DefaultRetryShare)
	t.RepeatShare = valueOr(repeatShare, DefaultRepeatShare)
}

// valueOr returns *p, or def if p is nil.
func valueOr[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

// Selects reports whether the treatment's targets include a VM with the labels.
func (t *Treatment) Selects(set labels.Set) bool {
	if len(t.Targets) == 0 {
		return true
	}
	for _, target := range t.Targets {
		if target.Weight > 0 && target.Selector.Matches(set) {
			return true
		}
	}
	return false
}
