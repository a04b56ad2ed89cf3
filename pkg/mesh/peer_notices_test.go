package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// noticedPeer returns an idle peer of whose server the notice is known.
func noticedPeer(host string, r serverNotice) *peer {
	p := testPeer(host, true, 0, 100, 100)
	p.startLifetime(directory.Lifetime{Instance: "i-" + host})
	r.Lifetime = p.knownServer()
	p.receivedNotice(chooseTime, chooseTime, r, true)
	return p
}

var limit15 = advertised.RateLimit{Advertised: true, PerSecond: 15}

// A server that says it is leaving isn't sent to, not even as the last resort, for a second try or for a call.
func TestLeavingServerIsNeverChosen(t *testing.T) {
	c := qt.New(t)
	leaving, other := noticedPeer("l", serverNotice{Leaving: true}), testPeer("o", true, 0, 100, 100)
	for _, o := range []comparisonOptions{{}, {asksFull: true}} {
		c.Assert(chooseServer(chooseTime, []*peer{leaving}, nil, o), qt.IsNil)
		c.Assert(chooseServer(chooseTime.Add(time.Minute), []*peer{leaving}, nil, o), qt.IsNil)
		c.Assert(chooseServer(chooseTime, []*peer{leaving, other}, []*peer{other}, o), qt.IsNil)
	}
	leaving.updateFromRecord(chooseTime, directory.Record{Host: "l", Instance: "next", Slots: 20, Phase: directory.Serving}, "")
	c.Assert(chooseServer(chooseTime, []*peer{leaving}, nil, comparisonOptions{}), qt.Equals, leaving)
}

func TestServerAtItsRateLimitIsFullHoweverManySlotsAreFree(t *testing.T) {
	c := qt.New(t)
	full := noticedPeer("n", serverNotice{Limit: limit15, Wait: 50 * time.Millisecond, Use: 120})
	busy := testPeer("b", true, 15, 100, 100)
	c.Assert(choicesOf(busy, full, busy), qt.Equals, 1000)
	c.Assert(chooseServer(chooseTime, []*peer{full}, nil, comparisonOptions{}), qt.IsNil)
	c.Assert(chooseServer(chooseTime, []*peer{full}, nil, comparisonOptions{asksFull: true}), qt.Equals, full)
	c.Assert(shortestFullTime(chooseTime, []*peer{busy, full}), qt.Equals, 50*time.Millisecond)
	c.Assert(chooseServer(chooseTime.Add(50*time.Millisecond), []*peer{full}, nil, comparisonOptions{}), qt.Equals, full)
	used := noticedPeer("u", serverNotice{Limit: limit15, Use: 90})
	c.Assert(choicesOf(busy, used, busy), qt.Equals, 1000, qt.Commentf("nearly at its limit"))
	lifted := noticedPeer("l", serverNotice{Limit: limit15, Use: 90, Wait: time.Second})
	lifted.receivedNotice(chooseTime.Add(1), chooseTime.Add(2), serverNotice{Lifetime: lifted.knownServer()}, true)
	c.Assert(choicesOf(lifted, lifted, busy), qt.Equals, 1000)
}

// Nodes of the release before read the two headers as fields by position, and reject one with more of them.
func TestNodesOfTheReleaseBeforeAreUnderstoodAndUnderstand(t *testing.T) {
	c := qt.New(t)
	call, err := parseCall("s,r,c,2,7,12")
	c.Assert(err, qt.IsNil)
	c.Assert(call.ReadsNotices, qt.IsFalse)
	reply, err := parseReply("ran,,2,2,3,4,5,6,7")
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Notice, qt.Equals, serverNotice{})
	c.Assert(peerCall{Service: "s", Route: "r", Caller: "c", Priority: 2, Internal: true, ReadsNotices: true, Version: 12}.encode(), qt.Equals, "s,r,c,2,9,12")
	c.Assert(peerReply{Outcome: wire.Ran, Running: 2, Queued: 3, Limit: 4, Slowdown: 5, Success: 6, Version: 7}.encode(), qt.Equals, "ran,,0,2,3,4,5,6,7")
	c.Assert(peerReply{Outcome: wire.NotRun, Reason: wire.ReasonRateLimit, RetryAfter: time.Second}.encode(), qt.Equals, "not-run,rate-limit,0,0,0,0,0,0,0,,1000")
}

// A node of the release before passes on the server's own header, and would pass headerKnownLimit on to its server.
func TestNodesOfTheReleaseBeforeGetNoKnownLimit(t *testing.T) {
	c := qt.New(t)
	p := noticedPeer("n", serverNotice{Limit: limit15})
	c.Assert(p.knownLimit(), qt.Equals, knownLimit{limit15, "i-n"})
	p.receivedNotice(chooseTime, chooseTime, serverNotice{Lifetime: p.knownServer(), Limit: limit15}, false)
	c.Assert(p.knownLimit(), qt.Equals, knownLimit{})
	c.Assert(p.notices.limit.Limit(), qt.Equals, limit15)
}

// Clients refused for a rate limit return when it allows them, one after the other and not all at once.
func TestClientsRefusedForARateLimitReturnSpreadOut(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	n := &Node{clock: clock.NewManual(now)}
	q := &request{clientDeadline: now.Add(6 * time.Second)}
	delays := func(wait time.Duration) (least, most time.Duration) {
		a := notRunAnswer(wire.ReasonRateLimit)
		a.retryAfter = wait
		least = time.Hour
		for range 2000 {
			d := n.retryDelay(q, a)
			least, most = min(least, d), max(most, d)
		}
		return least, most
	}
	least, most := delays(100 * time.Millisecond)
	c.Assert(least >= 100*time.Millisecond && least < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", least))
	c.Assert(most > 1900*time.Millisecond && most <= 2*time.Second, qt.IsTrue, qt.Commentf("%v: clients return within a third of their time", most))
	least, most = delays(5 * time.Second)
	c.Assert(least >= 5*time.Second && most <= 6250*time.Millisecond, qt.IsTrue, qt.Commentf("%v to %v", least, most))
}

func TestNoticesRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, s := range []serverNotice{
		{Lifetime: directory.Lifetime{Instance: "i-1", StartedMS: 7}, Limit: limit15, Use: 130, Wait: 20 * time.Millisecond},
		{Lifetime: directory.Lifetime{Instance: "i-1"}, Limit: advertised.RateLimit{Advertised: true}, Use: 10_000, Leaving: true},
		{Lifetime: directory.Lifetime{Instance: "i-1"}, Leaving: true},
	} {
		in := peerReply{Outcome: wire.Ran, CrashedLifetime: "x", Notice: s}
		got, err := parseReply(in.encode())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, in)
	}
	l, instance, err := parseKnownLimit(encodeKnownLimit(limit15, "i-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(l, qt.Equals, limit15)
	c.Assert(instance, qt.Equals, "i-1")
	for _, v := range []string{"", "15", "15,", "none,i", "-1,i", "1e9,i"} {
		_, _, err := parseKnownLimit(v)
		c.Assert(err, qt.ErrorMatches, "malformed peer header Rs-L.*", qt.Commentf("%q", v))
	}
}
