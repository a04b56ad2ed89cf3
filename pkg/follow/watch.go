package follow

import "time"

const (
	// trustShare of the time within which a change has to be in force is how long a node does without word from a
	// follower. What is left is for reading the state from the store.
	trustShare = 2.0 / 3
	// noticeTime is the time within which a connection to the store that has died is noticed.
	noticeTime = time.Second
)

// Tracker is what one node knows of how new its desired state is. It isn't safe for concurrent use.
type Tracker struct {
	// ApplyBound is the time in which a change of the desired state has to be in force.
	ApplyBound time.Duration

	begun   bool
	alone   time.Time // from then on the node reads by itself where no peer tells anything
	chosen  bool
	feeding bool
	newest  time.Time // when the state in force was last known to be the newest
	looked  time.Time // when the node was last seen running
}

// Start lets the node follow from now on if it is chosen, and read by itself after the patience if nobody told it
// anything by then.
func (w *Tracker) Start(now time.Time, patience time.Duration) {
	w.begun = true
	w.alone = now.Add(patience)
}

// NoteRunning notes that the node is running. One that was frozen takes its own state for the newest no longer than until then: what
// changed meanwhile it may not have heard yet, and what it tells its peers keeps them from reading by themselves.
func (w *Tracker) NoteRunning(now time.Time) {
	if !w.looked.IsZero() && now.Sub(w.looked) > noticeTime {
		w.fedUntil(w.looked)
	}
	w.looked = now
}

// UpdateRole takes the hosts of the node's availability zone that are alive; it reports whether the choice changed.
func (w *Tracker) UpdateRole(host string, alive []string) bool {
	before := w.chosen
	w.chosen = IsFollower(host, alive)
	return w.chosen != before
}

// IsFollower tells whether the node is one of its zone's followers.
func (w *Tracker) IsFollower() bool { return w.chosen }

// WatchStarted notes that the store answered and that its changes are heard from now on.
func (w *Tracker) WatchStarted(now time.Time) { w.feeding, w.newest = true, now }

// WatchLost notes that the store's changes aren't heard any more.
func (w *Tracker) WatchLost(now time.Time) { w.fedUntil(now.Add(-noticeTime)) }

// WatchStopped notes that the node stops following while all is well.
func (w *Tracker) WatchStopped(now time.Time) { w.fedUntil(now) }

// fedUntil ends the hearing of changes, as of then, if they are heard.
func (w *Tracker) fedUntil(then time.Time) {
	if w.feeding {
		w.feeding, w.newest = false, then
	}
}

// AddPeerReport takes from a peer that the state of a version was the newest some time ago; own is the version in force here. One
// that is newer has to be fetched first, and one that is older tells nothing.
func (w *Tracker) AddPeerReport(now time.Time, own, version int64, age time.Duration) {
	if version != own || age < 0 {
		return
	}
	if at := now.Add(-age); at.After(w.newest) {
		w.newest = at
	}
}

// StateAge returns how long ago the state in force was known to be the newest; it reports false if it never was.
func (w *Tracker) StateAge(now time.Time) (time.Duration, bool) {
	if w.feeding {
		return 0, true
	}
	return max(now.Sub(w.newest), 0), !w.newest.IsZero()
}

// IsCurrent tells whether the state in force may be taken for the newest.
func (w *Tracker) IsCurrent(now time.Time) bool {
	age, known := w.StateAge(now)
	return known && age <= time.Duration(trustShare*float64(w.ApplyBound))
}

// ShouldContactStore tells whether the node goes to the store now: to follow it if it is chosen, or else to read the state once.
func (w *Tracker) ShouldContactStore(now time.Time) bool {
	if !w.begun {
		return false
	}
	return w.chosen || (!w.IsCurrent(now) && !now.Before(w.alone))
}
