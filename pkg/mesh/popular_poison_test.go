package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A popular request that has turned into one that ends servers is held back as well, after some more ends.
func TestAPopularRequestThatTurnsDeadlyIsHeldBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 12, 70*time.Millisecond)
		turns := time.Now().Add(5 * time.Second)
		for _, f := range p.servers[poisonEntries:] {
			serve := f.handle
			f.handle = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == popularPath && time.Now().After(turns) {
					r.URL.Path = poisonPath
				}
				serve(w, r)
			}
		}
		p.from = time.Now()
		sent := 0
		const every = 20 * time.Millisecond
		for time.Now().Before(turns.Add(6 * time.Second)) {
			i := sent
			p.work.Go(func() {
				p.ask(i%poisonEntries, http.MethodGet, popularPath, fmt.Sprint("q", i), 2*time.Second)
			})
			time.Sleep(every)
			sent++
		}
		p.finish()
		r := p.runsFor(poisonPath)
		most := r.sendsBeforeFirstCrash() + maxPoisonCrashes + extraStages
		c.Check(len(r.crashes) <= most, qt.IsTrue, qt.Commentf("%d servers ended, at most %d may", len(r.crashes), most))
		c.Check(len(r.crashes) > 0, qt.IsTrue)
		last := r.crashes[len(r.crashes)-1]
		c.Check(last.Before(turns.Add(3*time.Second)), qt.IsTrue, qt.Commentf("the last one %v after it turned", last.Sub(turns)))
	})
}

// soundStages is how many more ends a request may cause whose runs had ended well.
const extraStages = 3
