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
	innocentPlays = flag.Int("innocent.plays", 4, "plays of TestNoSoundKindIsHeldBackForLong")
	innocentSeed  = flag.Uint64("innocent.seed", 1, "seed of the first one")
)

// The bounds that the plays are held to.
const (
	// leastServed of the requests of a sound kind are served over a play, but for those that a server ended under.
	leastServed = 0.99
	// longestCut is the longest for which a zone is cut off.
	longestCut = time.Second
	// popularRate is how many requests a second make a kind popular.
	popularRate = 5.0
	// mostRefused of all sound requests may be refused as suspects.
	mostRefused = 0.01
	// longestRefusal is for how long requests of one sound kind may be refused as suspects without one that is served.
	longestRefusal = time.Second
	// mostCulpritEnds is how many servers a culprit may end beside one for each of its requests that were sent before its first end was known.
	mostCulpritEnds = 2
	// endKnown is how long it takes until an end is known: a node looks for its server several times.
	endKnown = endLooks * endWait
)

// soundKind is a kind of sound requests, with what became of them.
type soundKind struct {
	path     string
	rate     float64 // a second
	sent     int
	served   int
	refused  int // as a suspect
	lost     int // a server ended under it, twice
	firstBad time.Time
	longest  time.Duration // for which none was served and some were refused
}

// note takes what became of one request; it was sent at a time.
func (k *soundKind) note(sent time.Time, status int, reason wire.Reason) {
	k.sent++
	switch {
	case status == http.StatusOK:
		k.served++
		if sent.After(k.firstBad) {
			k.firstBad = time.Time{}
		}
	case reason == wire.ReasonSuspect || reason == wire.ReasonHeldBack:
		k.refused++
		if k.firstBad.IsZero() {
			k.firstBad = sent
		}
		k.longest = max(k.longest, sent.Sub(k.firstBad))
	default:
		k.lost++
	}
}

// innocentPlay is one play drawn by a seed.
type innocentPlay struct {
	*poisonSite
	rnd   *rand.Rand
	mu    sync.Mutex
	sent  []time.Time // requests of the culprit
	cuts  []time.Time // when a zone was cut off
	kinds []*soundKind
	total soundKind // of kinds that are asked for once each
}

// shares of the sound requests that popular kinds have.
var kindShares = []float64{1. / 3, 1. / 4, 1. / 10, 1. / 30, 1. / 100, 1. / 1000}

// newInnocentPlay draws a play.
func newInnocentPlay(t *testing.T, seed uint64) *innocentPlay {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := &innocentPlay{rnd: rnd}
	fuse := time.Duration(50+rnd.IntN(1950)) * time.Millisecond
	if rnd.IntN(3) == 0 {
		fuse = 500 * time.Millisecond
	}
	p.poisonSite = newPoisonSite(t, 6+rnd.IntN(7), fuse)
	rate := float64(100 + rnd.IntN(150))
	first := rnd.IntN(2)
	for i, share := range kindShares[first : first+5] {
		p.kinds = append(p.kinds, &soundKind{path: fmt.Sprint("/read/kind", i), rate: rate * share})
	}
	p.total.rate = rate / 4
	return p
}

// askSound sends sound requests for a time.
func (p *innocentPlay) askSound(span time.Duration) {
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
				p.work.Go(func() { p.askKind(k, path) })
			}
		})
	}
}

