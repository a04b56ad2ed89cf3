package callgraph

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func BenchmarkCallAmongHundredRuns(b *testing.B) {
	var l Learner
	for i := range 100 {
		l.BeginRun(start.Add(time.Duration(i)*time.Millisecond), string(rune('a'+i%8)), start.Add(second))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.ObserveCall(start.Add(second/2), "x", start.Add(second/2))
	}
}

// Guards against a panic on a call before any run: a node restarted beside a running server sees calls of runs that began
// before its start, when the map of runs didn't exist yet.
func TestCallBeforeAnyRunIsIgnored(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.ObserveCall(start, "x", start.Add(second))
	l.Update(start.Add(second))
	c.Assert(l.CallsPerRun("a"), qt.HasLen, 0)
	simulate(&l, start.Add(second), 5*second, 1, list)
	c.Assert(near(l.CallsPerRun("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
}
