package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// pacedPeer returns a peer whose server has just told its pace; slowdown and pace are percentages.
func pacedPeer(host string, near bool, running, slowdown, pace int) *peer {
	p := testPeer(host, near, running, slowdown, 100)
	p.receivedReply(chooseTime, peerReply{Running: running, Limit: 20, Slowdown: slowdown, Pace: pace, Success: 100})
	return p
}

func TestFasterServerIsChosenUntilItsSlotsAreTaken(t *testing.T) {
	c := qt.New(t)
	fast, slow := pacedPeer("f", true, 12, 70, 100), pacedPeer("s", true, 0, 170, 100)
	c.Assert(choicesOf(fast, fast, slow), qt.Equals, 1000)
	full := pacedPeer("f", true, 30, 70, 100)
	c.Assert(choicesOf(slow, full, slow), qt.Equals, 1000)
	usual := pacedPeer("u", true, 0, 100, 100)
	inSpell := pacedPeer("i", true, 0, 175, 250)
	c.Assert(choicesOf(usual, usual, inSpell), qt.Equals, 1000)
	c.Assert(chooseServer(chooseTime.Add(1500*time.Millisecond), []*peer{usual, inSpell}, nil, comparisonOptions{}), qt.Equals, inSpell,
		qt.Commentf("the spell is over, and it lasts 0.7 of the usual time"))
}

// Traffic between zones is charged for, so a server of another zone has to be faster by more than the time that the request takes there.
func TestPacedServerOfThisZoneIsLeftOnlyForAMuchFasterOne(t *testing.T) {
	c := qt.New(t)
	far := pacedPeer("f", false, 0, 70, 100)
	near, slow := pacedPeer("n", true, 8, 130, 100), pacedPeer("s", true, 8, 250, 250)
	c.Assert(choicesOf(near, near, far), qt.Equals, 1000)
	c.Assert(choicesOf(far, slow, far), qt.Equals, 1000)
	hurried := comparisonOptions{usualHold: 100 * time.Millisecond, timeLeft: 100 * time.Millisecond}
	c.Assert(chooseServer(chooseTime, []*peer{near, far}, nil, hurried), qt.Equals, far, qt.Commentf("short of time"))
	calling := comparisonOptions{callShare: 0.9}
	c.Assert(chooseServer(chooseTime, []*peer{slow, far}, nil, calling), qt.Equals, slow, qt.Commentf("it mostly waits for its calls"))
}

// A server that says nothing of its pace counts by its slowdown beside others that do.
func TestServersWithAndWithoutAPaceAreCompared(t *testing.T) {
	c := qt.New(t)
	paced, other := pacedPeer("p", true, 5, 100, 100), testPeer("o", true, 5, 200, 100)
	c.Assert(choicesOf(paced, paced, other), qt.Equals, 1000)
	c.Assert(choicesOf(other, pacedPeer("p", true, 5, 400, 100), other), qt.Equals, 1000)
}

func TestPaceInRepliesRoundTripsAndIsUnknownToTheReleaseBefore(t *testing.T) {
	c := qt.New(t)
	for _, in := range []peerReply{
		{Outcome: "ran", Slowdown: 175, Pace: 250},
		{Outcome: "ran", Slowdown: 175, Pace: 250, RetryAfter: time.Second},
		{Outcome: "ran", Pace: 70, Notice: serverNotice{Leaving: true, Lifetime: noticedPeer("n", serverNotice{}).knownServer()}},
	} {
		got, err := parseReply(in.encode())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, in)
	}
	c.Assert(peerReply{Outcome: "ran", Slowdown: 5, Pace: 7}.encode(), qt.Equals, "ran,,0,0,0,0,5,0,0,7")
	c.Assert(peerReply{Outcome: "ran", Slowdown: 5}.encode(), qt.Equals, "ran,,0,0,0,0,5,0,0")
	for _, v := range []string{"ran,,0,0,0,0,5,0,0,", "ran,,0,0,0,0,5,0,0,0", "ran,,0,0,0,0,5,0,0,-5", "ran,,0,0,0,0,5,0,0,x"} {
		_, err := parseReply(v)
		c.Assert(err, qt.ErrorMatches, "malformed peer header Rs-R.*", qt.Commentf("%q", v))
	}
	call, err := parseCall(peerCall{ReadsPace: true}.encode())
	c.Assert(err, qt.IsNil)
	c.Assert(call.ReadsPace, qt.IsTrue)
}

// tellPace makes the servers of a site tell a load header.
func (s *site) tellPace(value string) { s.advertise(testNames.Advertised.Load, value) }

// The pace that a server tells reaches the senders, and has no effect where it is switched off or unusable.
func TestToldPaceReachesTheSender(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprint("off ", off), func(t *testing.T) {
			c := qt.New(t)
			s := newMemorySite(t)
			s.tune = func(m *settings.Mesh) {
				if off {
					m.Off = []settings.Mechanism{settings.ServerPace}
				}
			}
			s.add("a", "z", 10)
			s.add("entry", "z", 10)
			s.store.put(desiredReads("a"))
			s.waitUntilKnown(1)
			sender, p := s.nodes[1], s.nodes[1].peer(s.servers[0].ip)
			paceAfter := func(id, value string) float64 {
				s.tellPace(value)
				status, _, h := s.request(1, http.MethodGet, "/read/x", id, time.Second)
				c.Assert(status, qt.Equals, http.StatusOK)
				c.Assert(h.Get(testNames.Advertised.Load), qt.Equals, value, qt.Commentf("the caller sees it as before"))
				return p.loadEstimate(sender.clock.Now()).pace
			}
			c.Assert(paceAfter("three", "1,0,10"), qt.Equals, 0.0)
			told := paceAfter("four", "1,0,10,250")
			if off {
				c.Assert(told, qt.Equals, 0.0)
				return
			}
			c.Assert(told, qt.Equals, 2.5)
			c.Assert(paceAfter("unusable", "1,0,10,fast"), qt.Equals, 2.5, qt.Commentf("the last one holds"))
			c.Assert(metricsText(s.nodes[0]), qt.Contains, "rockspoke_server_headers_invalid_total 1")
			s.nodes[0].updateGauges()
			c.Assert(metricsText(s.nodes[0]), qt.Contains, "rockspoke_server_pace ")
		})
	}
}
