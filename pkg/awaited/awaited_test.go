package awaited

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestARequestThatThePeerLacksTwiceIsLost(t *testing.T) {
	c := qt.New(t)
	var table Table
	gone := 0
	r := &Request{ID: "a", Sent: start, QueryAfter: time.Second, Abort: func() { gone++ }}
	table.Add(r)
	c.Assert(table.StartQuery(after(time.Second-1)), qt.HasLen, 0)
	asked := table.StartQuery(after(time.Second))
	c.Assert(asked, qt.HasLen, 1)
	c.Assert(table.StartQuery(after(2*time.Second)), qt.HasLen, 0) // a query is in flight
	c.Assert(table.FinishQuery(after(time.Second), asked, []string{"a"}), qt.HasLen, 0)
	c.Assert(table.StartQuery(after(time.Second+MissInterval-1)), qt.HasLen, 0)
	asked = table.StartQuery(after(time.Second + MissInterval))
	c.Assert(table.FinishQuery(after(time.Second+MissInterval), asked, []string{"a"}), qt.HasLen, 1)
	c.Assert(gone, qt.Equals, 1)
	c.Assert(table.StartQuery(after(time.Hour)), qt.HasLen, 0)
}

func TestARequestInProgressAtThePeerIsNotAborted(t *testing.T) {
	c := qt.New(t)
	var table Table
	r := &Request{ID: "a", Sent: start, QueryAfter: time.Second, Abort: func() { t.Fatal("aborted") }}
	table.Add(r)
	for i := range 10 { // missing and present in turn: never lost
		now := after(time.Duration(i+1) * time.Second)
		asked := table.StartQuery(now)
		c.Assert(asked, qt.HasLen, 1)
		table.FinishQuery(now, asked, []string{"a"}[:i%2])
	}
	table.Remove(r)
	c.Assert(table.StartQuery(after(time.Hour)), qt.HasLen, 0)
}

// In any order of events, a request that is in progress at the peer at every query is never aborted, and one that the peer never has in progress is aborted.
func TestOnlyLostRequestsAreAborted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		var there InProgress
		lost := map[string]bool{}
		var present, absent []string
		now := start
		for i := range rapid.IntRange(1, 100).Draw(t, "requests") {
			id := fmt.Sprint("r", i)
			table.Add(&Request{
				ID: id, Sent: now, QueryAfter: time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond,
				Abort: func() { lost[id] = true },
			})
			if rapid.Bool().Draw(t, "in progress at the peer") {
				there.Start(id)
				present = append(present, id)
			} else {
				absent = append(absent, id)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
		}
		for range 400 { // at most 64 per query
			now = now.Add(50 * time.Millisecond)
			asked := table.StartQuery(now)
			if len(asked) == 0 {
				continue
			}
			var ids []string
			for _, r := range asked {
				ids = append(ids, r.ID)
			}
			table.FinishQuery(now, asked, there.Missing(ids))
		}
		for _, id := range present {
			if lost[id] {
				t.Fatalf("%s was in progress but aborted", id)
			}
		}
		for _, id := range absent {
			if !lost[id] {
				t.Fatalf("%s was not detected as lost", id)
			}
		}
	})
}

func TestInProgress(t *testing.T) {
	c := qt.New(t)
	var p InProgress
	first, second := p.Start("a"), p.Start("a")
	c.Assert(p.Missing([]string{"a", "b"}), qt.DeepEquals, []string{"b"})
	first()
	c.Assert(p.Missing([]string{"a"}), qt.HasLen, 0)
	second()
	c.Assert(slices.Equal(p.Missing([]string{"a"}), []string{"a"}), qt.IsTrue)
	c.Assert(p.ids, qt.HasLen, 0)
}

func BenchmarkInProgress(b *testing.B) {
	var p InProgress
	b.ReportAllocs()
	for range b.N {
		p.Start("some-attempt-0123456789")()
	}
}
