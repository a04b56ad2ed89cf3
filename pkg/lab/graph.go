package lab

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/priority"
)

// Service is a service of fakes.
type Service struct {
	Name    string
	Servers int
	Slots   int           // of each server
	Time    time.Duration // of one call in the server itself
	Shed    bool          // refuse with 503 and Retry-After when as many calls wait as there are slots
}

// Call is one call that a service makes for a request.
type Call struct {
	Service string
	Class   string
}

// Stage is calls made at once; stages follow each other.
type Stage []Call

// Class is a class of requests and what each service calls for it.
type Class struct {
	Name     string
	Tier     priority.Tier
	OnceOnly bool
	Token    bool    // callers get a token from their entry first, and use it as the key
	Share    float64 // of the load; 0 for a class that only services call
	Timeout  time.Duration
	Root     string             // service that callers' requests go to
	Calls    map[string][]Stage // by calling service
}

// Graph is a call graph of fakes.
type Graph struct {
	Services []Service
	Classes  []Class
	Zones    int
	Retries  int // policy: retry tokens of a root request
}

func (g *Graph) service(name string) *Service {
	for i := range g.Services {
		if g.Services[i].Name == name {
			return &g.Services[i]
		}
	}
	panic("lab: no service " + name) // a mistake in an experiment's table
}

func (g *Graph) class(name string) *Class {
	for i := range g.Classes {
		if g.Classes[i].Name == name {
			return &g.Classes[i]
		}
	}
	panic("lab: no class " + name) // a mistake in an experiment's table
}

// hold is the time that a call holds a slot: its own, and that of the calls it waits for.
func (g *Graph) hold(c Call) time.Duration {
	d := g.service(c.Service).Time
	for _, stage := range g.class(c.Class).Calls[c.Service] {
		var longest time.Duration
		for _, next := range stage {
			longest = max(longest, g.hold(next))
		}
		d += longest
	}
	return d
}

// busy adds up the slot time that one request takes of each service, in seconds.
func (g *Graph) busy(c Call, weight float64, into map[string]float64) {
	into[c.Service] += weight * g.hold(c).Seconds()
	for _, stage := range g.class(c.Class).Calls[c.Service] {
		for _, next := range stage {
			g.busy(next, weight, into)
		}
	}
}

// Capacity returns the whole requests a second, of the load's mix, that the slots allow.
func (g *Graph) Capacity() float64 {
	perRequest := map[string]float64{}
	for _, c := range g.Classes {
		if c.Share > 0 {
			g.busy(Call{c.Root, c.Name}, c.Share, perRequest)
		}
	}
	least := 0.0
	for name, seconds := range perRequest {
		s := g.service(name)
		limit := float64(s.Servers*s.Slots) / seconds
		if least == 0 || limit < least {
			least = limit
		}
	}
	return least
}

// method is the HTTP method of a class's requests.
func (c *Class) method() string {
	if c.OnceOnly {
		return http.MethodPost
	}
	return http.MethodGet
}

// path leads to the class at any service.
func (c *Class) path() string { return "/" + c.Name }

// Objects returns the configuration that serves the graph.
func (g *Graph) Objects() []config.Object {
	var objs []config.Object
	for _, s := range g.Services {
		objs = append(objs, config.Object{
			Kind: config.KindService, Name: s.Name, Labels: map[string]string{"team": "lab"},
			Service: &config.ServiceSpec{Slots: s.Slots, Connections: 10 * s.Slots},
		})
	}
	for _, c := range g.Classes {
		objs = append(objs, config.Object{
			Kind: config.KindClass, Name: c.Name, Labels: map[string]string{"class": c.Name},
			Class: &config.ClassSpec{Tier: c.Tier, OnceOnly: c.OnceOnly, Timeout: c.Timeout, PathPrefix: c.path()},
		})
		if c.Share > 0 {
			objs = append(objs, config.Object{
				Kind: config.KindRoute, Name: "to-" + c.Name,
				Route: &config.RouteSpec{PathPrefix: c.path(), Service: c.Root},
			})
		}
	}
	retries := g.Retries
	objs = append(objs, config.Object{
		Kind: config.KindPolicy, Name: "all",
		Policy: &config.PolicySpec{Selector: "team=lab", Retries: &retries},
	})
	return objs
}

// serverName names one VM of a service.
func serverName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }
