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
	a := Owner{VM: "a", Incarnation: "1"}
	from, to := handedOverRun(c, k, a)
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

// TestImportedAnswersCountAsRecordedBytes guards against answers beyond the bound after handovers, and against a count below zero.
func TestImportedAnswersCountAsRecordedBytes(t *testing.T) {
	c := qt.New(t)
	const size, kept = 100, 3
	from := KeyMemory{Window: time.Minute}
	to := KeyMemory{Window: time.Minute, AnswerBytes: kept * size}
	all := make([]int, NumRanges)
	for r := range all {
		all[r] = r
	}
	for i := range 2 * kept {
		k := HashKey(service, string(rune('a'+i)))
		from.Begin(startTime, k, 1, false)
		from.Finish(startTime, k, wire.Ran, &RecordedAnswer{Status: 200, Body: make([]byte, size)}, time.Time{})
	}
	msg := from.Export(startTime, Handover{Ranges: all})
	for range 2 { // as after a lost reply
		c.Assert(to.Import(startTime, msg), qt.IsNil)
		c.Check(to.Counts().AnswerBytes, qt.Equals, kept*size)
	}
	complete := 0
	for r := range NumRanges {
		for _, rec := range to.recent.inRange(r) {
			if rec.Answer.Complete {
				complete++
			}
			c.Check(rec.Answer.Status, qt.Equals, 200)
		}
	}
	c.Check(complete, qt.Equals, kept)
	from.Drop(all)
	c.Check(from.Counts().AnswerBytes, qt.Equals, 0)
	to.expireRecords(startTime.Add(time.Hour))
	c.Check(to.Counts().AnswerBytes, qt.Equals, 0)
	c.Check(to.Counts().Recent, qt.Equals, 0)
}
