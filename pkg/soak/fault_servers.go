package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// holdServer gives a backend server a fault for a time.
func (s *site) holdServer(kind string, v *vm, f serverFault, d time.Duration) {
	over := s.history.beginDisturbance(kind, false)
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

// restartServer ends a server's connections and has it start again under its instance; a heartbeat of the life before comes late.
func restartServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.oneOf(rnd)
	over := s.history.beginDisturbance(kind, false, v.ip)
	defer over()
	late, ok := v.server.startAgain()
	if !ok {
		return
	}
	s.proxy.reset(v.serverLink())
	v.server.beat()
	time.Sleep(d / 2)
	_ = standin.Register(v.server.register, v.at(portControl), late) // acknowledged or not, it has to change nothing
}

// foreignHeartbeats sends a node heartbeats that name no server.
func foreignHeartbeats(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.oneOf(rnd)
	over := s.history.beginDisturbance(kind, false)
	defer over()
	for _, r := range []directory.Registration{
		{Instance: "foreign", Address: v.at(portBackend), Zone: v.zone, Slots: 1, CallSeq: 1},
		{Instance: "foreign", Address: v.at(portBackend), Service: "unheard-of", Zone: v.zone, Slots: 1, CallSeq: 1},
		{Instance: "foreign", Address: v.at(portBackend), Service: v.service, Zone: v.zone, CallSeq: 1},
	} {
		if standin.Register(v.server.register, v.at(portControl), r) == nil {
			s.history.addFinding("heartbeat", fmt.Sprintf("%s took %+v", v.ip, r))
		}
	}
}
