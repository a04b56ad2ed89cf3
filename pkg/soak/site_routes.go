package soak

import (
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// routeHost is the host of all routes.
const routeHost = "soak.example"

// The services, assigned to the VMs in turn; front calls back.
const (
	serviceFront = "front"
	serviceBill  = "bill"
	serviceBack  = "back"
)

// route is a path that callers request.
type route struct {
	path, service string
	once          bool
	probe         bool          // was added or dropped during the run
	timeout       time.Duration // how long callers wait for a response; 0: callerTimeout
}

// The permanent routes.
var (
	routeRead = route{path: "/read/", service: serviceFront}
	routePay  = route{path: "/pay/", service: serviceBill, once: true}
	routePull = route{path: "/pull/", service: serviceBack}
	routeCall = route{path: "/call/", service: serviceBack}
	// routeLong has a few requests that take much longer than the others.
	routeLong = route{path: "/long/", service: serviceBack, once: true, timeout: 2 * callerTimeout}
)

// limit returns how long callers wait for a response.
func (r route) limit() time.Duration { return max(r.timeout, callerTimeout) }

// changeState stores a newer desired state with the permanent routes and the given ones.
func (s *site) changeState(routes []route) error {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	s.version += 1 + rand.Int64N(5)
	var all []standin.Route
	for _, r := range append([]route{routeRead, routePay, routePull, routeCall, routeLong}, routes...) {
		all = append(all, standin.Route{
			Name: "r" + r.path, Host: routeHost, Prefix: r.path, Service: r.service, Once: r.once,
			Priority: 1, MaxAttempts: 3, Timeout: 3 * callerTimeout, Public: r == routeCall,
		})
	}
	row, err := standin.StateRow(s.version, all, s.teams.desiredTeams()...)
	if err != nil {
		return err
	}
	s.store.Put(row)
	s.routes = routes
	return nil
}

// The share of requests for each route; the rest goes to routes added during the run.
const (
	shareRead = 0.4
	sharePay  = 0.35
	sharePull = 0.2
)

// pickRoute draws the route of a request.
func (s *site) pickRoute(rnd *rand.Rand) route {
	x := rnd.Float64()
	switch {
	case x < shareRead:
		return routeRead
	case x < shareRead+sharePay:
		return routePay
	case x < shareRead+sharePay+sharePull:
		return routePull
	}
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if len(s.routes) == 0 {
		return routePull
	}
	return s.routes[rnd.IntN(len(s.routes))]
}

// calledPath returns the path that the service calls while it handles a request, or "" if none.
func (s *site) calledPath(service string) string {
	if service == serviceFront {
		return routeCall.path
	}
	return ""
}
