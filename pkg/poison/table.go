package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of a Table.
const (
	// maxCases bounds the number of cases, some 300 bytes each. Beyond it those of the lowest stage are evicted, the oldest first.
	maxCases = 2048
	// maxRuns bounds the runs of one Crash that are recorded.
	maxRuns = 512
	// maxSeenCrashes bounds the lifetimes that are remembered to recognize repeated crash reports.
	maxSeenCrashes = 256
	// clearedRetention is how long a cleared case is retained, so that late reports of its crashes don't count again.
	clearedRetention = 10 * time.Second
	// successValidity is how long a request counts as recently successful after a success.
	successValidity = 10 * time.Second
)

// Table holds the cases of all services. Its zero value is empty and ready to use. It is safe for concurrent use.
type Table struct {
	Policy Policy

	suspectCount atomic.Int64 // cases with a crash that counts

	mu          sync.Mutex
	cases       map[Fingerprint]*trackedCase
	seenCrashes []Lifetime // whose crash was recorded, the newest last
}

// trackedCase is a case with its times by the local clock.
type trackedCase struct {
	Case
	lastCrash   time.Time // when the last server crashed under it
	lastCleared time.Time // when it was last cleared; zero: never
	lastSuccess time.Time // when a run was last known to succeed; zero: not known
}

// AnySuspects reports whether any request is a suspect. While none is, callers can skip all other checks.
func (t *Table) AnySuspects() bool { return t.suspectCount.Load() > 0 }

// Decide returns the most restrictive decision over the request's cases.
func (t *Table) Decide(now time.Time, id Identity) Decision {
	if !t.AnySuspects() {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var worst Decision
	var stages Stages
	for i, f := range id {
		k := t.cases[f]
		if k == nil || !k.isSuspect() {
			continue
		}
		stages[i] = k.severity()
		switch j := t.policyWithDefaults().decide(&k.Case, now.Sub(k.lastCrash)); {
		case j.Treatment > worst.Treatment:
			worst = j
		case j.Treatment == worst.Treatment && !j.RecentlySuccessful:
			worst.RecentlySuccessful = false
		}
	}
	worst.Stages = stages
	return worst
}

// DecideCase returns the decision for one case that SuspectCases returned.
func (t *Table) DecideCase(c Case) Decision { return t.policyWithDefaults().decide(&c, c.Age) }

func (t *Table) policyWithDefaults() Policy {
	r := t.Policy
	r.SetDefaults()
	return r
}

// RecordCrash records the crash of a server, detected locally or received from a peer; it reports whether the crash was unknown before.
func (t *Table) RecordCrash(now time.Time, e Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.seenCrashes, e.Lifetime) {
		return false
	}
	if t.seenCrashes = append(t.seenCrashes, e.Lifetime); len(t.seenCrashes) > maxSeenCrashes {
		t.seenCrashes = slices.Delete(t.seenCrashes, 0, 1)
	}
	for _, r := range e.Runs[:min(len(e.Runs), maxRuns)] {
		for likeness := range ScopeCount {
			t.addRun(now.Add(-e.Age), e, r, likeness)
		}
	}
	t.evictExcess()
	return true
}

// RecordRun records that a server crashed during one run, whose sender hears of it before the whole report of the crash arrives.
func (t *Table) RecordRun(now time.Time, at Lifetime, service string, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.seenCrashes, at) {
		return
	}
	for likeness := range ScopeCount {
		t.addRun(now, Crash{Lifetime: at, Service: service}, r, likeness)
	}
	t.evictExcess()
}

// addRun records in one scope that a server crashed under a run; t.mu is held.
func (t *Table) addRun(at time.Time, e Crash, r Run, likeness int) {
	k := t.caseOf(r.Identity[likeness], e.Service)
	if slices.Contains(k.Cleared, e.Lifetime) {
		return
	}
	was := k.isSuspect()
	if !was {
		k.Stage = 0
	}
	mergeLifetimes(&k.Crashed, []Lifetime{e.Lifetime})
	k.Stage = stageAfterCrash(&k.Case, r.Stages[likeness])
	k.Route, k.Request = r.Route, r.Request
	if at.After(k.lastCrash) {
		k.lastCrash = at
	}
	if r.RecentSuccess[likeness] && at.After(k.lastSuccess) {
		k.lastSuccess = at
	}
	k.RecentlySuccessful = k.RecentlySuccessful || k.successfulBefore(at)
	t.updateSuspectCount(was, k.isSuspect())
}

// caseOf returns the case of a fingerprint, which it creates if there is none; t.mu is held.
func (t *Table) caseOf(f Fingerprint, service string) *trackedCase {
	if t.cases == nil {
		t.cases = make(map[Fingerprint]*trackedCase)
	}
	k := t.cases[f]
	if k == nil {
		k = &trackedCase{Case: Case{Fingerprint: f, Service: service}}
		t.cases[f] = k
	}
	return k
}

// updateSuspectCount adjusts suspectCount to a case that was, and now is, a suspect or not.
func (t *Table) updateSuspectCount(was, is bool) {
	switch {
	case is && !was:
		t.suspectCount.Add(1)
	case was && !is:
		t.suspectCount.Add(-1)
	}
}

