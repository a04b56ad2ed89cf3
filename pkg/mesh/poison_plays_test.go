package mesh

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	poisonPlays   = flag.Int("poison.plays", 3, "plays of TestCopiesOfASuspectCrashOneServerAtATime")
	poisonSeed    = flag.Uint64("poison.seed", 1, "seed of the first one")
	poisonServers = flag.Int("poison.servers", 60, "servers of its sites")
)

// TestCopiesOfASuspectCrashOneServerAtATime guards against two copies of a suspect that run at two servers at once, and
// crash both.
func TestCopiesOfASuspectCrashOneServerAtATime(t *testing.T) {
	t.Parallel()
	for i := range *poisonPlays {
		seed := *poisonSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newSeededPoisonSite(t, seed, *poisonServers, 70*time.Millisecond)
				p.from = time.Now()
				p.work.Go(func() { p.sendReads(2*time.Second, differentReads) })
				time.Sleep(time.Second)
				p.sendPoison(time.Second, 40, 0, 1, 2)
				p.finish()
				p.poison[poisonPath].checkQuarantined(qt.New(t))
			})
		})
	}
}
