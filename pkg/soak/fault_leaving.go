package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// maxStay is the longest time for which a server that has deregistered goes on serving after drainDuration.
const maxStay = 4 * time.Second

// contactTime is for how long after an outage a node isn't bound by promises with a time bound.
const contactTime = 3 * time.Second

// deregisterServer makes a server leave by a deregistration alone, serve on for a while, and starts a new instance in its place.
func deregisterServer(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	s.deregisterServer(kind, rnd, nil)
}

// deregisterAroundKill does the same while the processes of the server's VM, or of all VMs, are killed and started again.
func deregisterAroundKill(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	all, before := rnd.IntN(3) == 0, time.Duration(rnd.Int64N(int64(d)))
	s.deregisterServer(kind, rnd, func(v *vm) {
		vms := []*vm{v}
		if all {
			vms = s.vms
		}
		time.Sleep(before)
		s.killAndRestart(kind, vms, min(d, time.Second))
	})
}

// deregisterServer makes a server leave by a deregistration that may lack its start time. It calls meanwhile, if not nil, at the
// same time.
func (s *site) deregisterServer(kind string, rnd *rand.Rand, meanwhile func(v *vm)) {
	v, namesStart, stay := s.randomVM(rnd), rnd.IntN(2) == 0, time.Duration(rnd.Int64N(int64(maxStay)))
	release, ok := s.reserveOutage(v)
	if !ok {
		return
	}
	defer release()
	recordEnd := s.history.beginDisturbance(kind, meanwhile == nil, v.ip)
	defer recordEnd()
	var all sync.WaitGroup
	if meanwhile != nil {
		all.Go(func() { meanwhile(v) })
	}
	if leave, ok := v.server.deregister(namesStart); ok {
		s.history.addLeave(leave)
	}
	time.Sleep(drainDuration + stay)
	all.Wait()
	v.server.startNewInstance()
}

// deregisterBeforeLoss makes a server leave by a deregistration while the store rejects all calls. All processes are killed
// then and start again, and the store returns, while the server serves on.
func deregisterBeforeLoss(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v, namesStart := s.randomVM(rnd), rnd.IntN(2) == 0
	release, ok := s.reserveOutage(v)
	if !ok {
		return
	}
	defer release()
	var outage sync.WaitGroup
	outage.Go(func() {
		s.injectStoreFault(kind, s.vms, standin.Fault{Status: http.StatusServiceUnavailable}, maxFaultDuration)
	})
	defer outage.Wait()
	time.Sleep(minFaultDuration)
	leave, ok := v.server.deregister(namesStart)
	s.killAndRestart(kind, s.vms, min(d, time.Second))
	if ok {
		s.history.addLeave(leave)
	}
	time.Sleep(contactTime + maxStay)
	v.server.startNewInstance()
}

// deregister ends the server's heartbeats and sends deregistrations until one is acknowledged; it reports false after
// drainAckTimeout.
func (b *backendServer) deregister(namesStart bool) (acknowledgedLeave, bool) {
	b.mu.Lock()
	b.silent = true
	at := directory.Lifetime{Instance: b.instance}
	if namesStart {
		at.StartedMS = b.startedMS
	}
	b.mu.Unlock()
	for end := time.Now().Add(drainAckTimeout); time.Now().Before(end); time.Sleep(heartbeatPeriod / 5) {
		if standin.Deregister(b.registerClient, b.vm.at(portControl), at) == nil {
			return acknowledgedLeave{Instance: at.Instance, At: time.Now(), VM: b.vm.ip}, true
		}
	}
	return acknowledgedLeave{}, false
}
