package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The values used where no policy or class sets any.
const (
	DefaultRetries     = 2
	DefaultRetryShare  = 0.1
	DefaultRepeatShare = 0.2
	DefaultTimeout     = 2 * time.Second
	DefaultTier        = priority.Tier(2)
)

// Plan is a compiled Document; it is immutable and safe for concurrent use.
type Plan struct {
	Version  int64
	services map[string]*Service
	routes   []*routeRule
	vmLabels map[string]labels.Set
}

// Service is a compiled service; classes has its treatments in matching order, other the one for requests that match none.
type Service struct {
	Name    string
	Spec    ServiceSpec
	labels  labels.Set
	classes []*Treatment
	other   *Treatment
}

// routeRule is a compiled route.
type routeRule struct {
	name    string
	spec    RouteSpec
	service *Service
	labels  labels.Set
	// classes and other are the service's treatments by policies that match with the route's labels added.
	classes []*Treatment
	other   *Treatment
}

// Compile checks a document and compiles it into a Plan; the error is an *InvalidError.
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

// Match holds the properties of a request that routes and classes match.
type Match struct {
	Host   string
	Method string
	Path   string
}

// RequestTreatment returns the treatment of a caller's request and the name of its route, or nil if no route matches.
func (p *Plan) RequestTreatment(m Match) (*Treatment, string) {
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

// CallTreatment returns the treatment of a call to a service from another service, or nil if the service doesn't exist.
func (p *Plan) CallTreatment(service string, m Match) *Treatment {
	s, ok := p.services[service]
	if !ok {
		return nil
	}
	return choose(s.classes, s.other, m)
}

// choose returns the first treatment that matches, or other.
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

// Service returns the compiled service, or nil if it doesn't exist.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// VMLabels returns the labels that operators set on the VM, which override its own.
func (p *Plan) VMLabels(vm string) map[string]string { return p.vmLabels[vm] }

// Services returns the sorted names of the services.
func (p *Plan) Services() []string {
	names := make([]string, 0, len(p.services))
	for n := range p.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Treatments returns every treatment of calls to the service, also by way of routes; nil if the service doesn't exist.
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
