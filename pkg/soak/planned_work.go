package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// reserveOutage records that planned work takes the backend server of a VM down until release is called. It returns
// false if no other server of the service would remain: no operator does that, and all requests that need the service
// would fail.
func (s *site) reserveOutage(v *vm) (release func(), ok bool) {
	s.stoppedServersMu.Lock()
	defer s.stoppedServersMu.Unlock()
	total := 0
	for _, o := range s.vms {
		if o.service == v.service {
			total++
		}
	}
	if s.stoppedServers[v.service]+1 >= total {
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

// stopNode shuts a process down with SIGTERM and starts it again.
func stopNode(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.randomVM(rnd)
	release, ok := s.reserveOutage(v)
	if !ok {
		return
	}
	defer release()
	recordEnd := s.history.beginDisturbance(kind, true, v.ip)
	v.restart(syscall.SIGTERM, restartPause)
	recordEnd()
}

// reloadSettings has a process reload its settings, once or twice in a row.
func reloadSettings(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.randomVM(rnd)
	recordEnd := s.history.beginDisturbance(kind, true, v.ip)
	defer recordEnd()
	if !v.node.restarting.TryLock() {
		return // no process is running that could reload
	}
	defer v.node.restarting.Unlock()
	for range 1 + rnd.IntN(2) {
		v.signal(syscall.SIGHUP)
	}
}

// replaceServer drains a backend server and starts a new instance in its place.
func replaceServer(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.randomVM(rnd)
	release, ok := s.reserveOutage(v)
	if !ok {
		return
	}
	defer release()
	recordEnd := s.history.beginDisturbance(kind, true, v.ip)
	defer recordEnd()
	v.server.drain()
	time.Sleep(drainDuration + minFaultDuration)
	v.server.startNewInstance()
}

// replaceRoute adds a route to the desired state and removes the one that was added before it.
func replaceRoute(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, true)
	defer recordEnd()
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
