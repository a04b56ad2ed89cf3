package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Constants of the check whether a backend server has crashed.
const (
	// maxCrashChecks is how often a server is checked after the connection of a run broke, crashCheckInterval apart. A process
	// that exits loses its listener and its connections one after the other, within some milliseconds.
	maxCrashChecks     = 4
	crashCheckInterval = 10 * time.Millisecond
	// crashPollInterval is the time between looks at the runs in progress while a check waits.
	crashPollInterval = time.Millisecond
	// listeningChecks is how often the server has to be found listening to count as running while no run in progress
	// shows it.
	listeningChecks = 2
	// maxLoggedRuns bounds the runs that the log line about a crash lists.
	maxLoggedRuns = 64
)

// serverRun is one run of a request at the backend server on this VM.
type serverRun struct {
	q        *request
	lifetime string // of the server, by name
	started  time.Time
}

// crashCheck is a check for a crash after the connection of one run broke, or of several at once.
type crashCheck struct {
	firstBroken time.Time     // when the first connection broke
	done        chan struct{} // closed when the result is known
}

// serverRuns tracks the runs at the backend server on this VM; its zero value has none.
type serverRuns struct {
	mu        sync.Mutex
	running   map[*serverRun]struct{}
	broken    []*serverRun
	checking  *crashCheck     // nil: no check is in progress
	lastCrash crashedLifetime // the last lifetime that crashed
}

// crashedLifetime is a lifetime of the server that ended in a crash; its zero value is none.
type crashedLifetime struct {
	lifetime    string
	firstBroken time.Time // when its first connection broke; the server had crashed by then
	confirmed   time.Time // when the server was found not listening; the next lifetime hadn't begun by then
}

// relationTo returns when a run whose connection broke had started, relative to the crash.
func (c crashedLifetime) relationTo(r *serverRun) crashRelation {
	switch {
	case c.lifetime == "" || c.lifetime != r.lifetime || r.started.After(c.confirmed):
		return noCrash
	case r.started.Before(c.firstBroken):
		return startedBeforeCrash
	default:
		return startedAfterCrash
	}
}

// crashRelation is when a run whose connection broke had started, relative to a crash.
type crashRelation uint8

const (
	noCrash            crashRelation = iota // the server is still running, or the next lifetime may have received the run: it may have run
	startedBeforeCrash                      // the server crashed during the run
	startedAfterCrash                       // the server had crashed and the next lifetime hadn't begun: the run never reached a server
)

// begin adds a run that is about to be sent.
func (s *serverRuns) begin(r *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*serverRun]struct{})
	}
	s.running[r] = struct{}{}
}

// end removes a run that was answered or whose caller has disconnected.
func (s *serverRuns) end(r *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
}

// lastCrashed returns the last lifetime that crashed.
func (s *serverRuns) lastCrashed() crashedLifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCrash
}

// addBroken moves a run whose connection broke to the crash check in progress, or starts a check; first reports whether
// it did, so that the caller has to do the check.
func (s *serverRuns) addBroken(now time.Time, r *serverRun) (check *crashCheck, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	s.broken = append(s.broken, r)
	if s.checking != nil {
		return s.checking, false
	}
	s.checking = &crashCheck{firstBroken: now, done: make(chan struct{})}
	return s.checking, true
}

// hasRunFromBefore reports whether a run that began before the time is still in progress.
func (s *serverRuns) hasRunFromBefore(before time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if r.started.Before(before) {
			return true
		}
	}
	return false
}

// awaitEndOf waits for the interval, or for less if no run that began before the time is in progress any more: the connections of a process
// that exits break one after the other, mostly within a fraction of a millisecond.
func (s *serverRuns) awaitEndOf(before time.Time, interval time.Duration) {
	waited := false
	for range interval / crashPollInterval {
		if s.hasRunFromBefore(before) {
			waited = true
		} else if waited {
			return
		}
		clock.Sleep(context.Background(), crashPollInterval)
	}
}

// finishCheck ends the crash check. It returns the runs whose connections broke meanwhile, except for those that began
// after the first one had broken: when five servers crashed together under a popular request, some crashes were
// detected 10 ms late, and these servers meanwhile got requests from the others.
func (s *serverRuns) finishCheck(now time.Time, lifetime string, crashed bool) []*serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	firstBroken, broken := s.checking.firstBroken, s.broken
	s.checking, s.broken = nil, nil
	if crashed {
		s.lastCrash = crashedLifetime{lifetime: lifetime, firstBroken: firstBroken, confirmed: now}
	}
	return slices.DeleteFunc(broken, func(r *serverRun) bool { return !r.started.Before(firstBroken) })
}

