package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// Guards against answers that together use up the memory of a small VM, each of them within the limit of a single one.
func TestAnswersOverTheBoundAreNotBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		s.add("a", "z0", 1000)
		s.add("front", "z1", 10)
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
		s.waitUntilKnown(1)
		body := strings.Repeat("a", maxBufferedBody)
		s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.Header.Get(testNames.AttemptID), "half") {
				w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				_, _ = io.WriteString(w, body[1:])
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, body)
		})
		check := func() {
			for entry := range 2 {
				status, got, _ := s.request(entry, http.MethodGet, "/read/x", "whole", 2*time.Second)
				c.Check(status, qt.Equals, http.StatusOK)
				c.Check(got == body, qt.IsTrue)
				status, _, _ = s.request(entry, http.MethodGet, "/read/x", "half", 2*time.Second)
				c.Check(status, qt.Not(qt.Equals), http.StatusOK)
			}
		}
		check()
		for _, n := range s.nodes {
			c.Check(n.answerBytes.held.Load(), qt.Equals, int64(0))
			n.answerBytes.take(maxHeldBodyBytes)
		}
		check()
		var conns []io.Closer
		for k := range 300 {
			s.nodes[0].answerBytes.held.CompareAndSwap(maxHeldBodyBytes, 0)
			conns = append(conns, s.sendAndNotRead(c, 0, fmt.Sprint("slow", k)))
		}
		synctest.Wait()
		held := s.nodes[0].answerBytes.held.Load()
		c.Check(held > maxHeldBodyBytes-2*maxBufferedBody && held <= maxHeldBodyBytes, qt.IsTrue, qt.Commentf("%d bytes held for 300 clients that don't read", held))
		for _, conn := range conns {
			conn.Close()
		}
		time.Sleep(3 * time.Second)
		c.Check(s.nodes[0].answerBytes.held.Load(), qt.Equals, int64(0))
	})
}

// sendAndNotRead sends a request to a node on a connection of its own, whose answer isn't read.
func (s *site) sendAndNotRead(c *qt.C, i int, id string) io.Closer {
	conn, err := s.network.dial(s.t.Context(), "127.0.0.1", s.servers[i].outboundAddr, time.Second)
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 2000\r\n\r\n", testNames.AttemptID, id, testNames.TimeLeft)
	c.Assert(err, qt.IsNil)
	return conn
}
