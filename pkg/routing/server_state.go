package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Outlier ejection: the consecutive failures after which a server is ejected, and the first and longest ejection time.
const (
	ejectFailures = 3
	firstEjection = 250 * time.Millisecond
	maxEjection   = 10 * time.Second
)

// reportLifetime is the age at which a server's reported level and load are no longer used.
const reportLifetime = time.Second

// Server is the state of one backend server as one node has observed it; it is safe for concurrent use.
type Server struct {
	VM   string
	Zone string
	Peer string // address of the VM's node

	running    atomic.Int64
	otherCalls atomic.Int64  // last reported by the server, less this node's own calls at that time
	limit      atomic.Int64  // last reported by the server; 0 if it never answered
	level      atomic.Uint32 // last reported admission level
	answeredAt atomic.Int64  // time of the last answer, in Unix nanoseconds
	leaving    atomic.Bool

	mu           sync.Mutex
	failures     int
	ejectedUntil time.Time
	ejectionTime time.Duration
	probing      bool

	retries retryBucket
}

// Begin counts a call to the server as in flight.
func (s *Server) Begin() { s.running.Add(1) }

// End records that a call counted by Begin has ended.
func (s *Server) End() { s.running.Add(-1) }

// ObserveAnswer updates the server's reported state from an answer and ends an ejection.
func (s *Server) ObserveAnswer(now time.Time, a wire.Answer) {
	// The server no longer counts the answered call, so it isn't subtracted.
	s.otherCalls.Store(int64(a.CallsAtServer) - max(s.running.Load()-1, 0))
	s.limit.Store(int64(a.Limit))
	s.level.Store(uint32(a.OwnLevel))
	s.answeredAt.Store(now.UnixNano())
	if a.Leaving {
		s.leaving.Store(true)
	}
	if !s.hasFailures() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.ejectionTime, s.probing = 0, 0, false
	s.ejectedUntil = time.Time{}
}

// hasFailures reports whether there are recent failures or an ejection to clear.
func (s *Server) hasFailures() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures > 0 || s.ejectionTime > 0
}

// ObserveFailure records a call whose answer was lost; refused says that the call certainly never arrived. The server is
// ejected if the call was refused, if it was the probe call, or after ejectFailures consecutive failures. The ejection time
// doubles each time.
func (s *Server) ObserveFailure(now time.Time, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	if s.failures < ejectFailures && !refused && !s.probing {
		return
	}
	s.probing = false
	s.ejectionTime = min(max(2*s.ejectionTime, firstEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejectionTime)
}

// AllowCall reports whether a call may be sent to the server: it isn't leaving and not ejected. When the ejection time
// is over, AllowCall returns true for a single probe call, and then false for another ejection time.
func (s *Server) AllowCall(now time.Time) bool {
	if s.leaving.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejectionTime == 0 {
		return true
	}
	if now.Before(s.ejectedUntil) {
		return false
	}
	// Another probe is allowed after the ejection time, so that a probe that was never sent doesn't block the server forever.
	s.probing = true
	s.ejectedUntil = now.Add(s.ejectionTime)
	return true
}

// SetLeaving sets whether the server is leaving, as the membership says.
func (s *Server) SetLeaving(v bool) { s.leaving.Store(v) }

// Level returns the server's own admission level as last reported, or 0 if the last answer is older than reportLifetime.
func (s *Server) Level(now time.Time) priority.Priority {
	if now.UnixNano()-s.answeredAt.Load() > int64(reportLifetime) {
		return 0
	}
	return priority.Priority(s.level.Load())
}

// unknownLimit is the concurrency limit assumed for a server that hasn't answered yet, as it may be in its cold start.
const unknownLimit = 1

// load returns the fraction of its limit that a server uses, by its last report and the calls that this node has
// begun and ended since; it can exceed 1. A report older than reportLifetime counts for the limit only.
func (s *Server) load(now time.Time) float64 {
	limit := s.limit.Load()
	own := s.running.Load()
	if limit == 0 {
		return (float64(own) + 0.5) / unknownLimit
	}
	if now.UnixNano()-s.answeredAt.Load() > int64(reportLifetime) {
		return float64(own) / float64(limit)
	}
	return float64(max(s.otherCalls.Load()+own, own)) / float64(limit)
}

// fullFraction is the fraction of its limit above which a server counts as full.
const fullFraction = 0.9

// full reports whether the server refuses some priorities or has hardly any free slots, by its last report.
func (s *Server) full(now time.Time) bool {
	return s.Level(now) > 0 || s.load(now) > fullFraction
}

// Snapshot is a Server's state, for dumps and status reports.
type Snapshot struct {
	VM      string            `json:"vm"`
	Zone    string            `json:"zone"`
	Running int64             `json:"running"`
	Load    float64           `json:"load"` // fraction of its limit in use
	Level   priority.Priority `json:"level"`
	Leaving bool              `json:"leaving"`
	Ejected bool              `json:"aside"`
}

// Snapshot returns the server's state at now.
func (s *Server) Snapshot(now time.Time) Snapshot {
	s.mu.Lock()
	ejected := s.ejectionTime > 0
	s.mu.Unlock()
	return Snapshot{
		VM: s.VM, Zone: s.Zone, Running: s.running.Load(), Load: s.load(now),
		Level: s.Level(now), Leaving: s.leaving.Load(), Ejected: ejected,
	}
}
