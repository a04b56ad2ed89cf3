package mesh

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// Constants of the dissemination of suspects. Each crash costs all requests at the server, and a poison request reaches
// the next server within some hundredths of a second: the regular exchanges, a third of a second apart, are too late.
const (
	// crashNearNodes is how many nodes of this zone a crash is reported to at once, and crashFarNodes how many of each other
	// zone. Each of them relays it to crashRelayNodes nodes of its own zone when it first receives it. With 14 nodes all know
	// within two hops, with 194 most within four; the regular exchanges reach the rest.
	crashNearNodes  = 8
	crashFarNodes   = 2
	crashRelayNodes = 4
	// clearedBatchTime is how long cleared requests are collected before they are sent together. A popular request is
	// confined to one server until then.
	clearedBatchTime = 100 * time.Millisecond
	// suspectUpdateTime is how long an update is sent with every exchange.
	suspectUpdateTime = recentRecordTTL
	// maxCaseUpdates bounds the cases in one message, and maxUpdateRuns the runs of all crashes in it, some 90 bytes
	// each. The newest go first.
	maxCaseUpdates = 64
	maxUpdateRuns  = 512
)

// suspectUpdates holds recent updates about suspects. It belongs to the control goroutine, and its zero value is empty.
type suspectUpdates struct {
	crashes       []crashUpdate
	cases         []caseUpdate
	cleared       []poison.Case // cleared here and not sent yet
	sendClearedAt time.Time     // when they are sent; zero: there are none
}

// crashUpdate and caseUpdate are updates with the time when they were received or observed. Their ages count from then.
type (
	crashUpdate struct {
		poison.Crash
		receivedAt time.Time
	}
	caseUpdate struct {
		poison.Case
		receivedAt time.Time
	}
)

// addCrash adds the crash of a server.
func (s *suspectUpdates) addCrash(now time.Time, crash poison.Crash) {
	s.crashes = append(s.crashes, crashUpdate{crash, now})
}

// addCase adds a case that changed, as another node sent it.
func (s *suspectUpdates) addCase(now time.Time, c poison.Case) {
	s.cases = append(s.cases, caseUpdate{c, now})
}

// addCleared adds a case that was cleared here.
func (s *suspectUpdates) addCleared(now time.Time, c poison.Case) {
	s.addCase(now, c)
	s.cleared = append(s.cleared, c)
	if s.sendClearedAt.IsZero() {
		s.sendClearedAt = now.Add(clearedBatchTime)
	}
}

// recent returns the recent updates with their current ages, and drops the older ones.
func (s *suspectUpdates) recent(now time.Time) ([]poison.Crash, []poison.Case) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].receivedAt) >= suspectUpdateTime {
		s.crashes = s.crashes[1:]
	}
	for len(s.cases) > 0 && now.Sub(s.cases[0].receivedAt) >= suspectUpdateTime {
		s.cases = s.cases[1:]
	}
	var crashes []poison.Crash
	runs := 0
	for _, x := range slices.Backward(s.crashes) {
		if runs += len(x.Runs); runs > maxUpdateRuns && len(crashes) > 0 {
			break
		}
		x.Age += now.Sub(x.receivedAt)
		crashes = append(crashes, x.Crash)
	}
	var cases []poison.Case
	for _, x := range s.cases[max(len(s.cases)-maxCaseUpdates, 0):] {
		x.Age += now.Sub(x.receivedAt)
		cases = append(cases, x.Case)
	}
	return crashes, cases
}

// reportServerCrash sends the crash of the server on this VM to other nodes. It runs in the control goroutine.
func (n *Node) reportServerCrash(crash poison.Crash) {
	now := n.clock.Now()
	n.control.suspects.addCrash(now, crash)
	n.markServerCrashed(crash)
	n.sendSuspectUpdates(n.updateTargets(crashNearNodes, crashFarNodes), []poison.Crash{crash}, nil)
}

// updateTargets returns up to near random nodes of this zone and up to farOfEach of each other zone. Seeds are left
// out: they may be the same nodes again, and other nodes would then receive a crash only with the next exchange.
func (n *Node) updateTargets(near, farOfEach int) []exchangeTarget {
	targets := n.randomTargets(n.knownTargets(localZoneOnly), near)
	byZone := map[string][]exchangeTarget{}
	for _, t := range n.knownTargets(otherZonesOnly) {
		byZone[t.zone] = append(byZone[t.zone], t)
	}
	for _, zone := range byZone {
		targets = append(targets, n.randomTargets(zone, farOfEach)...)
	}
	return targets
}

// sendSuspectUpdates sends urgent updates to the targets, without the content of regular exchanges.
func (n *Node) sendSuspectUpdates(targets []exchangeTarget, crashes []poison.Crash, cases []poison.Case) {
	body := n.encodeMessage(n.newSuspectMessage(crashes, cases))
	for _, t := range targets {
		go n.exchangeWith(context.Background(), t.host, body)
	}
}

// newSuspectMessage returns a message with only updates about suspects.
func (n *Node) newSuspectMessage(crashes []poison.Crash, cases []poison.Case) message {
	return message{
		From: n.ip, Zone: n.cfg.Zone, Version: n.stateVersion(), Digest: n.control.directory.Digest(), Stopping: n.stop.stopping(),
		SuspectsOnly: true, Crashes: crashes, Cases: cases,
	}
}

// applySuspectUpdates applies a peer's updates about suspects, and relays the crashes that are new here to nodes of
// this zone.
func (n *Node) applySuspectUpdates(now time.Time, crashes []poison.Crash, cases []poison.Case) {
	var newCrashes []poison.Crash
	for _, crash := range crashes {
		if n.poison.RecordCrash(now, crash) {
			n.control.suspects.addCrash(now, crash)
			n.markServerCrashed(crash)
			newCrashes = append(newCrashes, crash)
		}
	}
	for _, c := range cases {
		if n.poison.MergeCase(now, c) {
			n.control.suspects.addCase(now, c)
		}
	}
	if len(newCrashes) > 0 {
		n.sendSuspectUpdates(n.updateTargets(crashRelayNodes, 0), newCrashes, nil)
	}
}

// markServerCrashed keeps requests away from a server that crashed.
func (n *Node) markServerCrashed(crash poison.Crash) {
	n.peersMu.Lock()
	p := n.peers[crash.Lifetime.Host]
	n.peersMu.Unlock()
	if p != nil {
		p.markServerCrashed(n.clock.Now(), crash.Lifetime.Instance)
	}
}

// sendCleared sends the cases that were cleared here since the last batch. Receivers pass them on only with the
// exchanges of their own zone.
func (n *Node) sendCleared(now time.Time) {
	s := &n.control.suspects
	if s.sendClearedAt.IsZero() || now.Before(s.sendClearedAt) {
		return
	}
	cases := s.cleared[max(len(s.cleared)-maxCaseUpdates, 0):]
	s.cleared, s.sendClearedAt = nil, time.Time{}
	n.sendSuspectUpdates(n.updateTargets(crashRelayNodes, 1), nil, cases)
}

// quarantineDigest returns a digest that is the same at nodes with the same quarantined requests.
func (n *Node) quarantineDigest(now time.Time) uint64 {
	return digestOfCases(n.poison.QuarantinedCases(now))
}

// digestOfCases returns a digest of the cases' fingerprints and stages, in any order.
func digestOfCases(cases []poison.Case) uint64 {
	var sum uint64
	for _, c := range cases {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(c.Fingerprint[:], uint64(c.Stage)))
	}
	return sum
}
