package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one kind of fault or of planned work.
type fault struct {
	name    string
	planned bool
	// run injects the fault for about d, records it in the history under kind and returns when the fault has ended.
	run func(s *site, kind string, rnd *rand.Rand, d time.Duration)
}

// baseFaults are the kinds that every schedule draws first. The other tables are drawn separately.
var baseFaults = []fault{
	{"link delayed", false, delayLinks},
	{"link reset", false, resetLinks},
	{"link cut", false, cutLinks},
	{"link cut one way", false, cutLinksOneWay},
	{"zone cut off", false, isolateZone},
	{"server link reset", false, resetServerLink},
	{"store link cut", false, cutStoreLinks},
	{"store refuses", false, refuseAtStore},
	{"store silent", false, makeStoreUnresponsive},
	{"store slow", false, slowStore},
	{"store loses answers", false, loseStoreAnswers},
	{"store forgets", false, forgetStoreHistory},
	{"process paused", false, pauseNode},
	{"process killed", false, killNode},
	{"many processes killed", false, killManyNodes},
	{"server slow", false, slowServer},
	{"server fails", false, failServer},
	{"server refuses", false, refuseAtServer},
	{"server loses answers", false, loseServerAnswers},
	{"server sends too much", false, sendExtraBytes},
	{"process stopped", true, stopNode},
	{"settings read again", true, reloadSettings},
	{"server leaves", true, replaceServer},
	{"state changed", true, replaceRoute},
}

// registrationFaults have a table and random stream of their own, so that kept regression seeds still draw the same
// baseFaults.
var registrationFaults = []fault{
	{"server starts again under its id", false, restartServer},
	{"foreign heartbeats", false, foreignHeartbeats},
}

// keyAndStoreFaults have a table and random stream of their own for the same reason.
var keyAndStoreFaults = []fault{
	{"key changed", true, rotateKey},
	{"store comes back from a copy", false, restoreStoreFromCopy},
}

// silentConnectionFaults have a table and random stream of their own for the same reason.
var silentConnectionFaults = []fault{
	{"connections go silent", false, silenceConnections},
}

// noticeFaults have a table and random stream of their own for the same reason. Seeds of planned work alone have those that
// don't make requests fail.
var noticeFaults = []fault{
	{"server leaves by its answers", true, leaveByAnswers},
	{"server names a rate limit", false, advertiseLimits},
	{"server names a rate limit", false, advertiseLimits},
}

// endlessAnswerFaults have a table and random stream of their own for the same reason.
var endlessAnswerFaults = []fault{
	{"server answers without end", false, answerWithoutEnd},
}

// leavingFaults have a table and random stream of their own for the same reason. Seeds of planned work alone have the first.
var leavingFaults = []fault{
	{"server deregisters", true, deregisterServer},
	{"server deregisters around a kill", false, deregisterAroundKill},
	{"server deregisters before a loss of all", false, deregisterBeforeLoss},
}

// addedFaultsPerSecond is the mean rate of faults from each table other than baseFaults.
const addedFaultsPerSecond = 0.4

// scheduledFault is one fault of a schedule: its offset from the start of the run, its duration and its random seed.
type scheduledFault struct {
	start, duration time.Duration
	fault           fault
	seed            uint64
}

// plannedOnlyEvery is the interval between seeds that have planned work alone: unplanned faults excuse cut requests,
// so these show only in such seeds.
const plannedOnlyEvery = 3

// isPlannedOnly reports whether a seed has planned work alone.
func isPlannedOnly(seed uint64) bool { return seed%plannedOnlyEvery == 0 }

// plannedAndStoreEvery is the interval between seeds that have planned work and disturbances of the store, which excuse no lost request.
const plannedAndStoreEvery = 6

// isPlannedAndStore reports whether a seed has planned work and disturbances of the store alone.
func isPlannedAndStore(seed uint64) bool { return seed%plannedAndStoreEvery == plannedAndStoreEvery-1 }

// storeOnly has the kinds of fault that disturb nothing but the store.
var storeOnly = map[string]bool{
	"store link cut": true, "store refuses": true, "store silent": true, "store slow": true, "store loses answers": true, "store forgets": true,
}

// Bounds on the duration of a fault, and the rate of faults.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// faultsPerSecond is the mean rate of baseFaults, high enough that some overlap.
	faultsPerSecond = 1.2
)

// schedule returns the faults of a run of length span, sorted by start. The same seed and span give the same faults.
func schedule(seed uint64, span time.Duration) []scheduledFault {
	if withStore := isPlannedAndStore(seed); withStore || isPlannedOnly(seed) {
		planned := slices.DeleteFunc(slices.Clone(baseFaults), func(f fault) bool { return !f.planned && !(withStore && storeOnly[f.name]) })
		events := drawFaults(rand.New(rand.NewPCG(seed, 1)), planned, faultsPerSecond, span)
		events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 3)), keyAndStoreFaults[:1], addedFaultsPerSecond, span)...)
		events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 5)), noticeFaults[:1], addedFaultsPerSecond, span)...)
		return sortByStart(append(events, drawFaults(rand.New(rand.NewPCG(seed, 7)), leavingFaults[:1], addedFaultsPerSecond, span)...))
	}
	events := drawFaults(rand.New(rand.NewPCG(seed, 1)), baseFaults, faultsPerSecond, span)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 2)), registrationFaults, addedFaultsPerSecond, span)...)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 3)), keyAndStoreFaults, addedFaultsPerSecond, span)...)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 4)), silentConnectionFaults, addedFaultsPerSecond, span)...)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 5)), noticeFaults, addedFaultsPerSecond, span)...)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 6)), endlessAnswerFaults, addedFaultsPerSecond, span)...)
	events = append(events, drawFaults(rand.New(rand.NewPCG(seed, 7)), leavingFaults, addedFaultsPerSecond, span)...)
	return sortByStart(events)
}

// sortByStart sorts the events by start, in place, and returns them.
func sortByStart(events []scheduledFault) []scheduledFault {
	slices.SortStableFunc(events, func(a, b scheduledFault) int { return cmp.Compare(a.start, b.start) })
	return events
}

// drawFaults draws faults of the given kinds for a run of length span, at a mean rate of perSecond.
func drawFaults(rnd *rand.Rand, kinds []fault, perSecond float64, span time.Duration) []scheduledFault {
	var events []scheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= span {
			return events
		}
		events = append(events, scheduledFault{
			start: at, duration: minFaultDuration + time.Duration(rnd.Float64()*float64(maxFaultDuration-minFaultDuration)),
			fault: kinds[rnd.IntN(len(kinds))], seed: rnd.Uint64(),
		})
	}
}

// randomVM returns a random VM.
func (s *site) randomVM(rnd *rand.Rand) *vm { return s.vms[rnd.IntN(len(s.vms))] }

// randomVMs returns a random third of the VMs, rounded down, and at least one.
func (s *site) randomVMs(rnd *rand.Rand) []*vm {
	all := slices.Clone(s.vms)
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(len(all)/3, 1)]
}

// ipsOf returns the IP addresses of the VMs.
func ipsOf(vms ...*vm) []string {
	var ips []string
	for _, v := range vms {
		ips = append(ips, v.ip)
	}
	return ips
}
