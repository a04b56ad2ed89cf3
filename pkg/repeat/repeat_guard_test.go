package repeat

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var begin = time.Unix(1_000_000, 0)

func attempt(key string) Attempt {
	return Attempt{Key: key, Customer: "c", RetryTokens: 2, RetryShare: 0.2}
}

func TestRepeatsShareOneBudget(t *testing.T) {
	c := qt.New(t)
	var g Guard
	v, e, _ := g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, FirstAttempt)
	for range 2 {
		g.MarkForwarded(e)
		g.End(begin, e, nil)
		v, e, _ = g.Begin(begin, attempt("k"))
		c.Assert(v, qt.Equals, Retry)
	}
	g.End(begin, e, nil)
	v, _, _ = g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, BudgetSpent)
}

func TestRepeatOfARequestThatNeverLeftIsFree(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	g.End(begin, e, nil)
	_, e, _ = g.Begin(begin, attempt("k"))
	c.Assert(e.Ledger.Balance(), qt.Equals, 2)
}

func TestRepeatJoinsTheRunningAttempt(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	v, _, f := g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, Join)
	g.End(begin, e, "answer")
	<-f.Done
	c.Assert(f.Result, qt.Equals, "answer")
}

func TestCustomerRepeatsAreAShareOfItsFreshRequests(t *testing.T) {
	c := qt.New(t)
	var g Guard
	taken := 0
	for i := range 100 {
		key := string(rune('a'+i%26)) + string(rune('a'+i/26))
		_, e, _ := g.Begin(begin, attempt(key))
		g.End(begin, e, nil)
		if v, e, _ := g.Begin(begin, attempt(key)); v == Retry {
			taken++
			g.End(begin, e, nil)
		}
	}
	c.Assert(taken >= burst && taken <= burst+20, qt.IsTrue, qt.Commentf("%d repeats of 100 requests", taken))
}

// TestNoteOfAnotherEntryCounts is the case in which a caller that went on through another zone's entry
// got a second retry budget.
func TestNoteOfAnotherEntryCounts(t *testing.T) {
	c := qt.New(t)
	var g Guard
	g.ApplyNotice(begin, RetryNotice{Key: "k", TokensLeft: 1})
	v, e, _ := g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, Retry)
	c.Assert(e.Ledger.Balance(), qt.Equals, 0)
	g.MarkForwarded(e)
	g.End(begin, e, nil)
	v, _, _ = g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, BudgetSpent)
}

func TestOldKeysAreForgotten(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	g.End(begin, e, nil)
	g.Begin(begin.Add(keepKey+2*time.Second), attempt("other"))
	c.Assert(g.KeyCount(), qt.Equals, 1)
}
