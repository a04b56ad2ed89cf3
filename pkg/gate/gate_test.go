package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

var begin = time.Unix(1_000_000, 0)

func ticket(internal bool, priority int, left time.Duration, got *[]Decision) *Ticket {
	return &Ticket{Internal: internal, Priority: priority, Deadline: begin.Add(left), Notify: func(v Decision) { *got = append(*got, v) }}
}

// openGate returns an open gate with a known slot hold time.
func openGate(slots int, holdTime time.Duration) *Gate {
	g := &Gate{}
	g.Open(slots, true)
	g.holdTime = holdTime
	return g
}

// fillSlots starts requests until the limit is reached.
func fillSlots(c *qt.C, g *Gate) {
	for g.hasFreeSlot(begin) {
		v := g.Submit(begin, ticket(false, 0, time.Second, new([]Decision)))
		c.Assert(v.Start, qt.IsTrue)
	}
}

func TestClosedGateRejectsQueuedAndNewTickets(t *testing.T) {
	c := qt.New(t)
	g := openGate(10, 20*time.Millisecond)
	fillSlots(c, g)
	var got []Decision
	c.Assert(g.Submit(begin, ticket(true, 0, time.Second, &got)).Queued, qt.IsTrue)
	g.Close()
	c.Assert(got, qt.DeepEquals, []Decision{{Reason: wire.ReasonLeaving}})
	c.Assert(g.Submit(begin, ticket(true, 0, time.Second, &got)), qt.Equals, Decision{Reason: wire.ReasonLeaving})
	g.Finish(begin, time.Millisecond, 0, Answered)
	c.Assert(g.Snapshot().Queued, qt.Equals, 0)
}

func TestCallsOfRunningRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	g := openGate(10, 20*time.Millisecond)
	fillSlots(c, g)
	var low, high, internal []Decision
	c.Assert(g.Submit(begin, ticket(false, 2, time.Second, &low)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin, ticket(false, 0, time.Second, &high)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin, ticket(true, 5, time.Second, &internal)).Queued, qt.IsTrue)
	g.Finish(begin, 20*time.Millisecond, 0, Answered)
	c.Assert([]int{len(internal), len(high), len(low)}, qt.DeepEquals, []int{1, 0, 0})
	g.Finish(begin, 20*time.Millisecond, 0, Answered)
	c.Assert([]int{len(internal), len(high), len(low)}, qt.DeepEquals, []int{1, 1, 0})
}

func TestRootsWaitOnlyShortly(t *testing.T) {
	c := qt.New(t)
	g := openGate(10, 100*time.Millisecond)
	fillSlots(c, g)
	var got []Decision
	queued, refused := 0, 0
	for range 100 {
		if v := g.Submit(begin, ticket(false, 0, time.Minute, &got)); v.Queued {
			queued++
		} else {
			c.Assert(v.Reason, qt.Equals, wire.ReasonQueue)
			refused++
		}
	}
	c.Assert(queued > 0 && queued <= 15, qt.IsTrue, qt.Commentf("%d queued", queued))
	c.Assert(refused > 0, qt.IsTrue)
}

func TestRequestsThatCantEndInTimeAreNotStarted(t *testing.T) {
	c := qt.New(t)
	g := openGate(10, 100*time.Millisecond)
	c.Assert(g.Submit(begin, ticket(true, 0, 40*time.Millisecond, new([]Decision))).Reason, qt.Equals, wire.ReasonDeadline)
	fillSlots(c, g)
	var got []Decision
	c.Assert(g.Submit(begin, ticket(true, 0, 200*time.Millisecond, &got)).Queued, qt.IsTrue)
	g.Expire(begin.Add(170 * time.Millisecond))
	c.Assert(got, qt.DeepEquals, []Decision{{Reason: wire.ReasonDeadline}})
}

// Guards against lowering the limit of a server that refuses half of its work whatever its load: that only lost throughput.
func TestLimitStaysWhenTheServerRefuses(t *testing.T) {
	c := qt.New(t)
	g := openGate(20, 20*time.Millisecond)
	before := g.Snapshot().Limit
	for range 200 {
		c.Assert(g.Submit(begin, ticket(true, 0, time.Second, new([]Decision))).Start, qt.IsTrue)
		g.Finish(begin, time.Millisecond, 0, Shed)
	}
	c.Assert(g.Snapshot().Limit, qt.Equals, before)
	c.Assert(g.Snapshot().ShedShare > 0.9, qt.IsTrue)
	c.Assert(g.Snapshot().HoldTime, qt.Equals, 20*time.Millisecond)
}

