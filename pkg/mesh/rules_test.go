package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// three is a site of three servers of one service, with a route of each kind.
func three(t *testing.T) *site {
	s := newSite(t)
	for i := range 3 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("read", desired.Repeatable, "a"), route("pay", desired.Once, "a"),
	}})
	s.settled(1)
	return s
}

// handleAll gives every server the handler.
func (s *site) handleAll(h func(f *fakeServer, w http.ResponseWriter, r *http.Request)) {
	for _, f := range s.servers {
		f.mu.Lock()
		f.handle = func(w http.ResponseWriter, r *http.Request) { h(f, w, r) }
		f.mu.Unlock()
	}
}

func (s *site) allRan() []string {
	var all []string
	for _, f := range s.servers {
		all = append(all, f.ran()...)
	}
	return all
}

func cutOff(w http.ResponseWriter) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Close()
}

func TestOnceOnlyWorkIsNotSentAgainAfterALostAnswer(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { cutOff(w) })
	for i := range 6 {
		status, _, h := s.ask(i%3, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusBadGateway)
		c.Assert(h.Get("Retry-After"), qt.Equals, "")
		c.Assert(h.Get(sealHeader), qt.Equals, "")
	}
	c.Assert(s.allRan(), qt.HasLen, 6)
}

func TestRepeatableWorkGoesOnAfterALostAnswerWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	var n atomic.Int64
	s.handleAll(func(f *fakeServer, w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%10 == 1 {
			cutOff(w)
			return
		}
		w.Header().Set(sealHeader, "x")
		fmt.Fprint(w, "ok")
	})
	served := 0
	for i := range 60 {
		if status, _, _ := s.ask(i%3, http.MethodGet, "/read/x", fmt.Sprint("g", i), time.Second); status == 200 {
			served++
		}
	}
	c.Assert(served >= 58, qt.IsTrue, qt.Commentf("%d of 60", served))

	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { cutOff(w) })
	before := len(s.allRan())
	for i := range 60 {
		s.ask(i%3, http.MethodGet, "/read/x", fmt.Sprint("h", i), time.Second)
	}
	repeats := len(s.allRan()) - before - 60
	c.Assert(repeats <= 30, qt.IsTrue, qt.Commentf("%d repeats of 60", repeats))
}

func TestAServersOwnRefusalIsNoRunAndIsTriedElsewhere(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	var refusals atomic.Int64
	s.handleAll(func(f *fakeServer, w http.ResponseWriter, _ *http.Request) {
		if f == s.servers[0] {
			refusals.Add(1)
			w.Header().Set(testNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(sealHeader, "x")
		fmt.Fprint(w, "ok")
	})
	status, body, _ := s.ask(0, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status, qt.Equals, 200)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(refusals.Load(), qt.Equals, int64(1))

	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, _, h := s.ask(0, http.MethodPost, "/pay/x", "q", time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	c.Assert(after > 0 && after <= 1.0/3, qt.IsTrue, qt.Commentf("%v", after))
}

// An answer that carries another request's id, or that breaks off, never reaches a client.
func TestSpoiltAnswersDontReachClients(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	for name, h := range map[string]func(w http.ResponseWriter){
		"another id": func(w http.ResponseWriter) {
			w.Header().Set(testNames.AttemptID, "other")
			fmt.Fprint(w, "wrong")
		},
		"cut body": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "wrong")
			w.(http.Flusher).Flush()
			cutOff(w)
		},
	} {
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { h(w) })
		status, body, _ := s.ask(1, http.MethodPost, "/pay/x", "p", time.Second)
		c.Assert(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		c.Assert(body, qt.Equals, "", qt.Commentf("%s", name))
	}
}

func TestAServersFailurePassesUnchanged(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, "sealed")
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "its text")
	})
	status, body, h := s.ask(1, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status, qt.Equals, http.StatusInternalServerError)
	c.Assert(body, qt.Equals, "its text")
	c.Assert(h.Get(sealHeader), qt.Equals, "sealed")
}

