package mesh

import (
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

// The site of these tests has servers of one service in three availability zones, and in each zone a node beside a server of
// another service where requests come in. Reads take 60 ms, of which 200 come in a second, each for something else.
const (
	poisonSlots   = 40
	poisonEntries = 3
	readWork      = 60 * time.Millisecond
	readsPerS     = 200
	// firstLife is how long a server that ended is away, at least; some take up to a second more.
	firstLife = 2 * time.Second
	// poisonPath begins the path of each request that ends the servers that run it, popularPath is one that many callers send.
	poisonPath  = "/read/poison"
	popularPath = "/read/popular"
)

// poisonSite is that site, with what became of its servers.
type poisonSite struct {
	*site
	sameID  bool          // servers come back under the instance that they had
	queries bool          // every second poison request has a query, another one each time
	fuse    time.Duration // from the begin of a run of the poison request to the end of its server

	mu     sync.Mutex
	poison map[string]*poisonRuns // by path
	reads  map[int]*readCount
	from   time.Time
	work   sync.WaitGroup
}

// poisonRuns are the times at which a poison request reached a server, and at which servers ended under it.
type poisonRuns struct{ sent, ended []time.Time }

// of returns the runs of a poison request; p.mu is held.
func (p *poisonSite) of(path string) *poisonRuns {
	if p.poison[path] == nil {
		p.poison[path] = &poisonRuns{}
	}
	return p.poison[path]
}

// noteSent and noteEnded note that a poison request reached a server, and that one ended under it.
func (p *poisonSite) noteSent(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.of(path)
	r.sent = append(r.sent, time.Now())
}

func (p *poisonSite) noteEnded(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.of(path)
	r.ended = append(r.ended, time.Now())
}

// ends returns how many servers ended under any request.
func (p *poisonSite) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.poison {
		n += len(r.ended)
	}
	return n
}

// readCount is what became of the reads that were sent in one second.
type readCount struct{ sent, served, refused int }

// newPoisonSite starts the site with some servers of the service.
func newPoisonSite(t *testing.T, servers int, fuse time.Duration) *poisonSite {
	p := &poisonSite{site: newMemorySite(t), fuse: fuse, poison: map[string]*poisonRuns{}, reads: map[int]*readCount{}, from: time.Now()}
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
	p.settled(1)
	return p
}

// addFor adds a node beside a server of the service in one of three zones.
func (p *poisonSite) addFor(service string, i int, serve func(*fakeServer, http.ResponseWriter, *http.Request)) {
	_, f := p.add(service, fmt.Sprint("z", i%3), poisonSlots)
	p.t.Cleanup(f.ways.CloseIdleConnections)
	if serve != nil {
		f.handle = func(w http.ResponseWriter, r *http.Request) { serve(f, w, r) }
	}
}

// serve runs one request; the poison request ends the server after a while, answered or not.
func (p *poisonSite) serve(f *fakeServer, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if path := r.URL.Path; strings.HasPrefix(path, poisonPath) {
		p.noteSent(path)
		life := f.life.Load()
		time.Sleep(p.fuse)
		if p.endServer(f, life) {
			p.noteEnded(path)
		}
		cutOff(w) // a server that has ended answers nothing, not even a copy that ran there in the same instant
		return
	}
	time.Sleep(randomAround(readWork))
	fmt.Fprint(w, "ok")
}

// endServer ends one life of a server, which starts anew under another id after some seconds; it reports whether that life went on
// until now.
func (p *poisonSite) endServer(f *fakeServer, life int64) bool {
	if f.down.Load() || !f.life.CompareAndSwap(life, life+1) {
		return false
	}
	f.down.Store(true)
	f.mu.Lock()
	srv := f.srv
	f.mu.Unlock()
	srv.Close()
	p.work.Go(func() {
		time.Sleep(firstLife + rand.N(time.Second))
		next := &http.Server{Addr: srv.Addr, Handler: f}
		f.mu.Lock()
		f.srv = next
		if p.sameID {
			f.born.Store(time.Now().UnixMilli())
			f.seq.Store(0)
		} else {
			f.instance = fmt.Sprintf("i-%s-%d", f.ip, life+1)
		}
		f.mu.Unlock()
		ln, err := p.wire().listen(next.Addr)
		if err != nil {
			p.t.Error(err)
			return
		}
		go next.Serve(ln)
		p.beat(slices.Index(p.servers, f), false)
		f.down.Store(false)
	})
	return true
}

// differentReads gives each read something else to ask for.
func differentReads(i int) string { return fmt.Sprint("/read/", i) }

// askReads sends reads to the entry nodes for a time; path gives what each asks for.
func (p *poisonSite) askReads(span time.Duration, path func(i int) string) {
	for i := range int(span.Seconds() * readsPerS) {
		p.work.Go(func() {
			second := int(time.Since(p.from) / time.Second)
			status, _, _ := p.ask(i%poisonEntries, http.MethodGet, path(i), fmt.Sprint("r", i, "-", second), 2*time.Second)
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

// askPoison sends the poison request so many times a second, for a time, to the entry nodes that are named in turn.
func (p *poisonSite) askPoison(span time.Duration, perS int, entries ...int) {
	p.askFor(poisonPath, span, perS, entries...)
}

// askFor does the same with the request for a path.
func (p *poisonSite) askFor(path string, span time.Duration, perS int, entries ...int) {
	for i := range int(span.Seconds() * float64(perS)) {
		p.work.Go(func() {
			uri := path
			if p.queries && i%2 == 1 {
				uri += fmt.Sprint("?page=", i)
			}
			p.ask(entries[i%len(entries)], http.MethodGet, uri, fmt.Sprint(path, i), 2*time.Second)
		})
		time.Sleep(time.Second / time.Duration(perS))
	}
}

// finish waits for all that was asked and tells what became of it by second.
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
		p.t.Logf("%s: %d servers ended, %d sends", path, len(r.ended), len(r.sent))
	}
	p.t.Logf("reads served by second:%s", line.String())
}

// sharesServed returns what part of the reads of some seconds was served.
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

// cutZone cuts a zone off from the others for as long as the value is true; it closes what is open between them.
func (p *poisonSite) cutZone(zone string) *atomic.Bool {
	zones := map[string]string{}
	for _, f := range p.servers {
		zones[f.ip] = f.zone
	}
	cut := &atomic.Bool{}
	cut.Store(true)
	p.network.mu.Lock()
	p.network.cut = func(ip, addr string) bool {
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

// sendsBeforeFirstEnd counts the times that the request reached a server before any ended.
func (r *poisonRuns) sendsBeforeFirstEnd() int {
	n := 0
	for _, at := range r.sent {
		if len(r.ended) == 0 || at.Before(r.ended[0]) {
			n++
		}
	}
	return n
}

// sendsAfterThirdEnd counts the times that the request reached a server later than some time after its third end.
func (r *poisonRuns) sendsAfterThirdEnd(late time.Duration) int {
	if len(r.ended) < 3 {
		return 0
	}
	n := 0
	for _, at := range r.sent {
		if at.After(r.ended[2].Add(late)) {
			n++
		}
	}
	return n
}
