package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// simulatedSite holds how many VMs of each service a zone has, and the requests that begin beside them.
type simulatedSite struct {
	vms    []simulatedVMs
	routes Origins
	rnd    *rand.Rand
}

// simulatedVMs are the VMs of one service in one zone.
type simulatedVMs struct {
	at Origin
	n  int
}

func newSimulatedSite(seed uint64, zones int, vms ...int) *simulatedSite {
	s := &simulatedSite{routes: Origins{}, rnd: rand.New(rand.NewPCG(seed, 1))}
	for z := range zones {
		for i, n := range vms {
			s.vms = append(s.vms, simulatedVMs{Origin{fmt.Sprint("zone", z), service(i)}, n})
		}
	}
	return s
}

func service(i int) string { return fmt.Sprint("service", i) }

// rateSpan is the time in seconds over which a rate is counted.
const rateSpan = 2.0

// add adds requests of a route beside a server, with the noise of counting over a short time.
func (s *simulatedSite) add(route string, at Origin, rate, noCaller float64) {
	noisy := max(rate+s.rnd.NormFloat64()*math.Sqrt(rate/rateSpan), 0)
	s.routes.AddReport(at.Zone, &Report{
		Service: at.Service,
		Entries: map[string]Entry{route: {Fresh: noisy, WithoutCaller: noisy * noCaller}},
	})
}

// clients adds clients' requests of a route, equally at all VMs.
func (s *simulatedSite) clients(route string, perVM, noCaller float64) {
	for _, v := range s.vms {
		s.add(route, v.at, perVM*float64(v.n), noCaller)
	}
}

// calls adds calls of a route by the servers of some services.
func (s *simulatedSite) calls(route string, perVM float64, services ...int) {
	for _, v := range s.vms {
		for _, i := range services {
			if v.at.Service == service(i) {
				s.add(route, v.at, perVM*float64(v.n), 0.01)
			}
		}
	}
}

func never(string) bool { return false }

func (s *simulatedSite) check(c *qt.C, want map[string]bool) {
	c.Check(s.routes.InternalRoutes(never), qt.DeepEquals, want, qt.Commentf("%v", s.routes))
}

// Guards against taking a callee of two services for a client route: the calls below it aren't counted, its root requests
// seem to cost a twentieth of what they do, and the service below is overloaded for good.
func TestCalleeOfTwoServicesIsInternal(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newSimulatedSite(seed, 3, 2, 1, 1, 1)
		s.clients("read", 14, 0.9)
		s.clients("correct", 5, 0.9)
		s.clients("release", 3, 0.6)
		s.clients("history", 2, 0.5)
		s.calls("check", 30, 0)
		s.calls("fixing", 40, 0, 1)
		s.calls("index", 120, 2)
		s.check(c, map[string]bool{
			"read": false, "correct": false, "release": false, "history": false, "check": true, "fixing": true, "index": true,
		})
	}
}

// Clients whose requests always arrive while a run is in progress still send them to all servers.
func TestClientRoutesWithoutLoneRequestsAreNotInternal(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newSimulatedSite(seed, 3, 12, 9, 2, 1)
		s.clients("long", 14, 0.9)
		s.clients("short", 2, 0)
		s.calls("called", 30, 0, 1, 2)
		s.check(c, map[string]bool{"long": false, "short": false, "called": true})
	}
}

// A callee of all services is recognized by the origins of its calls.
func TestCalleeOfAllServicesIsInternal(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newSimulatedSite(seed, 2, 3, 2, 2)
		s.clients("root", 20, 0.9)
		s.calls("all", 70, 0)
		s.calls("all", 10, 1, 2)
		s.check(c, map[string]bool{"root": false, "all": true})
	}
}

// Clients may be at some VMs only; their requests also arrive while nothing is in progress.
func TestClientsAtSomeServersOnlyAreNotCalls(t *testing.T) {
	c := qt.New(t)
	s := newSimulatedSite(1, 3, 2, 2, 2)
	s.clients("root", 20, 0.9)
	for _, v := range s.vms {
		if v.at.Service == service(1) {
			s.add("desk", v.at, 30, 0.4)
		}
	}
	s.check(c, map[string]bool{"root": false, "desk": false})
}

// A rarely used route keeps its earlier classification.
func TestRareRoutesKeepTheirClassification(t *testing.T) {
	c := qt.New(t)
	s := newSimulatedSite(1, 1, 2, 2)
	s.clients("root", 20, 0.9)
	s.add("called", Origin{"zone0", service(0)}, 0.5, 0)
	c.Check(s.routes.InternalRoutes(func(route string) bool { return route == "called" })["called"], qt.IsTrue)
	c.Check(s.routes.InternalRoutes(never)["called"], qt.IsFalse)
}

// Under very low load, as just before and after a loss of all nodes, calls don't begin clearly elsewhere than clients'
// requests do; the earlier classification holds then.
func TestClassificationIsKeptUnderLowLoad(t *testing.T) {
	c := qt.New(t)
	site := newSimulatedSite(1, 3, 2, 1, 1, 1)
	site.clients("root", 0.5, 0.5)
	site.calls("called", 0.6, 0)
	known := func(route string) bool { return route == "called" }
	c.Assert(site.routes.InternalRoutes(known), qt.DeepEquals, map[string]bool{"root": false, "called": true})
	c.Assert(site.routes.InternalRoutes(func(string) bool { return false }), qt.DeepEquals, map[string]bool{"root": false, "called": false})
}
