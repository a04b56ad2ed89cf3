package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// While a zone was cut off, requests were sent to its servers until earlier ones had timed out: a tenth of
// all requests of the other zones failed for two seconds.
func TestUnresponsivePeerIsBackedOff(t *testing.T) {
	c := qt.New(t)
	cut, healthy := testPeer("cut", true, 0, 100, 100), testPeer("sound", true, 10, 100, 100)
	now, usual := chooseTime, 40*time.Millisecond
	for range minUnansweredSends {
		cut.recordSend(now, usual)
		healthy.recordSend(now, usual)
		now = now.Add(10 * time.Millisecond)
	}
	healthy.receivedReply(now, peerReply{Limit: 20, Slowdown: 100, Success: 100})
	c.Assert(cut.becameUnresponsive(now), qt.IsFalse, qt.Commentf("answers may still come"))
	now = now.Add(minUnresponsiveTime + unresponsiveHoldFactor*usual)
	c.Assert(healthy.becameUnresponsive(now), qt.IsFalse)
	c.Assert(cut.becameUnresponsive(now), qt.IsTrue)
	c.Assert(cut.backOff(now), qt.IsTrue)
	c.Assert(cut.usable(now.Add(maxPeerBackoff)), qt.IsFalse, qt.Commentf("requests to it are still without an answer"))
	cut.inflight.Store(0)
	c.Assert(cut.usable(now.Add(maxPeerBackoff)), qt.IsTrue)
	cut.recordSend(now.Add(maxPeerBackoff), usual)
	c.Assert(cut.usable(now.Add(maxPeerBackoff)), qt.IsFalse, qt.Commentf("one at a time"))
	cut.receivedReply(now.Add(maxPeerBackoff), peerReply{Limit: 20, Slowdown: 100, Success: 100})
	c.Assert(cut.usable(now.Add(maxPeerBackoff)), qt.IsTrue)
}

// Guards against a peer that is never checked although requests to it wait: only peers with such requests are checked.
func TestPeersWithUnansweredRequestsAreChecked(t *testing.T) {
	c := qt.New(t)
	p := testPeer("p", true, 0, 100, 100)
	p.inflight.Store(0)
	c.Assert(p.isWaiting(), qt.IsFalse)
	p.recordSend(chooseTime, time.Millisecond)
	for range 2 {
		c.Assert(p.isWaiting(), qt.IsTrue)
	}
	p.inflight.Add(-1)
	c.Assert(p.isWaiting(), qt.IsTrue, qt.Commentf("it ended without an answer"))
	p.recordSend(chooseTime, time.Millisecond)
	p.receivedReply(chooseTime, peerReply{Limit: 20, Slowdown: 100, Success: 100})
	c.Assert(p.isWaiting(), qt.IsTrue, qt.Commentf("it is in flight"))
	p.inflight.Add(-1)
	c.Assert(p.isWaiting(), qt.IsFalse)
}

// A slow server isn't unresponsive, and neither is one that gets few requests.
func TestSlowOrRarelyUsedPeerIsNotUnresponsive(t *testing.T) {
	c := qt.New(t)
	var s unansweredSends
	for range 10 {
		s.add(chooseTime, expectedHoldTime(0, 0))
	}
	c.Assert(s.timedOut(chooseTime.Add(defaultHoldTime)), qt.IsFalse)
	s = unansweredSends{}
	s.add(chooseTime, time.Millisecond)
	c.Assert(s.timedOut(chooseTime.Add(time.Hour)), qt.IsFalse)
}
