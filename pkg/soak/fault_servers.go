package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// injectServerFault applies f to the backend server of a VM for d and records it.
func (s *site) injectServerFault(kind string, v *vm, f serverFault, d time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false)
	end := v.server.faults.add(f)
	time.Sleep(d)
	end()
	recordEnd()
}

// slowServer slows a backend server down by a factor of 2 to 21 for d.
func slowServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{Slowdown: 2 + rnd.IntN(20)}, d)
}

// failServer makes a random fraction of the runs of a backend server fail for d.
func failServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{FailureRate: rnd.Float64()}, d)
}

// refuseAtServer makes a backend server reject a random fraction of its requests for d.
func refuseAtServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{RefusalRate: rnd.Float64()}, d)
}

// loseServerAnswers makes a backend server lose up to half of its responses for d.
func loseServerAnswers(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{LostAnswerRate: rnd.Float64() / 2}, d)
}

// sendExtraBytes makes a backend server send surplus bytes after up to half of its responses for d.
func sendExtraBytes(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{ExtraBytesRate: rnd.Float64() / 2}, d)
}

// answerWithoutEnd makes a backend server answer some of its requests without end for d.
func answerWithoutEnd(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	form := endlessForms[rnd.IntN(len(endlessForms))]
	s.injectServerFault(kind, s.randomVM(rnd), serverFault{EndlessRate: 0.2 + rnd.Float64()/2, EndlessForm: form}, d)
}

// restartServer resets the connections of a backend server and restarts it under the same instance. A heartbeat of
// its previous lifetime arrives late.
func restartServer(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVM(rnd)
	recordEnd := s.history.beginDisturbance(kind, false, v.ip)
	defer recordEnd()
	late, ok := v.server.restartSameInstance()
	if !ok {
		return
	}
	s.proxy.resetConns(v.serverLink())
	v.server.sendHeartbeat()
	time.Sleep(d / 2)
	_ = standin.Register(v.server.registerClient, v.at(portControl), late) // whether acknowledged or not, it must change nothing
}

// foreignHeartbeats sends a node heartbeats that lack a service, name an unknown one or have no slots, and records
// each one that is accepted.
func foreignHeartbeats(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.randomVM(rnd)
	recordEnd := s.history.beginDisturbance(kind, false)
	defer recordEnd()
	for _, r := range []directory.Registration{
		{Instance: "foreign", Address: v.at(portBackend), Zone: v.zone, Slots: 1, HeartbeatSeq: 1},
		{Instance: "foreign", Address: v.at(portBackend), Service: "unheard-of", Zone: v.zone, Slots: 1, HeartbeatSeq: 1},
		{Instance: "foreign", Address: v.at(portBackend), Service: v.service, Zone: v.zone, HeartbeatSeq: 1},
	} {
		if standin.Register(v.server.registerClient, v.at(portControl), r) == nil {
			s.history.addFinding("heartbeat", fmt.Sprintf("%s took %+v", v.ip, r))
		}
	}
}
