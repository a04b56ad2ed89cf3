package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// nodeOfZone returns a node of a zone with the given number of nodes, without arrivals, whose next exchange is an hour away.
func nodeOfZone(nodes int, now time.Time) *Node {
	n := &Node{clock: clock.Real{}}
	n.stats.init()
	n.control.zoneHosts = make([]string, nodes)
	n.control.nextExchange = now.Add(time.Hour)
	return n
}

func TestCalmExchangePeriodGrowsWithNodes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	for nodes, period := range map[int]time.Duration{1: minExchangePeriod, 24: minExchangePeriod, 48: 2 * minExchangePeriod, 240: 10 * minExchangePeriod} {
		n := nodeOfZone(nodes, now)
		n.updateUrgency(now, false)
		c.Check(n.exchangePeriod(), qt.Equals, period)
		c.Check(n.control.nextExchange.Sub(now), qt.Equals, time.Hour)
	}
}

// Guards against slow reactions in large zones: with 53 nodes, the plan followed an overload a second later than with three.
func TestExchangesAreMoreFrequentWhileAdmissionIsLimited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := nodeOfZone(64, now)
	n.updateUrgency(now, true)
	c.Check(n.exchangePeriod(), qt.Equals, minExchangePeriod)
	c.Check(n.control.nextExchange.Sub(now) <= 2*minExchangePeriod, qt.IsTrue)
	c.Check(n.calmExchangePeriod(), qt.Equals, minExchangePeriod*64/calmZoneNodes)
	n.updateUrgency(now, false)
	c.Check(n.exchangePeriod(), qt.Equals, n.calmExchangePeriod())
}

func TestExchangesAreMoreFrequentWhileArrivalsChange(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	n := nodeOfZone(64, now)
	// pass simulates 100 plan periods with the given requests per second, and returns in how many of them exchanges were more
	// frequent.
	pass := func(rate int) (sooner int) {
		for range 100 {
			for range rate / 5 {
				n.stats.noteGateArrival(now, false, wire.ReasonNone)
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
	c.Check(begins > 20 && begins < 60, qt.IsTrue, qt.Commentf("%d plan periods", begins))
	c.Check(pass(100), qt.Equals, 0, qt.Commentf("the rate is the usual one by now"))
	ends := pass(20)
	c.Check(ends > 5 && ends < 60, qt.IsTrue, qt.Commentf("%d plan periods", ends))
}
