package priority

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestRankIsConstantWithinAnEpochAndFairOverTime(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1_000_000, 0)
	c.Assert(New(2, "id", at), qt.Equals, New(2, "id", at.Add(EpochLength/2)))
	low, high := 0, 0
	for i := range 1000 {
		if New(0, "id", at.Add(time.Duration(i)*EpochLength)) < TierSpan/2 {
			low++
		} else {
			high++
		}
	}
	c.Assert(low > 400 && high > 400, qt.IsTrue, qt.Commentf("%d low, %d high", low, high))
}

func TestRanksAreUniform(t *testing.T) {
	c := qt.New(t)
	var deciles [10]int
	for i := range 10_000 {
		p := New(0, fmt.Sprint(i), time.Unix(0, 0))
		deciles[int(p)*10/TierSpan]++
	}
	for _, n := range deciles {
		c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%v", deciles))
	}
}

func TestAtDepthNeverLeavesTheTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Priority(rapid.Uint32Max(uint32(Max)).Draw(t, "p"))
		f := p.AtDepth(rapid.IntRange(-1, 100).Draw(t, "depth"))
		if f < p || f.Tier() != p.Tier() {
			t.Fatalf("%v became %v", p, f)
		}
	})
}
