package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// lifetimeHeader names the lifetime of the server that gave an answer.
const lifetimeHeader = "Soak-Lifetime"

// rateLimitChoices are the rate limits that servers advertise, in requests a second: none at all, hardly any, and around the
// rate that a server gets.
var rateLimitChoices = []float64{0, 0.3, 2, 5, 8.5, 15.5, 30}

// limitHoldFactor is how many times as long as other faults a server advertises limits: the check begins seconds after the
// first.
const limitHoldFactor = 3

// setNotices sets the headers by which the server says something of itself, as of now; lifetime is the one that got the
// request.
func (b *backendServer) setNotices(h http.Header, lifetime string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Set(lifetimeHeader, lifetime)
	if b.lifetimeName() != lifetime {
		return
	}
	if b.limit != "" {
		h.Set(standin.Headers.Advertised.RateLimit, b.limit)
	}
	if b.leaving {
		h.Set(standin.Headers.Advertised.Leaving, "1")
	}
}

// advertise makes the given lifetime of the server name a limit, or none if limited is false, and records it.
func (b *backendServer) advertise(lifetime string, perSecond float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lifetimeName() != lifetime {
		return
	}
	b.limit = ""
	if limited {
		b.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
	b.history.addLimit(advertisedLimit{Lifetime: lifetime, At: time.Now(), PerSecond: perSecond, Limited: limited})
}

// currentLifetime returns the name of the server's lifetime.
func (b *backendServer) currentLifetime() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lifetimeName()
}

// advertiseLimits makes some servers name a rate limit, change it once or twice and lift it.
func advertiseLimits(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false)
	defer recordEnd()
	var all sync.WaitGroup
	for _, v := range s.randomVMs(rnd) {
		lifetime, changes := v.server.currentLifetime(), 1+rnd.IntN(3)
		var limits []float64
		for range changes {
			limits = append(limits, rateLimitChoices[rnd.IntN(len(rateLimitChoices))])
		}
		all.Go(func() {
			for _, l := range limits {
				v.server.advertise(lifetime, l, true)
				time.Sleep(d * limitHoldFactor / time.Duration(changes))
			}
			v.server.advertise(lifetime, 0, false)
		})
	}
	all.Wait()
}

// leaveByAnswers makes a server say in its answers that it leaves, with or without a heartbeat that says so, and starts a
// new instance in its place.
func leaveByAnswers(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVM(rnd)
	heartbeatSays := rnd.IntN(3) == 0
	release, ok := s.reserveOutage(v)
	if !ok {
		return
	}
	defer release()
	recordEnd := s.history.beginDisturbance(kind, true, v.ip)
	defer recordEnd()
	v.server.mu.Lock()
	v.server.leaving = true
	v.server.mu.Unlock()
	if heartbeatSays {
		time.Sleep(d / 2)
		v.server.drain()
	}
	time.Sleep(drainDuration + minFaultDuration + d)
	v.server.startNewInstance()
}
