package loads

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSplitKindInvertsKind(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		route    string
		priority int
	}{{"r", 0}, {"r", 3}, {"", 1}, {"a b p1", 2}} {
		route, priority := SplitKind(Kind(x.route, x.priority))
		c.Check(route, qt.Equals, x.route)
		c.Check(priority, qt.Equals, x.priority)
	}
	route, priority := SplitKind("r" + kindSeparator + "x")
	c.Check(route, qt.Equals, "r"+kindSeparator+"x")
	c.Check(priority, qt.Equals, 0)
	c.Check(KindLabel(Kind("r", 2)), qt.Equals, "r team-priority 2")
}
