package follow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func hosts(n int) []string {
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, fmt.Sprintf("10.1.0.%d", i))
	}
	return all
}

func followersOf(alive []string) []string {
	var chosen []string
	for _, h := range alive {
		if IsFollower(h, alive) {
			chosen = append(chosen, h)
		}
	}
	return chosen
}

func TestAllFollowInASmallZoneAndAFewInALargeOne(t *testing.T) {
	c := qt.New(t)
	c.Assert(followersOf(hosts(SmallZoneSize)), qt.HasLen, SmallZoneSize)
	for _, n := range []int{SmallZoneSize + 1, 40, 2000} {
		c.Assert(followersOf(hosts(n)), qt.HasLen, followers)
	}
}

// Whichever nodes are lost, the zone has its number of followers as soon as that is known, and the followers that are left stay.
func TestLostFollowersAreReplaced(t *testing.T) {
	all := hosts(40)
	before := followersOf(all)
	rapid.Check(t, func(r *rapid.T) {
		var alive []string
		for _, h := range all {
			if !rapid.Bool().Draw(r, "lost") {
				alive = append(alive, h)
			}
		}
		after := followersOf(alive)
		if len(alive) > SmallZoneSize && len(after) != followers {
			r.Fatalf("%d of %d follow", len(after), len(alive))
		}
		kept := map[string]bool{}
		for _, h := range after {
			kept[h] = true
		}
		for _, h := range alive {
			if IsFollower(h, all) && !kept[h] {
				r.Fatalf("%s of %v doesn't follow any more", h, before)
			}
		}
	})
}

var start = time.Unix(1_000_000, 0)

// newNonFollower returns the tracker of a node in a large zone that isn't a follower.
func newNonFollower() *Tracker {
	w := &Tracker{ApplyBound: 3 * time.Second}
	alive := hosts(40)
	for _, h := range alive {
		if !IsFollower(h, alive) {
			w.UpdateRole(h, alive)
			return w
		}
	}
	return nil
}

func TestANodeReadsTheStateOnlyWithoutPeerReports(t *testing.T) {
	c := qt.New(t)
	w := newNonFollower()
	c.Assert(w.ShouldContactStore(start), qt.IsFalse, qt.Commentf("before Start"))
	w.Start(start, 2*time.Second)
	c.Assert(w.ShouldContactStore(start.Add(time.Second)), qt.IsFalse)
	c.Assert(w.ShouldContactStore(start.Add(2*time.Second)), qt.IsTrue)
	now := start.Add(10 * time.Second)
	w.AddPeerReport(now, 7, 7, 500*time.Millisecond)
	c.Assert(w.ShouldContactStore(now.Add(1400*time.Millisecond)), qt.IsFalse)
	c.Assert(w.ShouldContactStore(now.Add(1600*time.Millisecond)), qt.IsTrue, qt.Commentf("a third of the bound is left"))
	w.AddPeerReport(now.Add(time.Second), 7, 7, 3*time.Second)
	age, known := w.StateAge(now)
	c.Assert(known && age == 500*time.Millisecond, qt.IsTrue, qt.Commentf("an older report changes nothing: %v", age))
	w.AddPeerReport(now.Add(time.Second), 7, 6, 0)
	w.AddPeerReport(now.Add(time.Second), 7, 8, 0)
	w.AddPeerReport(now.Add(time.Second), 7, 7, -time.Second)
	c.Assert(w.IsCurrent(now.Add(1600*time.Millisecond)), qt.IsFalse, qt.Commentf("of an older state, a newer one, and from the future"))
}

func TestAFollowerKeepsItsStateCurrent(t *testing.T) {
	c := qt.New(t)
	w := &Tracker{ApplyBound: 3 * time.Second}
	w.Start(start, time.Hour)
	c.Assert(w.UpdateRole("a", []string{"a"}), qt.IsTrue)
	c.Assert(w.UpdateRole("a", []string{"a"}), qt.IsFalse)
	c.Assert(w.ShouldContactStore(start), qt.IsTrue)
	_, known := w.StateAge(start)
	c.Assert(known, qt.IsFalse)
	w.WatchStarted(start)
	later := start.Add(20 * time.Second)
	c.Assert(w.IsCurrent(later), qt.IsTrue, qt.Commentf("it would have received a change"))
	w.WatchLost(later)
	age, _ := w.StateAge(later)
	c.Assert(age, qt.Equals, noticeTime)
	w.WatchLost(later.Add(time.Second))
	age, _ = w.StateAge(later.Add(time.Second))
	c.Assert(age, qt.Equals, noticeTime+time.Second)
	w.WatchStarted(later)
	w.WatchStopped(later.Add(time.Second))
	age, _ = w.StateAge(later.Add(time.Second))
	c.Assert(age, qt.Equals, time.Duration(0))
}

// A node that was frozen for longer than the bound relies on no report from before.
func TestAFrozenNodeReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newNonFollower()
	w.Start(start, 0)
	w.AddPeerReport(start, 1, 1, 0)
	c.Assert(w.ShouldContactStore(start), qt.IsFalse)
	c.Assert(w.ShouldContactStore(start.Add(5*time.Second)), qt.IsTrue)
}

// A follower that was frozen for five seconds reported its state as the newest to its peers at once.
func TestAFollowerThatWasFrozenReportsAnOldState(t *testing.T) {
	c := qt.New(t)
	w := &Tracker{ApplyBound: 3 * time.Second}
	w.Start(start, 0)
	w.UpdateRole("a", []string{"a"})
	w.WatchStarted(start)
	w.NoteRunning(start)
	w.NoteRunning(start.Add(200 * time.Millisecond))
	c.Assert(w.IsCurrent(start.Add(200*time.Millisecond)), qt.IsTrue)
	awake := start.Add(5 * time.Second)
	w.NoteRunning(awake)
	age, known := w.StateAge(awake)
	c.Assert(known && age == 4800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", age))
	w.WatchStarted(awake.Add(time.Second))
	c.Assert(w.IsCurrent(awake.Add(time.Second)), qt.IsTrue, qt.Commentf("the store has answered"))
}

// One call of a zone's followers ends in each period, whenever they began, so that silent connections show in time.
func TestWaitsOfAZonesFollowersEndOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const bound = 2 * time.Second
		all := hosts(rapid.IntRange(1, 40).Draw(r, "nodes"))
		var ends []time.Time
		for _, h := range all {
			w := &Tracker{ApplyBound: bound}
			w.UpdateRole(h, all)
			if !w.IsFollower() {
				continue
			}
			now := start.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(r, "begun")) * time.Millisecond)
			for now.Before(start.Add(3 * time.Minute)) {
				wait := w.WatchTime(now)
				if wait < bound/2 || wait > bound*(SmallZoneSize+1) {
					r.Fatalf("waits %v", wait)
				}
				now = now.Add(wait)
				ends = append(ends, now)
			}
		}
		last := start.Add(90 * time.Second)
		slices.SortFunc(ends, time.Time.Compare)
		for _, end := range ends {
			if end.Before(last) {
				continue
			}
			if end.Sub(last) > bound {
				r.Fatalf("no wait ends for %v", end.Sub(last))
			}
			last = end
		}
	})
}
