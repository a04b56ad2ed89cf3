package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// madeUpSite says how many VMs of each service a zone has, and what begins beside them.
type madeUpSite struct {
	vms    []madeUpVMs
	routes Origins
	rnd    *rand.Rand
}

// madeUpVMs are the VMs of one service in one zone.
type madeUpVMs struct {
	at Origin
	n  int
}

func newMadeUpSite(seed uint64, zones int, vms ...int) *madeUpSite {
	s := &madeUpSite{routes: Origins{}, rnd: rand.New(rand.NewPCG(seed, 1))}
	for z := range zones {
		for i, n := range vms {
			s.vms = append(s.vms, madeUpVMs{Origin{fmt.Sprint("zone", z), service(i)}, n})
		}
	}
	return s
}

func service(i int) string { return fmt.Sprint("service", i) }

// rateSpan is the time in seconds that a rate counts over.
const rateSpan = 2.0

// add puts requests of a route beside a server, as many as counting over a short time gives.
func (s *madeUpSite) add(route string, at Origin, rate, alone float64) {
	noisy := max(rate+s.rnd.NormFloat64()*math.Sqrt(rate/rateSpan), 0)
	s.routes.AddReport(at.Zone, &Report{
		Service: at.Service,
		Entries: map[string]Entry{route: {Fresh: noisy, WithoutCaller: noisy * alone}},
	})
}

// clients send a route to all VMs alike.
func (s *madeUpSite) clients(route string, perVM, alone float64) {
	for _, v := range s.vms {
		s.add(route, v.at, perVM*float64(v.n), alone)
	}
}

// calls have the servers of some services call a route.
func (s *madeUpSite) calls(route string, perVM float64, services ...int) {
	for _, v := range s.vms {
		for _, i := range services {
			if v.at.Service == service(i) {
				s.add(route, v.at, perVM*float64(v.n), 0.01)
			}
		}
	}
}

func never(string) bool { return false }

func (s *madeUpSite) check(c *qt.C, want map[string]bool) {
	c.Check(s.routes.InternalRoutes(never), qt.DeepEquals, want, qt.Commentf("%v", s.routes))
}

// A callee of two services was taken for a client's request: the calls below it weren't counted, its root requests
// seemed to cost a twentieth of what they do, and the service below was swamped to the end of the day.
func TestCallOfTwoServicesIsOne(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newMadeUpSite(seed, 3, 2, 1, 1, 1)
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

// Clients whose requests never come alone still bring them to all servers.
func TestClientsOfShortRequestsAreNotTakenForServers(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newMadeUpSite(seed, 3, 12, 9, 2, 1)
		s.clients("long", 14, 0.9)
		s.clients("short", 2, 0)
		s.calls("called", 30, 0, 1, 2)
		s.check(c, map[string]bool{"long": false, "short": false, "called": true})
	}
}

// A callee that all services call is known by where its calls begin.
func TestCallOfAllServicesIsOne(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		s := newMadeUpSite(seed, 2, 3, 2, 2)
		s.clients("root", 20, 0.9)
		s.calls("all", 70, 0)
		s.calls("all", 10, 1, 2)
		s.check(c, map[string]bool{"root": false, "all": true})
	}
}

// Clients may be at some VMs only; what they send comes while nothing is in progress, too.
func TestClientsAtSomeServersOnly(t *testing.T) {
	c := qt.New(t)
	s := newMadeUpSite(1, 3, 2, 2, 2)
	s.clients("root", 20, 0.9)
	for _, v := range s.vms {
		if v.at.Service == service(1) {
			s.add("desk", v.at, 30, 0.4)
		}
	}
	s.check(c, map[string]bool{"root": false, "desk": false})
}

// Of a route that is hardly used what was known holds.
func TestRareRoutesStayWhatTheyWere(t *testing.T) {
	c := qt.New(t)
	s := newMadeUpSite(1, 1, 2, 2)
	s.clients("root", 20, 0.9)
	s.add("called", Origin{"zone0", service(0)}, 0.5, 0)
	c.Check(s.routes.InternalRoutes(func(route string) bool { return route == "called" })["called"], qt.IsTrue)
	c.Check(s.routes.InternalRoutes(never)["called"], qt.IsFalse)
}

// When hardly anything is asked for, as just before and after a loss of all nodes, calls begin at no clearly other servers than
// clients' requests do; what was known before holds then.
func TestWhatWasKnownHoldsWhileLittleIsAskedFor(t *testing.T) {
	c := qt.New(t)
	site := newMadeUpSite(1, 3, 2, 1, 1, 1)
	site.clients("root", 0.5, 0.5)
	site.calls("called", 0.6, 0)
	known := func(route string) bool { return route == "called" }
	c.Assert(site.routes.InternalRoutes(known), qt.DeepEquals, map[string]bool{"root": false, "called": true})
	c.Assert(site.routes.InternalRoutes(func(string) bool { return false }), qt.DeepEquals, map[string]bool{"root": false, "called": false})
}
