package onceonly

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// announcedHandover is a handover in progress between two homes of a simulation, whose messages may be lost, late or repeated.
type announcedHandover struct {
	from, to  *Home
	msg       Handover
	committed bool
	sent      []Handover
}

// handoverSimulation is a simulation with handovers whose memory follows the row.
type handoverSimulation struct {
	simulation
	handovers []*announcedHandover
	running   map[KeyHash]*Home
	late      []lateRecord
}

// lateRecord is the record of a run that ended after its range had been sent on.
type lateRecord struct {
	at  *Home
	key KeyHash
}

// newHandoverSimulation returns a simulation of n homes.
func newHandoverSimulation(n int) *handoverSimulation {
	s := &handoverSimulation{running: map[KeyHash]*Home{}}
	s.simulation = simulation{homes: make([]*Home, n), ran: map[KeyHash]int{}, now: startTime}
	for i := range n {
		s.start(i)
	}
	return s
}

// me returns a home as an owner.
func (h *Home) me() Owner { return Owner{VM: h.VM, Incarnation: h.Incarnation} }

// announce starts a handover of the key's range.
func (s *handoverSimulation) announce(from, to *Home, r int) {
	msg := Handover{Service: service, ID: fmt.Sprint(len(s.handovers)), From: from.me(), To: to.me(), Ranges: []int{r}, Live: true}
	if from == to || !from.BeginHandover(msg.Ranges, msg.To) {
		return
	}
	if to.Announce(to.NotAnnounced(msg.Ranges, msg.From, msg.ID), msg.From, msg.ID) != nil {
		from.EndHandover(msg.Ranges)
		return
	}
	s.handovers = append(s.handovers, &announcedHandover{from: from, to: to, msg: msg})
}

// commit changes the row if the owner knows its newest version; the owner hears of it later.
func (s *handoverSimulation) commit(h *announcedHandover) {
	row := h.from.Row()
	changed, ok := row.HandOver(h.msg.Ranges, h.msg.From, h.msg.To)
	if h.committed || row.Version != s.row.Version || !ok {
		return
	}
	s.row = changed
	h.committed = true
}

// send exports the memory of a range whose row has changed.
func (s *handoverSimulation) send(h *announcedHandover) {
	if len(h.from.Unsent(h.msg.Ranges, h.msg.To)) == 0 {
		return
	}
	h.from.CloseRanges(h.msg.Ranges)
	msg := h.msg
	row := h.from.Row()
	msg.Row = &row
	h.sent = append(h.sent, h.from.Memory.Export(s.now, msg))
}

// deliver delivers a message that was sent, once more perhaps, and maybe its reply.
func (s *handoverSimulation) deliver(h *announcedHandover, i int, replied bool) {
	if len(h.sent) == 0 {
		return
	}
	msg := h.sent[i%len(h.sent)]
	h.to.Adopt(s.now, *msg.Row)
	if h.to.Receive(s.now, msg) == nil && replied && len(h.from.Unsent(msg.Ranges, msg.To)) > 0 {
		h.from.Release(msg.Ranges)
	}
}

// begin sends a key to a home; a run that starts goes on.
func (s *handoverSimulation) begin(h *Home, k KeyHash) {
	if !h.Owns(k.Range()) || h.Memory.Begin(s.now, k, 1, false).Action != Run {
		return
	}
	s.ran[k]++
	s.running[k] = h
}

// finish ends the key's run, and notes its record if that must follow the range.
func (s *handoverSimulation) finish(k KeyHash) {
	h := s.running[k]
	if h == nil {
		return
	}
	delete(s.running, k)
	if h.Memory.Finish(s.now, k, wire.Ran, nil, time.Time{}) {
		s.late = append(s.late, lateRecord{h, k})
	}
}

// sendLate sends the noted records on to the homes of their ranges, as far as these take them.
func (s *handoverSimulation) sendLate() {
	s.late = slices.DeleteFunc(s.late, s.trySendLate)
}

// trySendLate sends one record, and reports whether it needn't be sent again.
func (s *handoverSimulation) trySendLate(l lateRecord) bool {
	r := l.key.Range()
	if l.at.Owns(r) {
		l.at.Memory.KeepLate(l.key)
		return true
	}
	i := slices.IndexFunc(s.homes, func(h *Home) bool { return h != l.at && h.AcceptsLate(r) })
	msg, ok := l.at.Memory.ExportLate(s.now, l.key, Handover{From: l.at.me()})
	if l.at.Holds(r) || i < 0 || !ok {
		return s.lost(l.at.me())
	}
	_ = s.homes[i].Memory.ImportLate(s.now, msg) // the keys are well formed
	l.at.Memory.Forget(l.key)
	return true
}

