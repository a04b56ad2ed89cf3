package mesh

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var chooseTime = time.Unix(1_000_000, 0)

// testPeer returns a peer with 20 slots whose server has just reported the load; slowdown and success are percentages.
func testPeer(host string, near bool, running int, slowdown, success int) *peer {
	p := &peer{host: host}
	p.sameZone.Store(near)
	p.slots.Store(20)
	p.receivedReply(chooseTime, peerReply{Running: running, Limit: 20, Slowdown: slowdown, Success: success})
	return p
}

// choicesOf returns how many of 1000 choices from the list are the peer.
func choicesOf(p *peer, list ...*peer) int {
	n := 0
	for range 1000 {
		if chooseServer(chooseTime, list, nil, comparisonOptions{}) == p {
			n++
		}
	}
	return n
}

func TestNearServersAreChosenUntilCrowded(t *testing.T) {
	c := qt.New(t)
	near, far := testPeer("n", true, 10, 100, 100), testPeer("f", false, 0, 100, 100)
	c.Assert(choicesOf(near, near, far), qt.Equals, 1000)
	full := testPeer("n", true, 20, 100, 100)
	c.Assert(choicesOf(far, full, far), qt.Equals, 1000)
}

// A near server that is many times slower holds the slots of all its callers. It used to get every request until three
// quarters of its slots were in use.
func TestMuchSlowerNearServerIsNotChosen(t *testing.T) {
	c := qt.New(t)
	slow, far := testPeer("n", true, 5, 1200, 100), testPeer("f", false, 5, 100, 100)
	c.Assert(choicesOf(far, slow, far), qt.Equals, 1000)
	usual := testPeer("n", true, 5, 240, 100)
	c.Assert(choicesOf(usual, usual, far), qt.Equals, 1000)
}

// A server that fails fast has few requests in progress and so looks idle.
func TestFastFailingServerIsNotTreatedAsIdle(t *testing.T) {
	c := qt.New(t)
	failing, far := testPeer("n", true, 2, 25, 30), testPeer("f", false, 10, 100, 100)
	c.Assert(choicesOf(far, failing, far), qt.Equals, 1000)
	otherFailing := testPeer("f", false, 2, 25, 30)
	c.Assert(choicesOf(failing, failing, otherFailing), qt.Equals, 1000, qt.Commentf("where all fail alike, the near one"))
}

func TestBackedOffServersAreTheLastResort(t *testing.T) {
	c := qt.New(t)
	a, b := testPeer("a", true, 0, 100, 100), testPeer("b", true, 15, 100, 100)
	a.backOff(chooseTime)
	c.Assert(choicesOf(b, a, b), qt.Equals, 1000)
	b.receivedExchange(chooseTime, true)
	c.Assert(chooseServer(chooseTime, []*peer{a}, nil, comparisonOptions{}), qt.Equals, a)
	c.Assert(chooseServer(chooseTime, []*peer{a}, []*peer{a}, comparisonOptions{}), qt.IsNil)
	c.Assert(chooseServer(chooseTime, nil, nil, comparisonOptions{}), qt.IsNil)
	c.Assert(a.usable(chooseTime.Add(minPeerBackoff)), qt.IsTrue)
}

func BenchmarkChoose(b *testing.B) {
	var list []*peer
	for i := range 12 {
		list = append(list, testPeer("x", i < 4, i, 100, 100))
	}
	b.ReportAllocs()
	for b.Loop() {
		chooseServer(chooseTime, list, nil, comparisonOptions{})
	}
}

// A stopping node was the only server left and had refused requests for two seconds. A request sent to it as a last
// resort was lost when the node closed the connection at that moment.
func TestLongStoppingNodeGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	p := testPeer("n", true, 0, 100, 100)
	p.receivedExchange(chooseTime, true)
	list := []*peer{p}
	c.Assert(chooseServer(chooseTime.Add(peerServingTime-time.Millisecond), list, nil, comparisonOptions{}), qt.Equals, p, qt.Commentf("it still serves, and there is no other"))
	p.receivedExchange(chooseTime.Add(time.Second), true)
	c.Assert(chooseServer(chooseTime.Add(peerServingTime), list, nil, comparisonOptions{}), qt.IsNil)
	p.receivedExchange(chooseTime.Add(3*time.Second), false)
	c.Assert(chooseServer(chooseTime.Add(3*time.Second), list, nil, comparisonOptions{}), qt.Equals, p, qt.Commentf("it has started again"))
}

// checkEvenChoices checks that the open servers share many choices evenly: none gets more than one and a half
// times its share, in a zone of twenty equally busy servers. open reports the servers that may be chosen.
func checkEvenChoices(c *qt.C, list []*peer, open func(*peer) bool) {
	const perServer = 400
	chosen := map[*peer]int{}
	openCount := 0
	for _, p := range list {
		if open(p) {
			openCount++
		}
	}
	for range openCount * perServer {
		chosen[chooseServer(chooseTime, list, nil, comparisonOptions{})]++
	}
	c.Assert(chosen, qt.HasLen, openCount)
	for p, n := range chosen {
		c.Check(n < perServer*3/2, qt.IsTrue, qt.Commentf("%s: %d, %d are even", p.host, n, perServer))
	}
}

// peersInZones returns servers ordered by host as the directory orders them, so that the servers of a zone are
// adjacent.
func peersInZones(zones, perZone int, near func(zone int) bool, running func(zone int) int) []*peer {
	var list []*peer
	for zone := range zones {
		for i := range perZone {
			list = append(list, testPeer(fmt.Sprintf("10.0.%d.%02d", zone, i), near(zone), running(zone), 100, 100))
		}
	}
	return list
}

// With five zones of twenty equally busy servers, the first server of the local zone got 6,447 of 8,000 calls.
func TestCallsAreEvenAcrossServersOfLocalZone(t *testing.T) {
	list := peersInZones(5, 20, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return p.sameZone.Load() })
}

func TestCallsAreEvenAcrossServersOfOtherZones(t *testing.T) {
	inZone2 := func(zone int) bool { return zone == 2 }
	list := peersInZones(5, 20, inZone2, func(zone int) int { return map[bool]int{true: 40, false: 5}[inZone2(zone)] })
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return !p.sameZone.Load() })
}

// The share of backed off servers must not go to their neighbours in the list.
func TestCallsAreEvenWhenServersAreBackedOff(t *testing.T) {
	list := peersInZones(5, 20, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	for i := 44; i < 52; i++ {
		list[i].backOff(chooseTime)
	}
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return p.sameZone.Load() && p.usable(chooseTime) })
}

// BenchmarkChooseOfMany measures a choice in a service of 95 servers in five zones.
func BenchmarkChooseOfMany(b *testing.B) {
	list := peersInZones(5, 19, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	b.ReportAllocs()
	for b.Loop() {
		chooseServer(chooseTime, list, nil, comparisonOptions{})
	}
}
