package onceonly

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

var startTime = time.Unix(1_000_000, 0)

const service = "hire-ledger"

func TestRetryJoinsThenReplays(t *testing.T) {
	c := qt.New(t)
	var m KeyMemory
	k := HashKey(service, "k")
	c.Assert(m.Begin(startTime, k, 1, false).Action, qt.Equals, Run)
	c.Assert(m.Begin(startTime, k, 1, false).Action, qt.Equals, Join)
	var joined Record
	c.Assert(m.Wait(k, func(r Record) { joined = r }), qt.IsTrue)
	m.Finish(startTime, k, wire.Ran, &RecordedAnswer{Status: 200, Body: []byte("done")}, time.Time{})
	c.Assert(string(joined.Answer.Body), qt.Equals, "done")
	d := m.Begin(startTime, k, 1, false)
	c.Assert(d.Action, qt.Equals, Replay)
	c.Assert(string(d.Answer.Body), qt.Equals, "done")
	c.Assert(m.Begin(startTime, k, 2, false).Reason, qt.Equals, wire.ReasonKeyMismatch)
}

func TestRefusedKeyStaysClosedUntilAttemptsAreOver(t *testing.T) {
	c := qt.New(t)
	var m KeyMemory
	k := HashKey(service, "k")
	m.Begin(startTime, k, 1, false)
	m.Finish(startTime, k, wire.NotRun, nil, startTime.Add(time.Second))
	d := m.Begin(startTime.Add(999*time.Millisecond), k, 1, false)
	c.Assert(d.Outcome, qt.Equals, wire.NotRun)
	c.Assert(d.RetryAfter, qt.Equals, time.Millisecond)
	c.Assert(m.Begin(startTime.Add(time.Second), k, 1, false).Action, qt.Equals, Run)
}

func TestSettledRefusalClosesTheKey(t *testing.T) {
	c := qt.New(t)
	var m KeyMemory
	k := HashKey(service, "k")
	c.Assert(m.Settle(startTime, k, false, startTime.Add(time.Second)).Outcome, qt.Equals, wire.NotRun)
	c.Assert(m.Begin(startTime, k, 1, false).Outcome, qt.Equals, wire.NotRun)
	ran := HashKey(service, "ran")
	m.Begin(startTime, ran, 1, false)
	c.Assert(m.Settle(startTime, ran, false, startTime).Outcome, qt.Equals, wire.Unknown)
	m.Finish(startTime, ran, wire.Ran, nil, time.Time{})
	c.Assert(m.Settle(startTime, ran, false, startTime).Outcome, qt.Equals, wire.Ran)
}

func TestMemoryRefusesNewKeysRatherThanForget(t *testing.T) {
	c := qt.New(t)
	m := KeyMemory{MaxKeys: 2, Window: time.Minute}
	for i := range 2 {
		k := HashKey(service, fmt.Sprint(i))
		c.Assert(m.Begin(startTime, k, 1, false).Action, qt.Equals, Run)
		m.Finish(startTime, k, wire.Ran, nil, time.Time{})
	}
	d := m.Begin(startTime, HashKey(service, "new"), 1, false)
	c.Assert(d.Outcome, qt.Equals, wire.NotRun)
	c.Assert(d.Reason, qt.Equals, wire.ReasonKeyMemoryFull)
	c.Assert(m.Begin(startTime, HashKey(service, "0"), 1, false).Action, qt.Equals, Replay)
	later := startTime.Add(2 * time.Minute)
	c.Assert(m.Begin(later, HashKey(service, "new"), 1, false).Action, qt.Equals, Run,
		qt.Commentf("expired keys are dropped for new ones"))
}

func TestExpiredKeyIsKnownAfterItsWindow(t *testing.T) {
	c := qt.New(t)
	m := KeyMemory{Window: time.Minute}
	k := HashKey(service, "k")
	m.Begin(startTime, k, 1, false)
	m.Finish(startTime, k, wire.Ran, &RecordedAnswer{Status: 200, Body: []byte("x")}, time.Time{})
	d := m.Begin(startTime.Add(time.Hour), k, 1, false)
	c.Assert(d.Action, qt.Equals, Replay)
	c.Assert(d.Answer.Complete, qt.IsFalse)
	c.Assert(m.Counts().AnswerBytes, qt.Equals, 0)
}

func TestQuietWindowAnswersUnknownExceptForTokens(t *testing.T) {
	c := qt.New(t)
	var m KeyMemory
	k := HashKey(service, "k")
	m.SetQuiet(k.Range(), startTime.Add(time.Minute))
	c.Assert(m.Begin(startTime, k, 1, false).Outcome, qt.Equals, wire.Unknown)
	c.Assert(m.Settle(startTime, k, false, startTime).Outcome, qt.Equals, wire.Unknown)
	c.Assert(m.Begin(startTime, k, 1, true).Action, qt.Equals, Run)
}

