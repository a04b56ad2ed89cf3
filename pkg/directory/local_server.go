package directory

import (
	"slices"
	"time"
)

// The bounds by which lifetimes of the backend server are told apart.
const (
	// maxLeftLifetimes bounds how many lifetimes that have left are remembered; the oldest are dropped first.
	maxLeftLifetimes = 64
	// candidateConfirmTime is for how long a lifetime that seems older than the current one, or lacks a start time, has to send
	// heartbeats, with none of the current one in between, before it replaces the current one: the clock was set back, or the
	// server sends no start time. It spans at least two heartbeats; heartbeats that a network partition delayed arrive all at once.
	candidateConfirmTime = 2 * time.Second
)

// LocalServer tracks the backend server on a node's own VM by its heartbeats. It decides when the Record changes, and
// ignores what older lifetimes of the server sent, which may arrive late and in any order.
type LocalServer struct {
	Host string
	// HeartbeatDue is when a server that lives must have sent a heartbeat to this process. A replica may not know that the
	// server has left, so from then on a replica alone doesn't have it used. The zero value is no bound.
	HeartbeatDue time.Time

	record           Record
	lastHeartbeatSeq int64
	registered       bool       // a heartbeat has arrived since the node started
	withdrawn        bool       // the record is of a server that serves by a replica alone, and its heartbeat is overdue
	left             []Lifetime // lifetimes that have left, the oldest first
	candidate        candidateLifetime
}

// candidateLifetime is a lifetime that seems older than the current one and sends heartbeats.
type candidateLifetime struct {
	lifetime     Lifetime
	heartbeatSeq int64
	firstSeen    time.Time // its first heartbeat with none of the current lifetime since
}

// heartbeatClass is how a heartbeat relates to the current lifetime.
type heartbeatClass uint8

const (
	staleHeartbeat     heartbeatClass = iota // of an older lifetime, or an earlier call of the same
	currentHeartbeat                         // the next call of the current lifetime
	nextHeartbeat                            // of the next lifetime
	ambiguousHeartbeat                       // stale or of the next lifetime; only further heartbeats tell
)

// Heartbeat applies a heartbeat and reports whether the Record changed.
func (o *LocalServer) Heartbeat(now time.Time, r Registration) bool {
	class := o.classify(r)
	if class == ambiguousHeartbeat && o.confirmCandidate(now, r) {
		class = nextHeartbeat
	}
	if class == staleHeartbeat || class == ambiguousHeartbeat {
		return false
	}
	o.candidate = candidateLifetime{}
	o.registered = true
	if class == nextHeartbeat {
		o.lastHeartbeatSeq = r.HeartbeatSeq
		return o.startLifetime(r)
	}
	o.lastHeartbeatSeq = max(o.lastHeartbeatSeq, r.HeartbeatSeq)
	return o.updateRecord(r, max(o.record.Phase, r.phase()), o.record.FirstGeneration) // draining is never undone
}

// classify returns how a heartbeat relates to the current lifetime.
func (o *LocalServer) classify(r Registration) heartbeatClass {
	sender, current := r.Lifetime(), o.record.Lifetime()
	known := sender.StartedMS > 0 && current.StartedMS > 0
	switch {
	case slices.Contains(o.left, sender):
		return staleHeartbeat
	case sender != current && o.mayHaveLeft(sender):
		return ambiguousHeartbeat
	case o.record.Instance == "":
		return nextHeartbeat
	case sender.StartedMS == 0 && current.StartedMS > 0:
		return ambiguousHeartbeat // servers that report a start time always do, so another writer may have sent it
	case sender.Instance == current.Instance && (!known || sender.StartedMS == current.StartedMS):
		return o.classifyByHeartbeatSeq(r, known)
	case known && sender.StartedMS < current.StartedMS:
		return ambiguousHeartbeat
	default:
		return nextHeartbeat
	}
}

