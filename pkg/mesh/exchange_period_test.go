package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// nodeOfZone is a node of a zone of so many nodes, to which nothing comes, and whose next exchange is far off.
func nodeOfZone(nodes int, now time.Time) *Node {
	n := &Node{clock: clock.Real{}}
	n.stats.init()
	n.control.zoneHosts = make([]string, nodes)
	n.control.nextTalk = now.Add(time.Hour)
	return n
}

func TestExchangesOfACalmZoneGrowRarerWithItsNodes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	for nodes, period := range map[int]time.Duration{1: minExchangePeriod, 24: minExchangePeriod, 48: 2 * minExchangePeriod, 240: 10 * minExchangePeriod} {
		n := nodeOfZone(nodes, now)
		n.updateUrgency(now, false)
		c.Check(n.exchangePeriod(), qt.Equals, period)
		c.Check(n.control.nextTalk.Sub(now), qt.Equals, time.Hour)
	}
}

// In a zone of 53 nodes news of an overload took a second longer to be planned with than in one of three.
func TestExchangesAreSoonerWhileRequestsAreHeldDown(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := nodeOfZone(64, now)
	n.updateUrgency(now, true)
	c.Check(n.exchangePeriod(), qt.Equals, minExchangePeriod)
	c.Check(n.control.nextTalk.Sub(now) <= 2*minExchangePeriod, qt.IsTrue)
	c.Check(n.calmExchangePeriod(), qt.Equals, minExchangePeriod*64/calmZoneNodes)
	n.updateUrgency(now, false)
	c.Check(n.exchangePeriod(), qt.Equals, n.calmExchangePeriod())
}

func TestExchangesAreSoonerWhileWhatComesChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := nodeOfZone(64, now)
	// pass lets some seconds go by with so many requests a second, and tells for how many looks exchanges were sooner.
	pass := func(rate int) (sooner int) {
		for range 100 {
			for range rate / 5 {
				n.stats.noteGateArrival(now, false, false)
			}
			now = now.Add(planPeriod)
			n.updateUrgency(now, false)
			if n.exchangePeriod() == minExchangePeriod {
				sooner++
			}
		}
		return sooner
	}
	c.Check(pass(0), qt.Equals, 0)
	begins := pass(100)
	c.Check(begins > 20 && begins < 60, qt.IsTrue, qt.Commentf("%d looks", begins))
	c.Check(pass(100), qt.Equals, 0, qt.Commentf("what comes is usual by now"))
	ends := pass(20)
	c.Check(ends > 5 && ends < 60, qt.IsTrue, qt.Commentf("%d looks", ends))
}
