package mesh

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// The site of these tests has servers of one service in three availability zones, and in each zone an entry node beside a
// server of another service, where requests arrive. There are 200 reads a second of 60 ms each, all with different paths.
const (
	poisonSlots   = 40
	poisonEntries = 3
	readWork      = 60 * time.Millisecond
	readsPerS     = 200
	// minRestartDelay is the least time until a crashed server is back; some take up to a second more.
	minRestartDelay = 2 * time.Second
	// poisonPath is the path prefix of poison requests; popularPath is a path that many callers request.
	poisonPath  = "/read/poison"
	popularPath = "/read/popular"
)

// drawsSeed is the seed of the random draws of nodes and tests of this site; 0: another one for each play.
var drawsSeed = flag.Uint64("draws", 0, "seed of the draws of a play with poison requests; 0: a random one, which is logged")

// poisonSite is that site, with counts of crashes and served reads.
type poisonSite struct {
	*site
	sameID     bool          // servers restart under their old instance name
	queries    bool          // every second poison request has a query, each a different one
	crashDelay time.Duration // from the start of a poison run to the crash of its server

	mu     sync.Mutex
	poison map[string]*poisonRuns // by path
	reads  map[int]*readCount
	from   time.Time
	work   sync.WaitGroup
	lines  logBuffer // of all nodes
}

// poisonRuns are the times when a poison request reached a server, and when servers crashed during it.
type poisonRuns struct{ sent, crashes []time.Time }

// runsFor returns the runs of a poison request; the caller holds p.mu.
func (p *poisonSite) runsFor(path string) *poisonRuns {
	if p.poison[path] == nil {
		p.poison[path] = &poisonRuns{}
	}
	return p.poison[path]
}

// recordSend records that a poison request reached a server.
func (p *poisonSite) recordSend(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runsFor(path)
	r.sent = append(r.sent, time.Now())
}

// recordCrash records that a server crashed during a poison request.
func (p *poisonSite) recordCrash(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runsFor(path)
	r.crashes = append(r.crashes, time.Now())
}

// crashCount returns how many servers crashed during any poison request.
func (p *poisonSite) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.poison {
		n += len(r.crashes)
	}
	return n
}

// readCount counts the outcomes of the reads that were sent in one second.
type readCount struct{ sent, served, refused int }

// newPoisonSite starts the site with the number of servers of the service.
func newPoisonSite(t *testing.T, servers int, crashDelay time.Duration) *poisonSite {
	seed := *drawsSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return newSeededPoisonSite(t, seed, servers, crashDelay)
}

// newSeededPoisonSite is newPoisonSite with the seed of all draws.
func newSeededPoisonSite(t *testing.T, seed uint64, servers int, crashDelay time.Duration) *poisonSite {
	p := &poisonSite{site: newMemorySite(t), crashDelay: crashDelay, poison: map[string]*poisonRuns{}, reads: map[int]*readCount{}, from: time.Now()}
	p.seedDraws(seed)
	p.log = &p.lines
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(p.lines.linesWith("suspect sent", "suspect refused", "backend server crashed", "request quarantined"))
		}
	})
	t.Logf("all draws from seed %d", seed)
	p.seeds = []string{p.at(p.base+"1", 2), p.at(p.base+"2", 2), p.at(p.base+"3", 2)}
	for i := range poisonEntries {
		p.addFor("e", i, nil)
	}
	for i := range servers {
		p.addFor("a", i, p.serve)
	}
	r := route("read", desired.Repeatable, "a")
	r.MaxAttempts, r.Timeout = 2, 2*time.Second
	p.store.put(desired.State{Version: 1, Routes: []desired.Route{r}})
	p.waitUntilKnown(1)
	return p
}

// addFor adds a node beside a server of the service in one of three zones; serve handles its requests if set.
func (p *poisonSite) addFor(service string, i int, serve func(*fakeServer, http.ResponseWriter, *http.Request)) {
	_, f := p.add(service, fmt.Sprint("z", i%3), poisonSlots)
	p.t.Cleanup(f.client.CloseIdleConnections)
	if serve != nil {
		f.handle = func(w http.ResponseWriter, r *http.Request) { serve(f, w, r) }
	}
}

// serve runs one request; a poison request crashes the server after crashDelay, whether or not it was answered.
func (p *poisonSite) serve(f *fakeServer, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if path := r.URL.Path; strings.HasPrefix(path, poisonPath) {
		p.recordSend(path)
		life := f.lifetimeNumber.Load()
		time.Sleep(p.crashDelay)
		if p.crashServer(f, life) {
			p.recordCrash(path)
		}
		closeConnection(w) // a crashed server answers nothing, not even a copy that ran there at the same time
		return
	}
	time.Sleep(p.randomAround(readWork))
	fmt.Fprint(w, "ok")
}

