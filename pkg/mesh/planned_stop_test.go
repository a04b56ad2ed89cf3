package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// newStoppingSite returns a site of a node without a server of its own service's routes and one whose server works for the time that is the
// last part of a request's id.
func newStoppingSite(t *testing.T) *site {
	s := newMemorySite(t)
	s.add("front", "z0", 10)
	s.add("a", "z1", 50)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(testNames.AttemptID)
		work, err := time.ParseDuration(id[strings.LastIndexByte(id, '-')+1:])
		qt.Check(t, err, qt.IsNil)
		select {
		case <-time.After(work):
			fmt.Fprint(w, "ok")
		case <-r.Context().Done():
		}
	})
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a"), route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	time.Sleep(startupWait)
	return s
}

// sendServedOrRefused sends a request, without waiting for its answer, that must be served, or refused and not run.
func (s *site) sendServedOrRefused(c *qt.C, clients *sync.WaitGroup, id string) {
	clients.Go(func() {
		status, why, _ := s.request(0, http.MethodPost, "/pay/x", id, 10*time.Second)
		ran := slices.Contains(s.allRan(), id)
		c.Check(status == http.StatusOK && ran || status == http.StatusServiceUnavailable && !ran, qt.IsTrue, qt.Commentf("%s: %d %s, ran: %v", id, status, why, ran))
	})
}

// Guards against a stop that cuts the requests of a route which take longer than nearly all others.
func TestStoppingNodeCutsNoRareLongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoppingSite(t)
		var clients sync.WaitGroup
		send := func(id string) { s.sendServedOrRefused(c, &clients, id) }
		for k := range 300 {
			work := "20ms"
			if k%60 == 59 {
				work = "2600ms"
			}
			send(fmt.Sprintf("calm-%d-%s", k, work))
			time.Sleep(10 * time.Millisecond)
		}
		clients.Wait()
		done := make(chan error, 1)
		go func() { done <- s.nodes[0].Stop(context.Background()) }()
		for k := range 35 {
			send(fmt.Sprintf("stop-%d-2600ms", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		c.Assert(<-done, qt.IsNil)
		c.Check(slices.Contains(s.allRan(), "stop-25-2600ms"), qt.IsTrue, qt.Commentf("what ends in time is served"))
	})
}

// Guards against connections that a node closes at the end of its stop without an answer.
func TestStoppingNodeAnswersWhatItGivesUp(t *testing.T) {
	for _, x := range []struct{ name, method, path string }{{"at most once", http.MethodPost, "/pay/x"}, {"repeatable", http.MethodGet, "/read/x"}} {
		for node, name := range []string{"at its entry", "at its server"} {
			t.Run(x.name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					s := newStoppingSite(t)
					var clients sync.WaitGroup
					clients.Go(func() {
						status, why, h := s.request(0, x.method, x.path, "unending-20s", 30*time.Second)
						c.Check(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", why))
						c.Check(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonLeaving))
					})
					time.Sleep(50 * time.Millisecond)
					c.Assert(s.nodes[node].Stop(context.Background()), qt.IsNil)
					clients.Wait()
				})
			})
		}
	}
}

// Guards against a stopping node that lets its server begin other nodes' requests which can't end before it halts.
func TestStoppingNodeRefusesPeersWhatItsServerCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoppingSite(t)
		status, _, _ := s.request(0, http.MethodPost, "/pay/x", "calm-5s", 10*time.Second)
		c.Assert(status, qt.Equals, http.StatusOK)
		done := make(chan error, 1)
		go func() { done <- s.nodes[1].Stop(context.Background()) }()
		time.Sleep(time.Second)
		status, _, h := s.request(0, http.MethodPost, "/pay/x", "stop-5s", 10*time.Second)
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonLeaving))
		c.Check(slices.Contains(s.allRan(), "stop-5s"), qt.IsFalse)
		c.Assert(<-done, qt.IsNil)
	})
}

