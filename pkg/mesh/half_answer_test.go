package mesh

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// halfAnswers are the first parts of answers, after which a backend server closes its connection; ID stands for the id of the request.
var halfAnswers = map[string]string{
	"status line":           "HTTP/1.1 20",
	"status without line":   "HTTP/1.1 200 OK",
	"status after CR":       "HTTP/1.1 200 OK\r",
	"status line alone":     "HTTP/1.1 200 OK\r\n",
	"header name":           "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Le",
	"header value":          "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Length: 1",
	"whole header lines":    "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Length: 0\r\n",
	"header after CR":       "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Length: 0\r\n\r",
	"body":                  "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Length: 10\r\n\r\nhalf",
	"chunk size":            "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n4",
	"chunk":                 "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
	"last chunk":            "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0",
	"trailer":               "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-T: v",
	"after interim answer":  "HTTP/1.1 103 Early Hints\r\n\r\n",
	"within interim answer": "HTTP/1.1 103 Early Hints\r\nLink: </a>",
	"nothing":               "",
}

// Guards against a half answer of a backend server that reaches the client as a whole one.
func TestHalfAnswerIsNoSuccess(t *testing.T) {
	for name, half := range halfAnswers {
		for entry, through := range []string{"one node", "two nodes"} {
			t.Run(name+" through "+through, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					s := newMemorySite(t)
					s.add("a", "z0", 10)
					s.add("front", "z1", 10)
					s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a"), route("read", desired.Repeatable, "a")}})
					s.waitUntilKnown(1)
					s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
						conn, _, err := w.(http.Hijacker).Hijack()
						qt.Check(t, err, qt.IsNil)
						_, _ = io.WriteString(conn, strings.Replace(half, "ID", r.Header.Get(testNames.AttemptID), 1))
						conn.Close()
					})
					for _, method := range []string{http.MethodGet, http.MethodPost} {
						path := map[string]string{http.MethodGet: "/read/x", http.MethodPost: "/pay/x"}[method]
						status, body, _ := s.request(entry, method, path, method, 2*time.Second)
						c.Check(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s %q", method, body))
					}
					c.Check(s.allRan(), qt.HasLen, 2, qt.Commentf("no other server is there"))
				})
			})
		}
	}
}
