package mesh

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// The site of this test has many servers with few slots each in several zones.
const (
	manyZones       = 5
	manyPerZone     = 8
	manySlots       = 8
	manyWork        = 100 * time.Millisecond
	manyUtilization = 0.5 // of the slots that the gates admit to
	manyDuration    = 6 * time.Second
)

// manySite starts that site in simulated time.
func manySite(t *testing.T) *site {
	s := newMemorySite(t)
	for zone := range manyZones {
		for range manyPerZone {
			_, f := s.add("a", fmt.Sprint("z", zone), manySlots)
			f.handle = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(randomAround(manyWork))
				_, _ = io.WriteString(w, "done")
			}
		}
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	return s
}

// sendMany sends requests evenly to all nodes, as many as keep the slots at manyUtilization, and returns how many
// weren't served.
func sendMany(s *site) int {
	var failed atomic.Int64
	ctx, cancel := context.WithTimeout(s.t.Context(), manyDuration)
	defer cancel()
	gap := float64(manyWork) / (manySlots * usableSlotFraction * manyUtilization)
	var clients sync.WaitGroup
	for i := range s.nodes {
		clients.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				clients.Go(func() {
					status, _, _ := s.request(i, http.MethodGet, "/read/x", fmt.Sprintf("c%d.%d", i, k), 6*time.Second)
					if status != http.StatusOK {
						failed.Add(1)
					}
				})
				time.Sleep(time.Duration(rand.ExpFloat64() * gap))
			}
		})
	}
	clients.Wait()
	return int(failed.Load())
}

// No server may run far more requests than the others. When the random samples mostly held the same three servers of a
// zone, the busiest server ran 1.66 to 1.69 times the mean; with uniform samples it runs 1.09 to 1.12 times the mean
// (three runs each).
func TestManySmallServersGetEvenLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := manySite(t)
		time.Sleep(time.Second) // requests that wait for a node that has just started would arrive all at once
		failed := sendMany(s)
		runs := make([]int, 0, len(s.servers))
		sum := 0
		for _, f := range s.servers {
			runs = append(runs, len(f.ran()))
			sum += len(f.ran())
		}
		mean := float64(sum) / float64(len(runs))
		t.Logf("%d served, mean of a server %.0f, least %d, most %d", sum, mean, slices.Min(runs), slices.Max(runs))
		c.Check(failed, qt.Equals, 0)
		c.Check(float64(slices.Max(runs)) < 1.3*mean, qt.IsTrue, qt.Commentf("the busiest server ran %d, the mean is %.0f", slices.Max(runs), mean))
	})
}
