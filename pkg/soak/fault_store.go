package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// slowStoreDelay is the delay of each call to a slow store.
const slowStoreDelay = 400 * time.Millisecond

// injectStoreFault applies f to the calls of vms to the store for d and records it.
func (s *site) injectStoreFault(kind string, vms []*vm, f standin.Fault, d time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false, ipsOf(vms...)...)
	var ends []func()
	for _, v := range vms {
		ends = append(ends, v.storeFaults.add(f))
		s.store.SetFault(v.ip, v.storeFaults.current())
	}
	time.Sleep(d)
	for i, v := range vms {
		ends[i]()
		s.store.SetFault(v.ip, v.storeFaults.current())
	}
	recordEnd()
}

// refuseAtStore makes the store reject the requests of some VMs with status 503 or 429 for d.
func refuseAtStore(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rnd.IntN(2)]
	s.injectStoreFault(kind, s.randomVMs(rnd), standin.Fault{Status: status}, d)
}

// makeStoreUnresponsive makes the store leave the requests of all VMs unanswered for d.
func makeStoreUnresponsive(s *site, kind string, _ *rand.Rand, d time.Duration) {
	s.injectStoreFault(kind, s.vms, standin.Fault{Unresponsive: true}, d)
}

// slowStore delays the calls of all VMs to the store by slowStoreDelay for d.
func slowStore(s *site, kind string, _ *rand.Rand, d time.Duration) {
	s.injectStoreFault(kind, s.vms, standin.Fault{Delay: slowStoreDelay}, d)
}

// loseStoreAnswers makes the store lose its responses to some VMs for d.
func loseStoreAnswers(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectStoreFault(kind, s.randomVMs(rnd), standin.Fault{LoseResponse: true}, d)
}

// forgetStoreHistory makes the store answer some VMs that follow changes that its history is gone.
func forgetStoreHistory(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	s.injectStoreFault(kind, s.randomVMs(rnd), standin.Fault{ForgetHistory: true}, minFaultDuration)
}
