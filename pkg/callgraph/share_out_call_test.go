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

// A node that was restarted beside a living server hears calls of runs that began before it: there was no map
// for them yet, and the call was lost in a panic.
func TestACallBeforeAnyRunIsAStrayOne(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.ObserveCall(start, "x", start.Add(second))
	l.Update(start.Add(second))
	c.Assert(l.CallsPerRun("a"), qt.HasLen, 0)
	play(&l, start.Add(second), 5*second, 1, list)
	c.Assert(near(l.CallsPerRun("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.CallsPerRun("list")))
}
