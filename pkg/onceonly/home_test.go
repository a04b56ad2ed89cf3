package onceonly

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

var begin = time.Unix(1_000_000, 0)

const service = "hire-ledger"

func TestRepeatJoinsThenReplays(t *testing.T) {
	c := qt.New(t)
	var m Memory
	k := HashKey(service, "k")
	c.Assert(m.Begin(begin, k, 1, false).Action, qt.Equals, Run)
	c.Assert(m.Begin(begin, k, 1, false).Action, qt.Equals, Join)
	var joined Record
	c.Assert(m.Wait(k, func(r Record) { joined = r }), qt.IsTrue)
	m.Finish(begin, k, wire.Ran, &Recorded{Status: 200, Body: []byte("done")}, time.Time{})
	c.Assert(string(joined.Answer.Body), qt.Equals, "done")
	d := m.Begin(begin, k, 1, false)
	c.Assert(d.Action, qt.Equals, Replay)
	c.Assert(string(d.Answer.Body), qt.Equals, "done")
	c.Assert(m.Begin(begin, k, 2, false).Reason, qt.Equals, wire.ReasonKeyMismatch)
}

func TestRefusedKeyStaysClosedUntilAttemptsAreOver(t *testing.T) {
	c := qt.New(t)
	var m Memory
	k := HashKey(service, "k")
	m.Begin(begin, k, 1, false)
	m.Finish(begin, k, wire.NotRun, nil, begin.Add(time.Second))
	d := m.Begin(begin.Add(999*time.Millisecond), k, 1, false)
	c.Assert(d.Outcome, qt.Equals, wire.NotRun)
	c.Assert(d.After, qt.Equals, time.Millisecond)
	c.Assert(m.Begin(begin.Add(time.Second), k, 1, false).Action, qt.Equals, Run)
}

func TestSettledRefusalClosesTheKey(t *testing.T) {
	c := qt.New(t)
	var m Memory
	k := HashKey(service, "k")
	c.Assert(m.Settle(begin, k, false, begin.Add(time.Second)).Outcome, qt.Equals, wire.NotRun)
	c.Assert(m.Begin(begin, k, 1, false).Outcome, qt.Equals, wire.NotRun)
	ran := HashKey(service, "ran")
	m.Begin(begin, ran, 1, false)
	c.Assert(m.Settle(begin, ran, false, begin).Outcome, qt.Equals, wire.Unknown)
	m.Finish(begin, ran, wire.Ran, nil, time.Time{})
	c.Assert(m.Settle(begin, ran, false, begin).Outcome, qt.Equals, wire.Ran)
}

func TestMemoryRefusesNewKeysRatherThanForget(t *testing.T) {
	c := qt.New(t)
	m := Memory{MaxKeys: 2, Window: time.Minute}
	for i := range 2 {
		k := HashKey(service, fmt.Sprint(i))
		c.Assert(m.Begin(begin, k, 1, false).Action, qt.Equals, Run)
		m.Finish(begin, k, wire.Ran, nil, time.Time{})
	}
	d := m.Begin(begin, HashKey(service, "new"), 1, false)
	c.Assert(d.Outcome, qt.Equals, wire.NotRun)
	c.Assert(d.Reason, qt.Equals, wire.ReasonKeyMemoryFull)
	c.Assert(m.Begin(begin, HashKey(service, "0"), 1, false).Action, qt.Equals, Replay)
	later := begin.Add(2 * time.Minute)
	c.Assert(m.Begin(later, HashKey(service, "new"), 1, false).Action, qt.Equals, Run,
		qt.Commentf("keys past their window make room"))
}

func TestOldKeyIsKnownAfterItsWindow(t *testing.T) {
	c := qt.New(t)
	m := Memory{Window: time.Minute}
	k := HashKey(service, "k")
	m.Begin(begin, k, 1, false)
	m.Finish(begin, k, wire.Ran, &Recorded{Status: 200, Body: []byte("x")}, time.Time{})
	d := m.Begin(begin.Add(time.Hour), k, 1, false)
	c.Assert(d.Action, qt.Equals, Replay)
	c.Assert(d.Answer.Kept, qt.IsFalse)
	c.Assert(m.Counts().AnswerBytes, qt.Equals, 0)
}

func TestQuietRangeDoubtsAllButTokens(t *testing.T) {
	c := qt.New(t)
	var m Memory
	k := HashKey(service, "k")
	m.SetQuiet(k.Range(), begin.Add(time.Minute))
	c.Assert(m.Begin(begin, k, 1, false).Outcome, qt.Equals, wire.Unknown)
	c.Assert(m.Settle(begin, k, false, begin).Outcome, qt.Equals, wire.Unknown)
	c.Assert(m.Begin(begin, k, 1, true).Action, qt.Equals, Run)
}

// TestHandoverLeavesTokensBehind is the case in which a hand-over of key ranges once took the memory of
// tokens along, so that their repeats ran again.
func TestHandoverLeavesTokensBehind(t *testing.T) {
	c := qt.New(t)
	var m Memory
	token := HashKey(service, "rst1.token")
	m.Begin(begin, token, 1, true)
	m.Finish(begin, token, wire.Ran, nil, time.Time{})
	all := make([]int, NumRanges)
	for r := range all {
		all[r] = r
	}
	c.Assert(m.Export(begin, Handover{Ranges: all}).Records, qt.HasLen, 0)
	m.Drop(all)
	c.Assert(m.Begin(begin, token, 1, true).Action, qt.Equals, Replay)
}

