package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// While a zone was cut off, requests went on being sent to its servers until those before them had timed out: a tenth of
// all requests of the other zones failed for two seconds.
func TestAPeerThatFallsSilentIsLeft(t *testing.T) {
	c := qt.New(t)
	cut, sound := testPeer("cut", true, 0, 100, 100), testPeer("sound", true, 10, 100, 100)
	now, usual := chooseTime, 40*time.Millisecond
	for range silentSends {
		cut.sending(now, usual)
		sound.sending(now, usual)
		now = now.Add(10 * time.Millisecond)
	}
	sound.heard(now, peerReply{Limit: 20, Slowdown: 100, Success: 100})
	c.Assert(cut.isSilent(now), qt.IsFalse, qt.Commentf("answers may still come"))
	now = now.Add(silentLeast + silentHolds*usual)
	c.Assert(sound.isSilent(now), qt.IsFalse)
	c.Assert(cut.isSilent(now), qt.IsTrue)
	c.Assert(cut.failed(now), qt.IsTrue)
	c.Assert(cut.usable(now.Add(asideMost)), qt.IsFalse, qt.Commentf("requests to it are still without an answer"))
	cut.inflight.Store(0)
	c.Assert(cut.usable(now.Add(asideMost)), qt.IsTrue)
	cut.sending(now.Add(asideMost), usual)
	c.Assert(cut.usable(now.Add(asideMost)), qt.IsFalse, qt.Commentf("one at a time"))
	cut.heard(now.Add(asideMost), peerReply{Limit: 20, Slowdown: 100, Success: 100})
	c.Assert(cut.usable(now.Add(asideMost)), qt.IsTrue)
}

// A slow server isn't a silent one, and neither is one that is hardly used.
func TestLongAndRareRequestsAreNotSilence(t *testing.T) {
	c := qt.New(t)
	var s silence
	for range 10 {
		s.sent(chooseTime, usualAt(0, 0))
	}
	c.Assert(s.over(chooseTime.Add(unknownHold)), qt.IsFalse)
	s = silence{}
	s.sent(chooseTime, time.Millisecond)
	c.Assert(s.over(chooseTime.Add(time.Hour)), qt.IsFalse)
}
