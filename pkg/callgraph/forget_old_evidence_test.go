package callgraph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestForgottenRoutesLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	var l Learner
	old, young := list, list
	old.route, old.called = "old", "x"
	young.route, young.called, young.calls = "new", "y", 1
	play(&l, start, 2*second, 1, old)
	play(&l, start.Add(2*second), 600*second, 2, young)
	c.Assert(l.CallsPerRun("old"), qt.HasLen, 0)
	c.Assert(near(l.CallsPerRun("new")["y"], 1, 0.05), qt.IsTrue)
	c.Assert(l.CallsPerRun("new")["x"], qt.Equals, 0.0)
	c.Assert(l.routes, qt.HasLen, 1)
}