// askCulprit sends the culprit's requests for a time.
func (p *innocentPlay) askCulprit(span time.Duration, perS float64) {
	p.work.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(randomAround(time.Duration(float64(time.Second) / perS))) {
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
func (p *innocentPlay) mostEnds(r *poisonRuns) int {
	most := mostCulpritEnds
	for _, at := range p.sent {
		if len(r.ended) > 0 && at.Before(r.ended[0].Add(endKnown)) {
			most++
		}
	}
	for _, at := range p.cuts {
		if len(r.ended) > 0 && at.After(r.ended[0].Add(-longestCut)) && at.Before(r.ended[len(r.ended)-1]) {
			most += mostCulpritEnds
		}
	}
	return most
}

// askKind sends one sound request.
func (p *innocentPlay) askKind(k *soundKind, path string) {
	sent := time.Now()
	status, _, h := p.ask(rand.N(poisonEntries), http.MethodGet, path, fmt.Sprint("s", rand.Uint64()), 2*time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	k.note(sent, status, wire.Reason(h.Get(wire.HeaderReason)))
}

// trouble ends servers for other reasons now and then.
func (p *innocentPlay) trouble(span time.Duration) {
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
			p.endServer(f, f.life.Load())
		case 1: // several crash within 100 ms
			for _, i := range p.rnd.Perm(len(servers))[:2+p.rnd.IntN(2)] {
				f := servers[i]
				p.work.Go(func() {
					time.Sleep(rand.N(100 * time.Millisecond))
					p.endServer(f, f.life.Load())
				})
			}
		case 2: // news is lost between a zone and the others
			p.mu.Lock()
			p.cuts = append(p.cuts, time.Now())
			p.mu.Unlock()
			cut := p.cutZone(fmt.Sprint("z", p.rnd.IntN(3)))
			time.Sleep(longestCut/5 + time.Duration(p.rnd.Int64N(int64(longestCut)*4/5)))
			cut.Store(false)
		case 3: // a calm while
		}
	}
}

// play plays it.
func (p *innocentPlay) play() {
	const span = 14 * time.Second
	p.from = time.Now()
	p.askSound(span)
	time.Sleep(2 * time.Second)
	p.askCulprit(8*time.Second, float64(1+p.rnd.IntN(12)))
	if p.rnd.IntN(2) == 0 {
		p.work.Go(func() { p.trouble(8 * time.Second) })
	}
	p.finish()
}

// No request of a popular kind that ended nothing is refused as a suspect for long: three ends, under each of which some of its runs were, by chance, had it held back.
func TestNoSoundKindIsHeldBackForLong(t *testing.T) {
	t.Parallel()
	for i := range *innocentPlays {
		seed := *innocentSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newInnocentPlay(t, seed)
				p.play()
				p.check(c)
			})
		})
	}
}

// check checks the bounds, and writes a line for the table of many plays.
func (p *innocentPlay) check(c *qt.C) {
	worst, longest, refused, sent, lost := 1.0, time.Duration(0), 0, 0, 0
	for _, k := range append(p.kinds, &p.total) {
		answered := k.sent - k.lost
		share := float64(k.served) / float64(max(answered, 1))
		if k.path != "" && k.rate >= popularRate {
			worst, longest = min(worst, share), max(longest, k.longest)
			c.Check(share >= leastServed, qt.IsTrue, qt.Commentf("%s, %.1f a second: %d of %d served, %d refused as suspects", k.path, k.rate, k.served, answered, k.refused))
			c.Check(k.longest <= longestRefusal, qt.IsTrue, qt.Commentf("%s, %.1f a second: refused for %v", k.path, k.rate, k.longest))
		}
		refused, sent, lost = refused+k.refused, sent+k.sent, lost+k.lost
	}
	c.Check(float64(refused) <= mostRefused*float64(sent), qt.IsTrue, qt.Commentf("%d of %d refused as suspects", refused, sent))
	r := p.of(poisonPath)
	most := p.mostEnds(r)
	c.Check(len(r.ended) <= most, qt.IsTrue, qt.Commentf("the culprit ended %d servers, at most %d may", len(r.ended), most))
	c.Logf("PLAY servers %d fuse %v: %d of %d refused as suspects, %d lost, worst kind %.3f, longest %v, culprit ended %d (at most %d)",
		len(p.servers)-poisonEntries, p.fuse, refused, sent, lost, worst, longest, len(r.ended), most)
}
