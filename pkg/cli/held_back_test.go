package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/mesh"
	"github.com/rockspoke/rockspoke/pkg/poison"
)

// The list shows the servers that each request crashed, --lift sends the request's name to the node, and the text of an
// error response is printed.
func TestHeldBackListsAndLiftsQuarantinedRequests(t *testing.T) {
	c := qt.New(t)
	suspect := mesh.Suspect{
		Case: poison.Case{
			Service: "hire-ledger", Route: "bills", Request: "680674fc7cfe4b36",
			Fingerprint: poison.RequestContent{URI: "/bills/7"}.Identity().Widest(),
			Crashed:     []poison.Lifetime{{Host: "10.1.0.8", Instance: "i-1/4"}, {Host: "10.1.0.9", Instance: "i-2/7"}},
		},
		Treatment: "held back", TimeLeft: 21 * time.Second,
	}
	var requested string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = r.Method + " " + r.URL.Path
		if strings.HasSuffix(r.URL.Path, "other") {
			http.Error(w, "no such request is under suspicion", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode([]mesh.Suspect{suspect})
	}))
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		status := Main(context.Background(), append([]string{"held-back", "--node", address}, args...), strings.NewReader(""), &out, &out)
		return status, out.String()
	}
	status, out := run()
	c.Assert(status, qt.Equals, ExitOK)
	c.Assert(out, qt.Equals, `REQUEST           SERVICE      ROUTE  TREATMENT  FOR  SOUND  ENDED                           FINGERPRINT
680674fc7cfe4b36  hire-ledger  bills  held back  21s  false  10.1.0.8 i-1/4, 10.1.0.9 i-2/7  `+suspect.Fingerprint.String()+"\n")
	status, out = run("--lift", suspect.Request)
	c.Assert(status, qt.Equals, ExitOK)
	c.Assert(out, qt.Equals, "lifted 680674fc7cfe4b36\n")
	c.Assert(requested, qt.Equals, "DELETE "+mesh.QuarantinePath+suspect.Request)
	status, out = run("--lift", "other")
	c.Assert(status, qt.Equals, ExitFailed)
	c.Assert(out, qt.Contains, "no such request is under suspicion")
}
