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

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

var (
	harmlessPlays = flag.Int("innocent.plays", 4, "plays of TestHarmlessKindIsNotRefusedForLong")
	harmlessSeed  = flag.Uint64("innocent.seed", 1, "seed of the first one")
)

// Bounds that every play is checked against.
const (
	// minServedShare is the least share of the requests of a harmless kind that are served in a play, leaving out those
	// whose server crashed.
	minServedShare = 0.99
	// maxPartition is the longest time for which a zone is partitioned.
	maxPartition = time.Second
	// popularRate is the rate in requests per second from which a kind counts as popular.
	popularRate = 5.0
	// maxRefusedShare is the largest share of all harmless requests that may be refused as suspects.
	maxRefusedShare = 0.01
	// maxRefusalTime is the longest time for which requests of a harmless kind may be refused as suspects without one
	// being served.
	maxRefusalTime = time.Second
	// maxPoisonCrashes is how many servers the poison request may crash, beyond one for each copy that was sent before
	// its first crash was known.
	maxPoisonCrashes = 2
	// crashDetectionTime is how long a crash takes to be known: a node checks its server several times.
	crashDetectionTime = maxCrashChecks * crashCheckInterval
)

// harmlessKind is a kind of harmless requests and their outcomes.
type harmlessKind struct {
	path           string
	rate           float64 // requests per second
	sent           int
	served         int
	refused        int // as suspects
	lost           int // both attempts ended in a crash
	refusedSince   time.Time
	longestRefusal time.Duration // in which some were refused and none was served
}

// record counts the outcome of one request that was sent at the time.
func (k *harmlessKind) record(sent time.Time, status int, reason wire.Reason) {
	k.sent++
	switch {
	case status == http.StatusOK:
		k.served++
		if sent.After(k.refusedSince) {
			k.refusedSince = time.Time{}
		}
	case reason == wire.ReasonSuspect || reason == wire.ReasonQuarantined:
		k.refused++
		if k.refusedSince.IsZero() {
			k.refusedSince = sent
		}
		k.longestRefusal = max(k.longestRefusal, sent.Sub(k.refusedSince))
	default:
		k.lost++
	}
}

// harmlessPlay is one simulated run whose parameters are drawn from a seed.
type harmlessPlay struct {
	*poisonSite
	rnd        *rand.Rand
	mu         sync.Mutex
	sent       []time.Time // when copies of the poison request were sent
	partitions []time.Time // when a zone was partitioned
	kinds      []*harmlessKind
	total      harmlessKind // of requests that are each sent once
}

// kindShares are the shares of popular kinds in the harmless requests.
var kindShares = []float64{1. / 3, 1. / 4, 1. / 10, 1. / 30, 1. / 100, 1. / 1000}

// newHarmlessPlay draws the parameters of a play and starts its site.
func newHarmlessPlay(t *testing.T, seed uint64) *harmlessPlay {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := &harmlessPlay{rnd: rnd}
	crashDelay := time.Duration(50+rnd.IntN(1950)) * time.Millisecond
	if rnd.IntN(3) == 0 {
		crashDelay = 500 * time.Millisecond
	}
	p.poisonSite = newPoisonSite(t, 6+rnd.IntN(7), crashDelay)
	rate := float64(100 + rnd.IntN(150))
	first := rnd.IntN(2)
	for i, share := range kindShares[first : first+5] {
		p.kinds = append(p.kinds, &harmlessKind{path: fmt.Sprint("/read/kind", i), rate: rate * share})
	}
	p.total.rate = rate / 4
	return p
}

