package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulatedEntry is a bucket and its demand, to which requests arrive as a Poisson process.
type simulatedEntry struct {
	bucket AdmissionBucket
	demand DecayingRate
	rnd    *rand.Rand
	now    time.Time
}

func newSimulatedEntry() *simulatedEntry {
	return &simulatedEntry{rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
}

// admittedShare simulates arrivals at a rate a second for a time and returns the share that was admitted.
func (e *simulatedEntry) admittedShare(rate, share float64, span time.Duration) float64 {
	arrived, admitted := 0, 0
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(time.Duration(e.rnd.ExpFloat64() / rate * float64(time.Second)))
		e.demand.Add(e.now, 1)
		arrived++
		if e.bucket.Admit(e.now, share, &e.demand) {
			admitted++
		}
	}
	return float64(admitted) / float64(arrived)
}

func TestBucketAdmitsTheShare(t *testing.T) {
	c := qt.New(t)
	for _, share := range []float64{0.05, 0.3, 0.5, 0.9} {
		got := newSimulatedEntry().admittedShare(50, share, time.Minute)
		c.Check(math.Abs(got-share) < 0.08, qt.IsTrue, qt.Commentf("%.3f of %.3f", got, share))
	}
}

// A share computed from a burst stays in force until the demand is counted anew. Applied to each request, it admitted a
// sixth of the much lower demand after the burst, although there was capacity for all of it.
func TestBucketAdmitsAllWhenDemandFalls(t *testing.T) {
	c := qt.New(t)
	e := newSimulatedEntry()
	e.admittedShare(480, 1.0/6, 5*time.Second)
	got := e.admittedShare(60, 1.0/6, time.Second/2)
	c.Check(got > 0.8, qt.IsTrue, qt.Commentf("%.3f", got))
}

// When demand rises above what the share was computed from, the admitted rate must stay what the capacity allows.
func TestBucketKeepsTheRateWhenDemandRises(t *testing.T) {
	c := qt.New(t)
	e := newSimulatedEntry()
	e.admittedShare(100, 0.5, 5*time.Second)
	got := 600 * e.admittedShare(600, 0.5, time.Second/4)
	c.Check(got < 150, qt.IsTrue, qt.Commentf("%.0f a second; by its share it would be 300", got))
}

func TestBucketAdmitsAllOrNothing(t *testing.T) {
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