// RecordSuccess clears the cases of a request of which a run succeeded and left its server running; it returns the cleared cases for the peers.
func (t *Table) RecordSuccess(now time.Time, id Identity) []Case {
	if !t.AnySuspects() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Case
	for _, f := range id {
		if k := t.cases[f]; k != nil && k.isSuspect() {
			t.clearCrashes(now, k, k.Crashed)
			cleared = append(cleared, k.snapshot(now))
		}
	}
	return cleared
}

// ClearByName clears, for an operator, the cases with this attempt id or fingerprint and returns them.
func (t *Table) ClearByName(now time.Time, name string) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lifted []Case
	for f, k := range t.cases {
		if k.isSuspect() && (k.Request == name || f.String() == name) {
			t.clearCrashes(now, k, k.Crashed)
			lifted = append(lifted, k.snapshot(now))
		}
	}
	return lifted
}

// clearCrashes moves crashes to the cleared ones of a case and reports whether any was new; t.mu is held.
func (t *Table) clearCrashes(now time.Time, k *trackedCase, ends []Lifetime) bool {
	added := mergeLifetimes(&k.Cleared, slices.Clone(ends))
	if !added {
		return false
	}
	was := k.isSuspect()
	k.Crashed = subtract(k.Crashed, k.Cleared)
	k.lastCleared, k.lastSuccess = now, now
	if !k.isSuspect() {
		k.Stage, k.RecentlySuccessful = 0, false
	}
	t.updateSuspectCount(was, k.isSuspect())
	return true
}

// MergeCase merges a case that a peer sent; it reports whether that changed anything.
func (t *Table) MergeCase(now time.Time, c Case) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.caseOf(c.Fingerprint, c.Service)
	changed := t.clearCrashes(now, k, c.Cleared)
	ends := subtract(c.Crashed, k.Cleared)
	was := k.isSuspect()
	if mergeLifetimes(&k.Crashed, ends) {
		changed = true
	}
	if len(ends) > 0 && c.Stage > k.Stage {
		k.Stage = c.Stage
		changed = true
	}
	if len(ends) > 0 && (c.RecentlySuccessful || k.successfulBefore(now)) {
		k.RecentlySuccessful = true
	}
	if at := now.Add(-c.Age); changed && len(ends) > 0 && at.After(k.lastCrash) {
		k.lastCrash, k.Route, k.Request = at, c.Route, c.Request
	}
	t.updateSuspectCount(was, k.isSuspect())
	t.evictExcess()
	return changed
}

// successfulBefore reports whether a run had succeeded within successValidity before the time.
func (k *trackedCase) successfulBefore(at time.Time) bool {
	return !k.lastSuccess.IsZero() && at.Sub(k.lastSuccess) < successValidity
}

// snapshot returns a copy of the case for other nodes, with its current age.
func (k *trackedCase) snapshot(now time.Time) Case {
	c := k.Case
	c.Crashed, c.Cleared = slices.Clone(k.Crashed), slices.Clone(k.Cleared)
	c.Age = now.Sub(k.lastCrash)
	return c
}

// QuarantinedCases returns the cases that are or were quarantined, the highest stage first, for nodes that have just started and for operators.
func (t *Table) QuarantinedCases(now time.Time) []Case {
	return t.sortedCases(now, func(k *trackedCase) bool { return k.isSuspect() && k.severity() >= quarantineStage })
}

// SuspectCases returns the cases of all suspects, the highest stage first.
func (t *Table) SuspectCases(now time.Time) []Case {
	return t.sortedCases(now, func(k *trackedCase) bool { return k.isSuspect() })
}

func (t *Table) sortedCases(now time.Time, wanted func(*trackedCase) bool) []Case {
	if !t.AnySuspects() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var cases []Case
	for _, k := range t.cases {
		if wanted(k) {
			cases = append(cases, k.snapshot(now))
		}
	}
	slices.SortFunc(cases, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return cases
}

// RemoveExpired removes the cases whose retention is over.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rules := t.policyWithDefaults()
	for f, k := range t.cases {
		if k.expired(now, rules) {
			t.updateSuspectCount(k.isSuspect(), false)
			delete(t.cases, f)
		}
	}
}

// expired reports whether the retention of a case is over.
func (k *trackedCase) expired(now time.Time, rules Policy) bool {
	if k.isSuspect() {
		return now.Sub(k.lastCrash) >= rules.retention(k.severity())
	}
	return now.Sub(k.lastCleared) >= clearedRetention
}

// evictExcess evicts cases beyond maxCases; t.mu is held.
func (t *Table) evictExcess() {
	over := len(t.cases) - maxCases
	if over <= 0 {
		return
	}
	all := make([]*trackedCase, 0, len(t.cases))
	for _, k := range t.cases {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *trackedCase) int {
		return cmp.Or(cmp.Compare(a.severity(), b.severity()), a.lastCrash.Compare(b.lastCrash))
	})
	for _, k := range all[:over+maxCases/8] { // an eighth more, so that evictions are rare
		t.updateSuspectCount(k.isSuspect(), false)
		delete(t.cases, k.Fingerprint)
	}
}
