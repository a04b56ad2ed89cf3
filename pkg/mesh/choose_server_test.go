package mesh

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var chooseTime = time.Unix(1_000_000, 0)

func testPeer(host string, near bool, running int, pace, success int) *peer {
	p := &peer{host: host}
	p.near.Store(near)
	p.slots.Store(20)
	p.heard(chooseTime, peerReply{Running: running, Limit: 20, Slowdown: pace, Success: success})
	return p
}

// share returns how many of 1000 choices fall on the peer.
func choicesOf(p *peer, list ...*peer) int {
	n := 0
	for range 1000 {
		if chooseServer(chooseTime, list, nil, comparisonOptions{}) == p {
			n++
		}
	}
	return n
}

func TestNearServersAreTakenWhileTheyArentCrowded(t *testing.T) {
	c := qt.New(t)
	near, far := testPeer("n", true, 10, 100, 100), testPeer("f", false, 0, 100, 100)
	c.Assert(choicesOf(near, near, far), qt.Equals, 1000)
	full := testPeer("n", true, 20, 100, 100)
	c.Assert(choicesOf(far, full, far), qt.Equals, 1000)
}

// A near server that is many times slower holds the slots of all who call it; it used to get every request
// until it was three quarters full.
func TestASlowNearServerIsLeft(t *testing.T) {
	c := qt.New(t)
	slow, far := testPeer("n", true, 5, 1200, 100), testPeer("f", false, 5, 100, 100)
	c.Assert(choicesOf(far, slow, far), qt.Equals, 1000)
	usual := testPeer("n", true, 5, 240, 100)
	c.Assert(choicesOf(usual, usual, far), qt.Equals, 1000)
}

// A server that fails fast looks idle.
func TestAFailingServerIsntTakenForAnIdleOne(t *testing.T) {
	c := qt.New(t)
	grey, far := testPeer("n", true, 2, 25, 30), testPeer("f", false, 10, 100, 100)
	c.Assert(choicesOf(far, grey, far), qt.Equals, 1000)
	allGrey := testPeer("f", false, 2, 25, 30)
	c.Assert(choicesOf(grey, grey, allGrey), qt.Equals, 1000, qt.Commentf("where all fail alike, the near one"))
}

func TestSetAsideServersAreTheLastResort(t *testing.T) {
	c := qt.New(t)
	a, b := testPeer("a", true, 0, 100, 100), testPeer("b", true, 15, 100, 100)
	a.failed(chooseTime)
	c.Assert(choicesOf(b, a, b), qt.Equals, 1000)
	b.alive(chooseTime, true)
	c.Assert(chooseServer(chooseTime, []*peer{a}, nil, comparisonOptions{}), qt.Equals, a)
	c.Assert(chooseServer(chooseTime, []*peer{a}, []*peer{a}, comparisonOptions{}), qt.IsNil)
	c.Assert(chooseServer(chooseTime, nil, nil, comparisonOptions{}), qt.IsNil)
	c.Assert(a.usable(chooseTime.Add(asideFirst)), qt.IsTrue)
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

// A soak lost a request on a connection that a stopping node closed just then: it was the only server left, and
// had refused for two seconds.
func TestANodeThatHasBeenStoppingForLongGetsNothing(t *testing.T) {
	c := qt.New(t)
	p := testPeer("n", true, 0, 100, 100)
	p.alive(chooseTime, true)
	list := []*peer{p}
	c.Assert(chooseServer(chooseTime.Add(servingPeers-time.Millisecond), list, nil, comparisonOptions{}), qt.Equals, p, qt.Commentf("it still serves, and there is no other"))
	p.alive(chooseTime.Add(time.Second), true)
	c.Assert(chooseServer(chooseTime.Add(servingPeers), list, nil, comparisonOptions{}), qt.IsNil)
	p.alive(chooseTime.Add(3*time.Second), false)
	c.Assert(chooseServer(chooseTime.Add(3*time.Second), list, nil, comparisonOptions{}), qt.Equals, p, qt.Commentf("it has started again"))
}

// evenly holds the choices of many requests against each server's part of them: at most half as much again, in a zone of
// twenty servers that are all as busy.
func checkEvenChoices(c *qt.C, list []*peer, taken func(*peer) bool) {
	const perServer = 400
	chosen := map[*peer]int{}
	open := 0
	for _, p := range list {
		if taken(p) {
			open++
		}
	}
	for range open * perServer {
		chosen[chooseServer(chooseTime, list, nil, comparisonOptions{})]++
	}
	c.Assert(chosen, qt.HasLen, open)
	for p, n := range chosen {
		c.Check(n < perServer*3/2, qt.IsTrue, qt.Commentf("%s: %d, %d are even", p.host, n, perServer))
	}
}

// zonesOf returns servers in the order of their hosts, as the directory has them: those of one zone stand together.
func peersInZones(zones, perZone int, near func(zone int) bool, running func(zone int) int) []*peer {
	var list []*peer
	for zone := range zones {
		for i := range perZone {
			list = append(list, testPeer(fmt.Sprintf("10.0.%d.%02d", zone, i), near(zone), running(zone), 100, 100))
		}
	}
	return list
}

// Of five zones with twenty servers each the first server of the own zone got 6,447 of 8,000 calls while all were as busy.
func TestCallsGoEvenlyToTheServersOfAZone(t *testing.T) {
	list := peersInZones(5, 20, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return p.near.Load() })
}

func TestCallsGoEvenlyToTheServersOfOtherZones(t *testing.T) {
	inZone2 := func(zone int) bool { return zone == 2 }
	list := peersInZones(5, 20, inZone2, func(zone int) int { return map[bool]int{true: 40, false: 5}[inZone2(zone)] })
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return !p.near.Load() })
}

// Those that are set aside don't leave their part to their neighbours.
func TestCallsGoEvenlyToTheServersThatAreLeft(t *testing.T) {
	list := peersInZones(5, 20, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	for i := 44; i < 52; i++ {
		list[i].failed(chooseTime)
	}
	checkEvenChoices(qt.New(t), list, func(p *peer) bool { return p.near.Load() && p.usable(chooseTime) })
}

// BenchmarkChooseOfMany is a choice in a service of 95 servers in five zones.
func BenchmarkChooseOfMany(b *testing.B) {
	list := peersInZones(5, 19, func(zone int) bool { return zone == 2 }, func(int) int { return 5 })
	b.ReportAllocs()
	for b.Loop() {
		chooseServer(chooseTime, list, nil, comparisonOptions{})
	}
}