// crashServer ends the given lifetime of a server, which restarts after some seconds, under a new instance unless
// sameID is set. It reports whether that lifetime was still running.
func (p *poisonSite) crashServer(f *fakeServer, life int64) bool {
	if f.down.Load() || !f.lifetimeNumber.CompareAndSwap(life, life+1) {
		return false
	}
	f.down.Store(true)
	f.mu.Lock()
	srv := f.srv
	f.mu.Unlock()
	srv.Close()
	p.work.Go(func() {
		time.Sleep(minRestartDelay + time.Duration(p.draws.Int64N(int64(time.Second))))
		next := &http.Server{Addr: srv.Addr, Handler: f}
		f.mu.Lock()
		f.srv = next
		if p.sameID {
			f.startedAt.Store(time.Now().UnixMilli())
			f.heartbeatSeq.Store(0)
		} else {
			f.instance = fmt.Sprintf("i-%s-%d", f.ip, life+1)
		}
		f.mu.Unlock()
		ln, err := p.nodeNetwork().listen(next.Addr)
		if err != nil {
			p.t.Error(err)
			return
		}
		go next.Serve(ln)
		p.heartbeat(slices.Index(p.servers, f), false)
		f.down.Store(false)
	})
	return true
}

// differentReads returns a different path for each read.
func differentReads(i int) string { return fmt.Sprint("/read/", i) }

// sendReads sends reads to the entry nodes for the time span; path returns the path of each.
func (p *poisonSite) sendReads(span time.Duration, path func(i int) string) {
	for i := range int(span.Seconds() * readsPerS) {
		p.work.Go(func() {
			second := int(time.Since(p.from) / time.Second)
			status, _, _ := p.request(i%poisonEntries, http.MethodGet, path(i), fmt.Sprint("r", i, "-", second), 2*time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			c := p.reads[second]
			if c == nil {
				c = &readCount{}
				p.reads[second] = c
			}
			c.sent++
			switch status {
			case http.StatusOK:
				c.served++
			case http.StatusServiceUnavailable:
				c.refused++
			}
		})
		time.Sleep(time.Second / readsPerS)
	}
}

// sendPoison sends the poison request perS times a second for the time span, to the entry nodes in turn.
func (p *poisonSite) sendPoison(span time.Duration, perS int, entries ...int) {
	p.sendPath(poisonPath, span, perS, entries...)
}

// sendPath does the same with requests for the path.
func (p *poisonSite) sendPath(path string, span time.Duration, perS int, entries ...int) {
	for i := range int(span.Seconds() * float64(perS)) {
		p.work.Go(func() {
			uri := path
			if p.queries && i%2 == 1 {
				uri += fmt.Sprint("?page=", i)
			}
			p.request(entries[i%len(entries)], http.MethodGet, uri, fmt.Sprint(path, i), 2*time.Second)
		})
		time.Sleep(time.Second / time.Duration(perS))
	}
}

// finish waits for all requests and logs the outcomes by second.
func (p *poisonSite) finish() {
	p.work.Wait()
	var line strings.Builder
	for s := range int(time.Since(p.from)/time.Second) + 1 {
		if c := p.reads[s]; c != nil {
			fmt.Fprintf(&line, " %d/%d", c.served, c.sent)
			if c.refused > 0 {
				fmt.Fprintf(&line, "(%d refused)", c.refused)
			}
		}
	}
	for path, r := range p.poison {
		p.t.Logf("%s: %d servers crashed, %d sends", path, len(r.crashes), len(r.sent))
	}
	p.t.Logf("reads served by second:%s", line.String())
}

// shareServed returns the share of the reads sent in seconds from to to-1 that were served.
func (p *poisonSite) shareServed(from, to int) float64 {
	var all readCount
	for s := from; s < to; s++ {
		if c := p.reads[s]; c != nil {
			all.sent += c.sent
			all.served += c.served
		}
	}
	return float64(all.served) / float64(max(all.sent, 1))
}

// partitionZone partitions a zone from the others while the returned value is true, and closes the open connections
// between them.
func (p *poisonSite) partitionZone(zone string) *atomic.Bool {
	zones := map[string]string{}
	for _, f := range p.servers {
		zones[f.ip] = f.zone
	}
	cut := &atomic.Bool{}
	cut.Store(true)
	p.network.mu.Lock()
	p.network.unreachable = func(ip, addr string) bool {
		host, _, _ := net.SplitHostPort(addr)
		from, to := zones[ip], zones[host]
		return cut.Load() && from != "" && to != "" && (from == zone) != (to == zone)
	}
	p.network.mu.Unlock()
	for _, n := range p.nodes {
		n.peersMu.Lock()
		for _, q := range n.peers {
			if !q.local && (zones[n.ip] == zone) != (zones[q.host] == zone) {
				q.pool.Close()
			}
		}
		n.peersMu.Unlock()
	}
	return cut
}

// sendsBeforeFirstCrash counts the times that the request reached a server before the first crash.
func (r *poisonRuns) sendsBeforeFirstCrash() int {
	n := 0
	for _, at := range r.sent {
		if len(r.crashes) == 0 || at.Before(r.crashes[0]) {
			n++
		}
	}
	return n
}

// sendsAfterThirdCrash counts the times that the request reached a server more than delay after the third crash.
func (r *poisonRuns) sendsAfterThirdCrash(delay time.Duration) int {
	if len(r.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range r.sent {
		if at.After(r.crashes[2].Add(delay)) {
			n++
		}
	}
	return n
}
