package repeat

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var begin = time.Unix(1_000_000, 0)

// attempt returns an attempt under the key, with 2 retry tokens and a retry share of 0.2.
func attempt(key string) Attempt {
	return Attempt{Key: key, Customer: "c", RetryTokens: 2, RetryShare: 0.2}
}

func TestRetriesOfAKeyShareOneBudget(t *testing.T) {
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

func TestRetryOfARequestThatWasNotForwardedTakesNoToken(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	g.End(begin, e, nil)
	_, e, _ = g.Begin(begin, attempt("k"))
	c.Assert(e.Ledger.Balance(), qt.Equals, 2)
}

func TestRetryJoinsTheAttemptInProgress(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	v, _, f := g.Begin(begin, attempt("k"))
	c.Assert(v, qt.Equals, Join)
	g.End(begin, e, "answer")
	<-f.Done
	c.Assert(f.Result, qt.Equals, "answer")
}

func TestRetriesOfACustomerAreLimitedToAShareOfItsFirstAttempts(t *testing.T) {
	c := qt.New(t)
	var g Guard
	retried := 0
	for i := range 100 {
		key := string(rune('a'+i%26)) + string(rune('a'+i/26))
		_, e, _ := g.Begin(begin, attempt(key))
		g.End(begin, e, nil)
		if v, e, _ := g.Begin(begin, attempt(key)); v == Retry {
			retried++
			g.End(begin, e, nil)
		}
	}
	c.Assert(retried >= retryBurst && retried <= retryBurst+20, qt.IsTrue, qt.Commentf("%d retries of 100 requests", retried))
}

// TestNoticeOfAnotherEntryLimitsTheBudget: a client that retries through another zone's entry must not get a second retry
// budget.
func TestNoticeOfAnotherEntryLimitsTheBudget(t *testing.T) {
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

func TestKeysExpire(t *testing.T) {
	c := qt.New(t)
	var g Guard
	_, e, _ := g.Begin(begin, attempt("k"))
	g.End(begin, e, nil)
	g.Begin(begin.Add(keyRetention+2*time.Second), attempt("other"))
	c.Assert(g.KeyCount(), qt.Equals, 1)
}
