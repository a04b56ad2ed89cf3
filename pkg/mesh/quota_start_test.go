package mesh

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// In the first seconds after the first start of the system, teams with low limits were refused some requests although they stayed below the limits.
func TestTeamsBelowTheirQuotasAreServedFromTheFirstStartOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTeamSite(t, 3, 4, 5*time.Second)
		const teams = 30
		s.store.put(teamState(1, func(st *desired.State) {
			st.Teams = []desired.Team{{Name: "unlimited", Keys: []desired.Key{"free"}}}
			for i := range teams {
				st.Teams = append(st.Teams, desired.Team{
					Name: fmt.Sprint("t", i), Keys: []desired.Key{desired.Key(fmt.Sprint("k", i))}, Rate: float64(1 + i%5), Burst: float64(1 + i%3),
				})
			}
		}))
		s.waitUntilKnown(1)
		s.waitUntilAccepted("free")
		var mu sync.Mutex
		var clients sync.WaitGroup
		sent, answers := 0, map[string]int{}
		for i := range teams {
			clients.Go(func() {
				rate := 0.7 * float64(1+i%5)
				for begun := time.Now(); time.Since(begun) < 8*time.Second; time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate)) {
					at := time.Since(begun) / (2 * time.Second)
					status, h := s.send(rand.N(len(s.nodes)), "/read/x", fmt.Sprint("q", rand.Uint64()), withKey(fmt.Sprint("k", i)))
					mu.Lock()
					sent++
					if status != http.StatusOK {
						answers[fmt.Sprintf("from %ds: %d %s", 2*at, status, h.Get(wire.HeaderReason))]++
					}
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		refused := 0
		for what, n := range answers {
			t.Logf("%s: %d", what, n)
			refused += n
		}
		c.Check(float64(refused) <= 0.01*float64(sent), qt.IsTrue, qt.Commentf("%d of %d refused", refused, sent))
	})
}
