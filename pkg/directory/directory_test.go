package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// start is the time of the first heartbeat in the tests.
var start = time.Unix(1000, 0)

func beat(id string, call int64, draining bool) Registration {
	return Registration{Instance: id, Service: "s", Zone: "z", Slots: 5, HeartbeatSeq: call, Draining: draining}
}

func TestLateHeartbeatAfterLeaveIsIgnored(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	c.Assert(o.Heartbeat(start, beat("a", 1, false)), qt.IsTrue)
	c.Assert(o.Leave(Lifetime{Instance: "a"}), qt.IsTrue)
	c.Assert(o.Heartbeat(start, beat("a", 2, false)), qt.IsFalse)
	c.Assert(o.Record().Phase, qt.Equals, Gone)
}

func TestHeartbeatCannotUndoDraining(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, beat("a", 5, true))
	c.Assert(o.Heartbeat(start, beat("a", 4, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start, beat("a", 6, false)), qt.IsFalse)
	c.Assert(o.Record().Phase, qt.Equals, Draining)
}

func TestNextServerAtTheAddressServes(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, beat("a", 9, false))
	o.Leave(Lifetime{Instance: "a"})
	c.Assert(o.Heartbeat(start, beat("b", 1, false)), qt.IsTrue)
	c.Assert(o.Record().Phase, qt.Equals, Serving)
	c.Assert(o.Leave(Lifetime{Instance: "a"}), qt.IsFalse)
	c.Assert(o.Record().Instance, qt.Equals, "b")
}

// A network partition delayed a heartbeat until its server had crashed and the next one had registered at the address. If the late
// heartbeat is applied, requests name the crashed server until the next heartbeat of the new one.
func TestLateHeartbeatOfAnEarlierServerIsIgnored(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	early := Registration{Instance: "i1", Service: "s", Zone: "z", Slots: 4, HeartbeatSeq: 7}
	next := Registration{Instance: "i2", Service: "s", Zone: "z", Slots: 4, HeartbeatSeq: 1}
	c.Assert(o.Heartbeat(start, early), qt.IsTrue)
	c.Assert(o.Heartbeat(start, next), qt.IsTrue)
	before := o.Record()
	early.HeartbeatSeq++
	c.Assert(o.Heartbeat(start, early), qt.IsFalse)
	c.Assert(o.Record(), qt.Equals, before)
	next.HeartbeatSeq++
	c.Assert(o.Heartbeat(start, next), qt.IsFalse)
	c.Assert(o.Leave(Lifetime{Instance: "i1"}), qt.IsFalse, qt.Commentf("a late leave call is ignored too"))
	c.Assert(o.Record(), qt.Equals, before)
}

func TestRestartedNodeRestoresItsServerUntilAHeartbeat(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	old := Record{Host: "h", Generation: 7, Instance: "a", Service: "s", Slots: 5, Phase: Draining}
	c.Assert(o.Restore(start, old), qt.IsTrue)
	c.Assert(o.Record(), qt.Equals, old)
	c.Assert(o.Heartbeat(start, beat("a", 3, false)), qt.IsTrue, qt.Commentf("the zone is new"))
	c.Assert(o.Record().Phase, qt.Equals, Draining, qt.Commentf("draining isn't undone"))
	c.Assert(o.Record().Generation > 7, qt.IsTrue)
}

func TestRestoreRaisesTheGenerationAfterAHeartbeat(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, beat("b", 1, false))
	c.Assert(o.Restore(start, Record{Host: "h", Generation: 40, Instance: "a", Service: "s", Phase: Gone}), qt.IsTrue)
	c.Assert(o.Record().Instance, qt.Equals, "b")
	c.Assert(o.Record().Generation, qt.Equals, int64(41))
}

// Nodes that receive the same records in any order, any number of times, hold the same directory.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var received []Record
		for range rapid.IntRange(1, 20).Draw(r, "n") {
			g := rapid.Int64Range(1, 4).Draw(r, "generation")
			received = append(received, Record{
				Host: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "host"), Generation: g,
				Instance: "i", Service: "s", Phase: Phase(rapid.IntRange(0, 3).Draw(r, "phase")),
			})
		}
		var d, e Directory
		d.Merge(received...)
		rnd := rand.New(rand.NewPCG(1, 2))
		rnd.Shuffle(len(received), func(i, j int) { received[i], received[j] = received[j], received[i] })
		e.Merge(received...)
		e.Merge(received...)
		qt.Assert(t, e.All(), qt.DeepEquals, d.All())
	})
}

