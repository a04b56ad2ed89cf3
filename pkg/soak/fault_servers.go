package soak

import (
	"math/rand/v2"
	"time"
)

// holdServer gives a backend server a fault for a time.
func (s *site) holdServer(kind string, v *vm, f serverFault, d time.Duration) {
	over := s.history.begin(kind, false)
	end := v.server.faults.hold(f)
	time.Sleep(d)
	end()
	over()
}

func slowServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdServer(kind, s.oneOf(rnd), serverFault{Slow: 2 + rnd.IntN(20)}, d)
}

func failServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdServer(kind, s.oneOf(rnd), serverFault{Fail: rnd.Float64()}, d)
}

func shedServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdServer(kind, s.oneOf(rnd), serverFault{Shed: rnd.Float64()}, d)
}

func cutAnswers(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdServer(kind, s.oneOf(rnd), serverFault{Cut: rnd.Float64() / 2}, d)
}

func extraBytes(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdServer(kind, s.oneOf(rnd), serverFault{Extra: rnd.Float64() / 2}, d)
}
