package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entry is an allowance with its demand, to which requests come at random.
type entry struct {
	allowance AdmissionBucket
	demand    DecayingRate
	rnd       *rand.Rand
	now       time.Time
}

func newEntry() *entry {
	return &entry{rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
}

// admitted plays so many requests a second for a time and returns the share that was let in.
func (e *entry) admitted(rate, share float64, span time.Duration) float64 {
	came, let := 0, 0
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(time.Duration(e.rnd.ExpFloat64() / rate * float64(time.Second)))
		e.demand.Add(e.now, 1)
		came++
		if e.allowance.Admit(e.now, share, &e.demand) {
			let++
		}
	}
	return float64(let) / float64(came)
}

func TestAnAllowanceLetsInTheShare(t *testing.T) {
	c := qt.New(t)
	for _, share := range []float64{0.05, 0.3, 0.5, 0.9} {
		got := newEntry().admitted(50, share, time.Minute)
		c.Check(math.Abs(got-share) < 0.08, qt.IsTrue, qt.Commentf("%.3f of %.3f", got, share))
	}
}

// In the second after a burst the share still was that of the burst: of the eighth that came then a sixth was let in, though there
// was room for all of it.
func TestAnAllowanceLetsInAllWhenDemandFalls(t *testing.T) {
	c := qt.New(t)
	e := newEntry()
	e.admitted(480, 1.0/6, 5*time.Second)
	got := e.admitted(60, 1.0/6, time.Second/2)
	c.Check(got > 0.8, qt.IsTrue, qt.Commentf("%.3f", got))
}

// When demand rises no more is let in for that than there was room for.
func TestAnAllowanceHoldsWhenDemandRises(t *testing.T) {
	c := qt.New(t)
	e := newEntry()
	e.admitted(100, 0.5, 5*time.Second)
	got := 600 * e.admitted(600, 0.5, time.Second/4)
	c.Check(got < 150, qt.IsTrue, qt.Commentf("%.0f a second; by its share it would be 300", got))
}

func TestAnAllowanceOfAllOrNothing(t *testing.T) {
	c := qt.New(t)
	var a AdmissionBucket
	var demand DecayingRate
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		demand.Add(now, 1)
		c.Assert(a.Admit(now, 1, &demand), qt.IsTrue)
	}
	for range 1000 {
		now = now.Add(time.Millisecond)
		demand.Add(now, 1)
		c.Assert(a.Admit(now, 0, &demand), qt.IsFalse)
	}
}
