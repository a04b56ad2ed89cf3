package freshness

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const bound = 5 * time.Second

// start is when the simulated time begins.
var start = time.Unix(1000, 0)

// simulatedNode is a node with a clock that runs a little fast or slow.
type simulatedNode struct {
	keeper   ProofTracker
	schedule Schedule
	own      int64
	rate     float64 // of its clock, relative to true time
	ahead    time.Duration
	silent   bool      // partitioned from the store and the other nodes
	frozen   time.Time // doesn't run until then
}

// clock returns what the node's clock shows at a true time.
func (n *simulatedNode) clock(now time.Time) time.Time {
	return start.Add(n.ahead + time.Duration(float64(now.Sub(start))*n.rate))
}

// inFlightMessage is an answer from a node or the store, with the values at the time of the query.
type inFlightMessage struct {
	at      time.Time // when it arrives
	to      *simulatedNode
	sent    time.Time // when its query was sent, by the requester's clock
	age     time.Duration
	version int64
	own     int64 // version in force at the requester when the query was sent
}

// simulation is nodes and a store in simulated time.
type simulation struct {
	now       time.Time
	nodes     []*simulatedNode
	confirmed []time.Time // of version i+1
	inFlight  []inFlightMessage
	down      bool // the store doesn't answer
	hosts     []string
}

func newSimulation(n int, rate func(i int) float64) *simulation {
	w := &simulation{now: start, confirmed: []time.Time{start}}
	for i := range n {
		node := &simulatedNode{rate: rate(i), ahead: time.Duration(i) * time.Hour, own: 1}
		node.keeper.Bound, node.schedule.Bound = bound, bound
		w.nodes = append(w.nodes, node)
		w.hosts = append(w.hosts, fmt.Sprintf("10.0.0.%d", i))
	}
	return w
}

// step advances the time by 20 ms and runs all nodes; delay returns a message's delay in one direction, pick the index of a node to query.
func (w *simulation) step(delay func() time.Duration, pick func(n int) int) {
	w.now = w.now.Add(20 * time.Millisecond)
	w.arrive()
	roles := ChooseRoles(w.hosts)
	for i, n := range w.nodes {
		if n.frozen.After(w.now) {
			continue
		}
		now := n.clock(w.now)
		age, known := n.keeper.ProofAge(now, n.own)
		switch n.schedule.Next(now, age, known, roles.IsReader(w.hosts[i])) {
		case ReadStore:
			if !w.down && !n.silent {
				there := delay()
				w.inFlight = append(w.inFlight, inFlightMessage{at: w.now.Add(there + delay()), to: n, sent: now, version: w.newestAt(w.now.Add(there)), own: n.own})
			}
		case QueryUpstream, QueryOtherZone, QueryAnyNode:
			if o := w.nodes[pick(len(w.nodes))]; !n.silent && !o.silent && o != n && !o.frozen.After(w.now) {
				// The other node's proof is read now. When the query arrives it may have a younger one, and this one is still valid.
				if oage, known := o.keeper.ProofAge(o.clock(w.now), o.own); known {
					w.inFlight = append(w.inFlight, inFlightMessage{at: w.now.Add(delay() + delay()), to: n, sent: now, age: oage, version: o.keeper.YoungestProof(o.own).Version, own: n.own})
				}
			}
		case Wait:
		}
	}
}

// newestAt returns the newest version in the store at a time.
func (w *simulation) newestAt(at time.Time) int64 {
	v := int64(0)
	for _, c := range w.confirmed {
		if !c.After(at) {
			v++
		}
	}
	return v
}

// arrive delivers the messages that are due to nodes that aren't frozen.
func (w *simulation) arrive() {
	rest := w.inFlight[:0]
	for _, m := range w.inFlight {
		if m.at.After(w.now) || m.to.frozen.After(w.now) {
			rest = append(rest, m)
			continue
		}
		m.to.keeper.AddProof(Proof{Version: m.version, Sent: m.sent.Add(-m.age)}, m.to.own)
	}
	w.inFlight = rest
}

// check fails if a node accepts keys by a version that was replaced longer ago than the bound.
func (w *simulation) check(fail func(format string, args ...any)) {
	must := w.newestAt(w.now.Add(-bound))
	for i, n := range w.nodes {
		if n.keeper.MayAcceptKey(n.clock(w.now), n.own) && n.own < must {
			fail("node %d serves by version %d; version %d was confirmed longer ago than the bound", i, n.own, must)
		}
	}
}

