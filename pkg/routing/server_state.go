package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The law of setting a server aside: the failures in a row that do it, and the first and longest time.
const (
	asideFailures = 3
	asideFirst    = 250 * time.Millisecond
	asideMax      = 10 * time.Second
)

// statStale is the age after which what a server said of its level and load is no longer believed.
const statStale = time.Second

// Server is what a daemon has seen of one backend server; it is safe for concurrent use.
type Server struct {
	VM   string
	Zone string
	Peer string

	running atomic.Int64
	calls   atomic.Int64 // that the server told of, less this daemon's own at that time
	limit   atomic.Int64 // that the server told of; 0 if it never did
	level   atomic.Uint32
	seen    atomic.Int64 // Unix nanoseconds
	leaving atomic.Bool

	mu         sync.Mutex
	failures   int
	asideUntil time.Time
	asideFor   time.Duration
	trial      bool

	tokens retryBucket
}

// Begin notes a call that is sent to the server.
func (s *Server) Begin() { s.running.Add(1) }

// End notes that a call to the server has ended.
func (s *Server) End() { s.running.Add(-1) }

// ObserveAnswer takes in what an answer showed of the server.
func (s *Server) ObserveAnswer(now time.Time, a wire.Answer) {
	// The call that was answered has ended by now, and isn't among the server's any more.
	s.calls.Store(int64(a.CallsAtServer) - max(s.running.Load()-1, 0))
	s.limit.Store(int64(a.Limit))
	s.level.Store(uint32(a.OwnLevel))
	s.seen.Store(now.UnixNano())
	if a.Leaving {
		s.leaving.Store(true)
	}
	if !s.troubled() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.asideFor, s.trial = 0, 0, false
	s.asideUntil = time.Time{}
}

func (s *Server) troubled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures > 0 || s.asideFor > 0
}

// ObserveFailure notes a call whose answer was lost; refused says that it certainly never arrived.
func (s *Server) ObserveFailure(now time.Time, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	if s.failures < asideFailures && !refused && !s.trial {
		return
	}
	s.trial = false
	s.asideFor = min(max(2*s.asideFor, asideFirst), asideMax)
	s.asideUntil = now.Add(s.asideFor)
}

// AllowCall tells whether calls may be sent: not leaving and not set aside. After its time aside a
// server gets a single call on trial; AllowCall itself hands out that one chance.
func (s *Server) AllowCall(now time.Time) bool {
	if s.leaving.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asideFor == 0 {
		return true
	}
	if now.Before(s.asideUntil) {
		return false
	}
	// The chance lapses if no answer comes, so that a trial that was never sent doesn't block.
	s.trial = true
	s.asideUntil = now.Add(s.asideFor)
	return true
}

// SetLeaving notes what members say of the server.
func (s *Server) SetLeaving(v bool) { s.leaving.Store(v) }

// Level returns the server's own admission level, as last seen.
func (s *Server) Level(now time.Time) priority.Priority {
	if now.UnixNano()-s.seen.Load() > int64(statStale) {
		return 0
	}
	return priority.Priority(s.level.Load())
}

// unknownLimit is assumed of a server that has not answered yet: it may just have started cold.
const unknownLimit = 1

// busy orders servers: the share of its limit that a server uses, by what it told last and by the calls
// that this daemon has sent and got back since.
func (s *Server) busy(now time.Time) float64 {
	limit := s.limit.Load()
	own := s.running.Load()
	if limit == 0 {
		return (float64(own) + 0.5) / unknownLimit
	}
	if now.UnixNano()-s.seen.Load() > int64(statStale) {
		return float64(own) / float64(limit)
	}
	return float64(max(s.calls.Load()+own, own)) / float64(limit)
}

// crowdedShare is the share of its limit above which a server counts as full.
const crowdedShare = 0.9

// crowded tells whether the server is full, as far as is known.
func (s *Server) crowded(now time.Time) bool {
	return s.Level(now) > 0 || s.busy(now) > crowdedShare
}

// Snapshot is a Server's state for dumps.
type Snapshot struct {
	VM      string            `json:"vm"`
	Zone    string            `json:"zone"`
	Running int64             `json:"running"`
	Load    float64           `json:"load"` // share of its limit in use
	Level   priority.Priority `json:"level"`
	Leaving bool              `json:"leaving"`
	Ejected bool              `json:"aside"`
}

// Snapshot returns the server's state.
func (s *Server) Snapshot(now time.Time) Snapshot {
	s.mu.Lock()
	aside := s.asideFor > 0
	s.mu.Unlock()
	return Snapshot{
		VM: s.VM, Zone: s.Zone, Running: s.running.Load(), Load: s.busy(now),
		Level: s.Level(now), Leaving: s.leaving.Load(), Ejected: aside,
	}
}
