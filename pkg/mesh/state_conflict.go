package mesh

import (
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

const (
	// conflictTime is how long the store must have an older desired state than the one in force until the older one replaces it. After the
	// store was restored from a backup, the operator writes the newer state again in that time.
	conflictTime = 15 * time.Second
	// conflictPoll is the time between reads of the state meanwhile.
	conflictPoll = 500 * time.Millisecond
)

// stateConflict tracks whether the store has an older desired state than the one in force. A state that another node handed over counts as
// newer by its version alone; if the store never had that version, it would stay in force for good. The zero value has seen no conflict.
type stateConflict struct {
	mu        sync.Mutex
	version   int64     // in force, which the store contradicts; 0: there is no conflict
	epoch     int64     // of the store
	since     time.Time // of the boot clock: when the first call was sent whose answer contradicted the version
	withdrawn int64     // the last version that was replaced; it isn't taken from other nodes again
	stored    int64     // the version that the store last gave to this node
}

// contradicts reports whether an answer of the store contradicts the version in force, so that the whole state has to be read: the answer has
// an older version, or no change (0) although the store never gave this node one as new.
func (c *stateConflict) contradicts(version, inForce int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != 0 {
		c.stored = version
	}
	return c.stored < inForce
}

// note records the answer to a call sent at the given time, when the version inForce was in force, and reports whether the conflict has
// lasted long enough.
func (c *stateConflict) note(sent time.Time, epoch, inForce, stored int64) (lasting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored >= inForce {
		c.version = 0
		return false
	}
	if c.version != inForce || c.epoch != epoch {
		c.version, c.epoch, c.since = inForce, epoch, sent
	}
	return sent.Sub(c.since) >= conflictTime
}

// withdraw notes that a version was replaced by the store's older one.
func (c *stateConflict) withdraw(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.withdrawn = 0, version
}

// isWithdrawn reports whether a version must not be taken from other nodes.
func (c *stateConflict) isWithdrawn(version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version != 0 && version == c.withdrawn
}

// checkStored compares the version that a read of the whole state from the store gave with the version inForce, which was in force when the
// read was sent. It puts the store's state in force if that has been older for conflictTime.
func (n *Node) checkStored(sent time.Time, inForce, stored int64, data []byte) {
	if stored == 0 || !n.conflict.note(sent, n.storeEpoch.current(), inForce, stored) {
		return
	}
	s, err := n.decode(data)
	old := n.state.Load()
	if err != nil || old.Version != inForce {
		return // the state in force has changed meanwhile
	}
	n.conflict.withdraw(inForce)
	if n.state.CompareAndSwap(old, s) {
		n.controlLog.Error("desired state replaced by the store's older one", "version", s.Version, "withdrawn", inForce)
		n.stateChanged(s, "store")
	}
}

// stateChanged does what follows when a desired state is put in force.
func (n *Node) stateChanged(s *desired.State, from string) {
	n.dropRemovedTeams(s)
	n.controlLog.Info("desired state", "version", s.Version, "routes", len(s.Routes), "from", from)
	n.logProblems(s)
	n.enqueue(n.announceState)
}
