package mesh

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// When a client closes its connection, the work of all services below ends: here three levels, of which the lowest
// works until it is canceled. Each node sees the cancellation by the closed connection, so it takes only the network
// delays.
func TestClientCancellationEndsAllCallsBelow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newMemorySite(t)
		for _, service := range []string{"top", "middle", "bottom"} {
			s.add(service, "z0", 10)
		}
		s.store.put(desired.State{Version: 1, Routes: []desired.Route{
			route("top", desired.Repeatable, "top"), route("middle", desired.Repeatable, "middle"), route("bottom", desired.Repeatable, "bottom"),
		}})
		s.waitUntilKnown(1)
		begun, ended := make(chan time.Time, 1), make(chan time.Time, 1)
		next := map[string]string{"top": "/middle/x", "middle": "/bottom/x"}
		s.handleAll(func(f *fakeServer, w http.ResponseWriter, r *http.Request) {
			if path := next[f.service]; path != "" {
				req, _ := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+f.outboundAddr+path, nil)
				req.Host = "h"
				req.Header.Set(testNames.AttemptID, "call-"+f.service)
				req.Header.Set(testNames.TimeLeft, "5000")
				if res, err := f.client.Do(req); err == nil {
					res.Body.Close()
				}
				return
			}
			begun <- time.Now()
			<-r.Context().Done()
			ended <- time.Now()
		})
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.servers[0].outboundAddr+"/top/x", nil)
		req.Host = "h"
		req.Header.Set(testNames.AttemptID, "q")
		req.Header.Set(testNames.TimeLeft, "5000")
		client := &http.Client{Transport: s.clients.Transport, Timeout: time.Second} // the client cancels after that
		at := time.Now()
		_, err := client.Do(req)
		c.Assert(err, qt.IsNotNil)
		left := time.Now()
		c.Assert((<-begun).Sub(at) < time.Second, qt.IsTrue)
		took := (<-ended).Sub(left)
		c.Assert(took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the client left", took))
		for _, f := range s.servers {
			f.client.CloseIdleConnections()
		}
	})
}
