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
)

func TestOnceOnlyRequestIsNotRetriedAfterLostAnswer(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	for i := range 6 {
		status, _, h := s.request(i%3, http.MethodPost, "/pay/x", fmt.Sprint("p", i), time.Second)
		c.Assert(status, qt.Equals, http.StatusBadGateway)
		c.Assert(h.Get("Retry-After"), qt.Equals, "")
		c.Assert(h.Get(sealHeader), qt.Equals, "")
	}
	c.Assert(s.allRan(), qt.HasLen, 6)
}

func TestRepeatableRequestIsRetriedAfterLostAnswerWithinBudget(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	var n atomic.Int64
	s.handleAll(func(f *fakeServer, w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%10 == 1 {
			closeConnection(w)
			return
		}
		w.Header().Set(sealHeader, "x")
		fmt.Fprint(w, "ok")
	})
	served := 0
	for i := range 60 {
		if status, _, _ := s.request(i%3, http.MethodGet, "/read/x", fmt.Sprint("g", i), time.Second); status == 200 {
			served++
		}
	}
	c.Assert(served >= 58, qt.IsTrue, qt.Commentf("%d of 60", served))

	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	before := len(s.allRan())
	for i := range 60 {
		s.request(i%3, http.MethodGet, "/read/x", fmt.Sprint("h", i), time.Second)
	}
	retries := len(s.allRan()) - before - 60
	c.Assert(retries <= 30, qt.IsTrue, qt.Commentf("%d retries of 60", retries))
}

func TestServerRefusalIsNotARunAndIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
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
	status, body, _ := s.request(0, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status, qt.Equals, 200)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(refusals.Load(), qt.Equals, int64(1))

	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, _, h := s.request(0, http.MethodPost, "/pay/x", "q", time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	c.Assert(after > 0 && after <= 1.0/3, qt.IsTrue, qt.Commentf("%v", after))
}

// An answer that carries another request's id, or whose body is truncated, must not reach a client.
func TestInvalidAnswersDoNotReachClients(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	for name, h := range map[string]func(w http.ResponseWriter){
		"another id": func(w http.ResponseWriter) {
			w.Header().Set(testNames.AttemptID, "other")
			fmt.Fprint(w, "wrong")
		},
		"cut body": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "wrong")
			w.(http.Flusher).Flush()
			closeConnection(w)
		},
	} {
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) { h(w) })
		status, body, _ := s.request(1, http.MethodPost, "/pay/x", "p", time.Second)
		c.Assert(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		c.Assert(body, qt.Equals, "", qt.Commentf("%s", name))
	}
}

func TestServerFailureIsPassedOnUnchanged(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, "sealed")
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "its text")
	})
	status, body, h := s.request(1, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status, qt.Equals, http.StatusInternalServerError)
	c.Assert(body, qt.Equals, "its text")
	c.Assert(h.Get(sealHeader), qt.Equals, "sealed")
}

// A read that one server fails is sent to another one; once-only requests aren't.
func TestReadsAreRetriedAfterServerFailure(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.waitFor("the cost of a read is known", func() bool {
		s.request(0, http.MethodGet, "/read/x", "warm", time.Second)
		return s.nodes[0].plan.Load().runsPerRequest["read"]["a"] > 0
	})
	s.handleAll(func(f *fakeServer, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, f.instance)
		if f == s.servers[0] {
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprint(w, "text")
	})
	status, _, _ := s.request(0, http.MethodGet, "/read/x", "g", time.Second)
	c.Assert(status, qt.Equals, 200)
	status, _, h := s.request(0, http.MethodPost, "/pay/x", "p", time.Second)
	c.Assert(status == 200 || h.Get(sealHeader) == s.servers[0].instance, qt.IsTrue)
	for _, id := range s.allRan() {
		c.Assert(id == "g" || id == "p" || id == "warm", qt.IsTrue)
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
	status, body, _ := s.request(0, http.MethodGet, "/read/x", "g2", time.Second)
	c.Assert(status, qt.Equals, http.StatusInternalServerError)
	c.Assert(body, qt.Equals, "its text")
}

func TestRouteTimeoutGivesAFinalAnswer(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	r := route("slow", desired.AtMostOnce, "a")
	r.Timeout = 150 * time.Millisecond
	s.store.put(desired.State{Version: 2, Routes: []desired.Route{r}})
	s.waitUntilKnown(2)
	given := make(chan string, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		given <- r.Header.Get(testNames.TimeLeft)
		<-r.Context().Done()
	})
	started := time.Now()
	status, _, _ := s.request(0, http.MethodPost, "/slow/x", "p", 5*time.Second)
	c.Assert(status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(started) < 600*time.Millisecond, qt.IsTrue)
	left, err := strconv.Atoi(<-given)
	c.Assert(err, qt.IsNil)
	c.Assert(left > 0 && left <= 150, qt.IsTrue, qt.Commentf("%d", left))
}

func TestClientCancellationEndsTheRun(t *testing.T) {
	s := newThreeServerSite(t)
	canceled := make(chan struct{}, 1)
	started := make(chan struct{}, 1)
	s.handleAll(func(_ *fakeServer, _ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
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
	<-canceled
}

func TestShortAndLongBodiesPassUnchanged(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // read completely first, since net/http discards the unread rest on the first write
		w.Header().Set(sealHeader, "x")
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 1000, maxBufferedBody, maxBufferedBody + 1, 3 * maxBufferedBody} {
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

func TestCallerServiceHeaderIsSetByNode(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z", 5)
	s.add("b", "z", 5)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("r", desired.Repeatable, "b")}})
	s.waitUntilKnown(1)
	seen := make(chan string, 1)
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get(testNames.Caller)
		fmt.Fprint(w, "ok")
	})
	s.request(0, http.MethodGet, "/r/x", "g", time.Second)
	c.Assert(<-seen, qt.Equals, "a")
}

func TestClientIsToldToRetryWithoutDesiredState(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.store.setDown(true)
	n, _ := s.add("a", "z", 5)
	c.Assert(n.Ready(), qt.IsFalse)
	status, _, h := s.request(0, http.MethodGet, "/r/x", "g", time.Second)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(h.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// A node that can't read the store gets a new desired state from its peers, and no node goes back to an older one.
func TestStatesSpreadBetweenNodesAndNeverGoBack(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	s.nodes[0].applyState("test", mustState(t, desired.State{Version: 9, Routes: []desired.Route{route("new", desired.AtMostOnce, "a")}}))
	s.waitFor("all have it", func() bool {
		for _, n := range s.nodes {
			if n.state.Load().Version != 9 {
				return false
			}
		}
		return true
	})
	s.nodes[1].applyState("test", mustState(t, desired.State{Version: 5}))
	c.Assert(s.nodes[1].state.Load().Version, qt.Equals, int64(9))
	s.nodes[1].applyState("test", []byte("{"))
	c.Assert(s.nodes[1].state.Load().Version, qt.Equals, int64(9))
}
