package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// What holds where no policy or class says otherwise.
const (
	DefaultRetries     = 2
	DefaultRetryShare  = 0.1
	DefaultRepeatShare = 0.2
	DefaultTimeout     = 2 * time.Second
	DefaultTier        = priority.Tier(2)
)

// Plan is a compiled Document; it never changes and may be read by many goroutines.
type Plan struct {
	Version  int64
	services map[string]*Service
	routes   []*routeRule
	vmLabels map[string]labels.Set
}

// Service is a compiled service with its classes in the order of matching.
type Service struct {
	Name    string
	Spec    ServiceSpec
	labels  labels.Set
	classes []*Treatment
	other   *Treatment
}

// Treatment says how one class of calls to one service is handled.
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

type routeRule struct {
	name    string
	spec    RouteSpec
	service *Service
	labels  labels.Set
	// classes are the service's treatments with the route's own labels taken into account.
	classes []*Treatment
	other   *Treatment
}

type policyRule struct {
	name     string
	spec     PolicySpec
	selector labels.Selector
	targets  []CompiledTarget
}

// Compile turns a document into a Plan; the error is an *InvalidError.
func Compile(doc *Document) (*Plan, error) {
	if err := CheckDocument(doc.Objects); err != nil {
		return nil, err
	}
	p := &Plan{Version: doc.Version, services: map[string]*Service{}, vmLabels: map[string]labels.Set{}}
	policies := compilePolicies(doc)
	for _, o := range doc.Objects {
		switch o.Kind {
		case KindService:
			s := &Service{Name: o.Name, Spec: *o.Service, labels: o.Labels}
			s.classes, s.other = compileClasses(doc, s, nil, policies)
			p.services[o.Name] = s
		case KindVM:
			p.vmLabels[o.Name] = o.Labels
		}
	}
	for _, o := range doc.Objects {
		if o.Kind != KindRoute {
			continue
		}
		r := &routeRule{name: o.Name, spec: *o.Route, service: p.services[o.Route.Service], labels: o.Labels}
		r.classes, r.other = compileClasses(doc, r.service, o.Labels, policies)
		p.routes = append(p.routes, r)
	}
	slices.SortFunc(p.routes, func(a, b *routeRule) int {
		return cmp.Or(
			cmp.Compare(len(b.spec.Host), len(a.spec.Host)),
			cmp.Compare(len(b.spec.PathPrefix), len(a.spec.PathPrefix)),
			cmp.Compare(a.name, b.name))
	})
	return p, nil
}

func compilePolicies(doc *Document) []policyRule {
	var rules []policyRule
	for _, o := range doc.Objects {
		if o.Kind != KindPolicy {
			continue
		}
		r := policyRule{name: o.Name, spec: *o.Policy, selector: mustParse(o.Policy.Selector)}
		for _, t := range o.Policy.Targets {
			r.targets = append(r.targets, CompiledTarget{mustParse(t.Selector), t.Weight})
		}
		rules = append(rules, r)
	}
	slices.SortFunc(rules, func(a, b policyRule) int {
		return cmp.Or(cmp.Compare(b.spec.Order, a.spec.Order), cmp.Compare(a.name, b.name))
	})
	return rules
}

// mustParse parses a selector that CheckDocument has accepted.
func mustParse(s string) labels.Selector {
	sel, err := labels.Parse(s)
	if err != nil {
		return labels.Nothing()
	}
	return sel
}

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
	// The narrowest class goes first: by path, then by method, then by service.
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

// attach fills in what the first policy that matches and sets a field says of it.
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

func valueOr[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

// Match describes a request as far as routes and classes look at it.
type Match struct {
	Host   string
	Method string
	Path   string
}

// Route finds the treatment of a caller's request; the route's name is returned too, and nil if none matches.
func (p *Plan) Route(m Match) (*Treatment, string) {
	for _, r := range p.routes {
		if r.spec.Host != "" && r.spec.Host != m.Host {
			continue
		}
		if strings.HasPrefix(m.Path, r.spec.PathPrefix) {
			return choose(r.classes, r.other, m), r.name
		}
	}
	return nil, ""
}

// Call finds the treatment of a call from one service to another, or nil if there is no such service.
func (p *Plan) Call(service string, m Match) *Treatment {
	s, ok := p.services[service]
	if !ok {
		return nil
	}
	return choose(s.classes, s.other, m)
}

func choose(list []*Treatment, other *Treatment, m Match) *Treatment {
	for _, t := range list {
		if len(t.spec.Methods) > 0 && !slices.Contains(t.spec.Methods, m.Method) {
			continue
		}
		if strings.HasPrefix(m.Path, t.spec.PathPrefix) {
			return t
		}
	}
	return other
}

// Service returns the compiled service, or nil.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// VMLabels returns the labels that operators gave the VM, which go before its own.
func (p *Plan) VMLabels(vm string) map[string]string { return p.vmLabels[vm] }

// Services returns the names of the services in order.
func (p *Plan) Services() []string {
	names := make([]string, 0, len(p.services))
	for n := range p.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Treatments returns every treatment of calls to the service.
func (p *Plan) Treatments(service string) []*Treatment {
	s, ok := p.services[service]
	if !ok {
		return nil
	}
	list := append(s.classes[:len(s.classes):len(s.classes)], s.other)
	for _, r := range p.routes {
		if r.service == s {
			list = append(append(list, r.classes...), r.other)
		}
	}
	return list
}

// Takes tells whether the treatment's targets pick a VM with the labels.
func (t *Treatment) Takes(set labels.Set) bool {
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
