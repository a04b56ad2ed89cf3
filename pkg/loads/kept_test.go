package loads

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

func reportOf(service string, runs map[string]Run) *Report {
	return &Report{Service: service, Runs: runs}
}

func TestRunsThatNobodyTellsOfAreRemembered(t *testing.T) {
	c := qt.New(t)
	var k KeptRuns
	now := time.Unix(100, 0)
	low := Run{Rate: 20, Hold: 0.1, Calls: callgraph.Rates{"x": 2}}
	k.Note(now, []*Report{reportOf("top", map[string]Run{"root": {Rate: 10, Hold: 0.2}}), reportOf("low", map[string]Run{"called": low})})
	live := []*Report{reportOf("top", map[string]Run{"root": {Rate: 5, Hold: 0.3}})}
	all := k.Complete(live)
	c.Assert(all, qt.HasLen, 2)
	c.Assert(all[1].Service, qt.Equals, "low")
	c.Assert(all[1].Runs, qt.DeepEquals, map[string]Run{"called": low})
	moved := []*Report{reportOf("other", map[string]Run{"called": low})}
	c.Assert(Places(k.Complete(moved))["called"].Shares, qt.DeepEquals, map[string]float64{"other": 1}, qt.Commentf("it has moved"))
	k.Note(now.Add(KeptTime+time.Second), nil)
	c.Assert(k.Services(), qt.HasLen, 0)
}

func TestWhatIsToldGoesBeforeWhatIsRecalled(t *testing.T) {
	c := qt.New(t)
	var k KeptRuns
	now := time.Unix(100, 0)
	k.Note(now, []*Report{reportOf("s", map[string]Run{"r": {Rate: 10, Hold: 0.2}})})
	l := Learned{
		Service: "s", Calls: map[string]callgraph.Rates{"r": {"x": 1}, "q": {}, "untimed": {"x": 1}},
		Times: map[string]RunTimes{"r": {Rate: 1, Hold: 9}, "q": {Rate: 2, Hold: 0.5}},
	}
	c.Assert(k.Recall(now, l.Service, l.Runs()), qt.Equals, 1)
	c.Assert(k.Services()["s"]["r"].Hold, qt.Equals, 0.2)
	c.Assert(k.Services()["s"]["q"], qt.DeepEquals, Run{Rate: 2, Hold: 0.5, Calls: callgraph.Rates{}})
	c.Assert(k.Recall(now, l.Service, l.Runs()), qt.Equals, 0)
}

// What is counted after a start grows while what was asked before fades, so that the sum is about right all the time.
func TestDemandFromBeforeGivesWayToWhatIsCounted(t *testing.T) {
	c := qt.New(t)
	var k KeptDemand
	now := time.Unix(100, 0)
	c.Assert(k.Missing(now), qt.HasLen, 0)
	k.Recall(map[string]float64{"r": 50, "q": 10})
	k.Recall(map[string]float64{"r": 100})
	c.Assert(k.Missing(now.Add(time.Hour)), qt.DeepEquals, map[string]float64{"r": 100, "q": 10}, qt.Commentf("nobody has asked yet"))
	k.Reported(now)
	k.Reported(now.Add(time.Second))
	c.Assert(k.Missing(now.Add(countedFrom))["r"], qt.Equals, 100.0)
	c.Assert(k.Missing(now.Add(countedFrom + countedSpan/2))["r"], qt.Equals, 50.0)
	c.Assert(k.Missing(now.Add(countedFrom+countedSpan)), qt.HasLen, 0)
}