// sendHarmless sends harmless requests for the time span.
func (p *harmlessPlay) sendHarmless(span time.Duration) {
	for _, k := range append(p.kinds, &p.total) {
		p.work.Go(func() {
			end := time.Now().Add(span)
			for i := 0; ; i++ {
				time.Sleep(time.Duration(p.draws.ExpFloat64() / k.rate * float64(time.Second)))
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

// sendPoison sends the poison request for the time span at the rate.
func (p *harmlessPlay) sendPoison(span time.Duration, perS float64) {
	p.work.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(p.randomAround(time.Duration(float64(time.Second) / perS))) {
			p.mu.Lock()
			p.sent = append(p.sent, time.Now())
			p.mu.Unlock()
			p.work.Go(func() {
				p.request(p.draws.IntN(poisonEntries), http.MethodGet, poisonPath, fmt.Sprint("p", p.draws.Uint64()), 2*time.Second)
			})
		}
	})
}

// maxCrashes returns how many servers the poison request may crash. During a partition each side knows only its own
// crashes.
func (p *harmlessPlay) maxCrashes(r *poisonRuns) int {
	limit := maxPoisonCrashes
	for _, at := range p.sent {
		if len(r.crashes) > 0 && at.Before(r.crashes[0].Add(crashDetectionTime)) {
			limit++
		}
	}
	for _, at := range p.partitions {
		if len(r.crashes) > 0 && at.After(r.crashes[0].Add(-maxPartition)) && at.Before(r.crashes[len(r.crashes)-1]) {
			limit += maxPoisonCrashes
		}
	}
	return limit
}

// sendKind sends one harmless request of the kind and records its outcome.
func (p *harmlessPlay) sendKind(k *harmlessKind, path string) {
	sent := time.Now()
	status, _, h := p.request(p.draws.IntN(poisonEntries), http.MethodGet, path, fmt.Sprint("s", p.draws.Uint64()), 2*time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	k.record(sent, status, wire.Reason(h.Get(wire.HeaderReason)))
}

// injectFaults crashes servers for other reasons and partitions zones from time to time, for the time span.
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
			p.crashServer(f, f.lifetimeNumber.Load())
		case 1: // several crash within 100 ms
			for _, i := range p.rnd.Perm(len(servers))[:2+p.rnd.IntN(2)] {
				f := servers[i]
				p.work.Go(func() {
					time.Sleep(time.Duration(p.draws.Int64N(int64(100 * time.Millisecond))))
					p.crashServer(f, f.lifetimeNumber.Load())
				})
			}
		case 2: // a zone is partitioned from the others
			p.mu.Lock()
			p.partitions = append(p.partitions, time.Now())
			p.mu.Unlock()
			cut := p.partitionZone(fmt.Sprint("z", p.rnd.IntN(3)))
			time.Sleep(maxPartition/5 + time.Duration(p.rnd.Int64N(int64(maxPartition)*4/5)))
			cut.Store(false)
		case 3: // no fault
		}
	}
}

// run runs the play to its end.
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

// Requests of a popular harmless kind must not be refused as suspects for long. Such a kind was quarantined when some
// of its runs were, by chance, in progress at three crashes.
func TestHarmlessKindIsNotRefusedForLong(t *testing.T) {
	t.Parallel()
	playSeeds(t, *harmlessPlays, *harmlessSeed, func(t *testing.T, seed uint64) {
		c := qt.New(t)
		p := newHarmlessPlay(t, seed)
		p.run()
		p.check(c)
	})
}

// A kind that was just served must not be refused because the server that crashed had not run it before, and a single
// server is left.
func TestServedKindMayGoToTheLastServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 3, 0)
		time.Sleep(time.Second)
		send := func(path string) (int, wire.Reason) {
			status, _, h := p.request(0, http.MethodGet, path, path, 2*time.Second)
			return status, wire.Reason(h.Get(wire.HeaderReason))
		}
		status, _ := send("/read/served")
		c.Assert(status, qt.Equals, http.StatusOK)
		n := p.nodes[0]
		for _, f := range p.servers[poisonEntries : poisonEntries+2] {
			crash := poison.Crash{Lifetime: poison.Lifetime{Host: f.ip, Instance: n.peer(f.ip).knownLifetime()}, Service: "a"}
			for _, path := range []string{"/read/served", "/read/new"} {
				content := poison.RequestContent{Service: "a", Method: http.MethodGet, Host: "h", URI: path, Caller: "e"}
				crash.Runs = append(crash.Runs, poison.Run{Identity: content.Identity()})
			}
			n.poison.RecordCrash(time.Now(), crash)
			n.markServerCrashed(crash)
		}
		status, reason := send("/read/new")
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(reason, qt.Equals, wire.ReasonSuspect)
		status, reason = send("/read/served")
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", reason))
	})
}

// check checks the bounds and logs one line for the table of many plays.
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
	limit := p.maxCrashes(r)
	c.Check(len(r.crashes) <= limit, qt.IsTrue, qt.Commentf("the poison request crashed %d servers, at most %d may", len(r.crashes), limit))
	if refused > 0 && !c.Failed() {
		c.Log(p.lines.linesWith("suspect refused", "request quarantined", "backend server crashed"))
	}
	c.Logf("PLAY servers %d fuse %v: %d of %d refused as suspects, %d lost, worst kind %.3f, longest %v, culprit ended %d (at most %d)",
		len(p.servers)-poisonEntries, p.crashDelay, refused, sent, lost, worst, longest, len(r.crashes), limit)
}