// In any order of events, no more requests run than the limit allows, and every queued ticket gets one final decision.
func TestLimitAndDecisionsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := openGate(rapid.IntRange(1, 8).Draw(r, "slots"), 20*time.Millisecond)
		decided := map[int]int{}
		var queued []int
		tickets := map[int]*Ticket{}
		now, running := begin, 0
		for i := range rapid.IntRange(1, 80).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0, 1:
				tk := &Ticket{Internal: i%2 == 0, Priority: i % 3, Deadline: now.Add(150 * time.Millisecond)}
				tk.Notify = func(v Decision) {
					decided[i]++
					if v.Start {
						running++
					}
				}
				switch v := g.Submit(now, tk); {
				case v.Start:
					running++
				case v.Queued:
					queued = append(queued, i)
					tickets[i] = tk
				}
			case 2:
				if running > 0 {
					running--
					g.Finish(now, 10*time.Millisecond, 0, Outcome(1+i%4))
				}
			case 3:
				g.Expire(now)
			case 4:
				for k, tk := range tickets {
					if g.Cancel(tk) {
						decided[k]++
						break
					}
				}
			}
			if float64(running) > max(g.limit, 1)+1 || running != g.running {
				r.Fatalf("%d are running, gate counts %d, limit %v", running, g.running, g.limit)
			}
		}
		g.Close()
		for _, i := range queued {
			if decided[i] != 1 {
				r.Fatalf("ticket %d got %d decisions", i, decided[i])
			}
		}
	})
}

// Guards against starving roots: if calls always go first, roots that the plan admitted to the smallest service are served
// at a tenth as long as calls keep arriving.
func TestCallsDontStarveRoots(t *testing.T) {
	c := qt.New(t)
	g := openGate(10, 40*time.Millisecond)
	fillSlots(c, g)
	var root, soon, late []Decision
	c.Assert(g.Submit(begin, ticket(false, 0, time.Second, &root)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin.Add(internalLead/2), ticket(true, 0, time.Second, &soon)).Queued, qt.IsTrue)
	c.Assert(g.Submit(begin.Add(internalLead+time.Millisecond), ticket(true, 0, time.Second, &late)).Queued, qt.IsTrue)
	now := begin.Add(internalLead + 2*time.Millisecond)
	g.Finish(now, 20*time.Millisecond, 0, Answered)
	c.Assert([]int{len(soon), len(root), len(late)}, qt.DeepEquals, []int{1, 0, 0})
	g.Finish(now, 20*time.Millisecond, 0, Answered)
	c.Assert([]int{len(soon), len(root), len(late)}, qt.DeepEquals, []int{1, 1, 0})
}

// Guards against one average hold time for all kinds: a server that runs long reads then rejects short calls that have many
// times the time they need.
func TestHoldTimeOfLongKindsDoesntRejectShortOnes(t *testing.T) {
	c := qt.New(t)
	var g Gate
	g.Open(10, true)
	for range 100 {
		g.running++
		g.Finish(begin, 800*time.Millisecond, 800*time.Millisecond, Answered)
	}
	short := &Ticket{Internal: true, Deadline: begin.Add(200 * time.Millisecond), TypicalHold: 30 * time.Millisecond}
	c.Assert(g.Submit(begin, short).Start, qt.IsTrue)
	long := &Ticket{Deadline: begin.Add(200 * time.Millisecond), TypicalHold: 800 * time.Millisecond}
	c.Assert(g.Submit(begin, long).Reason, qt.Equals, wire.ReasonDeadline)
	unknown := &Ticket{Deadline: begin.Add(200 * time.Millisecond)}
	c.Assert(g.Submit(begin, unknown).Reason, qt.Equals, wire.ReasonDeadline, qt.Commentf("by the average of all that ran here"))
}

// Under rejections at random, hardly any request of eight calls succeeds. Calls of requests that have made most of theirs
// go first, and a root waits no longer than the bound.
func TestCallsOfOldRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	var g Gate
	g.Open(1, true)
	var started []string
	ticket := func(name string, t *Ticket) *Ticket {
		t.Deadline = begin.Add(time.Minute)
		t.Notify = func(v Decision) {
			if v.Start {
				started = append(started, name)
			}
		}
		return t
	}
	c.Assert(g.Submit(begin, ticket("running", &Ticket{})).Start, qt.IsTrue)
	later := begin.Add(time.Millisecond)
	c.Assert(g.Submit(begin, ticket("first call", &Ticket{Internal: true})).Queued, qt.IsTrue)
	c.Assert(g.Submit(later, ticket("root", &Ticket{})).Queued, qt.IsTrue)
	c.Assert(g.Submit(later, ticket("fifth call", &Ticket{Internal: true, Age: 150 * time.Millisecond})).Queued, qt.IsTrue)
	muchLater := later.Add(internalLead + maxAgeLead)
	c.Assert(g.Submit(muchLater, ticket("last call", &Ticket{Internal: true, Age: time.Hour})).Queued, qt.IsTrue)
	for range 5 {
		g.Finish(muchLater, 0, 0, Abandoned)
	}
	c.Assert(started, qt.DeepEquals, []string{"fifth call", "first call", "root", "last call"})
}
