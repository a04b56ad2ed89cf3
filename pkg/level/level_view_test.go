package level

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

var (
	begin = time.Unix(1_000_000, 0)
	reads = Route{"s", "reads"}
	docs  = Route{"s", "docs"}
)

func TestStaleLevelFadesByItself(t *testing.T) {
	c := qt.New(t)
	var v View
	v.Observe(begin, docs, priority.Floor(2))
	c.Assert(v.Current(begin.Add(staleAfter), docs), qt.Equals, priority.Floor(2))
	half := v.Current(begin.Add(staleAfter+fadeTime/2), docs)
	c.Assert(half, qt.Equals, priority.Floor(1))
	c.Assert(v.Current(begin.Add(staleAfter+fadeTime), docs), qt.Equals, priority.Priority(0))
}

// TestRefusedClassIsJudgedByOthers is the case in which a class that is refused, and so gets no answers,
// would be let in again and again while others of the service are still refused.
func TestRefusedClassIsJudgedByOthers(t *testing.T) {
	c := qt.New(t)
	var v View
	v.Observe(begin, docs, priority.Floor(2))
	later := begin.Add(2 * time.Second)
	v.Observe(later, reads, priority.Floor(2))
	c.Assert(v.Current(later, docs), qt.Equals, priority.Floor(2))
	v.Observe(later, reads, 0)
	v.Observe(later, reads, 0)
	c.Assert(v.Current(later, docs) < priority.Floor(1), qt.IsTrue)
}

func TestOldLevelHasNoWeight(t *testing.T) {
	c := qt.New(t)
	var v View
	v.Observe(begin, reads, priority.Floor(3))
	later := begin.Add(time.Second)
	v.Observe(later, reads, 1000)
	c.Assert(v.Current(later, reads), qt.Equals, priority.Priority(1000))
}

func TestUnknownRouteHasNoLevel(t *testing.T) {
	c := qt.New(t)
	var v View
	c.Assert(v.Current(begin, reads), qt.Equals, priority.Priority(0))
}

func BenchmarkViewCurrent(b *testing.B) {
	var v View
	v.Observe(begin, reads, priority.Floor(2))
	b.ReportAllocs()
	for b.Loop() {
		v.Current(begin, reads)
	}
}