// resolveBrokenRun returns the answer to a run whose connection broke, once it is known whether the backend server has
// crashed.
func (b *backend) resolveBrokenRun(r *serverRun, a *answer) *answer {
	if b.runs.lastCrashed().relationTo(r) != noCrash {
		b.runs.end(r)
		return b.brokenRunAnswer(r, a)
	}
	check, first := b.runs.addBroken(b.n.clock.Now(), r)
	if first {
		crashed := b.hasCrashed()
		b.n.setNotListening(crashed)
		b.reportCrash(r.lifetime, crashed, b.runs.finishCheck(b.n.clock.Now(), r.lifetime, crashed))
		close(check.done) // by now a retried copy of the poison request is recognized as a suspect
	} else {
		<-check.done
	}
	return b.brokenRunAnswer(r, a)
}

// brokenRunAnswer returns the answer to a run whose connection broke: a, with the lifetime that crashed during the run if
// one did, or that it hasn't run. The latter holds only for what was sent while no server was listening: the next
// lifetime may have the same name, and the runs that it lost may have run.
func (b *backend) brokenRunAnswer(r *serverRun, a *answer) *answer {
	switch b.runs.lastCrashed().relationTo(r) {
	case startedAfterCrash:
		return notRunAnswer(wire.ReasonNoServer)
	case startedBeforeCrash:
		if !b.stopAnnounced() {
			a.crashedLifetime = r.lifetime
			a.crashSuccess = b.recentSuccesses.Recent(b.n.clock.Now(), r.q.fingerprintInput())
		}
	}
	return a
}

// setNotListening records whether the backend server on this VM isn't listening.
func (n *Node) setNotListening(notListening bool) {
	if n.serverNotListening.Swap(notListening) != notListening {
		own := n.view.Load().localServer
		n.callLog.Warn("local backend server listening state changed", "away", notListening, "instance", own.Instance)
		if notListening {
			n.peer(n.ip).markServerCrashed(n.clock.Now(), own.LifetimeID())
		}
	}
}

// stopAnnounced reports whether the server had announced its stop; its exit is then expected.
func (b *backend) stopAnnounced() bool { return b.n.view.Load().localServer.Phase != directory.Serving }

// hasCrashed checks whether the server has crashed: nothing listens at its address any more and no run is in progress.
// A server that resets one or all connections still accepts a new one, and a server that accepts no more connections
// still completes its runs. Runs that end for another reason than a crash (the network, the client, this node) aren't
// checked, or the server is found listening.
func (b *backend) hasCrashed() bool {
	checkStart := b.n.clock.Now()
	listening := 0
	for range maxCrashChecks {
		refused, running := b.refusesConnections(), b.runs.hasRunFromBefore(checkStart)
		if refused && !running {
			return true
		}
		if !refused {
			listening++
		}
		if listening == listeningChecks || listening > 0 && running {
			return false
		}
		b.runs.awaitEndOf(checkStart, crashCheckInterval)
	}
	return false
}

// refusesConnections reports whether nothing listens at the server's address.
func (b *backend) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), backendDialTimeout)
	defer cancel()
	conn, err := b.pool.Dial(ctx)
	if err == nil {
		_ = conn.Close() // only whether it opens matters
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash records a crash of the server and the runs during it, and reports it to the other nodes. It does nothing
// if the server didn't crash or had announced its stop.
func (b *backend) reportCrash(lifetime string, crashed bool, broken []*serverRun) {
	if !crashed || b.stopAnnounced() || len(broken) == 0 {
		b.n.callLog.Debug("backend server did not crash or had announced its stop", "instance", lifetime, "broken", len(broken))
		return
	}
	now := b.n.clock.Now()
	crash := poison.Crash{Lifetime: poison.Lifetime{Host: b.n.ip, Instance: lifetime}, Service: broken[0].q.Service}
	for _, r := range broken {
		crash.Runs = append(crash.Runs, poison.Run{
			Identity: r.q.identity(), Stages: r.q.Stages, RecentSuccess: b.recentSuccesses.Recent(now, r.q.fingerprintInput()), Route: r.q.Route, Request: r.q.id,
		})
	}
	if !b.n.poison.RecordCrash(now, crash) {
		return // a run that was sent to the same lifetime after its crash
	}
	b.n.metrics.count("server_ends_total")
	b.n.callLog.Warn("backend server crashed", "instance", lifetime, "runs", len(broken), "under", loggedRuns(now, broken, crash))
	b.n.enqueue(func() { b.n.reportServerCrash(crash) })
}

// loggedRuns returns the first runs as the log shows them.
func loggedRuns(now time.Time, broken []*serverRun, crash poison.Crash) []loggedRun {
	logged := make([]loggedRun, 0, min(len(broken), maxLoggedRuns))
	for i, r := range broken[:min(len(broken), maxLoggedRuns)] {
		logged = append(logged, loggedRun{r.q.id, crash.Runs[i].Identity.Widest().String(), now.Sub(r.started).Milliseconds()})
	}
	return logged
}

// loggedRun is a run as the log shows it.
type loggedRun struct {
	Request     string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	RanMS       int64  `json:"ran_ms"`
}
