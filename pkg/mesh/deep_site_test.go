package mesh

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The site of these tests has four services in three availability zones. Reads go down through all of them, charges
// through the last three; both end in five calls of the last service, which is left with one server.
const (
	floorSlots = 10
	// floorCapacity is how many reads or charges per second that server can process: each takes five times 30 ms.
	floorCapacity = floorSlots * usableSlotFraction / (5 * 0.030)
	// totalRate is the rate of all requests per second, four times the capacity.
	totalRate = 4 * floorCapacity
	// deepNodes is how many nodes the site has.
	deepNodes = 8
	// usableSlotFraction is the fraction of its slots that a gate uses.
	usableSlotFraction = 0.92
)

// deepRoute is a kind of request of the site.
type deepRoute struct {
	name, service string
	work, limit   time.Duration
	calls         []string
	weight        float64 // share of all requests; 0: only backend servers call it
}

var deepRoutes = []deepRoute{
	{"read", "desk", 120 * time.Millisecond, 800 * time.Millisecond, []string{"check"}, 0.62},
	{"charge", "ledger", 160 * time.Millisecond, time.Second, []string{"index"}, 0.25},
	{"pull", "files", 96 * time.Millisecond, 1500 * time.Millisecond, nil, 0.06},
	{"order", "floor", 96 * time.Millisecond, 1200 * time.Millisecond, nil, 0.07},
	{"check", "ledger", 15 * time.Millisecond, 3 * time.Second, []string{"index"}, 0},
	{"index", "files", 15 * time.Millisecond, 2500 * time.Millisecond, []string{"slot", "slot", "slot", "slot", "slot"}, 0},
	{"slot", "floor", 30 * time.Millisecond, 700 * time.Millisecond, nil, 0},
}

// deepSite returns the site in simulated time.
func deepSite(t *testing.T) *site { return deepSiteOf(t, 1) }

// deepSiteOf returns the site with the given multiple of the servers of each service.
func deepSiteOf(t *testing.T, times int) *site { return tunedDeepSite(t, times, nil) }

// tunedDeepSite does the same with changed settings of the nodes; tune may be nil.
func tunedDeepSite(t *testing.T, times int, tune func(m *settings.Mesh)) *site {
	s := newMemorySite(t)
	s.tune = tune
	s.seeds = []string{s.at(s.base+"1", 2), s.at(s.base+"4", 2), s.at(s.base+"8", 2)}
	for k := range times {
		for i := range 3 {
			s.addDeep("desk", fmt.Sprint("z", i), 60)
		}
		for i := range 2 {
			s.addDeep("ledger", fmt.Sprint("z", i), 100)
			s.addDeep("files", fmt.Sprint("z", i+1), 100)
		}
		s.addDeep("floor", fmt.Sprint("z", (k+2)%3), floorSlots)
	}
	var st desired.State
	st.Version = 1
	for _, r := range deepRoutes {
		x := route(r.name, desired.Repeatable, r.service)
		x.Timeout, x.MaxAttempts, x.Priority = r.limit, 2, 2
		if r.name == "charge" {
			x.Kind, x.Priority = desired.AtMostOnce, 0
		}
		st.Routes = append(st.Routes, x)
	}
	s.store.put(st)
	s.waitUntilKnown(1)
	return s
}

// addDeep adds a node with a backend server that runs the site's routes.
func (s *site) addDeep(service, zone string, slots int) {
	_, f := s.add(service, zone, slots)
	s.t.Cleanup(f.client.CloseIdleConnections)
	f.handle = func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(parseMillis(r.Header.Get(testNames.TimeLeft)))
		for _, x := range deepRoutes {
			if r.URL.Path != "/"+x.name+"/x" {
				continue
			}
			time.Sleep(randomAround(x.work))
			for i, called := range x.calls {
				if !f.call(r.Header.Get(testNames.AttemptID), i, "/"+called+"/x", deadline) {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
			}
			_, _ = io.WriteString(w, x.name)
		}
	}
}

// randomAround returns a random duration from 0.5*d to 1.5*d.
func randomAround(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}

// randomAround is the same with the draws of the site.
func (s *site) randomAround(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.draws.Float64()) * float64(d))
}

// clientLoad is a set of clients that send each request once.
type clientLoad struct {
	mu          sync.Mutex
	served      []time.Time // send times of the served requests
	sending     sync.WaitGroup
	ids         atomic.Int64
	extraTenths atomic.Int64 // the rate is totalRate*(1+extraTenths/10)
}

// start sends requests to all nodes in the background until ctx ends.
func (k *clientLoad) start(ctx context.Context, s *site) {
	for i := range s.nodes {
		k.sending.Go(func() {
			for ctx.Err() == nil {
				k.sending.Go(func() { k.sendOne(s, i) })
				rate := totalRate * (1 + float64(k.extraTenths.Load())/10) / deepNodes // of one node
				time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			}
		})
	}
}

// sendOne sends a request of a random kind to node i and records whether it was served.
func (k *clientLoad) sendOne(s *site, i int) {
	sent, x := time.Now(), rand.Float64()
	for _, r := range deepRoutes {
		if x -= r.weight; x >= 0 {
			continue
		}
		status, _, _ := s.request(i, http.MethodGet, "/"+r.name+"/x", fmt.Sprintf("c%d", k.ids.Add(1)), 6*time.Second)
		if status == http.StatusOK {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.served = append(k.served, sent)
		}
		return
	}
}

// servedIn returns the number of served requests that were sent in the given span.
func (k *clientLoad) servedIn(from time.Time, span time.Duration) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, at := range k.served {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}
