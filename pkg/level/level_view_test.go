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

func TestStaleLevelDecaysToZero(t *testing.T) {
	c := qt.New(t)
	var v View
	v.Observe(begin, docs, priority.Floor(2))
	c.Assert(v.Current(begin.Add(staleAfter), docs), qt.Equals, priority.Floor(2))
	half := v.Current(begin.Add(staleAfter+decayTime/2), docs)
	c.Assert(half, qt.Equals, priority.Floor(1))
	c.Assert(v.Current(begin.Add(staleAfter+decayTime), docs), qt.Equals, priority.Priority(0))
}

// TestRefusedClassFollowsTheLevelOfOtherClasses: a refused class gets no answers, so its level decays and its calls would
// be admitted again and again while the service still refuses those of other classes.
func TestRefusedClassFollowsTheLevelOfOtherClasses(t *testing.T) {
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

func TestStaleLevelIsReplacedByANewAnswer(t *testing.T) {
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