// No node accepts keys by a version for longer than the bound after the next one was confirmed, whichever nodes are partitioned, frozen or
// slow, with clocks of different rates and messages of any delay.
func TestNoKeyPassesAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 7).Draw(t, "nodes"), func(i int) float64 {
			return 1 + float64(rapid.IntRange(-4, 4).Draw(t, "permille"))/1000
		})
		slow := rapid.IntRange(1, 3000).Draw(t, "slowest message ms")
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, slow).Draw(t, "ms")) * time.Millisecond }
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			n := w.nodes[pick(len(w.nodes))]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				w.confirmed = append(w.confirmed, w.now)
			case 1:
				n.silent = !n.silent
			case 2:
				w.down = !w.down
			case 3:
				n.frozen = w.now.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "frozen ms")) * time.Millisecond)
			case 4: // it restarts, and reads the state later
				n.keeper, n.schedule = ProofTracker{Bound: bound}, Schedule{Bound: bound}
				n.own = 1
			default: // it receives a newer state from any node
				n.own = max(n.own, w.newestAt(w.now.Add(-delay())))
				n.keeper.VersionApplied(n.own)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w.step(delay, pick)
				w.check(t.Fatalf)
			}
		}
	})
}

// Without faults every node's proof is young enough that the node still accepts keys for some seconds once it can't reach the store.
func TestProofsStayFresh(t *testing.T) {
	c := qt.New(t)
	for _, nodes := range []int{1, 3, 24, 48} {
		w := newSimulation(nodes, func(int) float64 { return 1 })
		var oldest time.Duration
		k := 0
		for step := range 1500 {
			roles := ChooseRoles(w.hosts)
			k++
			asked := roles.QueryTargets("nobody")
			w.step(func() time.Duration { return 2 * time.Millisecond }, func(int) int {
				for i, h := range w.hosts {
					if h == asked[k%len(asked)] {
						return i
					}
				}
				return 0
			})
			for _, n := range w.nodes {
				if age, known := n.keeper.ProofAge(n.clock(w.now), n.own); step > 100 {
					c.Assert(known, qt.IsTrue)
					oldest = max(oldest, age)
				}
			}
		}
		c.Check(oldest < 2*time.Second, qt.IsTrue, qt.Commentf("%d nodes: %v", nodes, oldest))
	}
}

func TestALargeZoneQueriesThroughRelays(t *testing.T) {
	c := qt.New(t)
	var hosts []string
	for i := range 3121 {
		hosts = append(hosts, fmt.Sprintf("10.%d.%d.1", i/250, i%250))
	}
	r := ChooseRoles(hosts)
	c.Check(r.Readers, qt.HasLen, readers)
	c.Check(r.Relays, qt.HasLen, 56)
	c.Check(r.QueryTargets(r.Relays[0]), qt.DeepEquals, r.Readers)
	c.Check(r.QueryTargets("else"), qt.DeepEquals, r.Relays)
	c.Check(ChooseRoles(nil).QueryTargets("a"), qt.HasLen, 0)
}

func TestAProofForALaterVersionWaitsForIt(t *testing.T) {
	c := qt.New(t)
	k := ProofTracker{Bound: bound}
	k.AddProof(Proof{Version: 1, Sent: start}, 1)
	k.AddProof(Proof{Version: 2, Sent: start.Add(time.Second)}, 1)
	age, known := k.ProofAge(start.Add(2*time.Second), 1)
	c.Check(known, qt.IsTrue)
	c.Check(age, qt.Equals, 2*time.Second)
	k.VersionApplied(2)
	age, _ = k.ProofAge(start.Add(2*time.Second), 2)
	c.Check(age, qt.Equals, time.Second)
	c.Check(k.MayAcceptKey(start.Add(2*time.Second), 1), qt.IsFalse) // a request that was admitted under the previous state
	k.AddProof(Proof{}, 2)
	age, _ = k.ProofAge(start.Add(2*time.Second), 2)
	c.Check(age, qt.Equals, time.Second)
}

// While the store rejects a whole zone, each of its nodes queries another zone more than once before its proof expires.
func TestProofsOfAZoneRejectedByTheStoreExpireTogether(t *testing.T) {
	c := qt.New(t)
	for _, reads := range []bool{false, true} {
		s, tracker := Schedule{Bound: bound}, ProofTracker{Bound: bound}
		tracker.AddProof(Proof{Version: 1, Sent: start}, 1)
		other := 0
		for now := start; tracker.MayAcceptKey(now, 1); now = now.Add(50 * time.Millisecond) {
			age, known := tracker.ProofAge(now, 1)
			if s.Next(now, age, known, reads) == QueryOtherZone {
				other++
			}
		}
		c.Check(other >= 2, qt.IsTrue, qt.Commentf("reader: %v, %d queries", reads, other))
	}
}
