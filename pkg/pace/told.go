package pace

import (
	"math"
	"time"
)

// Usual is the pace at which work takes as long as usual.
const Usual = 1.0

const (
	// ValidTime is how long a told pace counts in full. The slow spells of servers last about that long.
	ValidTime = 600 * time.Millisecond
	// decayTime is the time in which the deviation of an older pace from the usual one falls to 1/e. A server that is avoided
	// for its last pace tells no newer one, so an old one must be forgotten soon.
	decayTime = 200 * time.Millisecond
	// keptChanges is how many changes of pace are kept to average over a run. At ten changes a second they reach back 1.6 s.
	keptChanges = 16
)

// Aged returns what a pace that was told some time ago says of now.
func Aged(pace float64, age time.Duration) float64 {
	if age <= ValidTime {
		return pace
	}
	return Usual + (pace-Usual)*math.Exp(-float64(age-ValidTime)/float64(decayTime))
}

// change is a pace that a server told from one time to another.
type change struct {
	pace      float64
	from, end time.Time // when it was told first, and until when it is valid
}

// Told is the pace that one lifetime of a server has told. The zero value has been told none.
type Told struct {
	changes [keptChanges]change // a ring
	newest  int
	count   int
}

// Set records the pace that the server tells at now.
func (t *Told) Set(now time.Time, pace float64) {
	if n := &t.changes[t.newest]; t.count > 0 && n.pace == pace && !now.After(n.end) {
		n.end = now.Add(ValidTime)
		return
	}
	t.newest = (t.newest + 1) % keptChanges
	t.changes[t.newest] = change{pace, now, now.Add(ValidTime)}
	t.count = min(t.count+1, keptChanges)
}

// Known reports whether a pace has been told.
func (t *Told) Known() bool { return t.count > 0 }

// At returns the pace at now by what was told last; it is Usual if none was told.
func (t *Told) At(now time.Time) float64 {
	if t.count == 0 {
		return Usual
	}
	n := t.changes[t.newest]
	return Aged(n.pace, now.Sub(n.end)+ValidTime)
}

// Mean returns the average pace between two times. Where no told pace was valid, the next one that was told counts.
func (t *Told) Mean(from, to time.Time) float64 {
	if t.count == 0 {
		return Usual
	}
	if !from.Before(to) {
		return t.At(to)
	}
	later := t.changes[t.newest].pace
	sum, end := 0.0, to
	for i := 0; i < t.count && from.Before(end); i++ {
		c := t.changes[(t.newest-i+keptChanges)%keptChanges]
		if valid := latest(from, earliest(end, c.end)); valid.Before(end) {
			sum += later * float64(end.Sub(valid))
			end = valid
		}
		if begin := latest(from, c.from); begin.Before(end) {
			sum += c.pace * float64(end.Sub(begin))
			end = begin
		}
		later = c.pace
	}
	return (sum + later*float64(end.Sub(from))) / float64(to.Sub(from))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
