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

type routeRule struct {
	name    string
	spec    RouteSpec
	service *Service
	labels  labels.Set
	// classes are the service's treatments with the route's own labels taken into account.
	classes []*Treatment
	other   *Treatment
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

// Match describes a request as far as routes and classes look at it.
type Match struct {
	Host   string
	Method string
	Path   string
}

// TreatRequest finds the treatment of a caller's request; the route's name is returned too, and nil if none matches.
func (p *Plan) TreatRequest(m Match) (*Treatment, string) {
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

// TreatCall finds the treatment of a call from one service to another, or nil if there is no such service.
func (p *Plan) TreatCall(service string, m Match) *Treatment {
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
