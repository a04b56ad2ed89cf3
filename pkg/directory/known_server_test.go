package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The lifetimes and records of the tests: "a" started at 100, and the node's earlier process recorded it at generation 3.
var (
	unknownStart = Lifetime{Instance: "a"}
	first        = Lifetime{"a", 100}
	second       = Lifetime{"a", 200}
	other        = Lifetime{"b", 150}
)

// replica returns a record that a peer or the store has.
func replica(at Lifetime, generation int64, phase Phase) Record {
	return Record{
		Host: "h", Generation: generation, FirstGeneration: 3, Instance: at.Instance, Service: "s", Zone: "z", Slots: 5,
		Phase: phase, StartedMS: at.StartedMS,
	}
}

// stored returns a step in which a replica arrives.
func stored(at Lifetime, generation int64, phase Phase) func(o *LocalServer) {
	return func(o *LocalServer) { o.Restore(start, replica(at, generation, phase)) }
}

// left returns a step in which a lifetime leaves.
func left(at Lifetime) func(o *LocalServer) { return func(o *LocalServer) { o.Leave(at) } }

// heard returns a step in which a heartbeat arrives.
func heard(at Lifetime, seq int64, draining bool) func(o *LocalServer) {
	return func(o *LocalServer) { o.Heartbeat(start, lifetimeBeat(at.Instance, at.StartedMS, seq, draining)) }
}

// Guards against a confirmed leaving that an older record or a late heartbeat undoes: each row has what is known, then what arrives.
func TestNothingOlderUndoesALeaving(t *testing.T) {
	type step = func(o *LocalServer)
	for name, row := range map[string]struct {
		known, arrives []step
		want           Phase
	}{
		"leave without a start, then its record":          {[]step{left(unknownStart)}, []step{stored(first, 3, Serving)}, Gone},
		"leave without a start, then a newer record":      {[]step{left(unknownStart)}, []step{stored(first, 1, Serving), stored(first, 9, Serving)}, Gone},
		"leave without a start, then another's record":    {[]step{left(unknownStart)}, []step{stored(other, 3, Serving)}, Gone},
		"leave without a start, then a late heartbeat":    {[]step{left(unknownStart)}, []step{heard(first, 7, false)}, Gone},
		"and with the record between":                     {[]step{left(unknownStart), stored(first, 3, Serving)}, []step{heard(first, 7, false)}, Gone},
		"leave without a start after a restart of the ID": {[]step{stored(first, 3, Serving), left(unknownStart)}, []step{heard(second, 7, false)}, Gone},
		"leave, then a record without a start":            {[]step{left(first)}, []step{stored(unknownStart, 3, Serving)}, Gone},
		"leave of the restored lifetime, then its record": {[]step{stored(first, 3, Serving), left(first)}, []step{stored(first, 9, Serving)}, Gone},
		"heartbeat, leave, then a newer record":           {[]step{heard(first, 1, false), left(unknownStart)}, []step{stored(first, 9, Serving)}, Gone},
		"draining, then the record before":                {[]step{heard(first, 1, true)}, []step{stored(first, 9, Serving)}, Draining},
		"draining restored, then a late heartbeat":        {[]step{stored(first, 3, Draining)}, []step{heard(first, 1, false)}, Draining},
		"left by a replica, then an older replica":        {[]step{stored(first, 4, Gone)}, []step{stored(first, 3, Serving)}, Gone},
		"left by a replica, then a late heartbeat":        {[]step{stored(first, 4, Gone)}, []step{heard(first, 9, false)}, Gone},
		"restored, then left by a replica":                {[]step{stored(first, 3, Serving)}, []step{stored(first, 4, Gone)}, Gone},
		"heard, then the next lifetime leaves unheard":    {[]step{heard(first, 4, false)}, []step{left(second)}, Gone},
		"and a late heartbeat of the first":               {[]step{heard(first, 4, false), left(second)}, []step{heard(first, 5, false)}, Gone},
		"and a record of the first":                       {[]step{heard(first, 4, false), left(second)}, []step{stored(first, 9, Serving)}, Gone},
		"heard twice, then a late leave of the first":     {[]step{heard(first, 4, false), heard(second, 1, false)}, []step{left(first)}, Serving},
		"leave of an earlier lifetime":                    {[]step{stored(second, 3, Serving)}, []step{left(first)}, Serving},
		"restored, then the next lifetime":                {[]step{stored(first, 4, Gone)}, []step{heard(second, 1, false)}, Serving},
		"left while heard, then the next lifetime":        {[]step{heard(first, 4, false), left(unknownStart)}, []step{heard(second, 1, false)}, Serving},
		"the next lifetime heard, then the end of the first": {[]step{heard(second, 1, false)}, []step{func(o *LocalServer) {
			r := replica(first, 4, Gone)
			r.FirstGeneration = o.Record().FirstGeneration // each process of a node counts from 1
			o.Restore(start, r)
		}}, Serving},
		"leave without a start, then another server": {[]step{left(unknownStart), stored(first, 3, Serving)}, []step{heard(other, 1, false)}, Serving},
	} {
		t.Run(name, func(t *testing.T) {
			o := LocalServer{Host: "h"}
			for _, s := range row.known {
				s(&o)
			}
			before := o.Record()
			for _, s := range row.arrives {
				s(&o)
			}
			qt.Check(t, o.Record().Phase, qt.Equals, row.want, qt.Commentf("%+v", o.Record()))
			qt.Check(t, o.Record().Generation >= before.Generation, qt.IsTrue)
		})
	}
}

