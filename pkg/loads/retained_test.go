package loads

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

func reportOf(service string, runs map[string]RunStats) *Report {
	return &Report{Service: service, Runs: runs}
}

func TestRunsThatNobodyReportsAreRetained(t *testing.T) {
	c := qt.New(t)
	var k RetainedRuns
	now := time.Unix(100, 0)
	low := RunStats{Rate: 20, HoldSeconds: 0.1, CallsPerRun: callgraph.Rates{"x": 2}}
	k.Update(now, []*Report{reportOf("top", map[string]RunStats{"root": {Rate: 10, HoldSeconds: 0.2}}), reportOf("low", map[string]RunStats{"called": low})})
	live := []*Report{reportOf("top", map[string]RunStats{"root": {Rate: 5, HoldSeconds: 0.3}})}
	all := k.WithRetained(live)
	c.Assert(all, qt.HasLen, 2)
	c.Assert(all[1].Service, qt.Equals, "low")
	c.Assert(all[1].Runs, qt.DeepEquals, map[string]RunStats{"called": low})
	moved := []*Report{reportOf("other", map[string]RunStats{"called": low})}
	c.Assert(Placements(k.WithRetained(moved))["called"].Shares, qt.DeepEquals, map[string]float64{"other": 1}, qt.Commentf("it has moved"))
	k.Update(now.Add(RetentionTime+time.Second), nil)
	c.Assert(k.ByService(), qt.HasLen, 0)
}

func TestReportedRunsGoBeforeRestoredOnes(t *testing.T) {
	c := qt.New(t)
	var k RetainedRuns
	now := time.Unix(100, 0)
	k.Update(now, []*Report{reportOf("s", map[string]RunStats{"r": {Rate: 10, HoldSeconds: 0.2}})})
	l := Learned{
		Service: "s", CallsPerRun: map[string]callgraph.Rates{"r": {"x": 1}, "q": {}, "untimed": {"x": 1}},
		Times: map[string]RunTiming{"r": {Rate: 1, HoldSeconds: 9}, "q": {Rate: 2, HoldSeconds: 0.5}},
	}
	c.Assert(k.Restore(now, l.Service, l.Runs()), qt.Equals, 1)
	c.Assert(k.ByService()["s"]["r"].HoldSeconds, qt.Equals, 0.2)
	c.Assert(k.ByService()["s"]["q"], qt.DeepEquals, RunStats{Rate: 2, HoldSeconds: 0.5, CallsPerRun: callgraph.Rates{}})
	c.Assert(k.Restore(now, l.Service, l.Runs()), qt.Equals, 0)
}

// What is counted after a start grows while the earlier demand fades, so that their sum is about right at any time.
func TestRestoredDemandFadesAsRequestsAreCounted(t *testing.T) {
	c := qt.New(t)
	var k RetainedDemand
	now := time.Unix(100, 0)
	c.Assert(k.Uncounted(now), qt.HasLen, 0)
	k.Restore(map[string]float64{"r": 50, "q": 10})
	k.Restore(map[string]float64{"r": 100})
	c.Assert(k.Uncounted(now.Add(time.Hour)), qt.DeepEquals, map[string]float64{"r": 100, "q": 10}, qt.Commentf("no requests are reported yet"))
	k.MarkReported(now)
	k.MarkReported(now.Add(time.Second))
	c.Assert(k.Uncounted(now.Add(countingDelay))["r"], qt.Equals, 100.0)
	c.Assert(k.Uncounted(now.Add(countingDelay + fadeTime/2))["r"], qt.Equals, 50.0)
	c.Assert(k.Uncounted(now.Add(countingDelay+fadeTime)), qt.HasLen, 0)
}
