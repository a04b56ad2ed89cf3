package callgraph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// After a loss of all processes during an overload there is no calm period to learn in.
func TestRestoredCallsCountAtOnce(t *testing.T) {
	c := qt.New(t)
	var before, l Learner
	simulate(&before, start, 10*second, 1, list, pull)
	known := before.ReliableCalls()
	c.Assert(near(known["list"]["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", known))
	l.Restore(known)
	failing := list
	failing.failed = 0.9
	simulate(&l, start, 2*second, 2, failing, pull)
	c.Assert(near(l.CallsPerRun("list")["roster"], 4, 0.7), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
	changed := list
	changed.calls = 2
	simulate(&l, start.Add(2*second), 20*second, 3, changed, pull)
	c.Assert(near(l.CallsPerRun("list")["roster"], 2, 0.4), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
}
