package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// Headers between availability zones are packed in transit; both ends see what was sent.
func TestHeadersCrossZonesUnchanged(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("front", "z1", 10)
	_, far := s.add("back", "z2", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "back")}})
	s.waitUntilKnown(1)
	var mu sync.Mutex
	var got http.Header
	far.handle = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got = r.Header.Clone()
		mu.Unlock()
		w.Header().Add("X-Many", "one")
		w.Header().Add("X-Many", "two")
		w.Header().Set("Date", "Mon, 02 Jan 2006 15:04:05 GMT")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "body")
	}
	for i := range 5 {
		id := fmt.Sprint("id-", i)
		status, body, h := s.request(0, http.MethodGet, "/read/x", id, 2*time.Second)
		c.Assert(status, qt.Equals, http.StatusCreated)
		c.Assert(body, qt.Equals, "body")
		c.Assert(h.Get(testNames.AttemptID), qt.Equals, id)
		c.Assert(h["X-Many"], qt.DeepEquals, []string{"one", "two"})
		c.Assert(h.Get("Date"), qt.Equals, "Mon, 02 Jan 2006 15:04:05 GMT")
		c.Assert(h.Get(headerpack.HeaderName), qt.Equals, "")
		mu.Lock()
		c.Assert(got.Get(testNames.AttemptID), qt.Equals, id)
		c.Assert(got.Get(testNames.Caller), qt.Equals, "front")
		c.Assert(got.Get("User-Agent"), qt.Equals, "Go-http-client/1.1")
		c.Assert(got.Get(headerpack.HeaderName), qt.Equals, "")
		mu.Unlock()
	}
}

// A request whose headers can't be unpacked is refused, and its connection is closed.
func TestBadPackedHeaderEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	n, _ := s.add("back", "z2", 10)
	req, err := http.NewRequest(http.MethodGet, "http://"+n.cfg.Listen.Peers+"/read/x", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set(headerpack.HeaderName, "no such thing!")
	res, err := s.clients.Do(req)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	c.Assert(res.StatusCode, qt.Equals, http.StatusBadRequest)
	c.Assert(res.Close, qt.IsTrue)
}
