package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// wideFactor is the ratio of the wide site's servers and load to those of the deep site.
const wideFactor = 5

// overloadFromTheStart runs a load of four times the capacity from the first request on, and returns the served fraction of
// the capacity in each two seconds.
func overloadFromTheStart(t *testing.T, seconds int) []float64 {
	s := deepSiteOf(t, wideFactor)
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var k clientLoad
	begun := time.Now()
	k.start(ctx, s)
	time.Sleep(time.Duration(seconds) * time.Second)
	cancel()
	k.sending.Wait()
	var parts []float64
	for i := 0; i < seconds; i += 2 {
		served := k.servedIn(begun.Add(time.Duration(i)*time.Second), 2*time.Second)
		parts = append(parts, float64(served)/(2*wideFactor*floorCapacity))
	}
	t.Logf("fractions of the capacity in each two seconds: %.2f", parts)
	return parts
}

// Guards against lost capacity with several servers per service. When each gate that rejected a request counted it, the usable
// slots were reduced from 2 to 4 s after the start, and 0.73 to 0.93 of the capacity was served with 32 and 48 nodes; with one
// count per request it was 1.07 to 1.15.
func TestAnOverloadOfManyServersFromTheFirstRequestOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		parts := overloadFromTheStart(t, 4)
		qt.New(t).Check(parts[1] > 0.95, qt.IsTrue)
	})
}