// A read that one server fails is read from another; once-only work isn't.
func TestReadsAreRepeatedAfterAServersFailure(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.handleAll(func(f *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, f.instance)
		if f == s.servers[0] {
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprint(w, "text")
	})
	status, _, _ := s.ask(0, http.MethodGet, "/read/x", "g", time.Second)
	c.Assert(status, qt.Equals, 200)
	status, _, h := s.ask(0, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status == 200 || h.Get(sealHeader) == s.servers[0].instance, qt.IsTrue)
	for _, id := range s.allRan() {
		c.Assert(id == "g" || id == "p", qt.IsTrue)
	}
	n := 0
	for _, id := range s.allRan() {
		if id == "p" {
			n++
		}
	}
	c.Assert(n, qt.Equals, 1)

	s.handleAll(func(f *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, f.instance)
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "its text")
	})
	status, body, _ := s.ask(0, http.MethodGet, "/read/x", "g2", time.Second)
	c.Assert(status, qt.Equals, http.StatusInternalServerError)
	c.Assert(body, qt.Equals, "its text")
}

func TestADrainingServerGetsNothingFromAnyNode(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.beat(1, true)
	before := len(s.servers[1].ran())
	for i := range 60 {
		status, _, _ := s.ask(i%3, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, 200)
	}
	c.Assert(s.servers[1].ran(), qt.HasLen, before)
	s.beat(1, false) // a heartbeat that was under way
	s.ask(1, http.MethodPost, "/pay/x", "late", time.Second)
	c.Assert(s.servers[1].ran(), qt.HasLen, before)
}

func TestLeavingIsAcknowledgedWithinASecondWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.store.setDown(true)
	begun := time.Now()
	s.beat(2, true)
	c.Assert(time.Since(begun) < 900*time.Millisecond, qt.IsTrue)
	s.store.setDown(false)
	s.until("the record is stored after the outage", func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return s.store.records[s.servers[2].ip].Phase.String() == "draining"
	})
	c.Assert(time.Since(begun) < 3*time.Second, qt.IsTrue)
}

func TestARoutesTimeoutEndsInAFinalAnswer(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	r := route("slow", desired.Once, "a")
	r.Timeout = 150 * time.Millisecond
	s.store.put(desired.State{Version: 2, Routes: []desired.Route{r}})
	s.settled(2)
	given := make(chan string, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		given <- r.Header.Get(testNames.TimeLeft)
		<-r.Context().Done()
	})
	begun := time.Now()
	status, _, _ := s.ask(0, http.MethodPost, "/slow/x", "p", 5*time.Second)
	c.Assert(status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(begun) < 600*time.Millisecond, qt.IsTrue)
	left, err := strconv.Atoi(<-given)
	c.Assert(err, qt.IsNil)
	c.Assert(left > 0 && left <= 150, qt.IsTrue, qt.Commentf("%d", left))
}

func TestAClientThatLeavesEndsTheWork(t *testing.T) {
	s := three(t)
	gone := make(chan struct{}, 1)
	started := make(chan struct{}, 1)
	s.handleAll(func(_ *fakeServer, _ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		gone <- struct{}{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.nodes[0].cfg.Listen.Outbound+"/read/x", nil)
	req.Host = "h"
	req.Header.Set(testNames.AttemptID, "g")
	req.Header.Set(testNames.TimeLeft, "5000")
	go func() {
		res, err := s.clients.Do(req)
		if err == nil {
			res.Body.Close()
		}
	}()
	<-started
	cancel()
	<-gone
}

func TestBodiesPassUnchangedLongOnesToo(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // whole, since this server discards what is unread once it writes
		w.Header().Set(sealHeader, "x")
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 1000, bufferedBody, bufferedBody + 1, 3 * bufferedBody} {
		for _, known := range []bool{true, false} {
			text := strings.Repeat("abcdefg\n", size/8+1)[:size]
			req, _ := http.NewRequest(http.MethodPost, "http://"+s.nodes[1].cfg.Listen.Outbound+"/pay/x?q=%20", strings.NewReader(text))
			if !known {
				req.ContentLength = -1
			}
			req.Host = "h"
			req.Header.Set(testNames.AttemptID, fmt.Sprint("b", size, known))
			req.Header.Set(testNames.TimeLeft, "5000")
			res, err := s.clients.Do(req)
			c.Assert(err, qt.IsNil)
			body := new(strings.Builder)
			_, err = io.Copy(body, res.Body)
			res.Body.Close()
			c.Assert(err, qt.IsNil)
			c.Assert(res.StatusCode, qt.Equals, 200)
			c.Assert(body.String() == text, qt.IsTrue, qt.Commentf("%d bytes, known %v: got %d, %q", size, known, body.Len(), body.String()[:min(body.Len(), 40)]))
		}
	}
}

func TestTheCallersServiceIsSetWhateverWasSent(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z", 5)
	s.add("b", "z", 5)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("r", desired.Repeatable, "b")}})
	s.settled(1)
	seen := make(chan string, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get(testNames.Caller)
		fmt.Fprint(w, "ok")
	})
	s.ask(0, http.MethodGet, "/r/x", "g", time.Second)
	c.Assert(<-seen, qt.Equals, "a")
}