// settle delivers all that is under way: the row, the memory of ranges, and late records.
func (s *handoverSimulation) settle() {
	s.reclaim()
	for _, h := range s.homes {
		h.Adopt(s.now, s.row)
	}
	for _, h := range s.handovers {
		if h.committed {
			s.send(h)
			s.deliver(h, len(h.sent)-1, true)
		}
	}
	for _, h := range s.homes {
		h.OpenLost(s.now, s.lost)
		h.Memory.LoseRuns(s.now, s.lost)
	}
	s.sendLate()
}

// TestKeyRunsOnceWhileItsRangeIsHandedOver guards against two homes that accept attempts for a range at once, and against keys
// that their next home doesn't know or whose end it never learns.
func TestKeyRunsOnceWhileItsRangeIsHandedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		s := newHandoverSimulation(n)
		s.row = NewOwnerRow(service, []Node{s.node(0), s.node(1), s.node(2)})
		keys := make([]KeyHash, 4)
		for i := range keys {
			keys[i] = HashKey(service, fmt.Sprint(i))
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h := s.homes[rapid.IntRange(0, n-1).Draw(t, "home")]
			k := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
			var hand *announcedHandover
			if len(s.handovers) > 0 {
				hand = s.handovers[len(s.handovers)-1-rapid.IntRange(0, min(3, len(s.handovers)-1)).Draw(t, "handover")]
			}
			s.step(t, rapid.IntRange(0, 10).Draw(t, "what"), h, k, hand)
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			for r := range NumRanges {
				owners := 0
				for _, h := range s.homes {
					if h.Owns(r) && h.Row().Version == s.row.Version {
						owners++
					}
				}
				if owners > 1 {
					t.Fatalf("%d homes accept attempts for range %d", owners, r)
				}
			}
		}
		for k, times := range s.ran {
			if times > 1 {
				t.Fatalf("key %x ran %d times", k[:2], times)
			}
		}
		for range len(s.handovers) + 1 {
			s.settle()
		}
		for _, k := range keys {
			if s.running[k] == nil && s.homeOf(k).Memory.Begin(s.now, k, 1, false).Action == Join {
				t.Fatalf("the home of key %x waits for a run that has ended", k[:2])
			}
		}
	})
}

// homeOf returns the home of the key's range by the row.
func (s *handoverSimulation) homeOf(k KeyHash) *Home {
	i := slices.IndexFunc(s.homes, func(h *Home) bool { return h.me().Is(s.row.Owners[k.Range()].VM, s.row.Owners[k.Range()].Incarnation) })
	return s.homes[i]
}

// step makes one random step.
func (s *handoverSimulation) step(t *rapid.T, what int, h *Home, k KeyHash, hand *announcedHandover) {
	switch {
	case what <= 1:
		s.begin(h, k)
	case what == 2:
		s.finish(k)
	case what == 3:
		h.Adopt(s.now, s.row)
	case what == 4:
		s.announce(h, s.homes[rapid.IntRange(0, len(s.homes)-1).Draw(t, "to")], k.Range())
	case what == 9:
		s.restart(h)
	case what == 10:
		s.sendLate()
	case hand == nil:
	case what == 5:
		s.commit(hand)
	case what == 6:
		s.send(hand)
	case what == 7:
		s.deliver(hand, rapid.IntRange(0, 9).Draw(t, "message"), rapid.Bool().Draw(t, "replied"))
	case what == 8 && hand.committed && !hand.from.Owns(k.Range()):
		hand.to.OpenLost(s.now, func(o Owner) bool { return s.lost(o) })
	}
}

// restart starts a home anew without its memory, and gives its ranges back to it; its runs are lost.
func (s *handoverSimulation) restart(h *Home) {
	for i := range s.homes {
		if s.homes[i] != h {
			continue
		}
		s.start(i)
		if row, moved := s.row.Reclaim(s.node(i)); moved {
			s.row = row
			s.homes[i].Adopt(s.now, row)
		}
	}
	for k, at := range s.running {
		if at == h {
			delete(s.running, k)
		}
	}
}

// reclaim gives each home the ranges that the row gives to an earlier incarnation of it.
func (s *handoverSimulation) reclaim() {
	for i := range s.homes {
		if row, moved := s.row.Reclaim(s.node(i)); moved {
			s.row = row
		}
	}
}

// lost tells whether no home lives on in the owner's incarnation.
func (s *handoverSimulation) lost(o Owner) bool {
	for _, h := range s.homes {
		if h.me() == o {
			return false
		}
	}
	return true
}

// newPairSimulation returns a simulation of two homes, of which the first owns all ranges, and a key.
func newPairSimulation() (*handoverSimulation, KeyHash) {
	s := newHandoverSimulation(2)
	s.row = NewOwnerRow(service, []Node{s.node(0)})
	s.homes[0].Adopt(startTime, s.row)
	return s, HashKey(service, "k")
}