// classifyByHeartbeatSeq classifies a heartbeat of the current instance by its call number; startsKnown is false if the start time of
// either lifetime is unknown.
func (o *LocalServer) classifyByHeartbeatSeq(r Registration, startsKnown bool) heartbeatClass {
	switch {
	case r.HeartbeatSeq >= o.lastHeartbeatSeq, startsKnown && r.Draining:
		return currentHeartbeat // a lifetime that has said that it leaves doesn't take it back
	case startsKnown || o.record.Phase > Serving:
		return staleHeartbeat
	default:
		return ambiguousHeartbeat
	}
}

// confirmCandidate notes a heartbeat of a lifetime that seems older, and reports whether that lifetime has sent heartbeats for
// candidateConfirmTime.
func (o *LocalServer) confirmCandidate(now time.Time, r Registration) bool {
	if o.candidate.lifetime != r.Lifetime() || r.HeartbeatSeq <= o.candidate.heartbeatSeq {
		o.candidate = candidateLifetime{lifetime: r.Lifetime(), heartbeatSeq: r.HeartbeatSeq, firstSeen: now}
		return false
	}
	o.candidate.heartbeatSeq = r.HeartbeatSeq
	return now.Sub(o.candidate.firstSeen) >= candidateConfirmTime
}

// startLifetime replaces the current lifetime, which has ended, by the next one and reports whether the Record changed.
func (o *LocalServer) startLifetime(r Registration) bool {
	if o.record.Instance != "" {
		o.rememberLeft(o.record.Lifetime()) // its heartbeats that are still in flight are stale
	}
	o.forgetUnknownStarts(r.Lifetime())
	return o.updateRecord(r, r.phase(), o.record.Generation+1)
}

// updateRecord sets the Record from a heartbeat and reports whether it changed; firstGeneration is that of the heartbeat's lifetime.
func (o *LocalServer) updateRecord(r Registration, phase Phase, firstGeneration int64) bool {
	next := Record{
		Host: o.Host, Generation: o.record.Generation, Instance: r.Instance, Service: r.Service,
		Zone: r.Zone, Release: r.Release, Slots: r.Slots, Phase: phase,
		StartedMS: max(r.StartedMS, o.knownStartMS(firstGeneration)), FirstGeneration: firstGeneration,
	}
	if next == o.record && !o.withdrawn {
		return false
	}
	next.Generation++
	o.record, o.withdrawn = next, false
	return true
}

// knownStartMS returns the start time, in Unix milliseconds, of the lifetime with the given first generation, or 0 if it isn't known.
func (o *LocalServer) knownStartMS(firstGeneration int64) int64 {
	if firstGeneration == o.record.FirstGeneration {
		return o.record.StartedMS
	}
	return 0
}

// Drain records that a lifetime has said that it is leaving and reports whether the Record changed.
func (o *LocalServer) Drain(at Lifetime) bool {
	if o.record.Phase != Serving || !o.record.Lifetime().SameAs(at) {
		return false
	}
	o.record.Phase, o.withdrawn = Draining, false
	o.record.Generation++
	return true
}

// Leave records that a lifetime has left and reports whether the Record changed. A lifetime of the current instance is taken for the
// current one if the start time of either is unknown.
func (o *LocalServer) Leave(at Lifetime) bool {
	current := o.record.Lifetime()
	isCurrent := at.SameAs(current)
	if !o.registered || !isCurrent {
		o.rememberLeft(at) // the server may have restarted under its ID since the current lifetime was recorded
	}
	if isCurrent {
		at = at.MoreKnown(current)
		o.rememberLeft(at)
	}
	restarted := at.Instance == current.Instance && at.StartedMS > current.StartedMS // no heartbeat of this lifetime has arrived
	switch {
	case isCurrent:
		if o.record.Phase == Gone {
			return false
		}
	case o.registered && !restarted, at.StartedMS > 0 && at.StartedMS < current.StartedMS:
		return false // an earlier server at this address
	default:
		o.record.FirstGeneration = o.record.Generation + 1
	}
	o.record.Host = o.Host
	o.record.Instance, o.record.StartedMS = at.Instance, at.StartedMS
	o.record.Phase, o.withdrawn = Gone, false
	o.record.Generation++
	return true
}

