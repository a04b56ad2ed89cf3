package mesh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

var (
	harmlessPlays = flag.Int("innocent.plays", 4, "plays of TestNoSoundKindIsHeldBackForLong")
	harmlessSeed  = flag.Uint64("innocent.seed", 1, "seed of the first one")
)

// The bounds that the plays are held to.
const (
	// leastServed of the requests of a sound kind are served over a play, but for those that a server ended under.
	minServedShare = 0.99
	// longestCut is the longest for which a zone is cut off.
	maxPartition = time.Second
	// popularRate is how many requests a second make a kind popular.
	popularRate = 5.0
	// mostRefused of all sound requests may be refused as suspects.
	maxRefusedShare = 0.01
	// longestRefusal is for how long requests of one sound kind may be refused as suspects without one that is served.
	maxRefusalTime = time.Second
	// mostCulpritEnds is how many servers a culprit may end beside one for each of its requests that were sent before its first end was known.
	maxPoisonCrashes = 2
	// endKnown is how long it takes until an end is known: a node looks for its server several times.
	crashDetectionTime = maxCrashChecks * crashCheckInterval
)

// soundKind is a kind of sound requests, with what became of them.
type harmlessKind struct {
	path           string
	rate           float64 // a second
	sent           int
	served         int
	refused        int // as a suspect
	lost           int // a server ended under it, twice
	refusedSince   time.Time
	longestRefusal time.Duration // for which none was served and some were refused
}

// note takes what became of one request; it was sent at a time.
func (k *harmlessKind) record(sent time.Time, status int, reason wire.Reason) {
	k.sent++
	switch {
	case status == http.StatusOK:
		k.served++
		if sent.After(k.refusedSince) {
			k.refusedSince = time.Time{}
		}
	case reason == wire.ReasonSuspect || reason == wire.ReasonHeldBack:
		k.refused++
		if k.refusedSince.IsZero() {
			k.refusedSince = sent
		}
		k.longestRefusal = max(k.longestRefusal, sent.Sub(k.refusedSince))
	default:
		k.lost++
	}
}

// innocentPlay is one play drawn by a seed.
type harmlessPlay struct {
	*poisonSite
	rnd        *rand.Rand
	mu         sync.Mutex
	sent       []time.Time // requests of the culprit
	partitions []time.Time // when a zone was cut off
	kinds      []*harmlessKind
	total      harmlessKind // of kinds that are asked for once each
}

// shares of the sound requests that popular kinds have.
var kindShares = []float64{1. / 3, 1. / 4, 1. / 10, 1. / 30, 1. / 100, 1. / 1000}

// newInnocentPlay draws a play.
func newHarmlessPlay(t *testing.T, seed uint64) *harmlessPlay {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := &harmlessPlay{rnd: rnd}
	fuse := time.Duration(50+rnd.IntN(1950)) * time.Millisecond
	if rnd.IntN(3) == 0 {
		fuse = 500 * time.Millisecond
	}
	p.poisonSite = newPoisonSite(t, 6+rnd.IntN(7), fuse)
	rate := float64(100 + rnd.IntN(150))
	first := rnd.IntN(2)
	for i, share := range kindShares[first : first+5] {
		p.kinds = append(p.kinds, &harmlessKind{path: fmt.Sprint("/read/kind", i), rate: rate * share})
	}
	p.total.rate = rate / 4
	return p
}

// askSound sends sound requests for a time.
func (p *harmlessPlay) sendHarmless(span time.Duration) {
	for _, k := range append(p.kinds, &p.total) {
		p.work.Go(func() {
			end := time.Now().Add(span)
			for i := 0; ; i++ {
				time.Sleep(time.Duration(rand.ExpFloat64() / k.rate * float64(time.Second)))
				if !time.Now().Before(end) {
					return
				}
				path := k.path
				if path == "" {
					path = fmt.Sprint("/read/unique", i)
				}
				p.work.Go(func() { p.sendKind(k, path) })
			}
		})
	}
}

// askCulprit sends the culprit's requests for a time.
func (p *harmlessPlay) sendPoison(span time.Duration, perS float64) {
	p.work.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(around(time.Duration(float64(time.Second) / perS))) {
			p.mu.Lock()
			p.sent = append(p.sent, time.Now())
			p.mu.Unlock()
			p.work.Go(func() {
				p.ask(rand.N(poisonEntries), http.MethodGet, poisonPath, fmt.Sprint("p", rand.Uint64()), 2*time.Second)
			})
		}
	})
}

