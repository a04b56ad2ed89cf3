package mesh

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

func TestPeerHeadersRoundTrip(t *testing.T) {
	c := qt.New(t)
	in := peerCall{Service: "s", Route: "r", Caller: "c", Priority: 2, Internal: true, Once: true, RejectedElsewhere: true, Version: 12}
	got, err := parseCall(in.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, in)
	r := peerReply{
		Outcome: wire.NotRun, Reason: wire.ReasonQueue, RefusedByServer: true, Running: 3, Queued: 4, Limit: 5,
		Slowdown: 150, Success: 99, Version: 8, Stopping: true, NotListening: true,
		CrashedLifetime: "i", HasCrashSuccess: true, CrashSuccess: poison.RecentSuccess{true, false, true},
	}
	back, err := parseReply(r.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.Equals, r)
}

func FuzzPeerHeaders(f *testing.F) {
	f.Add("s,r,c,2,7,12")
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
	b, _ := pack(message{From: "127.0.0.1", Version: 3})
	f.Add(b)
	report, _ := pack(sampleReport("10.0.0.1").Report)
	f.Add(report)
	sums, _ := pack([]loads.ServiceSum{{Nodes: 2, Load: sampleReport("").Report}})
	f.Add(sums)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if unpack(data, &m) == nil {
			if _, err := pack(m); err != nil {
				t.Fatal(err)
			}
		}
		var r loads.Report
		_ = unpack(data, &r)
		var s []loads.ServiceSum
		_ = unpack(data, &s)
	})
}
