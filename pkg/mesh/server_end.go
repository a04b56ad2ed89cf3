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

// The constants by which it is told whether a backend server has ended.
const (
	// endLooks is how often a server is looked for after a run broke off, endWait apart: a process that ends loses its listener and
	// its connections one after the other, within some milliseconds.
	endLooks = 4
	endWait  = 10 * time.Millisecond
	// listensLooks is how often it has to be found listening to be taken for well while no run shows that.
	listensLooks = 2
	// shownRuns bounds the runs that a line about the end of a server lists.
	shownRuns = 64
)

// serverRun is one run of a request at the backend server on this VM.
type serverRun struct {
	q     *request
	life  string // of the server, by its name
	begun time.Time
}

// serverEnd is a run that broke off, or several at once, and what it came from.
type serverEnd struct {
	from   time.Time     // when the first run broke off
	judged chan struct{} // closed when it is known whether the server has ended
}

// serverRuns are the runs at the backend server on this VM; its zero value has none.
type serverRuns struct {
	mu      sync.Mutex
	running map[*serverRun]struct{}
	broken  []*serverRun
	judging *serverEnd // nil: no run has just broken off
	last    endedLife  // the last one that ended
}

// endedLife is a life of the server that has ended; its zero value is none.
type endedLife struct {
	life   string
	from   time.Time // when the first run broke off there: it had ended by then
	judged time.Time // when nobody listened yet: by then the next life hadn't begun
}

// under tells how a run that broke off stands to the end.
func (e endedLife) under(r *serverRun) endRelation {
	switch {
	case e.life == "" || e.life != r.life || r.begun.After(e.judged):
		return noEnd
	case r.begun.Before(e.from):
		return beforeEnd
	default:
		return afterEnd
	}
}

// endRelation is when a run began that broke off.
type endRelation uint8

const (
	noEnd     endRelation = iota // the server goes on, or the next life may have taken it: it may have run
	beforeEnd                    // the server ended under it
	afterEnd                     // the server had ended and the next life hadn't begun: nobody took it
)

// begin notes a run that is about to be sent.
func (s *serverRuns) begin(r *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*serverRun]struct{})
	}
	s.running[r] = struct{}{}
}

// end forgets a run that was answered or whose caller has gone.
func (s *serverRuns) end(r *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
}

// lastEnded returns the last life that ended.
func (s *serverRuns) lastEnded() endedLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// breakOff notes a run whose connection broke; it reports whether nobody looks for the server yet.
func (s *serverRuns) breakOff(now time.Time, r *serverRun) (e *serverEnd, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	s.broken = append(s.broken, r)
	if s.judging != nil {
		return s.judging, false
	}
	s.judging = &serverEnd{from: now, judged: make(chan struct{})}
	return s.judging, true
}

// goesOn tells whether a run that began before the time is still in progress.
func (s *serverRuns) goesOn(before time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if r.begun.Before(before) {
			return true
		}
	}
	return false
}

// judge ends the judgement; it returns the runs that broke off meanwhile, but for those that began when the first one had broken off: of five servers that
// ended together, under a popular request, some were found out 10 ms later, and took those who came on from the others.
func (s *serverRuns) judge(now time.Time, life string, ended bool) []*serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, broken := s.judging.from, s.broken
	s.judging, s.broken = nil, nil
	if ended {
		s.last = endedLife{life: life, from: from, judged: now}
	}
	return slices.DeleteFunc(broken, func(r *serverRun) bool { return !r.begun.Before(from) })
}

// brokeOff judges a run whose connection broke, once it is known whether the backend server has ended.
func (b *backend) brokeOff(r *serverRun, a *answer) *answer {
	if b.runs.lastEnded().under(r) != noEnd {
		b.runs.end(r)
		return b.endedUnder(r, a)
	}
	e, first := b.runs.breakOff(b.n.clock.Now(), r)
	if first {
		ended := b.hasEnded()
		b.n.noteAway(ended)
		b.noteEnd(r.life, ended, b.runs.judge(b.n.clock.Now(), r.life, ended))
		close(e.judged) // now that a copy of the guilty request that is sent on is known for one
	} else {
		<-e.judged
	}
	return b.endedUnder(r, a)
}

