package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A popular request that starts to crash servers is quarantined as well, after some more crashes.
func TestPopularRequestThatBecomesPoisonIsQuarantined(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 12, 70*time.Millisecond)
		poisonFrom := time.Now().Add(5 * time.Second)
		for _, f := range p.servers[poisonEntries:] {
			serve := f.handle
			f.handle = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == popularPath && time.Now().After(poisonFrom) {
					r.URL.Path = poisonPath
				}
				serve(w, r)
			}
		}
		p.from = time.Now()
		sent := 0
		const every = 20 * time.Millisecond
		for time.Now().Before(poisonFrom.Add(6 * time.Second)) {
			i := sent
			p.work.Go(func() {
				p.request(i%poisonEntries, http.MethodGet, popularPath, fmt.Sprint("q", i), 2*time.Second)
			})
			time.Sleep(every)
			sent++
		}
		p.finish()
		r := p.runsFor(poisonPath)
		most := r.sendsBeforeFirstCrash() + maxPoisonCrashes + extraStages
		c.Check(len(r.crashes) <= most, qt.IsTrue, qt.Commentf("%d servers crashed, at most %d may", len(r.crashes), most))
		c.Check(len(r.crashes) > 0, qt.IsTrue)
		last := r.crashes[len(r.crashes)-1]
		c.Check(last.Before(poisonFrom.Add(3*time.Second)), qt.IsTrue, qt.Commentf("the last one %v after it became poison", last.Sub(poisonFrom)))
	})
}

// extraStages is how many more crashes a request may cause whose earlier runs had succeeded.
const extraStages = 3