// rememberLeft remembers that a lifetime has left, so that its late heartbeats are ignored.
func (o *LocalServer) rememberLeft(at Lifetime) {
	if slices.Contains(o.left, at) {
		return
	}
	if len(o.left) >= maxLeftLifetimes {
		o.left = slices.Delete(o.left, 0, 1)
	}
	o.left = append(o.left, at)
}

// mayHaveLeft reports whether a lifetime has left as far as is known: a start time that either side lacks may be any.
func (o *LocalServer) mayHaveLeft(at Lifetime) bool { return slices.ContainsFunc(o.left, at.SameAs) }

// hasLeft reports whether the server on this VM has left since the node started and hasn't sent a heartbeat.
func (o *LocalServer) hasLeft() bool {
	return !o.registered && o.record.Phase == Gone && o.mayHaveLeft(o.record.Lifetime())
}

// forgetUnknownStarts forgets that lifetimes of the instance with unknown start times have left: the given one, which has a
// start time, isn't one of them.
func (o *LocalServer) forgetUnknownStarts(at Lifetime) {
	if at.StartedMS == 0 {
		return
	}
	o.left = slices.DeleteFunc(o.left, func(l Lifetime) bool { return l == Lifetime{Instance: at.Instance} })
}

// Restore takes this server's Record from a replica after a restart of the node, and reports whether the Record changed. Once the
// server itself has sent a heartbeat or has left, the replica can only raise the generation and the phase.
func (o *LocalServer) Restore(now time.Time, r Record) bool {
	if r.Host != o.Host || !r.supersedes(o.record) {
		return false
	}
	switch {
	case o.registered && o.record.withGenerationsOf(r) == r:
		o.record = r // the replica holds exactly what the server reported
	case o.registered && r.isLaterPhaseOf(o.record):
		o.record.Phase = r.Phase // another node has seen the server say that it is leaving
		o.record.Generation = r.Generation + 1
	case o.hasLeft() && r.Lifetime().SameAs(o.record.Lifetime()):
		o.restoreLeft(r)
	case o.registered, o.hasLeft(), o.mayHaveLeft(r.Lifetime()):
		return o.raiseGeneration(r.Generation)
	default:
		o.record, o.withdrawn = r, false
		o.WithdrawOverdue(now)
	}
	return true
}

// WithdrawOverdue withdraws the Record if it has the server used by a replica alone and the server's heartbeat is overdue. It
// reports whether the Record changed. The next heartbeat undoes it.
func (o *LocalServer) WithdrawOverdue(now time.Time) bool {
	if o.registered || o.withdrawn || o.record.Phase != Serving || o.HeartbeatDue.IsZero() || now.Before(o.HeartbeatDue) {
		return false
	}
	o.withdrawn = true
	o.record.Generation++
	return true
}

// restoreLeft takes from a replica what is known of the lifetime that has left.
func (o *LocalServer) restoreLeft(r Record) {
	at := o.record.Lifetime().MoreKnown(r.Lifetime())
	o.record = r
	o.record.StartedMS = at.StartedMS
	if r.Phase != Gone {
		o.record.Phase = Gone
		o.record.Generation++
	}
	o.rememberLeft(at)
}

// raiseGeneration raises the generation above that of a replica and reports whether the Record changed.
func (o *LocalServer) raiseGeneration(replica int64) bool {
	if replica < o.record.Generation {
		return false
	}
	o.record.Generation = replica + 1
	return true
}

// withGenerationsOf returns the record with the generations of other.
func (r Record) withGenerationsOf(other Record) Record {
	r.Generation, r.FirstGeneration = other.Generation, other.FirstGeneration
	return r
}

// Record returns the current Record of the local backend server; while it is withdrawn, one without a server.
func (o *LocalServer) Record() Record {
	if o.withdrawn {
		return Record{Host: o.Host, Generation: o.record.Generation, Zone: o.record.Zone}
	}
	return o.record
}
