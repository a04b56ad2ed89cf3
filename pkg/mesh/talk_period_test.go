package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// talking is a node of a zone of so many nodes, to which nothing comes, and whose next exchange is far off.
func talking(nodes int, now time.Time) *Node {
	n := &Node{clock: clock.Real{}}
	n.stats.init()
	n.control.zoneHosts = make([]string, nodes)
	n.control.nextExchange = now.Add(time.Hour)
	return n
}

func TestExchangesOfACalmZoneGrowRarerWithItsNodes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	for nodes, period := range map[int]time.Duration{1: talkLeast, 24: talkLeast, 48: 2 * talkLeast, 240: 10 * talkLeast} {
		n := talking(nodes, now)
		n.noteUrgency(now, false)
		c.Check(n.talkPeriod(), qt.Equals, period)
		c.Check(n.control.nextExchange.Sub(now), qt.Equals, time.Hour)
	}
}

// In a zone of 53 nodes news of an overload took a second longer to be planned with than in one of three.
func TestExchangesAreSoonerWhileRequestsAreHeldDown(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := talking(64, now)
	n.noteUrgency(now, true)
	c.Check(n.talkPeriod(), qt.Equals, talkLeast)
	c.Check(n.control.nextExchange.Sub(now) <= 2*talkLeast, qt.IsTrue)
	c.Check(n.calmTalkPeriod(), qt.Equals, talkLeast*64/talkNodes)
	n.noteUrgency(now, false)
	c.Check(n.talkPeriod(), qt.Equals, n.calmTalkPeriod())
}

func TestExchangesAreSoonerWhileWhatComesChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := talking(64, now)
	// pass lets some seconds go by with so many requests a second, and tells for how many looks exchanges were sooner.
	pass := func(rate int) (sooner int) {
		for range 100 {
			for range rate / 5 {
				n.stats.atGate(now, false, false)
			}
			now = now.Add(planPeriod)
			n.noteUrgency(now, false)
			if n.talkPeriod() == talkLeast {
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
