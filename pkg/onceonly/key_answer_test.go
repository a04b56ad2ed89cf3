package onceonly

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// TestLateAnswerTooLargeToRecordIsNotReplayed guards against a replay of an empty answer in place of one that wasn't recorded.
func TestLateAnswerTooLargeToRecordIsNotReplayed(t *testing.T) {
	c := qt.New(t)
	k := HashKey(service, "k")
	a, b := Owner{VM: "a", Incarnation: "1"}, Owner{VM: "b", Incarnation: "1"}
	var from, to KeyMemory
	from.Begin(startTime, k, 1, false)
	c.Assert(to.Import(startTime, from.Export(startTime, Handover{From: a, To: b, Ranges: []int{k.Range()}, Live: true})), qt.IsNil)
	var joined Record
	c.Assert(to.Wait(k, func(rec Record) { joined = rec }), qt.IsTrue)
	c.Assert(from.Finish(startTime, k, wire.Ran, &RecordedAnswer{Status: 200, Body: make([]byte, MaxRecordedAnswer+1)}, time.Time{}), qt.IsTrue)
	late, ok := from.ExportLate(startTime, k, Handover{From: a})
	c.Assert(ok, qt.IsTrue)
	c.Assert(to.ImportLate(startTime, late), qt.IsNil)
	c.Check(joined.State, qt.Equals, Finished)
	c.Check(joined.Answer.Complete, qt.IsFalse)
	d := to.Begin(startTime, k, 1, false)
	c.Check(d.Action, qt.Equals, Replay)
	c.Check(d.Answer.Complete, qt.IsFalse)
	c.Check(d.Answer.Status, qt.Equals, 200)
}