// mostEnds is how many servers the culprit may end. Each side of a cut goes by the ends that it hears of.
func (p *harmlessPlay) maxCrashes(r *poisonRuns) int {
	most := maxPoisonCrashes
	for _, at := range p.sent {
		if len(r.crashes) > 0 && at.Before(r.crashes[0].Add(crashDetectionTime)) {
			most++
		}
	}
	for _, at := range p.partitions {
		if len(r.crashes) > 0 && at.After(r.crashes[0].Add(-maxPartition)) && at.Before(r.crashes[len(r.crashes)-1]) {
			most += maxPoisonCrashes
		}
	}
	return most
}

// askKind sends one sound request.
func (p *harmlessPlay) sendKind(k *harmlessKind, path string) {
	sent := time.Now()
	status, _, h := p.ask(rand.N(poisonEntries), http.MethodGet, path, fmt.Sprint("s", rand.Uint64()), 2*time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	k.record(sent, status, wire.Reason(h.Get(wire.HeaderReason)))
}

// trouble ends servers for other reasons now and then.
func (p *harmlessPlay) injectFaults(span time.Duration) {
	servers := p.servers[poisonEntries:]
	end := time.Now().Add(span)
	for {
		time.Sleep(time.Duration(500+p.rnd.IntN(4000)) * time.Millisecond)
		if time.Now().After(end) {
			return
		}
		switch p.rnd.IntN(4) {
		case 0: // one crashes
			f := servers[p.rnd.IntN(len(servers))]
			p.crashServer(f, f.life.Load())
		case 1: // several crash within 100 ms
			for _, i := range p.rnd.Perm(len(servers))[:2+p.rnd.IntN(2)] {
				f := servers[i]
				p.work.Go(func() {
					time.Sleep(rand.N(100 * time.Millisecond))
					p.crashServer(f, f.life.Load())
				})
			}
		case 2: // news is lost between a zone and the others
			p.mu.Lock()
			p.partitions = append(p.partitions, time.Now())
			p.mu.Unlock()
			cut := p.partitionZone(fmt.Sprint("z", p.rnd.IntN(3)))
			time.Sleep(maxPartition/5 + time.Duration(p.rnd.Int64N(int64(maxPartition)*4/5)))
			cut.Store(false)
		case 3: // a calm while
		}
	}
}

// play plays it.
func (p *harmlessPlay) run() {
	const span = 14 * time.Second
	p.from = time.Now()
	p.sendHarmless(span)
	time.Sleep(2 * time.Second)
	p.sendPoison(8*time.Second, float64(1+p.rnd.IntN(12)))
	if p.rnd.IntN(2) == 0 {
		p.work.Go(func() { p.injectFaults(8 * time.Second) })
	}
	p.finish()
}

// No request of a popular kind that ended nothing is refused as a suspect for long: three ends, under each of which some of its runs were, by chance, had it held back.
func TestNoSoundKindIsHeldBackForLong(t *testing.T) {
	t.Parallel()
	for i := range *harmlessPlays {
		seed := *harmlessSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newHarmlessPlay(t, seed)
				p.run()
				p.check(c)
			})
		})
	}
}

// check checks the bounds, and writes a line for the table of many plays.
func (p *harmlessPlay) check(c *qt.C) {
	worst, longest, refused, sent, lost := 1.0, time.Duration(0), 0, 0, 0
	for _, k := range append(p.kinds, &p.total) {
		answered := k.sent - k.lost
		share := float64(k.served) / float64(max(answered, 1))
		if k.path != "" && k.rate >= popularRate {
			worst, longest = min(worst, share), max(longest, k.longestRefusal)
			c.Check(share >= minServedShare, qt.IsTrue, qt.Commentf("%s, %.1f a second: %d of %d served, %d refused as suspects", k.path, k.rate, k.served, answered, k.refused))
			c.Check(k.longestRefusal <= maxRefusalTime, qt.IsTrue, qt.Commentf("%s, %.1f a second: refused for %v", k.path, k.rate, k.longestRefusal))
		}
		refused, sent, lost = refused+k.refused, sent+k.sent, lost+k.lost
	}
	c.Check(float64(refused) <= maxRefusedShare*float64(sent), qt.IsTrue, qt.Commentf("%d of %d refused as suspects", refused, sent))
	r := p.runsFor(poisonPath)
	most := p.maxCrashes(r)
	c.Check(len(r.crashes) <= most, qt.IsTrue, qt.Commentf("the culprit ended %d servers, at most %d may", len(r.crashes), most))
	c.Logf("PLAY servers %d fuse %v: %d of %d refused as suspects, %d lost, worst kind %.3f, longest %v, culprit ended %d (at most %d)",
		len(p.servers)-poisonEntries, p.crashDelay, refused, sent, lost, worst, longest, len(r.crashes), most)
}
