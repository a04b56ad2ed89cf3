package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// What nodes wrote since the backup is written again without the operator.
func TestRecordsAreWrittenAgainAfterAStoreRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testRecordsAreWrittenAgainAfterAStoreRestore)
}

func testRecordsAreWrittenAgainAfterAStoreRestore(t *testing.T) {
	c := qt.New(t)
	s := newMemorySite(t)
	s.firstStart = true
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.store.backUp() // before any node has written its record
	for i := range 4 {
		s.add("a", fmt.Sprint("z", i%2), 5)
	}
	s.waitUntilKnown(1)
	s.waitFor("all records are stored", func() bool { return s.store.recordCount() == 4 })
	s.store.restoreBackup()
	c.Assert(s.store.recordCount(), qt.Equals, 0)
	s.store.put(desired.State{Version: 2, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitFor("all records are stored again", func() bool { return s.store.recordCount() == 4 })
	s.waitUntilKnown(2)
}

// A change is applied even if its store version was already assigned before the store was restored.
func TestAChangeUnderAReassignedVersionIsApplied(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testAChangeUnderAReassignedVersionIsApplied)
}

func testAChangeUnderAReassignedVersionIsApplied(t *testing.T) {
	c := qt.New(t)
	s := newMemorySite(t)
	s.add("a", "z", 5)
	put := func(version int64) {
		s.store.put(desired.State{Version: version, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	}
	put(1)
	s.waitUntilKnown(1)
	s.store.backUp()
	put(2)
	put(3)
	s.waitUntilKnown(3)
	s.store.restoreBackup()
	put(4) // the store assigns this row the version that it assigned to the second one before
	s.waitUntilKnown(4)
	c.Assert(s.nodes[0].stateVersion(), qt.Equals, int64(4))
}

// A store restored without the state that revoked a key must not make nodes accept the key again.
func TestAnOldStateOfTheStoreProvesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testAnOldStateOfTheStoreProvesNothing)
}

func testAnOldStateOfTheStoreProvesNothing(t *testing.T) {
	c := qt.New(t)
	const revoke = 2 * time.Second
	s := newServingTeamSite(t, 1, 2, revoke)
	s.store.backUp()
	s.store.put(teamState(2, func(st *desired.State) { st.Teams[0].Keys = nil }))
	s.waitUntilKnown(2)
	s.store.restoreBackup()
	lost := time.Now()
	for time.Since(lost) < 3*revoke/2 {
		for i := range s.nodes {
			status, _ := s.send(i, "/read/x", fmt.Sprint("r", i, time.Now().UnixNano()), withKey("kb1"))
			c.Assert(status, qt.Not(qt.Equals), http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
	}
	status, _ := s.send(0, "/read/x", "unproven", withKey("kr1"))
	c.Check(status, qt.Equals, http.StatusServiceUnavailable) // it isn't known whether there is a newer state
	s.store.put(teamState(2, func(st *desired.State) { st.Teams[0].Keys = nil }))
	s.waitUntilAccepted("kr1")
}

// Once a new epoch is known, no answer to a call sent before it has settled proves freshness, at whatever moment it is evaluated.
func TestAStoreEpochAndItsSettlingAreSetTogether(t *testing.T) {
	c := qt.New(t)
	var e storeEpoch
	at := func(s int) time.Time { return time.Time{}.Add(time.Duration(s) * time.Second) }
	c.Check(e.advance(1, at(2)), qt.Equals, int64(0)) // the first known epoch isn't a restore
	c.Check(e.proves(at(0)), qt.IsTrue)
	c.Check(e.advance(2, at(12)), qt.Equals, int64(1))
	c.Check(e.advance(2, at(15)), qt.Equals, int64(0))
	c.Check(e.proves(at(11)), qt.IsFalse)
	c.Check(e.proves(at(12)), qt.IsTrue)
	c.Check(e.current(), qt.Equals, int64(2))
}