func TestTokens(t *testing.T) {
	c := qt.New(t)
	secret := []byte("0123456789abcdef")
	tok := Token{Service: service, VM: "v", Incarnation: "i", IssuedMS: begin.UnixMilli(), Nonce: "n"}
	s := tok.Issue(secret)
	got, err := ParseToken(secret, s)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, tok)
	for _, bad := range []string{s + "x", s[:len(s)-2], "rst1.", "rst1.e30.AAAA", "other"} {
		_, err := ParseToken(secret, bad)
		c.Assert(err, qt.ErrorAs, new(*TokenError), qt.Commentf("%q", bad))
	}
	_, err = ParseToken([]byte("another secret!!"), s)
	c.Assert(err, qt.ErrorAs, new(*TokenError))
	c.Assert(tok.Fresh(begin.Add(DefaultTokenLife), DefaultTokenLife), qt.IsFalse)
	c.Assert(tok.Fresh(begin.Add(time.Second), DefaultTokenLife), qt.IsTrue)
}

// world is a table row and some homes, for random sequences of moves, pauses and restarts.
type world struct {
	row    Row
	homes  []*Home
	lives  int
	ran    map[Hash]int
	now    time.Time
	paused map[int]bool
}

func (w *world) start(i int) {
	w.lives++
	w.homes[i] = &Home{Service: service, VM: fmt.Sprint("vm", i), Incarnation: fmt.Sprint("life", w.lives)}
	w.homes[i].Memory.Window = time.Minute
	w.homes[i].Adopt(w.now, w.row)
}

func (w *world) node(i int) Node { return Node{w.homes[i].VM, w.homes[i].Incarnation} }

// attempt sends a key to a home, as a caller's daemon with any old row may do.
func (w *world) attempt(i int, k Hash) {
	h := w.homes[i]
	if !h.Owns(k.Range()) {
		return
	}
	if h.Memory.Begin(w.now, k, 1, false).Action == Run {
		w.ran[k]++
		h.Memory.Finish(w.now, k, wire.Ran, nil, time.Time{})
	}
}

// handOver moves a range with its memory; the row is changed only if it is still the one that the owner saw.
func (w *world) handOver(from, to, r int) {
	h, next := w.homes[from], w.homes[to]
	if from == to || !h.Owns(r) || h.Row().Version != w.row.Version {
		return
	}
	h.Close([]int{r})
	msg := h.Memory.Export(w.now, Handover{Service: service, Ranges: []int{r}})
	if next.Memory.Import(w.now, msg) != nil {
		return
	}
	row, ok := w.row.HandOver([]int{r}, Owner{VM: h.VM, Incarnation: h.Incarnation}, Owner{VM: next.VM, Incarnation: next.Incarnation})
	if ok {
		w.row = row
	}
}

// TestOneHomeForAKey plays random attempts, hand-overs, restarts, and daemons that hear of the row late,
// and checks that no key runs twice within its window.
func TestOneHomeForAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		w := &world{homes: make([]*Home, n), ran: map[Hash]int{}, now: begin, paused: map[int]bool{}}
		for i := range n {
			w.start(i)
		}
		w.row = NewRow(service, []Node{w.node(0), w.node(1), w.node(2)})
		keys := make([]Hash, 4)
		for i := range keys {
			keys[i] = HashKey(service, fmt.Sprint(i))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "home")
			k := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				w.attempt(i, k)
			case 2:
				w.homes[i].Adopt(w.now, w.row) // hears of the newest row; until then it may act on an old one
			case 3:
				w.handOver(i, rapid.IntRange(0, n-1).Draw(t, "to"), k.Range())
			case 4:
				w.start(i) // a kill: the memory is lost
				if row, moved := w.row.Reclaim(w.node(i)); moved {
					w.row = row
				}
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		}
		for k, times := range w.ran {
			if times > 1 {
				t.Fatalf("key %x ran %d times", k[:2], times)
			}
		}
	})
}

func BenchmarkMemoryBeginAndFinish(b *testing.B) {
	var m Memory
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		var k Hash
		k[0], k[1], k[2], k[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		i++
		m.Begin(begin, k, 1, false)
		m.Finish(begin, k, wire.Ran, nil, time.Time{})
	}
}

// TestClosedRangeTakesNoAttempts is the time between a hand-over's export and the owner's hearing of the new row.
func TestClosedRangeTakesNoAttempts(t *testing.T) {
	c := qt.New(t)
	w := &world{homes: make([]*Home, 2), ran: map[Hash]int{}, now: begin}
	w.start(0)
	w.start(1)
	w.row = NewRow(service, []Node{w.node(0)})
	w.homes[0].Adopt(begin, w.row)
	k := HashKey(service, "k")
	w.handOver(0, 1, k.Range())
	w.attempt(0, k)
	w.homes[1].Adopt(begin, w.row)
	w.attempt(1, k)
	c.Assert(w.ran[k], qt.Equals, 1)
	c.Assert(w.homes[1].Memory.Knows(k), qt.IsTrue, qt.Commentf("it ran at the next owner"))
}
