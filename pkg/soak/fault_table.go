package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one kind of fault or planned work.
type fault struct {
	name    string
	planned bool
	// run injects it, which the history knows by its kind, for about the given time and returns when it is over.
	run func(s *site, kind string, rnd *rand.Rand, d time.Duration)
}

// faults lists all kinds.
var faults = []fault{
	{"link delayed", false, delayLinks},
	{"link reset", false, resetLinks},
	{"link cut", false, cutLinks},
	{"link cut one way", false, cutOneWay},
	{"zone cut off", false, cutZone},
	{"server link reset", false, resetServerLink},
	{"store link cut", false, cutStoreLink},
	{"store refuses", false, refuseAtStore},
	{"store silent", false, silenceStore},
	{"store slow", false, slowStore},
	{"store loses answers", false, loseStoreAnswers},
	{"store forgets", false, forgetStoreHistory},
	{"process paused", false, pauseNode},
	{"process killed", false, killNode},
	{"many processes killed", false, killMany},
	{"server slow", false, slowServer},
	{"server fails", false, failServer},
	{"server refuses", false, shedServer},
	{"server loses answers", false, cutAnswers},
	{"server sends too much", false, extraBytes},
	{"process stopped", true, stopNode},
	{"settings read again", true, reloadNode},
	{"server leaves", true, leaveServer},
	{"state changed", true, changeRoutes},
}

// laterFaults came after seeds had been kept as tests: they are drawn by themselves, so that what a seed drew before stays as it was.
var laterFaults = []fault{
	{"server starts again under its id", false, restartServer},
	{"foreign heartbeats", false, foreignHeartbeats},
}

// teamFaults came later still.
var teamFaults = []fault{
	{"key changed", true, rotateKey},
	{"store comes back from a copy", false, restoreStoreFromCopy},
}

// silentFaults came last.
var silentFaults = []fault{
	{"connections go silent", false, silenceConnections},
}

// laterPerSecond of them come on average.
const laterPerSecond = 0.4

// event is one fault of a schedule.
type event struct {
	at, lasts time.Duration
	fault     fault
	seed      uint64
}

// plannedOnly is how many seeds there are for each one with planned work alone: cut requests show only there.
const plannedOnly = 3

// isPlannedOnly tells whether a seed has planned work alone.
func isPlannedOnly(seed uint64) bool { return seed%plannedOnly == 0 }

// The bounds of one fault.
const (
	faultLeast = 200 * time.Millisecond
	faultMost  = 3 * time.Second
	// faultsPerSecond come on average, so that some overlap.
	faultsPerSecond = 1.2
)

// schedule draws the faults of a run.
func schedule(seed uint64, span time.Duration) []event {
	if isPlannedOnly(seed) {
		planned := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !f.planned })
		events := draw(rand.New(rand.NewPCG(seed, 1)), planned, faultsPerSecond, span)
		return inOrder(append(events, draw(rand.New(rand.NewPCG(seed, 3)), teamFaults[:1], laterPerSecond, span)...))
	}
	events := draw(rand.New(rand.NewPCG(seed, 1)), faults, faultsPerSecond, span)
	events = append(events, draw(rand.New(rand.NewPCG(seed, 2)), laterFaults, laterPerSecond, span)...)
	events = append(events, draw(rand.New(rand.NewPCG(seed, 3)), teamFaults, laterPerSecond, span)...)
	events = append(events, draw(rand.New(rand.NewPCG(seed, 4)), silentFaults, laterPerSecond, span)...)
	return inOrder(events)
}

// inOrder returns the events in order of time.
func inOrder(events []event) []event {
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// draw draws faults of some kinds, so many a second on average.
func draw(rnd *rand.Rand, kinds []fault, perSecond float64, span time.Duration) []event {
	var events []event
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= span {
			return events
		}
		events = append(events, event{
			at: at, lasts: faultLeast + time.Duration(rnd.Float64()*float64(faultMost-faultLeast)),
			fault: kinds[rnd.IntN(len(kinds))], seed: rnd.Uint64(),
		})
	}
}

// oneOf draws a VM.
func (s *site) oneOf(rnd *rand.Rand) *vm { return s.vms[rnd.IntN(len(s.vms))] }

// some draws about a third of the VMs, one at least.
func (s *site) some(rnd *rand.Rand) []*vm {
	all := slices.Clone(s.vms)
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(len(all)/3, 1)]
}

// ipsOf returns the VMs' addresses.
func ipsOf(vms ...*vm) []string {
	var ips []string
	for _, v := range vms {
		ips = append(ips, v.ip)
	}
	return ips
}