// Guards against a request that a stopping node takes in late and cuts, since it knows too few of its route to tell how long it takes.
func TestStoppingNodeTakesInNothingUnknownLate(t *testing.T) {
	for _, seen := range []int{0, 3} {
		t.Run(fmt.Sprint(seen, " requests seen"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newStoppingSite(t)
				for k := range seen {
					status, _, _ := s.request(0, http.MethodPost, "/pay/x", fmt.Sprintf("calm-%d-20ms", k), time.Second)
					c.Assert(status, qt.Equals, http.StatusOK)
				}
				var clients sync.WaitGroup
				done := make(chan error, 1)
				go func() { done <- s.nodes[0].Stop(context.Background()) }()
				time.Sleep(unknownServingTime - 200*time.Millisecond)
				s.sendServedOrRefused(c, &clients, "early-20ms")
				time.Sleep(300 * time.Millisecond)
				s.sendServedOrRefused(c, &clients, "late-2600ms")
				clients.Wait()
				c.Assert(<-done, qt.IsNil)
				c.Check(slices.Contains(s.allRan(), "early-20ms"), qt.IsTrue)
			})
		})
	}
}

// Guards against a download that a stopping node takes in and cuts, as only the time to the beginning of its answers was known.
func TestStoppingNodeCutsNoLongDownload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoppingSite(t)
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(testNames.AttemptID)
			work, err := time.ParseDuration(id[strings.LastIndexByte(id, '-')+1:])
			qt.Check(t, err, qt.IsNil)
			w.Header().Set(testNames.AttemptID, id)
			time.Sleep(10 * time.Millisecond)
			fmt.Fprint(w, strings.Repeat("a", 2*maxBufferedBody))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(work)
			fmt.Fprint(w, "end")
		})
		var clients sync.WaitGroup
		get := func(id string) {
			clients.Go(func() {
				status, body, _ := s.request(0, http.MethodGet, "/read/x", id, 10*time.Second)
				whole := status == http.StatusOK && strings.HasSuffix(body, "end")
				c.Check(whole || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%s: %d, %.40q", id, status, body))
			})
		}
		for k := range 12 {
			get(fmt.Sprintf("calm-%d-2600ms", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		done := make(chan error, 1)
		go func() { done <- s.nodes[0].Stop(context.Background()) }()
		for k := range 35 {
			get(fmt.Sprintf("stop-%d-2600ms", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		c.Assert(<-done, qt.IsNil)
		c.Check(slices.Contains(s.allRan(), "stop-25-2600ms"), qt.IsTrue, qt.Commentf("what ends in time is served"))
	})
}

// slowBytes gives one byte at a time, five a second.
type slowBytes struct{ r io.Reader }

// Read waits, and reads one byte.
func (b slowBytes) Read(p []byte) (int, error) {
	time.Sleep(200 * time.Millisecond)
	return b.r.Read(p[:min(len(p), 1)])
}

// Guards against an upload that a stopping node takes in and cuts.
func TestStoppingNodeCutsNoLongUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newUploadSite(t)
		var clients sync.WaitGroup
		upload := func(id string) {
			clients.Go(func() {
				all := strings.NewReader(strings.Repeat("a", uploadBytes))
				body := io.MultiReader(io.LimitReader(all, uploadBytes-13), slowBytes{all})
				status, text, _ := s.upload(0, id, body)
				c.Check(status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%s: %d, %.60q", id, status, text))
			})
		}
		for k := range 12 {
			upload(fmt.Sprint("calm-", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		done := make(chan error, 1)
		go func() { done <- s.nodes[0].Stop(context.Background()) }()
		for k := range 35 {
			upload(fmt.Sprint("stop-", k))
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		c.Assert(<-done, qt.IsNil)
		c.Check(slices.Contains(s.allRan(), "stop-25"), qt.IsTrue, qt.Commentf("what ends in time is served"))
	})
}
