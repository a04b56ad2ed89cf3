package loads

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// The pace of a server lengthens only the part of a run that isn't spent waiting for calls.
func TestCallSharesOfRuns(t *testing.T) {
	c := qt.New(t)
	g := callgraph.Graph{
		"lobby":  {"list": {"log": 2}},
		"tables": {"log": {"fetch": 1}, "list": {"log": 4}},
	}
	places := map[string]callgraph.Placement{
		"list":  {Shares: map[string]float64{"lobby": 0.5, "tables": 0.5}, HoldSeconds: 1},
		"log":   {Shares: map[string]float64{"tables": 1}, HoldSeconds: 0.2},
		"fetch": {Shares: map[string]float64{"replays": 1}, HoldSeconds: 0.5},
		"none":  {Shares: map[string]float64{"tables": 1}},
	}
	shares := CallShares(g, places)
	c.Assert(shares, qt.HasLen, 3)
	c.Assert(int(shares["list"]*1000+0.5), qt.Equals, 600)
	c.Assert(shares["log"], qt.Equals, maxCallShare)
	c.Assert(shares["fetch"], qt.Equals, 0.0)
}
