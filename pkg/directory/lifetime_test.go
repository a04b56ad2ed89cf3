package directory

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// life is a heartbeat of one life of a server.
func life(id string, born, call int64, draining bool) Registration {
	r := beat(id, call, draining)
	r.StartedMS = born
	return r
}

// A server that was back under its id counted its calls from the start, and wasn't heard until they had passed the old count; one that had been
// draining or had left was never heard again.
func TestAServerThatIsBackUnderItsIDServesAtOnce(t *testing.T) {
	for name, before := range map[string]func(o *LocalServer){
		"crashed":  func(*LocalServer) {},
		"draining": func(o *LocalServer) { o.Heartbeat(start, life("a", 100, 41, true)) },
		"left":     func(o *LocalServer) { o.Leave(Lifetime{"a", 100}) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := LocalServer{Host: "h"}
			o.Heartbeat(start, life("a", 100, 40, false))
			first := o.Record()
			before(&o)
			c.Assert(o.Heartbeat(start, life("a", 200, 1, false)), qt.IsTrue)
			c.Assert(o.Record().Phase, qt.Equals, Serving)
			c.Assert(o.Record().LifetimeID(), qt.Not(qt.Equals), first.LifetimeID())
			after := o.Record()
			c.Assert(o.Heartbeat(start, life("a", 100, 50, true)), qt.IsFalse, qt.Commentf("a late heartbeat of the life before"))
			c.Assert(o.Leave(Lifetime{"a", 100}), qt.IsFalse, qt.Commentf("and its late word that it ends"))
			c.Assert(o.Record(), qt.Equals, after)
			c.Assert(o.Heartbeat(start, life("a", 200, 2, true)), qt.IsTrue)
			c.Assert(o.Record().Phase, qt.Equals, Draining)
		})
	}
}

// A clock that stepped back makes the next life look older; it is taken for the next one when it goes on speaking. What a cut held back of the life before
// comes at once, and isn't.
func TestALifeThatSeemsOlderIsTakenOnceItGoesOnSpeaking(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, life("b", 500, 9, false))
	for call := range int64(3) {
		c.Assert(o.Heartbeat(start, life("a", 400, call, false)), qt.IsFalse, qt.Commentf("held back, all at once"))
	}
	c.Assert(o.Heartbeat(start, life("b", 500, 10, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start, life("b", 300, 1, false)), qt.IsFalse, qt.Commentf("the clock has stepped back"))
	c.Assert(o.Heartbeat(start.Add(oddTime/2), life("b", 300, 2, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start.Add(oddTime), life("b", 300, 3, false)), qt.IsTrue)
	c.Assert(o.Record().StartedMS, qt.Equals, int64(300))
	c.Assert(o.Heartbeat(start, life("b", 500, 11, false)), qt.IsFalse, qt.Commentf("that life is over"))
}

// Servers that don't say when they were born, and start again under their id, are told by their calls.
func TestARestartWithoutABirthIsToldByItsCalls(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, life("a", 0, 40, false))
	before := o.Record()
	c.Assert(o.Heartbeat(start, life("a", 0, 1, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start.Add(oddTime), life("a", 0, 2, false)), qt.IsTrue)
	c.Assert(o.Record().LifetimeID(), qt.Not(qt.Equals), before.LifetimeID())
}

// After a restart of the node the recalled life goes on, and late words of older ones change nothing.
func TestARecalledLifeGoesOn(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	was := Record{Host: "h", Generation: 7, FirstGeneration: 5, Instance: "a", Service: "s", Zone: "z", Slots: 5, Phase: Serving, StartedMS: 200}
	c.Assert(o.Restore(was), qt.IsTrue)
	c.Assert(o.Leave(Lifetime{"a", 100}), qt.IsFalse)
	c.Assert(o.Heartbeat(start, life("a", 100, 90, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start, life("a", 200, 3, false)), qt.IsFalse, qt.Commentf("it says nothing new"))
	c.Assert(o.Record(), qt.Equals, was)
}

// Whatever comes late, and in whatever order, after the newest life has spoken its record stands.
func TestLateWordsOfOlderLivesChangeNothing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := LocalServer{Host: "h"}
		lives := rapid.IntRange(2, 5).Draw(r, "lives")
		for i := range lives {
			if rapid.Bool().Draw(r, "heard") {
				o.Heartbeat(start, life("a", int64(100+i), 5, rapid.Bool().Draw(r, "draining")))
			}
		}
		o.Heartbeat(start, life("a", int64(100+lives), 1, false))
		want := o.Record()
		for range rapid.IntRange(1, 10).Draw(r, "late words") {
			born := int64(100 + rapid.IntRange(0, lives-1).Draw(r, "life"))
			if rapid.Bool().Draw(r, "leaves") {
				o.Leave(Lifetime{"a", born})
			} else {
				o.Heartbeat(start, life("a", born, int64(rapid.IntRange(0, 9).Draw(r, "call")), false))
			}
		}
		qt.Assert(t, o.Record(), qt.Equals, want)
	})
}
