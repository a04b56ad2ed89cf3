package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
)

// After a loss of all processes nodes learned the calls anew, in the middle of the overload, and let in too much.
func TestANodeRecallsWhatWasLearnedBeforeItsStart(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.store.learned["a"] = Learned{Service: "a", Calls: map[string]callgraph.Rates{"r": {"called": 4}}}
	s.store.learned["b"] = Learned{Service: "b", Calls: map[string]callgraph.Rates{"r": {"called": 9}}}
	n, _ := s.add("a", "z", 10)
	s.until("it is recalled", func() bool {
		n.stats.end(time.Now(), "r", n.stats.begin(time.Now(), "r", time.Now()), 0, gate.Shed)
		n.stats.mu.Lock()
		defer n.stats.mu.Unlock()
		return n.stats.callsOf("r")["called"] == 4
	})
	c.Assert(n.keepsLearned(), qt.IsTrue)
}

func TestOneNodeOfAServiceKeepsWhatWasLearned(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	keepers := 0
	for _, n := range s.nodes {
		if n.keepsLearned() {
			keepers++
		}
	}
	c.Assert(keepers, qt.Equals, 1)
}

func TestSmallChangesArentWritten(t *testing.T) {
	c := qt.New(t)
	calls := func(n float64) map[string]callgraph.Rates { return map[string]callgraph.Rates{"r": {"x": n}} }
	c.Assert(differ(calls(4), nil), qt.IsTrue)
	c.Assert(differ(calls(4), calls(3.5)), qt.IsFalse)
	c.Assert(differ(calls(4), calls(2)), qt.IsTrue)
	c.Assert(differ(calls(0.1), nil), qt.IsFalse)
	c.Assert(differ(nil, calls(4)), qt.IsFalse)
	c.Assert(differ(map[string]callgraph.Rates{"r": {}}, calls(4)), qt.IsTrue, qt.Commentf("a call that isn't made any more"))
}

// Every restart wrote the record twice and read all others three times, though nothing had changed.
func TestARestartedNodeWritesNothingNew(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	known := directory.Record{Host: s.base + "1", Generation: 7, Instance: "i-" + s.base + "1", Service: "a", Zone: "z", Slots: 10, Phase: directory.Serving}
	s.store.records[known.Host] = known
	n, _ := s.add("a", "z", 10) // its heartbeat comes before the store's answer
	s.until("it is recalled", func() bool { return n.view.Load().own.Generation >= 7 })
	time.Sleep(50 * time.Millisecond)
	c.Assert(n.view.Load().own, qt.Equals, known)
	c.Assert(s.store.writes(), qt.Equals, 0)
	s.beat(0, true)
	c.Assert(s.store.writes(), qt.Equals, 1)
	c.Assert(n.view.Load().own.Generation, qt.Equals, int64(8))
}
