package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/overload"
)

// The plan admits requests of urgent teams on any route before requests of other teams on the most urgent route.
func TestTeamPriorityPrecedesRoutePriority(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("a", "z", 10)
	pay, read := route("pay", desired.AtMostOnce, "a"), route("read", desired.Repeatable, "a")
	read.Priority = 2
	st, err := desired.New(desired.State{
		Version: 1, Routes: []desired.Route{pay, read},
		Teams: []desired.Team{{Name: "urgent"}, {Name: "other", Priority: 1}},
	})
	c.Assert(err, qt.IsNil)
	n.state.Store(st)
	report := &loads.Report{Entries: map[string]loads.Entry{
		loads.Kind("pay", 0): {Fresh: 10}, loads.Kind("read", 0): {Fresh: 10},
		loads.Kind("pay", 1): {Fresh: 10}, loads.Kind("read", 1): {Fresh: 10},
	}}
	costs := map[string]callgraph.Cost{"pay": {SlotSeconds: map[string]float64{"a": 0.1}}, "read": {SlotSeconds: map[string]float64{"a": 0.1}}}
	plan := &admissionPlan{}
	shares := make(chan map[string]overload.Share, 1)
	n.enqueue(func() {
		roots := n.rootDemand(time.Now(), []*loads.Report{report}, plan, costs)
		shares <- overload.Options{NoMinimumShare: true}.PlanShares(roots, map[string]float64{"a": 2 / overload.TargetUtilization})
	})
	got := <-shares
	c.Check(got[loads.Kind("pay", 0)].Fresh > 0.99, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got[loads.Kind("read", 0)].Fresh > 0.99, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got[loads.Kind("pay", 1)].Fresh < 0.02, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got[loads.Kind("read", 1)].Fresh < 0.02, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(st.Rank("pay", 0), qt.Equals, 0)
	c.Check(st.Rank("read", 0) < st.Rank("pay", 1), qt.IsTrue)
	c.Check(st.Rank("nobody", 0) > st.Rank("read", 9), qt.IsTrue)
}
