package ledger

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestTokensConservedOverTrees simulates random call trees with retries, parallel calls and lost answers, and checks that the retries
// are never more than the tokens of the root.
func TestTokensConservedOverTrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 8).Draw(t, "tokens")
		retries := 0
		root := New(tokens)
		simulateTree(t, root, 0, &retries)
		if retries > tokens {
			t.Fatalf("%d retries out of %d tokens", retries, tokens)
		}
		got := root.Totals()
		if got.Balance+got.Lent+got.Spent != tokens {
			t.Fatalf("%d tokens became %+v", tokens, got)
		}
	})
}

// simulateTree makes random calls with the tokens of a ledger, some in parallel, and retries failed calls while a token is left; it adds
// the retries to *retries.
func simulateTree(t *rapid.T, l *Ledger, depth int, retries *int) {
	if depth == 4 {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "stages") {
		width := rapid.IntRange(1, 3).Draw(t, "width")
		lent := make([]int, width)
		for i := range lent {
			lent[i] = l.Lend()
		}
		for _, n := range lent {
			child := New(n)
			simulateTree(t, child, depth+1, retries)
			if rapid.Bool().Draw(t, "lost") {
				l.WriteOff(n)
			} else {
				l.Return(n, child.Close())
			}
			if rapid.Bool().Draw(t, "fails") && l.Spend() {
				*retries++
				n := l.Lend()
				retry := New(n)
				simulateTree(t, retry, depth+1, retries)
				l.Return(n, retry.Close())
			}
		}
	}
}

func TestRetriesOfAServiceTakeTokens(t *testing.T) {
	c := qt.New(t)
	l := New(1)
	const call = 7
	c.Assert(l.BeginCall(call), qt.IsTrue)
	l.EndCall(call, true)
	c.Assert(l.BeginCall(call), qt.IsTrue, qt.Commentf("the token pays for one retry"))
	l.EndCall(call, true)
	c.Assert(l.BeginCall(call), qt.IsFalse)
	c.Assert(l.BeginCall(call+1), qt.IsTrue, qt.Commentf("another call isn't a retry"))
}

func TestRepeatedSuccessfulCallTakesNoToken(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	c.Assert(l.BeginCall(1), qt.IsTrue)
	l.EndCall(1, false)
	c.Assert(l.BeginCall(1), qt.IsTrue)
}

func TestReturnIsLimitedToTheLoan(t *testing.T) {
	c := qt.New(t)
	l := New(4)
	n := l.Lend()
	l.Return(n, 100)
	c.Assert(l.Balance(), qt.Equals, 4)
}

func TestCapWritesOffTheExcess(t *testing.T) {
	c := qt.New(t)
	l := New(4)
	l.Cap(1)
	c.Assert(l.Totals(), qt.Equals, Totals{Balance: 1, Spent: 3})
	l.Cap(3)
	c.Assert(l.Balance(), qt.Equals, 1)
}