// The digest depends on the records and not on the order in which they were merged.
func TestDigestIdentifiesTheRecords(t *testing.T) {
	c := qt.New(t)
	a, b := Record{Host: "a", Generation: 1, Instance: "i"}, Record{Host: "b", Generation: 4, Instance: "j"}
	var d, e Directory
	d.Merge(a, b)
	e.Merge(b)
	c.Assert(d.Digest() == e.Digest(), qt.IsFalse)
	e.Merge(a)
	c.Assert(d.Digest(), qt.Equals, e.Digest())
	b.Generation, b.Phase = 5, Draining
	e.Merge(b)
	c.Assert(d.Digest() == e.Digest(), qt.IsFalse)
}

// A node that has restarted doesn't know that its server is leaving. It sends the record as it was, and peers that know must
// not forget it.
func TestRestartOfANodeDoesntUndoDraining(t *testing.T) {
	c := qt.New(t)
	serving := Record{Host: "h", Generation: 4, FirstGeneration: 3, Instance: "a", Service: "s", Slots: 5, Phase: Serving, StartedMS: 200}
	var d Directory
	d.Merge(serving)
	draining, changed := d.MarkDraining("h", Lifetime{"a", 200})
	c.Assert(changed, qt.IsTrue)
	newer := serving
	newer.Generation, newer.FirstGeneration = 6, 5
	d.Merge(newer)
	c.Assert(d.All()[0].Phase, qt.Equals, Draining)
	c.Assert(d.All()[0].Generation, qt.Equals, int64(6))

	o := LocalServer{Host: "h"}
	o.Heartbeat(start, lifetimeBeat("a", 200, 9, false))
	o.Restore(start, draining)
	c.Assert(o.Record().Phase, qt.Equals, Draining, qt.Commentf("the server's own node learns of it"))
	c.Assert(o.Record().Generation > draining.Generation, qt.IsTrue)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 10, false)), qt.IsFalse)

	next := newer
	next.Generation, next.FirstGeneration, next.StartedMS = 8, 8, 300
	d.Merge(next)
	c.Assert(d.All()[0].Phase, qt.Equals, Serving, qt.Commentf("the next lifetime"))
	_, changed = d.MarkDraining("h", Lifetime{"a", 200})
	c.Assert(changed, qt.IsFalse)
	_, changed = d.MarkDraining("unknown", Lifetime{"a", 200})
	c.Assert(changed, qt.IsFalse)
}

func TestServerThatSaysItLeavesDrainsOnce(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Heartbeat(start, lifetimeBeat("a", 200, 1, false))
	c.Assert(o.Drain(Lifetime{"a", 100}), qt.IsFalse, qt.Commentf("an earlier lifetime"))
	c.Assert(o.Drain(Lifetime{"a", 200}), qt.IsTrue)
	c.Assert(o.Drain(Lifetime{"a", 200}), qt.IsFalse)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 2, false)), qt.IsFalse)
	c.Assert(o.Record().Phase, qt.Equals, Draining)
}

// Guards against a stale list or digest: both are computed only after changes, and nodes with equal digests don't exchange
// their records.
func TestListAndDigestFollowChanges(t *testing.T) {
	c := qt.New(t)
	var d Directory
	seen := map[uint64]bool{d.Digest(): true}
	changed := func(want Record) {
		c.Assert(d.All(), qt.Contains, want)
		c.Assert(seen[d.Digest()], qt.IsFalse)
		seen[d.Digest()] = true
	}
	r := Record{Host: "h", Generation: 1, Instance: "i", Service: "s", Phase: Serving}
	d.Merge(r)
	changed(r)
	other := Record{Host: "a", Generation: 1, Instance: "i", Service: "s", Phase: Serving}
	d.Merge(other)
	changed(other)
	r.Phase = Draining
	d.MarkDraining("h", r.Lifetime())
	changed(r)
}
