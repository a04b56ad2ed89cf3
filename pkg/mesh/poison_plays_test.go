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
	playSeeds(t, *poisonPlays, *poisonSeed, func(t *testing.T, seed uint64) {
		p := newSeededPoisonSite(t, seed, *poisonServers, 70*time.Millisecond)
		p.from = time.Now()
		p.work.Go(func() { p.sendReads(2*time.Second, differentReads) })
		time.Sleep(time.Second)
		p.sendPoison(time.Second, 40, 0, 1, 2)
		p.finish()
		p.poison[poisonPath].checkQuarantined(qt.New(t))
	})
}

// playSeeds plays as many seeds, from the first one on, each in made-up time of its own.
func playSeeds(t *testing.T, plays int, first uint64, play func(t *testing.T, seed uint64)) {
	for i := range plays {
		seed := first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}
