package mesh

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// Guards against panics of handlers that no metric and no log line tells.
func TestPanicsOfHandlersAreLogged(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	var log logBuffer
	s.log = &log
	s.add("a", "z0", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	n := s.nodes[0]
	srv := n.newServer("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("out of range")
	}))
	ln, err := n.network.listen(srv.Addr)
	c.Assert(err, qt.IsNil)
	go srv.Serve(ln)
	defer srv.Close()
	for _, path := range []string{"/abort", "/x"} {
		_, err := http.Get("http://" + ln.Addr().String() + path)
		c.Check(err, qt.IsNotNil)
	}
	c.Check(log.String(), qt.Contains, `msg=panic`)
	c.Check(log.String(), qt.Contains, `value="out of range"`)
	var text strings.Builder
	n.metrics.writeText(&text)
	c.Check(text.String(), qt.Contains, "rockspoke_panics_total 1\n")
}