// TestHandoverLeavesTokensBehind guards against a handover of key ranges that takes the records of tokens along, so that their retries
// run again at the home that the token names.
func TestHandoverLeavesTokensBehind(t *testing.T) {
	c := qt.New(t)
	var m KeyMemory
	token := HashKey(service, "rst1.token")
	m.Begin(startTime, token, 1, true)
	m.Finish(startTime, token, wire.Ran, nil, time.Time{})
	all := make([]int, NumRanges)
	for r := range all {
		all[r] = r
	}
	c.Assert(m.Export(startTime, Handover{Ranges: all}).Records, qt.HasLen, 0)
	m.Drop(all)
	c.Assert(m.Begin(startTime, token, 1, true).Action, qt.Equals, Replay)
}

func TestTokens(t *testing.T) {
	c := qt.New(t)
	secret := []byte("0123456789abcdef")
	tok := Token{Service: service, VM: "v", Incarnation: "i", IssuedMS: startTime.UnixMilli(), Nonce: "n"}
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
	c.Assert(tok.Fresh(startTime.Add(DefaultTokenLifetime), DefaultTokenLifetime), qt.IsFalse)
	c.Assert(tok.Fresh(startTime.Add(time.Second), DefaultTokenLifetime), qt.IsTrue)
}

// simulation is a table row and some homes, for random sequences of handovers, stale rows and restarts.
type simulation struct {
	row          OwnerRow
	homes        []*Home
	incarnations int
	ran          map[KeyHash]int
	now          time.Time
	paused       map[int]bool
}

// start starts home i with an empty key memory and a new incarnation.
func (s *simulation) start(i int) {
	s.incarnations++
	s.homes[i] = &Home{Service: service, VM: fmt.Sprint("vm", i), Incarnation: fmt.Sprint("life", s.incarnations)}
	s.homes[i].Memory.Window = time.Minute
	s.homes[i].Adopt(s.now, s.row)
}

// node returns home i as a candidate owner.
func (s *simulation) node(i int) Node { return Node{s.homes[i].VM, s.homes[i].Incarnation} }

// attempt sends a key to home i, as a daemon with a stale row may do.
func (s *simulation) attempt(i int, k KeyHash) {
	h := s.homes[i]
	if !h.Owns(k.Range()) {
		return
	}
	if h.Memory.Begin(s.now, k, 1, false).Action == Run {
		s.ran[k]++
		h.Memory.Finish(s.now, k, wire.Ran, nil, time.Time{})
	}
}

// handOver moves a range with its keys; it changes the row only if the owner knows its newest version.
func (s *simulation) handOver(from, to, r int) {
	h, receiver := s.homes[from], s.homes[to]
	if from == to || !h.Owns(r) || h.Row().Version != s.row.Version {
		return
	}
	h.CloseRanges([]int{r})
	msg := h.Memory.Export(s.now, Handover{Service: service, Ranges: []int{r}})
	if receiver.Memory.Import(s.now, msg) != nil {
		return
	}
	row, ok := s.row.HandOver([]int{r}, Owner{VM: h.VM, Incarnation: h.Incarnation}, Owner{VM: receiver.VM, Incarnation: receiver.Incarnation})
	if ok {
		s.row = row
	}
}

// TestKeyRunsOnceInItsWindow makes random attempts, handovers, restarts and late updates of the row, and checks that no key runs twice
// within its window.
func TestKeyRunsOnceInItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		s := &simulation{homes: make([]*Home, n), ran: map[KeyHash]int{}, now: startTime, paused: map[int]bool{}}
		for i := range n {
			s.start(i)
		}
		s.row = NewOwnerRow(service, []Node{s.node(0), s.node(1), s.node(2)})
		keys := make([]KeyHash, 4)
		for i := range keys {
			keys[i] = HashKey(service, fmt.Sprint(i))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "home")
			k := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				s.attempt(i, k)
			case 2:
				s.homes[i].Adopt(s.now, s.row) // until then the home acts on an older row
			case 3:
				s.handOver(i, rapid.IntRange(0, n-1).Draw(t, "to"), k.Range())
			case 4:
				s.start(i) // a crash: the key memory is lost
				if row, moved := s.row.Reclaim(s.node(i)); moved {
					s.row = row
				}
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		}
		for k, times := range s.ran {
			if times > 1 {
				t.Fatalf("key %x ran %d times", k[:2], times)
			}
		}
	})
}

func BenchmarkMemoryBeginAndFinish(b *testing.B) {
	var m KeyMemory
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		var k KeyHash
		k[0], k[1], k[2], k[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		i++
		m.Begin(startTime, k, 1, false)
		m.Finish(startTime, k, wire.Ran, nil, time.Time{})
	}
}

// TestClosedRangeAcceptsNoAttempts covers the time between a handover's export and the previous owner's adoption of the new row.
func TestClosedRangeAcceptsNoAttempts(t *testing.T) {
	c := qt.New(t)
	s := &simulation{homes: make([]*Home, 2), ran: map[KeyHash]int{}, now: startTime}
	s.start(0)
	s.start(1)
	s.row = NewOwnerRow(service, []Node{s.node(0)})
	s.homes[0].Adopt(startTime, s.row)
	k := HashKey(service, "k")
	s.handOver(0, 1, k.Range())
	s.attempt(0, k)
	s.homes[1].Adopt(startTime, s.row)
	s.attempt(1, k)
	c.Assert(s.ran[k], qt.Equals, 1)
	c.Assert(s.homes[1].Memory.Knows(k), qt.IsTrue, qt.Commentf("it ran at the next owner"))
}
