package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Guards against losses that the plan doesn't see, or sees for too long: while the smallest service refuses half of its calls,
// hardly any read gets through its five calls, and single calls have to be admitted before them.
func TestLossesAreSeenByThePlanAndForgotten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := tunedDeepSite(t, 1, func(m *settings.Mesh) { m.WholeRequests = true })
		var refusing atomic.Bool
		for _, f := range s.servers {
			if f.service == "floor" {
				usual := f.handle
				f.handle = func(w http.ResponseWriter, r *http.Request) {
					if refusing.Load() && rand.IntN(2) == 0 {
						w.Header().Set(testNames.NotRun, "full")
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					usual(w, r)
				}
			}
		}
		success := func() int64 {
			g, _ := s.nodes[0].metrics.registry.Get(seriesKey("request_success", "route", "read")).(metrics.Gauge)
			if g == nil {
				return 1000
			}
			return g.Value()
		}
		ctx, cancel := context.WithCancel(t.Context())
		var k clientLoad
		k.start(ctx, s)
		time.Sleep(8 * time.Second)
		c.Check(success() > 500, qt.IsTrue, qt.Commentf("%d before", success()))
		refusing.Store(true)
		time.Sleep(8 * time.Second)
		shares := s.nodes[0].plan.Load().shares
		c.Check(success() < 200, qt.IsTrue, qt.Commentf("%d while half of the calls are refused", success()))
		c.Check(shares["order"].Fresh > 0.99, qt.IsTrue, qt.Commentf("%v", shares))
		refusing.Store(false)
		ended := time.Now()
		time.Sleep(8 * time.Second)
		cancel()
		k.sending.Wait()
		for i := -4; i < 4; i++ {
			t.Logf("%d s after the refusals: %.2f of the capacity", 2*i, float64(k.servedIn(ended.Add(time.Duration(2*i)*time.Second), 2*time.Second))/(2*floorCapacity))
		}
		c.Check(float64(k.servedIn(ended.Add(4*time.Second), 4*time.Second)) > 0.8*4*floorCapacity, qt.IsTrue)
	})
}
