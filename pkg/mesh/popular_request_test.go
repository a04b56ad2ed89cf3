package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The log of a site whose servers end tells which request ran in all of them. A read is sent twice at the most, so that it can have run in two.
func TestTheLogTellsWhichRequestRanInEachServerThatEnded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 9, 70*time.Millisecond)
		var log logBuffer
		p.logTo(&log)
		p.from = time.Now()
		p.work.Go(func() { p.sendReads(4*time.Second, differentReads) })
		time.Sleep(time.Second)
		p.sendPoison(3*time.Second, 2, 0)
		p.finish()
		ends := 0
		within := map[string]int{}
		for _, l := range log.lines(c) {
			if l.Msg != "call: server ended" {
				continue
			}
			ends++
			for _, r := range l.Fields["under"].([]any) {
				within[r.(map[string]any)["fingerprint"].(string)]++
			}
		}
		c.Assert(ends, qt.Equals, p.crashCount())
		c.Assert(ends >= 3, qt.IsTrue, qt.Commentf("%d ends", ends))
		inAll := 0
		for _, n := range within {
			if n == ends {
				inAll++
			}
		}
		c.Assert(inAll, qt.Equals, 1, qt.Commentf("requests that ran in all %d servers that ended", ends))
	})
}

// Servers that end for another reason, under a read that many callers send, are no reason to hold it back: five of nine end
// at once, twice, and nearly all reads are served, whether all ask for the same or a half.
func TestAPopularRequestIsServedWhileServersEnd(t *testing.T) {
	t.Parallel()
	for name, popular := range map[string]int{"all ask for it": 1, "every second one asks for it": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newPoisonSite(t, 9, 0)
				p.from = time.Now()
				p.work.Go(func() {
					p.sendReads(10*time.Second, func(i int) string {
						if i%popular == 0 {
							return popularPath
						}
						return fmt.Sprint("/read/", i)
					})
				})
				for range 2 {
					time.Sleep(3500 * time.Millisecond)
					for _, f := range p.servers[poisonEntries : poisonEntries+5] {
						p.crashServer(f, f.life.Load())
					}
				}
				p.finish()
				c.Check(p.shareServed(0, 10) > 0.99, qt.IsTrue, qt.Commentf("%.4f of the reads served", p.shareServed(0, 10)))
			})
		})
	}
}
