package directory

import (
	"slices"
	"time"
)

// The bounds by which lives of the backend server are told apart.
const (
	// maxLeft bounds the memory of lives that have left; the oldest are forgotten.
	maxLeft = 64
	// oddTime is for how long a life that seems to be older than the one in force has to go on speaking, without a word of that one, to be taken
	// for the next one: a clock has stepped back, or the server doesn't say when it began. Two heartbeats and more fit in; what a cut held back
	// comes at once.
	oddTime = 2 * time.Second
)

// LocalServer is the backend server beside a node, as its own heartbeats tell. It decides when the Record
// changes, and that what an older life of the server says, which may come late and in any order, changes nothing.
type LocalServer struct {
	Host string

	record   Record
	lastCall int64
	heard    bool       // a heartbeat has come in this life of the node
	left     []Lifetime // that have left, the oldest first
	odd      oddLife
}

// oddLife is a life that seems to be older than the one in force, and speaks.
type oddLife struct {
	life  Lifetime
	call  int64
	since time.Time // when it was first heard, with no word of the one in force since
}

// relation is how a heartbeat stands to the life that is in force.
type relation uint8

const (
	late  relation = iota // of an older life, or an earlier call of the same
	same                  // the next call of the same life
	next                  // of the next life
	doubt                 // of one or the other; only time tells
)

// Heartbeat takes a heartbeat, and reports whether the Record changed.
func (o *LocalServer) Heartbeat(now time.Time, r Registration) bool {
	rel := o.relate(r)
	if rel == doubt && o.goesOn(now, r) {
		rel = next
	}
	if rel == late || rel == doubt {
		return false
	}
	o.odd = oddLife{}
	o.lastCall = r.CallSeq
	o.heard = true
	if rel == next {
		return o.begin(r)
	}
	return o.change(r, max(o.record.Phase, r.phase()), o.record.FirstGeneration) // leaving isn't taken back
}

// relate compares a heartbeat with the life that is in force.
func (o *LocalServer) relate(r Registration) relation {
	at, now := r.Lifetime(), o.record.Lifetime()
	known := at.StartedMS > 0 && now.StartedMS > 0
	switch {
	case slices.Contains(o.left, at):
		return late
	case o.record.Instance == "":
		return next
	case at.Instance == now.Instance && (!known || at.StartedMS == now.StartedMS):
		return o.relateCalls(r, known)
	case known && at.StartedMS < now.StartedMS:
		return doubt
	default:
		return next
	}
}

// relateCalls compares a heartbeat that names the life in force, or doesn't say when it began.
func (o *LocalServer) relateCalls(r Registration, known bool) relation {
	switch {
	case r.CallSeq >= o.lastCall:
		return same
	case known || o.record.Phase > Serving:
		return late
	default:
		return doubt
	}
}

// goesOn tells whether a life that seems to be older has gone on speaking.
func (o *LocalServer) goesOn(now time.Time, r Registration) bool {
	if o.odd.life != r.Lifetime() || r.CallSeq <= o.odd.call {
		o.odd = oddLife{life: r.Lifetime(), call: r.CallSeq, since: now}
		return false
	}
	o.odd.call = r.CallSeq
	return now.Sub(o.odd.since) >= oddTime
}

// begin begins the next life: it knows nothing of the one before, which has ended.
func (o *LocalServer) begin(r Registration) bool {
	if o.record.Instance != "" {
		o.hasLeft(o.record.Lifetime()) // its heartbeats that are still on the way come too late
	}
	return o.change(r, r.phase(), o.record.Generation+1)
}

// change writes the Record as a heartbeat tells it, and reports whether it changed.
func (o *LocalServer) change(r Registration, phase Phase, since int64) bool {
	to := Record{
		Host: o.Host, Generation: o.record.Generation, Instance: r.Instance, Service: r.Service,
		Zone: r.Zone, Release: r.Release, Slots: r.Slots, Phase: phase, StartedMS: max(r.StartedMS, o.bornOf(since)), FirstGeneration: since,
	}
	if to == o.record {
		return false
	}
	to.Generation++
	o.record = to
	return true
}

// bornOf returns when the life that began with a generation did, if it has said so before.
func (o *LocalServer) bornOf(since int64) int64 {
	if since == o.record.FirstGeneration {
		return o.record.StartedMS
	}
	return 0
}

// Leave notes that a life has left, and reports whether the Record changed. Who leaves may not say when it was born: then the life of that instance is
// meant that is in force.
func (o *LocalServer) Leave(at Lifetime) bool {
	now := o.record.Lifetime()
	if at.Instance == now.Instance && (at.StartedMS == 0 || now.StartedMS == 0) {
		at.StartedMS = now.StartedMS
	}
	o.hasLeft(at)
	switch {
	case at == now:
		if o.record.Phase == Gone {
			return false
		}
	case o.heard, at.StartedMS > 0 && at.StartedMS < now.StartedMS:
		return false // an older server that stood here
	default:
		o.record.FirstGeneration = o.record.Generation + 1
	}
	o.record.Host = o.Host
	o.record.Instance, o.record.StartedMS = at.Instance, at.StartedMS
	o.record.Phase = Gone
	o.record.Generation++
	return true
}

// hasLeft remembers that a life has left; it never comes back.
func (o *LocalServer) hasLeft(at Lifetime) {
	if slices.Contains(o.left, at) {
		return
	}
	if len(o.left) >= maxLeft {
		o.left = slices.Delete(o.left, 0, 1)
	}
	o.left = append(o.left, at)
}

// Restore takes what others remember of this server, after a restart of the node; it reports whether the
// Record changed. Once the server itself has been heard, only the generation is taken.
func (o *LocalServer) Restore(r Record) bool {
	if r.Host != o.Host || !r.newer(o.record) {
		return false
	}
	if o.heard && o.record.as(r) == r {
		o.record = r // others remember just what the server said
		return true
	}
	if o.heard || slices.Contains(o.left, r.Lifetime()) {
		if r.Generation >= o.record.Generation {
			o.record.Generation = r.Generation + 1
			return true
		}
		return false
	}
	o.record = r
	return true
}

// as returns the record with the generations of another.
func (r Record) as(o Record) Record {
	r.Generation, r.FirstGeneration = o.Generation, o.FirstGeneration
	return r
}

// Record returns what is known now.
func (o *LocalServer) Record() Record { return o.record }
