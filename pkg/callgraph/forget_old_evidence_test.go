package callgraph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestForgottenRoutesLeaveNoReferences(t *testing.T) {
	c := qt.New(t)
	var l Learner
	oldKind, newKind := list, list
	oldKind.route, oldKind.called = "old", "x"
	newKind.route, newKind.called, newKind.calls = "new", "y", 1
	simulate(&l, start, 2*second, 1, oldKind)
	simulate(&l, start.Add(2*second), 600*second, 2, newKind)
	c.Assert(l.CallsPerRun("old"), qt.HasLen, 0)
	c.Assert(near(l.CallsPerRun("new")["y"], 1, 0.05), qt.IsTrue)
	c.Assert(l.CallsPerRun("new")["x"], qt.Equals, 0.0)
	c.Assert(l.routes, qt.HasLen, 1)
}
