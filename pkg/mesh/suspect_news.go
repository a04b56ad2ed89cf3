package mesh

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// The spreading of what is known of suspects. Each server that ends costs all requests in it, and a guilty request comes to the next one within
// some hundredths of a second: the usual exchanges, a third of a second apart, are too late.
const (
	// endNear is how many nodes of the own zone are told of the end of a server at once, endFar how many of each other zone: they tell endRelay near
	// ones in turn, when they first hear of it. With 14 nodes all know within two hops, with 194 most within four; the usual exchanges reach the rest.
	endNear  = 8
	endFar   = 2
	endRelay = 4
	// clearPause is the time in which requests that were cleared are gathered, to be told at once: a popular one is held to one server until then.
	clearPause = 100 * time.Millisecond
	// suspectNewsTime is how long news goes with every exchange.
	suspectNewsTime = recentRecordTTL
	// maxSuspectNews bounds the cases in one message, and maxNewsRuns the runs of all ends in it, some 90 bytes each: the newest go first.
	maxSuspectNews = 64
	maxNewsRuns    = 512
)

// suspectNews is what is new of suspects; it belongs to the control goroutine and its zero value is empty.
type suspectNews struct {
	ends    []endNews
	cases   []caseNews
	cleared []poison.Case // here, and not told yet
	flushAt time.Time     // when they are told; zero: there are none
}

// endNews and caseNews are what was heard or seen, and when; their own ages are from that time.
type (
	endNews struct {
		poison.Crash
		at time.Time
	}
	caseNews struct {
		poison.Case
		at time.Time
	}
)

// addEnd notes the end of a server.
func (s *suspectNews) addEnd(now time.Time, e poison.Crash) { s.ends = append(s.ends, endNews{e, now}) }

// addCase notes a case that changed, as others told it.
func (s *suspectNews) addCase(now time.Time, c poison.Case) {
	s.cases = append(s.cases, caseNews{c, now})
}

// addCleared notes a case that was cleared here.
func (s *suspectNews) addCleared(now time.Time, c poison.Case) {
	s.addCase(now, c)
	s.cleared = append(s.cleared, c)
	if s.flushAt.IsZero() {
		s.flushAt = now.Add(clearPause)
	}
}

// recent returns what is news with its age now, and forgets the rest.
func (s *suspectNews) recent(now time.Time) ([]poison.Crash, []poison.Case) {
	for len(s.ends) > 0 && now.Sub(s.ends[0].at) >= suspectNewsTime {
		s.ends = s.ends[1:]
	}
	for len(s.cases) > 0 && now.Sub(s.cases[0].at) >= suspectNewsTime {
		s.cases = s.cases[1:]
	}
	var ends []poison.Crash
	runs := 0
	for _, x := range slices.Backward(s.ends) {
		if runs += len(x.Runs); runs > maxNewsRuns && len(ends) > 0 {
			break
		}
		x.Age += now.Sub(x.at)
		ends = append(ends, x.Crash)
	}
	var cases []poison.Case
	for _, x := range s.cases[max(len(s.cases)-maxSuspectNews, 0):] {
		x.Age += now.Sub(x.at)
		cases = append(cases, x.Case)
	}
	return ends, cases
}

// serverEnded tells all nodes, in the control goroutine, that the server on this VM has ended.
func (n *Node) serverEnded(e poison.Crash) {
	now := n.clock.Now()
	n.control.suspects.addEnd(now, e)
	n.noteEnded(e)
	n.tellBriefly(n.newsTargets(endNear, endFar), []poison.Crash{e}, nil)
}

// newsTargets returns some nodes of the own zone and some of each other one. Seeds aren't among them: they may be the same nodes
// again, and others would hear of an end only with the next exchange.
func (n *Node) newsTargets(near, farOfEach int) []exchangeTarget {
	targets := randomTargets(n.knownTargets(ownZoneOnly), near)
	byZone := map[string][]exchangeTarget{}
	for _, t := range n.knownTargets(otherZonesOnly) {
		byZone[t.zone] = append(byZone[t.zone], t)
	}
	for _, zone := range byZone {
		targets = append(targets, randomTargets(zone, farOfEach)...)
	}
	return targets
}

// tellBriefly sends what can't wait, without what the usual exchanges carry.
func (n *Node) tellBriefly(targets []exchangeTarget, ends []poison.Crash, cases []poison.Case) {
	body := n.encodeMessage(n.newBrief(ends, cases))
	for _, t := range targets {
		go n.exchangeWith(context.Background(), t.host, body)
	}
}

// newBrief is a message with nothing but news of suspects.
func (n *Node) newBrief(ends []poison.Crash, cases []poison.Case) message {
	return message{
		From: n.ip, Zone: n.cfg.Zone, Version: n.stateVersion(), Digest: n.control.directory.Digest(), Stopping: n.stop.leaving(),
		SuspectsOnly: true, Crashes: ends, Cases: cases,
	}
}

// takeSuspects takes what a peer tells of suspects, and tells near nodes in turn what is news.
func (n *Node) takeSuspects(now time.Time, ends []poison.Crash, cases []poison.Case) {
	var newEnds []poison.Crash
	for _, e := range ends {
		if n.poison.RecordCrash(now, e) {
			n.control.suspects.addEnd(now, e)
			n.noteEnded(e)
			newEnds = append(newEnds, e)
		}
	}
	for _, c := range cases {
		if n.poison.MergeCase(now, c) {
			n.control.suspects.addCase(now, c)
		}
	}
	if len(newEnds) > 0 {
		n.tellBriefly(n.newsTargets(endRelay, 0), newEnds, nil)
	}
}

// noteEnded has requests pass by a server that ended.
func (n *Node) noteEnded(e poison.Crash) {
	n.peersMu.Lock()
	p := n.peers[e.Lifetime.Host]
	n.peersMu.Unlock()
	if p != nil {
		p.serverEnded(n.clock.Now(), e.Lifetime.Instance)
	}
}

// tellCleared tells what was cleared here of late. Who hears it tells it on with the exchanges of its own zone only.
func (n *Node) tellCleared(now time.Time) {
	s := &n.control.suspects
	if s.flushAt.IsZero() || now.Before(s.flushAt) {
		return
	}
	cases := s.cleared[max(len(s.cleared)-maxSuspectNews, 0):]
	s.cleared, s.flushAt = nil, time.Time{}
	n.tellBriefly(n.newsTargets(endRelay, 1), nil, cases)
}

// heldDigest is the same where the same requests are held back.
func (n *Node) heldDigest(now time.Time) uint64 { return digestOf(n.poison.QuarantinedCases(now)) }

func digestOf(cases []poison.Case) uint64 {
	var sum uint64
	for _, c := range cases {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(c.Fingerprint[:], uint64(c.Stage)))
	}
	return sum
}
