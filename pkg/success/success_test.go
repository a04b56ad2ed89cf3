package success

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// chain is a site where each list makes two calls of log, each of which makes four calls of sync.
var (
	chain = callgraph.Graph{
		"lobby":  {"list": {"log": 2}, "log": {"sync": 4}},
		"tables": {"log": {"sync": 4}},
	}
	chainPlaces = map[string]callgraph.Placement{
		"list": {Shares: map[string]float64{"lobby": 1}, HoldSeconds: 0.1},
		"log":  {Shares: map[string]float64{"tables": 0.5, "lobby": 0.5}, HoldSeconds: 0.1},
		"sync": {Shares: map[string]float64{"ratings": 1}, HoldSeconds: 0.1},
		"get":  {Shares: map[string]float64{"ratings": 1}, HoldSeconds: 0.1},
	}
)

func near(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 1e-9, qt.IsTrue, qt.Commentf("%v, not %v", got, want))
}

func TestProbabilityIsTheProductOverExpectedCalls(t *testing.T) {
	c := qt.New(t)
	shares := map[string]float64{"list": 0.5, "log": 0.9, "sync": 0.8, "get": 0.7}
	all := Requests(chain, chainPlaces, func(route string) float64 { return shares[route] })
	near(c, all["list"].Total, math.Pow(0.9, 2)*math.Pow(0.8, 8))
	near(c, all["list"].At["ratings"], math.Pow(0.8, 8))
	near(c, all["list"].At["tables"], 0.9)
	near(c, all["log"].Total, math.Pow(0.8, 4))
	near(c, all["get"].Total, 1)
	c.Assert(Requests(chain, chainPlaces, func(string) float64 { return 1 }), qt.IsNil)
}

// Guards against limits from a handful of calls, and from reports that stopped.
func TestHopShareNeedsCallsAndFades(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var h Hops
	feed := func(rate, lost float64, seconds int) {
		for range 5 * seconds {
			now = now.Add(200 * time.Millisecond)
			var reports []*loads.Report
			if rate > 0 {
				for range 2 {
					reports = append(reports, &loads.Report{Entries: map[string]loads.Entry{"sync": {Fresh: rate / 2, Lost: loads.LostOf(lost / 2)}}})
				}
			}
			h.Update(now, reports)
		}
	}
	feed(2, 2, 10)
	c.Assert(h.Share("sync"), qt.Equals, 1.0)
	feed(1000, 200, 10)
	c.Assert(math.Abs(h.Share("sync")-0.8) < 0.01, qt.IsTrue, qt.Commentf("%v", h.Share("sync")))
	feed(1000, 0, 5)
	c.Assert(h.Share("sync") > 0.97, qt.IsTrue, qt.Commentf("%v", h.Share("sync")))
	feed(1000, 1000, 10)
	feed(0, 0, 12)
	c.Assert(h.Share("sync"), qt.Equals, 1.0, qt.Commentf("without reports"))
	feed(0, 0, 30)
	c.Assert(h.routes, qt.HasLen, 0)
}
