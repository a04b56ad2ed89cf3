package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// lifetimeBeat returns a heartbeat of the lifetime with the given start time in Unix milliseconds.
func lifetimeBeat(id string, startedMS, call int64, draining bool) Registration {
	r := beat(id, call, draining)
	r.StartedMS = startedMS
	return r
}

// A server that restarts under its instance ID numbers its calls from 1 again. Compared with the calls of the lifetime before, its
// heartbeats were ignored until they passed the old number, or for good if that lifetime had been draining or had left.
func TestServerRestartedUnderItsIDServesAtOnce(t *testing.T) {
	for name, before := range map[string]func(o *LocalServer){
		"crashed":  func(*LocalServer) {},
		"draining": func(o *LocalServer) { o.Heartbeat(start, lifetimeBeat("a", 100, 41, true)) },
		"left":     func(o *LocalServer) { o.Leave(Lifetime{"a", 100}) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := LocalServer{Host: "h"}
			o.Heartbeat(start, lifetimeBeat("a", 100, 40, false))
			first := o.Record()
			before(&o)
			c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 1, false)), qt.IsTrue)
			c.Assert(o.Record().Phase, qt.Equals, Serving)
			c.Assert(o.Record().LifetimeID(), qt.Not(qt.Equals), first.LifetimeID())
			after := o.Record()
			c.Assert(o.Heartbeat(start, lifetimeBeat("a", 100, 50, true)), qt.IsFalse, qt.Commentf("a late heartbeat of the previous lifetime"))
			c.Assert(o.Leave(Lifetime{"a", 100}), qt.IsFalse, qt.Commentf("and its late leave call"))
			c.Assert(o.Record(), qt.Equals, after)
			c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 2, true)), qt.IsTrue)
			c.Assert(o.Record().Phase, qt.Equals, Draining)
		})
	}
}

// After the clock was set back the next lifetime seems older than the current one. It replaces the current one once its heartbeats
// continue; delayed heartbeats of the previous lifetime arrive all at once and don't.
func TestLifetimeThatSeemsOlderIsAcceptedOnceItsHeartbeatsContinue(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, lifetimeBeat("b", 500, 9, false))
	for call := range int64(3) {
		c.Assert(o.Heartbeat(start, lifetimeBeat("a", 400, call, false)), qt.IsFalse, qt.Commentf("delayed, all at once"))
	}
	c.Assert(o.Heartbeat(start, lifetimeBeat("b", 500, 10, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start, lifetimeBeat("b", 300, 1, false)), qt.IsFalse, qt.Commentf("the clock was set back"))
	c.Assert(o.Heartbeat(start.Add(candidateConfirmTime/2), lifetimeBeat("b", 300, 2, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start.Add(candidateConfirmTime), lifetimeBeat("b", 300, 3, false)), qt.IsTrue)
	c.Assert(o.Record().StartedMS, qt.Equals, int64(300))
	c.Assert(o.Heartbeat(start, lifetimeBeat("b", 500, 11, false)), qt.IsFalse, qt.Commentf("that lifetime has ended"))
}

// A restart of a server that sends no start time is recognized by its call numbers.
func TestRestartWithoutAStartTimeIsRecognizedByCallNumbers(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, lifetimeBeat("a", 0, 40, false))
	before := o.Record()
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 0, 1, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start.Add(candidateConfirmTime), lifetimeBeat("a", 0, 2, false)), qt.IsTrue)
	c.Assert(o.Record().LifetimeID(), qt.Not(qt.Equals), before.LifetimeID())
}

// After a restart of the node the restored lifetime continues, and late calls of older lifetimes are ignored.
func TestRestoredLifetimeContinues(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	restored := Record{Host: "h", Generation: 7, FirstGeneration: 5, Instance: "a", Service: "s", Zone: "z", Slots: 5, Phase: Serving, StartedMS: 200}
	c.Assert(o.Restore(start, restored), qt.IsTrue)
	c.Assert(o.Leave(Lifetime{"a", 100}), qt.IsFalse)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 100, 90, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 3, false)), qt.IsFalse, qt.Commentf("nothing changed"))
	c.Assert(o.Record(), qt.Equals, restored)
}

// Once the newest lifetime has sent a heartbeat, no late call of an older one changes the record, in whatever order they arrive.
func TestLateCallsOfOlderLifetimesAreIgnored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := LocalServer{Host: "h"}
		lifetimes := rapid.IntRange(2, 5).Draw(r, "lives")
		for i := range lifetimes {
			if rapid.Bool().Draw(r, "heard") {
				o.Heartbeat(start, lifetimeBeat("a", int64(100+i), 5, rapid.Bool().Draw(r, "draining")))
			}
		}
		o.Heartbeat(start, lifetimeBeat("a", int64(100+lifetimes), 1, false))
		want := o.Record()
		for range rapid.IntRange(1, 10).Draw(r, "late words") {
			startedMS := int64(100 + rapid.IntRange(0, lifetimes-1).Draw(r, "life"))
			if rapid.Bool().Draw(r, "leaves") {
				o.Leave(Lifetime{"a", startedMS})
			} else {
				o.Heartbeat(start, lifetimeBeat("a", startedMS, int64(rapid.IntRange(0, 9).Draw(r, "call")), false))
			}
		}
		qt.Assert(t, o.Record(), qt.Equals, want)
	})
}

// Guards against a heartbeat of another writer, which lacks the start time, by whose call number the server's own heartbeats count as late.
func TestHeartbeatWithoutAStartTimeDoesNotSpeakForAServerThatReportsOne(t *testing.T) {
	c := qt.New(t)
	for _, instance := range []string{"a", "b"} {
		o := LocalServer{Host: "h"}
		o.Heartbeat(start, lifetimeBeat("a", 100, 40, false))
		before := o.Record()
		for i := range 3 {
			now := start.Add(time.Duration(i) * candidateConfirmTime)
			c.Assert(o.Heartbeat(now, lifetimeBeat(instance, 0, 100_000+int64(i), i > 0)), qt.IsFalse)
			c.Assert(o.Record(), qt.Equals, before)
			c.Assert(o.Heartbeat(now, lifetimeBeat("a", 100, 41+int64(i), false)), qt.IsFalse)
		}
		c.Assert(o.Heartbeat(start, lifetimeBeat("a", 100, 50, true)), qt.IsTrue)
		c.Assert(o.Record().Phase, qt.Equals, Draining)
	}
}

// Guards against an announced end that counts as late by its call number: a lifetime that has said so doesn't take it back.
func TestDrainingIsAppliedWhateverItsCallNumber(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, lifetimeBeat("a", 100, 100_000, false))
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 100, 41, true)), qt.IsTrue)
	c.Assert(o.Record().Phase, qt.Equals, Draining)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 100, 100_001, false)), qt.IsFalse)
	c.Assert(o.Record().Phase, qt.Equals, Draining)
}
