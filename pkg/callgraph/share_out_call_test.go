package callgraph

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func BenchmarkCallAmongHundredRuns(b *testing.B) {
	var l Learner
	for i := range 100 {
		l.Begin(start.Add(time.Duration(i)*time.Millisecond), string(rune('a'+i%8)), start.Add(second))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Call(start.Add(second/2), "x", start.Add(second/2))
	}
}

// A node that was restarted beside a living server hears calls of runs that began before it: there was no map
// for them yet, and the call was lost in a panic.
func TestACallBeforeAnyRunIsAStrayOne(t *testing.T) {
	c := qt.New(t)
	var l Learner
	l.Call(start, "x", start.Add(second))
	l.Look(start.Add(second))
	c.Assert(l.Calls("a"), qt.HasLen, 0)
	play(&l, start.Add(second), 5*second, 1, list)
	c.Assert(near(l.Calls("list")["roster"], 4, 0.5), qt.IsTrue, qt.Commentf("%v", l.Calls("list")))
}
