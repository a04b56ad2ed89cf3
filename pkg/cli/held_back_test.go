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

// The list names the servers that ended; lifting names the request, and a refusal is shown as the node wrote it.
func TestHeldBackIsListedAndLifted(t *testing.T) {
	c := qt.New(t)
	held := mesh.Suspect{
		Case: poison.Case{
			Service: "hire-ledger", Route: "bills", Request: "680674fc7cfe4b36",
			Fingerprint: poison.RequestContent{URI: "/bills/7"}.Identity().Widest(),
			Crashed:     []poison.Lifetime{{Host: "10.1.0.8", Instance: "i-1/4"}, {Host: "10.1.0.9", Instance: "i-2/7"}},
		},
		Treatment: "held back", For: 21 * time.Second,
	}
	var called string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called = r.Method + " " + r.URL.Path
		if strings.HasSuffix(r.URL.Path, "other") {
			http.Error(w, "no such request is under suspicion", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode([]mesh.Suspect{held})
	}))
	defer node.Close()
	at := strings.TrimPrefix(node.URL, "http://")
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		status := Main(context.Background(), append([]string{"held-back", "--node", at}, args...), strings.NewReader(""), &out, &out)
		return status, out.String()
	}
	status, out := run()
	c.Assert(status, qt.Equals, ExitOK)
	c.Assert(out, qt.Equals, `REQUEST           SERVICE      ROUTE  TREATMENT  FOR  SOUND  ENDED                           FINGERPRINT
680674fc7cfe4b36  hire-ledger  bills  held back  21s  false  10.1.0.8 i-1/4, 10.1.0.9 i-2/7  `+held.Fingerprint.String()+"\n")
	status, out = run("--lift", held.Request)
	c.Assert(status, qt.Equals, ExitOK)
	c.Assert(out, qt.Equals, "lifted 680674fc7cfe4b36\n")
	c.Assert(called, qt.Equals, "DELETE "+mesh.HeldBackPath+held.Request)
	status, out = run("--lift", "other")
	c.Assert(status, qt.Equals, ExitFailed)
	c.Assert(out, qt.Contains, "no such request is under suspicion")
}
