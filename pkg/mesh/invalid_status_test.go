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

// invalidStatusAnswers are answers whose status is none, on a connection that stays open; ID stands for the id of the request.
var invalidStatusAnswers = map[string]string{
	"000 alone":       "HTTP/1.1 000 What\r\nX-Attempt: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"000, then a 200": "HTTP/1.1 000 What\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok",
	"099 with a body": "HTTP/1.1 099 What\r\nX-Attempt: ID\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
	"101":             "HTTP/1.1 101 Switching Protocols\r\nX-Attempt: ID\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
}

// Guards against an answer whose status is none: its client waited for the whole timeout, or got what followed it.
func TestAnswerWithAnInvalidStatusIsABadGateway(t *testing.T) {
	for name, text := range invalidStatusAnswers {
		for entry, through := range []string{"one node", "two nodes"} {
			t.Run(name+" through "+through, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					s := newMemorySite(t)
					s.add("a", "z0", 10)
					s.add("front", "z1", 10)
					s.store.put(desired.State{Version: 1, Routes: []desired.Route{
						route("pay", desired.AtMostOnce, "a"), route("read", desired.Repeatable, "a"), route("load", desired.Download, "a"),
					}})
					s.waitUntilKnown(1)
					s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						conn, _, err := w.(http.Hijacker).Hijack()
						qt.Check(t, err, qt.IsNil)
						t.Cleanup(func() { conn.Close() })
						_, _ = io.WriteString(conn, strings.Replace(text, "ID", r.Header.Get(testNames.AttemptID), 1))
					})
					for i, path := range []string{"/read/x", "/load/x", "/pay/x"} {
						method := []string{http.MethodGet, http.MethodGet, http.MethodPost}[i]
						begun := time.Now()
						status, body, h := s.request(entry, method, path, fmt.Sprint(path, i), 2*time.Second)
						c.Check(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s %q", path, body))
						c.Check(h.Get(sealHeader), qt.Equals, "")
						c.Check(time.Since(begun) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s took %v", path, time.Since(begun)))
					}
					c.Check(s.allRan(), qt.HasLen, 3, qt.Commentf("no other server is there"))
				})
			})
		}
	}
}

// Guards against a status above those of RFC 9110 that is replaced: the backend server's status goes back unchanged.
func TestStatusAboveTheStandardOnesIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		s.add("a", "z0", 10)
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
		s.waitUntilKnown(1)
		for _, want := range []int{600, 999} {
			s.handleAll(func(_ *fakeServer, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(sealHeader, "s")
				w.WriteHeader(want)
			})
			status, _, h := s.request(0, http.MethodPost, "/pay/x", fmt.Sprint(want), 2*time.Second)
			c.Check(status, qt.Equals, want)
			c.Check(h.Get(sealHeader), qt.Equals, "s")
		}
	})
}