func TestWithoutADesiredStateAClientIsToldToComeBack(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.store.setDown(true)
	n, _ := s.add("a", "z", 5)
	c.Assert(n.Ready(), qt.IsFalse)
	status, _, h := s.ask(0, http.MethodGet, "/r/x", "g", time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(h.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// A node that the store turns away hears of a change from its peers.
func TestStatesTravelBetweenNodesAndNeverFall(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.nodes[0].takeState("test", mustState(t, desired.State{Version: 9, Routes: []desired.Route{route("new", desired.Once, "a")}}))
	s.until("all have it", func() bool {
		for _, n := range s.nodes {
			if n.state.Load().Version != 9 {
				return false
			}
		}
		return true
	})
	s.nodes[1].takeState("test", mustState(t, desired.State{Version: 5}))
	c.Assert(s.nodes[1].state.Load().Version, qt.Equals, int64(9))
	s.nodes[1].takeState("test", []byte("{"))
	c.Assert(s.nodes[1].state.Load().Version, qt.Equals, int64(9))
}

// A planned stop answers what is in progress and what comes on open connections.
func TestAPlannedStopCutsNothing(t *testing.T) {
	c := qt.New(t)
	s := three(t)
	s.servers[0].work = 400 * time.Millisecond
	s.servers[1].work = 400 * time.Millisecond
	s.servers[2].work = 400 * time.Millisecond
	ends := make(chan int, 1000)
	stop := make(chan struct{})
	for w := range 8 {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					ends <- -1
					return
				default:
				}
				status, _, _ := s.ask(0, http.MethodPost, "/pay/x", fmt.Sprintf("w%d.%d", w, i), 5*time.Second)
				ends <- status
				if status == http.StatusServiceUnavailable || status == 0 {
					ends <- -1
					return
				}
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.nodes[0].Stop(context.Background()) }()
	finished := 0
	for finished < 8 {
		switch st := <-ends; st {
		case -1:
			finished++
		case 200, http.StatusServiceUnavailable:
		default:
			t.Fatalf("status %d during a planned stop", st)
		}
	}
	close(stop)
	c.Assert(<-done, qt.IsNil)
}

func TestPeerHeadersReadBack(t *testing.T) {
	c := qt.New(t)
	in := call{Service: "s", Route: "r", Caller: "c", Priority: 2, Inner: true, Once: true, Version: 12}
	got, err := parseCall(in.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, in)
	r := reply{
		Outcome: wire.NotRun, Reason: wire.ReasonQueue, ByServer: true, Running: 3, Queued: 4, Limit: 5,
		Hold: 7 * time.Millisecond, Success: 99, Version: 8, Stopping: true,
	}
	back, err := parseReply(r.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.Equals, r)
}

func FuzzPeerHeaders(f *testing.F) {
	f.Add("s,r,c,2,3,12")
	f.Add("ran,,1,2,3,4,5,6,7")
	f.Fuzz(func(t *testing.T, v string) {
		if c, err := parseCall(v); err == nil {
			again, err := parseCall(c.encode())
			if err != nil || again != c {
				t.Fatalf("%q: %v, %v", v, again, err)
			}
		}
		_, _ = parseReply(v)
	})
}

func FuzzMessages(f *testing.F) {
	b, _ := encodeMessage(message{From: "127.0.0.1", Version: 3})
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decodeMessage(data); err == nil {
			if _, err := encodeMessage(m); err != nil {
				t.Fatal(err)
			}
		}
	})
}
