package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// slowAnswer is the delay of a slow store.
const slowAnswer = 400 * time.Millisecond

// holdStore gives the store a fault towards some VMs for a time.
func (s *site) holdStore(kind string, vms []*vm, f standin.Fault, d time.Duration) {
	over := s.history.beginDisturbance(kind, false, ipsOf(vms...)...)
	var ends []func()
	for _, v := range vms {
		ends = append(ends, v.storeFaults.hold(f))
		s.store.SetFault(v.ip, v.storeFaults.now())
	}
	time.Sleep(d)
	for i, v := range vms {
		ends[i]()
		s.store.SetFault(v.ip, v.storeFaults.now())
	}
	over()
}

func refuseAtStore(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rnd.IntN(2)]
	s.holdStore(kind, s.some(rnd), standin.Fault{Status: status}, d)
}

func silenceStore(s *site, kind string, _ *rand.Rand, d time.Duration) {
	s.holdStore(kind, s.vms, standin.Fault{Unresponsive: true}, d)
}

func slowStore(s *site, kind string, _ *rand.Rand, d time.Duration) {
	s.holdStore(kind, s.vms, standin.Fault{Delay: slowAnswer}, d)
}

func loseStoreAnswers(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdStore(kind, s.some(rnd), standin.Fault{LoseResponse: true}, d)
}

func forgetStoreHistory(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	s.holdStore(kind, s.some(rnd), standin.Fault{ForgetHistory: true}, faultLeast)
}