func TestRangeIsServedWhileItsOwnerChanges(t *testing.T) {
	c := qt.New(t)
	s, k := newPairSimulation()
	from, to := s.homes[0], s.homes[1]
	s.announce(from, to, k.Range())
	s.commit(s.handovers[0])
	from.Adopt(startTime, s.row)
	to.Adopt(startTime, s.row)
	c.Assert(from.Owns(k.Range()), qt.IsTrue)
	c.Assert(to.Owns(k.Range()), qt.IsFalse)
	previous, ok := to.Previous(k.Range())
	c.Assert(ok, qt.IsTrue)
	c.Assert(previous, qt.Equals, from.me())
	s.begin(from, k)
	s.send(s.handovers[0])
	s.deliver(s.handovers[0], 0, true)
	c.Assert(from.Owns(k.Range()), qt.IsFalse)
	c.Assert(to.Owns(k.Range()), qt.IsTrue)
	c.Assert(to.Memory.Begin(startTime, k, 1, false).Action, qt.Equals, Join)
	joined := false
	to.Memory.Wait(k, func(rec Record) { joined = rec.State == Finished })
	s.finish(k)
	s.sendLate()
	c.Assert(joined, qt.IsTrue)
	s.deliver(s.handovers[0], 0, true) // once more
	c.Assert(to.Memory.Begin(startTime, k, 1, false).Action, qt.Equals, Replay)
}

// TestRunThatEndsWhileItsRangeIsSentIsRecordedAtTheNextHome guards against a record that is dropped before it was sent.
func TestRunThatEndsWhileItsRangeIsSentIsRecordedAtTheNextHome(t *testing.T) {
	c := qt.New(t)
	s, k := newPairSimulation()
	from, to := s.homes[0], s.homes[1]
	s.begin(from, k)
	s.announce(from, to, k.Range())
	s.commit(s.handovers[0])
	from.Adopt(startTime, s.row)
	s.send(s.handovers[0])
	s.finish(k)
	s.sendLate() // too early
	s.deliver(s.handovers[0], 0, true)
	s.sendLate()
	c.Assert(to.Memory.Begin(startTime, k, 1, false).Action, qt.Equals, Replay)
	_, found := from.Memory.ExportLate(startTime, k, Handover{})
	c.Assert(found, qt.IsFalse)
}

// TestLateRecordIsTakenByAHomeThatWaitsForItsRun guards against a home that closes a range until its runs have ended, and refuses
// to hear of their end.
func TestLateRecordIsTakenByAHomeThatWaitsForItsRun(t *testing.T) {
	c := qt.New(t)
	s, k := newPairSimulation()
	from, to := s.homes[0], s.homes[1]
	s.begin(from, k)
	s.announce(from, to, k.Range())
	s.commit(s.handovers[0])
	s.settle()
	to.CloseRanges([]int{k.Range()})
	s.finish(k)
	s.sendLate()
	here, elsewhere := to.Memory.CountRunning([]int{k.Range()})
	c.Assert(here+elsewhere, qt.Equals, 0)
}

// handedOverRun returns the memory of an owner at which the key runs, and that of the next owner, which has its range.
func handedOverRun(c *qt.C, k KeyHash, owner Owner) (from, to *KeyMemory) {
	from, to = &KeyMemory{}, &KeyMemory{}
	from.Begin(startTime, k, 1, false)
	msg := Handover{From: owner, To: Owner{VM: "b", Incarnation: "1"}, Ranges: []int{k.Range()}, Live: true}
	c.Assert(to.Import(startTime, from.Export(startTime, msg)), qt.IsNil)
	return from, to
}

func TestRunOfALostOwnerIsUncertain(t *testing.T) {
	c := qt.New(t)
	k := HashKey(service, "k")
	a := Owner{VM: "a", Incarnation: "1"}
	_, to := handedOverRun(c, k, a)
	c.Assert(to.LoseRuns(startTime, func(Owner) bool { return false }), qt.Equals, 0)
	c.Assert(to.Begin(startTime, k, 1, false).Action, qt.Equals, Join)
	c.Assert(to.LoseRuns(startTime, func(o Owner) bool { return o == a }), qt.Equals, 1)
	c.Assert(to.Begin(startTime, k, 1, false).Outcome, qt.Equals, wire.Unknown)
}

// TestLateMessageOfAnEarlierHandoverOpensNoRange guards against a home that opens a range by the memory of an earlier
// handover, while the previous owner still serves it.
func TestLateMessageOfAnEarlierHandoverOpensNoRange(t *testing.T) {
	c := qt.New(t)
	s, _ := newPairSimulation()
	a, b := s.homes[0], s.homes[1]
	const r = 0
	move := func(from, to *Home) *announcedHandover {
		s.announce(from, to, r)
		h := s.handovers[len(s.handovers)-1]
		s.commit(h)
		from.Adopt(startTime, s.row)
		to.Adopt(startTime, s.row)
		return h
	}
	first := move(a, b)
	s.send(first)
	s.deliver(first, 0, true)
	back := move(b, a)
	s.send(back)
	s.deliver(back, 0, true)
	move(a, b)
	s.deliver(first, 0, false)
	c.Assert(a.Owns(r), qt.IsTrue)
	c.Assert(b.Owns(r), qt.IsFalse)
}