// Guards against a late heartbeat of a server that has left without ever having been heard, which replaced the server in its place.
func TestLateHeartbeatOfAServerThatLeftUnheardIsIgnored(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	heard(first, 1, false)(&o)
	left(Lifetime{Instance: other.Instance})(&o)
	heard(other, 1, false)(&o)
	c.Assert(o.Record().Lifetime(), qt.Equals, first)
}

// Guards against a server that restarts under its ID beside a restarted node and isn't used, since an earlier lifetime left without a start time.
func TestServerThatRestartsAfterAnUnknownLifetimeLeftServesOnceItsHeartbeatsContinue(t *testing.T) {
	c := qt.New(t)
	o := LocalServer{Host: "h"}
	o.Leave(unknownStart)
	c.Assert(o.Heartbeat(start, lifetimeBeat("a", 200, 1, false)), qt.IsFalse)
	c.Assert(o.Heartbeat(start.Add(candidateConfirmTime), lifetimeBeat("a", 200, 2, false)), qt.IsTrue)
	c.Assert(o.Record().Phase, qt.Equals, Serving)
	c.Assert(o.Heartbeat(start.Add(candidateConfirmTime), lifetimeBeat("a", 300, 1, false)), qt.IsTrue, qt.Commentf("the next lifetime serves at once"))
	c.Assert(o.Record().StartedMS, qt.Equals, int64(300))
}

// Guards against a server that has left and is used for good, since everything that knew of its leaving was lost.
func TestServerIsNotUsedByAReplicaAloneOnceItsHeartbeatIsOverdue(t *testing.T) {
	c := qt.New(t)
	due := start.Add(2 * time.Second)
	for name, lateRead := range map[string]bool{"read at the start": false, "read late": true} {
		o := LocalServer{Host: "h", HeartbeatDue: due}
		c.Assert(o.WithdrawOverdue(due), qt.IsFalse, qt.Commentf("no server is known"))
		if lateRead {
			o.Restore(due, replica(first, 3, Serving))
		} else {
			o.Restore(start, replica(first, 3, Serving))
			c.Assert(o.WithdrawOverdue(due.Add(-1)), qt.IsFalse)
			c.Assert(o.Record().Phase, qt.Equals, Serving)
			c.Assert(o.WithdrawOverdue(due), qt.IsTrue)
		}
		c.Assert(o.Record(), qt.Equals, Record{Host: "h", Zone: "z", Generation: 4}, qt.Commentf("%s", name))
		c.Assert(o.WithdrawOverdue(due), qt.IsFalse)

		var d Directory
		d.Merge(replica(first, 3, Serving))
		d.Merge(o.Record(), replica(first, 3, Serving))
		c.Assert(d.All()[0], qt.Equals, o.Record(), qt.Commentf("other nodes learn it"))

		heard(first, 9, false)(&o)
		c.Assert(o.Record().Lifetime(), qt.Equals, first, qt.Commentf("a late heartbeat of a server that lives"))
		c.Assert(o.Record().Phase, qt.Equals, Serving)
		c.Assert(o.Record().FirstGeneration, qt.Equals, int64(3), qt.Commentf("the lifetime goes on"))
		c.Assert(o.WithdrawOverdue(due.Add(time.Hour)), qt.IsFalse)
		d.Merge(o.Record())
		c.Assert(d.All()[0], qt.Equals, o.Record())
	}
}

// Guards against what a withdrawn server is told later being lost.
func TestWithdrawnServerMayStillLeave(t *testing.T) {
	for name, row := range map[string]struct {
		arrives func(o *LocalServer)
		want    Phase
	}{
		"leave":                  {left(first), Gone},
		"leave without a start":  {left(unknownStart), Gone},
		"draining":               {heard(first, 1, true), Draining},
		"gone by a replica":      {stored(first, 9, Gone), Gone},
		"serving by a replica":   {stored(first, 9, Serving), Absent},
		"late, of an older life": {heard(Lifetime{"a", 50}, 1, false), Absent},
		"the next server":        {heard(other, 1, false), Serving},
	} {
		o := LocalServer{Host: "h", HeartbeatDue: start}
		o.Restore(start, replica(first, 3, Serving))
		before := o.Record()
		row.arrives(&o)
		qt.Check(t, o.Record().Phase, qt.Equals, row.want, qt.Commentf("%s", name))
		if row.want != Absent {
			qt.Check(t, o.Record().Generation > before.Generation, qt.IsTrue, qt.Commentf("%s", name))
		}
	}
}

// Guards against nodes that disagree on a leaving, told to a node that had just started and counted from the same generation again.
func TestLeavingSupersedesAServingRecordOfTheSameGeneration(t *testing.T) {
	c := qt.New(t)
	serving, gone := replica(first, 1, Serving), Record{Host: "h", Generation: 1, FirstGeneration: 1, Instance: "a", Phase: Gone}
	for _, received := range [][]Record{{serving, gone}, {gone, serving}} {
		var d Directory
		d.Merge(received[0])
		d.Merge(received[1])
		c.Check(d.All()[0], qt.Equals, gone)
		o := LocalServer{Host: "h"}
		o.Restore(start, received[0])
		o.Restore(start, received[1])
		c.Check(o.Record(), qt.Equals, gone)
	}
}
