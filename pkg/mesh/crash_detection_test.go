package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// Other runs at the crashed server must not delay the detection, since further copies are sent meanwhile.
func TestCrashIsKnownAtOnceThoughOtherRunsWereInProgress(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPoisonSite(t, 1, 70*time.Millisecond)
		time.Sleep(time.Second)
		at := p.nodes[poisonEntries]
		p.work.Go(func() { p.request(poisonEntries, http.MethodGet, poisonPath, "p", 2*time.Second) })
		time.Sleep(50 * time.Millisecond)
		for i := range 20 {
			p.work.Go(func() {
				p.request(poisonEntries, http.MethodGet, fmt.Sprint("/read/", i), fmt.Sprint("r", i), 2*time.Second)
			})
		}
		time.Sleep(23 * time.Millisecond)
		c.Check(p.crashCount(), qt.Equals, 1)
		c.Check(at.poison.AnySuspects(), qt.IsTrue)
		p.work.Wait()
	})
}

// The sender of a copy must treat it like the node beside the crashed server, or it sends the copy on to one more.
func TestSenderQuarantinesACopyLikeTheNodeOfTheCrashedServer(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	sender, beside := s.nodes[0], s.nodes[1]
	q := &request{peerCall: peerCall{Service: "a", Route: "read"}, id: "copy", method: http.MethodGet, host: "h", uri: poisonPath}
	now := time.Now()
	for i := range 3 {
		sender.poison.RecordCrash(now, poison.Crash{
			Lifetime: poison.Lifetime{Host: fmt.Sprint("10.0.0.", i), Instance: "i"}, Service: "a", Runs: []poison.Run{{Identity: q.identity()}},
		})
	}
	q.Stages = sender.suspectDecision(q).Stages
	r, err := parseReply(beside.replyHeader(&answer{outcome: "unknown", crashedLifetime: "i-fourth"}).encode())
	c.Assert(err, qt.IsNil)
	d := &delivery{n: sender, q: q}
	d.recordCrash(sender.peer(beside.ip), r)
	c.Assert(sender.suspectDecision(q).Treatment, qt.Equals, poison.Quarantined)
}
