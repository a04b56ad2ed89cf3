package follow

import "time"

const (
	// trustedFraction is the fraction of ApplyBound for which a node relies on its last report of a current state. The rest is for
	// reading the state from the store.
	trustedFraction = 2.0 / 3
	// noticeTime is the time within which a dead connection to the store is detected.
	noticeTime = time.Second
)

// Tracker tracks when one node's desired state was last known to be the newest. It isn't safe for concurrent use.
type Tracker struct {
	// ApplyBound is the time within which a change of the desired state has to be in force.
	ApplyBound time.Duration

	begun         bool
	readAloneFrom time.Time // from when the node reads the state itself without a peer's report
	rank, count   int       // of this node among those of its zone, and the number of followers there
	watching      bool
	lastCurrent   time.Time // when the state in force was last known to be the newest
	lastRunning   time.Time // when NoteRunning was last called
}

// Start lets the node contact the store from now on if it is a follower, and otherwise after the patience if no peer has reported
// a current state by then.
func (w *Tracker) Start(now time.Time, patience time.Duration) {
	w.begun = true
	w.readAloneFrom = now.Add(patience)
}

// NoteRunning notes that the node is running. A node that was frozen treats its state as current only until the previous call: it may not
// have received later changes yet, and its reports would keep its peers from reading the state themselves.
func (w *Tracker) NoteRunning(now time.Time) {
	if !w.lastRunning.IsZero() && now.Sub(w.lastRunning) > noticeTime {
		w.endWatch(w.lastRunning)
	}
	w.lastRunning = now
}

// UpdateRole sets the hosts of the node's availability zone that are alive; it reports whether the node's role changed.
func (w *Tracker) UpdateRole(host string, alive []string) bool {
	before := w.IsFollower()
	w.rank, w.count = position(host, alive)
	return w.IsFollower() != before
}

// IsFollower reports whether the node is one of its zone's followers.
func (w *Tracker) IsFollower() bool { return w.rank < w.count }

// WatchTime returns how long the next call that waits for changes may wait. The calls of a zone's followers end one after the other, one in
// each ApplyBound: the connections on which they wait may go silent all at once, and only a call that gets no answer in time shows it.
func (w *Tracker) WatchTime(now time.Time) time.Duration {
	period := w.ApplyBound * time.Duration(max(w.count, 1))
	if period <= 0 {
		return 0
	}
	wait := w.ApplyBound*time.Duration(w.rank) - time.Duration(now.UnixNano()%int64(period))
	for wait < w.ApplyBound/2 {
		wait += period
	}
	return wait
}

// WatchStarted notes that the store has answered and that the node receives its changes from now on.
func (w *Tracker) WatchStarted(now time.Time) { w.watching, w.lastCurrent = true, now }

// WatchLost notes that the connection over which the node received the store's changes has failed.
func (w *Tracker) WatchLost(now time.Time) { w.endWatch(now.Add(-noticeTime)) }

// WatchStopped notes that the watch has ended, and that the state was known to be the newest until then.
func (w *Tracker) WatchStopped(then time.Time) { w.endWatch(then) }

// endWatch ends the watch, if there is one, with the state known to be current until then.
func (w *Tracker) endWatch(then time.Time) {
	if w.watching {
		w.watching, w.lastCurrent = false, then
	}
}

// AddPeerReport takes a peer's report that a version was the newest some time ago; own is the version in force here. A newer version
// has to be fetched first, and an older one says nothing about own.
func (w *Tracker) AddPeerReport(now time.Time, own, version int64, age time.Duration) {
	if version != own || age < 0 {
		return
	}
	if at := now.Add(-age); at.After(w.lastCurrent) {
		w.lastCurrent = at
	}
}

// StateAge returns how long ago the state in force was known to be the newest; it reports false if it never was.
func (w *Tracker) StateAge(now time.Time) (time.Duration, bool) {
	if w.watching {
		return 0, true
	}
	return max(now.Sub(w.lastCurrent), 0), !w.lastCurrent.IsZero()
}

// IsCurrent reports whether the state in force may be taken for the newest.
func (w *Tracker) IsCurrent(now time.Time) bool {
	age, known := w.StateAge(now)
	return known && age <= time.Duration(trustedFraction*float64(w.ApplyBound))
}

// ShouldContactStore reports whether the node contacts the store now: a follower to follow it, another node to read the state once.
func (w *Tracker) ShouldContactStore(now time.Time) bool {
	if !w.begun {
		return false
	}
	return w.IsFollower() || (!w.IsCurrent(now) && !now.Before(w.readAloneFrom))
}
