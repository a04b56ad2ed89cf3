package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// takeAway notes that planned work takes a VM's server away until the returned function is called. It reports false
// if that would leave its service without any: no operator does that, and all who need it would fail.
func (s *site) takeAway(v *vm) (back func(), ok bool) {
	s.stoppedServersMu.Lock()
	defer s.stoppedServersMu.Unlock()
	all := 0
	for _, o := range s.vms {
		if o.service == v.service {
			all++
		}
	}
	if s.stoppedServers[v.service]+1 >= all {
		return nil, false
	}
	if s.stoppedServers == nil {
		s.stoppedServers = map[string]int{}
	}
	s.stoppedServers[v.service]++
	return func() {
		s.stoppedServersMu.Lock()
		defer s.stoppedServersMu.Unlock()
		s.stoppedServers[v.service]--
	}, true
}

// stopNode stops a process in order and starts it again.
func stopNode(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.oneOf(rnd)
	back, ok := s.takeAway(v)
	if !ok {
		return
	}
	defer back()
	over := s.history.beginDisturbance(kind, true, v.ip)
	v.restart(syscall.SIGTERM, restartPause)
	over()
}

// reloadNode has a process read its settings again, once or twice in a row.
func reloadNode(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.oneOf(rnd)
	over := s.history.beginDisturbance(kind, true, v.ip)
	defer over()
	if !v.node.restarting.TryLock() {
		return // nothing is there to be told
	}
	defer v.node.restarting.Unlock()
	for range 1 + rnd.IntN(2) {
		v.signal(syscall.SIGHUP)
	}
}

// leaveServer lets a backend server drain, end and come back as a new one.
func leaveServer(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.oneOf(rnd)
	back, ok := s.takeAway(v)
	if !ok {
		return
	}
	defer back()
	over := s.history.beginDisturbance(kind, true, v.ip)
	defer over()
	v.server.leave()
	time.Sleep(drainTime + faultLeast)
	v.server.renew()
}

// changeRoutes adds a route and drops the one before.
func changeRoutes(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	over := s.history.beginDisturbance(kind, true)
	defer over()
	added := route{path: fmt.Sprintf("/n%d/", rnd.Uint32()), service: serviceBack, probe: true}
	s.routesMu.Lock()
	old := s.routes
	s.routesMu.Unlock()
	if err := s.changeState([]route{added}); err != nil {
		s.history.addFinding("soak", err.Error())
		return
	}
	change := stateChange{At: time.Now(), Added: added.path}
	if len(old) > 0 {
		change.Dropped = old[0].path
	}
	s.history.addStateChange(change)
}