// endedUnder returns the answer to a run that broke off: with the server that ended under it, or that it hasn't run. That is said only of what was sent while
// nobody was there: the next life may come under the same name, and what it lost may have run.
func (b *backend) endedUnder(r *serverRun, a *answer) *answer {
	switch b.runs.lastEnded().under(r) {
	case afterEnd:
		return refused(wire.ReasonNoServer)
	case beforeEnd:
		if !b.announced() {
			a.ended = r.life
		}
	}
	return a
}

// noteAway notes whether nobody is there beside this node.
func (n *Node) noteAway(away bool) {
	if n.away.Swap(away) != away {
		own := n.view.Load().own
		n.callLog.Warn("own server", "away", away, "instance", own.Instance)
		if away {
			n.peer(n.ip).serverEnded(n.clock.Now(), own.LifeName())
		}
	}
}

// announced tells whether the server had said that it leaves: its end is no surprise then.
func (b *backend) announced() bool { return b.n.view.Load().own.Phase != directory.Serving }

// hasEnded looks for the server. It has ended if nobody listens at its address any more and no run goes on: a server that
// resets a connection, or all, takes a new one, and one that takes no more connections goes on with its runs. Who ends for
// another reason than its server's end (a link, the client, this node) doesn't come here, or meets a server that listens.
func (b *backend) hasEnded() bool {
	broke := b.n.clock.Now()
	listens := 0
	for range endLooks {
		refused, goesOn := b.refusesConnections(), b.runs.goesOn(broke)
		if refused && !goesOn {
			return true
		}
		if !refused {
			listens++
		}
		if listens == listensLooks || listens > 0 && goesOn {
			return false
		}
		clock.Sleep(context.Background(), endWait)
	}
	return false
}

// refusesConnections tells whether nobody listens at the server's address.
func (b *backend) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), backendDialTime)
	defer cancel()
	conn, err := b.pool.Dial(ctx)
	if err == nil {
		_ = conn.Close() // it has shown what it was made for
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// noteEnd takes note that the server has ended, and under which runs, and has it told to all nodes.
func (b *backend) noteEnd(life string, ended bool, broken []*serverRun) {
	if !ended || b.announced() || len(broken) == 0 {
		b.n.callLog.Debug("server goes on, or had said that it leaves", "instance", life, "broken", len(broken))
		return
	}
	now := b.n.clock.Now()
	e := poison.Crash{Lifetime: poison.Lifetime{Host: b.n.ip, Instance: life}, Service: broken[0].q.Service}
	for _, r := range broken {
		e.Runs = append(e.Runs, poison.Run{
			Identity: r.q.identity(), Stages: r.q.Stages, RecentSuccess: b.good.Recent(now, r.q.asked()), Route: r.q.Route, Request: r.q.id,
		})
	}
	if !b.n.poison.RecordCrash(now, e) {
		return // a run that was sent to the same life after its end
	}
	b.n.metrics.count("server_ends_total")
	b.n.callLog.Warn("server ended", "instance", life, "runs", len(broken), "under", shownRunsOf(now, broken, e))
	b.n.do(func() { b.n.serverEnded(e) })
}

// shownRunsOf returns the runs as the log shows them.
func shownRunsOf(now time.Time, broken []*serverRun, e poison.Crash) []shownRun {
	shown := make([]shownRun, 0, min(len(broken), shownRuns))
	for i, r := range broken[:min(len(broken), shownRuns)] {
		shown = append(shown, shownRun{r.q.id, e.Runs[i].Identity.Widest().String(), now.Sub(r.begun).Milliseconds()})
	}
	return shown
}

// shownRun is a run as the log shows it.
type shownRun struct {
	Request     string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	RanMS       int64  `json:"ran_ms"`
}
