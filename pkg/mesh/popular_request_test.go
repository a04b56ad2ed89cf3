package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The logged runs of all crashes have exactly one request in common, the poison request. A read is sent at most twice,
// so it can have run at no more than two servers.
func TestLogShowsTheRequestCommonToAllCrashes(t *testing.T) {
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
		crashes := 0
		runsByFingerprint := map[string]int{}
		for _, l := range log.lines(c) {
			if l.Msg != "call: backend server crashed" {
				continue
			}
			crashes++
			for _, r := range l.Fields["under"].([]any) {
				runsByFingerprint[r.(map[string]any)["fingerprint"].(string)]++
			}
		}
		c.Assert(crashes, qt.Equals, p.crashCount())
		c.Assert(crashes >= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
		inAll := 0
		for _, n := range runsByFingerprint {
			if n == crashes {
				inAll++
			}
		}
		c.Assert(inAll, qt.Equals, 1, qt.Commentf("requests that ran in all %d servers that crashed", crashes))
	})
}

// Crashes for other reasons during a read that many callers send must not quarantine it. Five of nine servers crash at
// once, twice, and nearly all reads are served, whether all of them or half of them have the same path.
func TestPopularRequestIsServedWhileServersCrash(t *testing.T) {
	t.Parallel()
	for name, popular := range map[string]int{"all reads request it": 1, "every second read requests it": 2} {
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
						p.crashServer(f, f.lifetimeNumber.Load())
					}
				}
				p.finish()
				c.Check(p.shareServed(0, 10) > 0.99, qt.IsTrue, qt.Commentf("%.4f of the reads served", p.shareServed(0, 10)))
			})
		})
	}
}
