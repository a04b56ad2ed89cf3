package overload

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRateDecays(t *testing.T) {
	c := qt.New(t)
	var r DecayingRate
	now := time.Unix(0, 0)
	for range 3000 {
		now = now.Add(time.Millisecond)
		r.Add(now, 0.1)
	}
	c.Assert(math.Abs(r.PerSecond(now)-100) < 5, qt.IsTrue, qt.Commentf("%v", r.PerSecond(now)))
	c.Assert(r.PerSecond(now.Add(5*time.Second)) < 2, qt.IsTrue)
}
