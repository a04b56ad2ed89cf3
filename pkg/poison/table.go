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
	// maxCases bounds the requests that are kept in mind, some 300 bytes each. Where there are more, those of the lowest stage go, the oldest first.
	maxCases = 2048
	// maxRuns bounds the runs of one End that are taken.
	maxRuns = 512
	// maxSeen bounds the lives of servers whose end was taken.
	maxSeen = 256
	// clearedMemory is how long a cleared case is kept, so that news of the ends before, which is still on its way, doesn't count again.
	clearedMemory = 10 * time.Second
	// soundMemory is for how long a request counts as one whose runs end well.
	soundMemory = 10 * time.Second
)

// Table keeps the cases of all services; its zero value is empty and works. It is safe for concurrent use.
type Table struct {
	Policy Policy

	live atomic.Int64 // cases under suspicion

	mu    sync.Mutex
	cases map[Fingerprint]*kept
	seen  []Lifetime // whose end was taken, the newest last
}

// kept is a case with the times of this node's clock.
type kept struct {
	Case
	last    time.Time // when the last server ended under it
	cleared time.Time // when it was last cleared; zero: never
	sound   time.Time // when runs of it were last known to end well; zero: not known
}

// AnySuspects tells whether any request is under suspicion; while none is, nothing else needs to be asked.
func (t *Table) AnySuspects() bool { return t.live.Load() > 0 }

// Decide returns what is to be done with a request: the heaviest of what its cases say.
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
		if k == nil || !k.live() {
			continue
		}
		stages[i] = k.severity()
		switch j := t.rules().judge(&k.Case, now.Sub(k.last)); {
		case j.Treatment > worst.Treatment:
			worst = j
		case j.Treatment == worst.Treatment && !j.RecentlySuccessful:
			worst.RecentlySuccessful = false
		}
	}
	worst.Stages = stages
	return worst
}

// DecideCase returns what is to be done with a request by one case, as All told it.
func (t *Table) DecideCase(c Case) Decision { return t.rules().judge(&c, c.Age) }

func (t *Table) rules() Policy {
	r := t.Policy
	r.SetDefaults()
	return r
}

// RecordCrash takes the end of a server that was seen here or heard of; it reports whether it is news.
func (t *Table) RecordCrash(now time.Time, e Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.seen, e.Lifetime) {
		return false
	}
	if t.seen = append(t.seen, e.Lifetime); len(t.seen) > maxSeen {
		t.seen = slices.Delete(t.seen, 0, 1)
	}
	for _, r := range e.Runs[:min(len(e.Runs), maxRuns)] {
		for likeness := range ScopeCount {
			t.takeRun(now.Add(-e.Age), e, r, likeness)
		}
	}
	t.bound()
	return true
}

// takeRun notes that a server ended under a run; t.mu is held.
func (t *Table) takeRun(at time.Time, e Crash, r Run, likeness int) {
	k := t.of(r.Identity[likeness], e.Service)
	if slices.Contains(k.Cleared, e.Lifetime) {
		return
	}
	was := k.live()
	if !was {
		k.Stage = 0
	}
	add(&k.Crashed, []Lifetime{e.Lifetime})
	k.Stage = stageOf(&k.Case, r.Stages[likeness])
	k.Route, k.Request = r.Route, r.Request
	if at.After(k.last) {
		k.last = at
	}
	if r.RecentSuccess[likeness] && at.After(k.sound) {
		k.sound = at
	}
	k.RecentlySuccessful = k.RecentlySuccessful || k.soundAt(at)
	t.count(was, k.live())
}

// of returns the case of a request, made if there is none; t.mu is held.
func (t *Table) of(f Fingerprint, service string) *kept {
	if t.cases == nil {
		t.cases = make(map[Fingerprint]*kept)
	}
	k := t.cases[f]
	if k == nil {
		k = &kept{Case: Case{Fingerprint: f, Service: service}}
		t.cases[f] = k
	}
	return k
}

// count follows the number of live cases.
func (t *Table) count(was, is bool) {
	switch {
	case is && !was:
		t.live.Add(1)
	case was && !is:
		t.live.Add(-1)
	}
}

// RecordSuccess notes that a run of a request has ended well, with its server going on; it returns the cases that this cleared, to be told.
func (t *Table) RecordSuccess(now time.Time, id Identity) []Case {
	if !t.AnySuspects() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []Case
	for _, f := range id {
		if k := t.cases[f]; k != nil && k.live() {
			t.clear(now, k, k.Crashed)
			cleared = append(cleared, k.told(now))
		}
	}
	return cleared
}

// ClearByName clears the cases of a request by hand: those that name the attempt, or have the fingerprint. It returns what it cleared.
func (t *Table) ClearByName(now time.Time, name string) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lifted []Case
	for f, k := range t.cases {
		if k.live() && (k.Request == name || f.String() == name) {
			t.clear(now, k, k.Crashed)
			lifted = append(lifted, k.told(now))
		}
	}
	return lifted
}

// clear notes that some ends say nothing against the request; t.mu is held.
func (t *Table) clear(now time.Time, k *kept, ends []Lifetime) bool {
	news := add(&k.Cleared, slices.Clone(ends))
	if !news {
		return false
	}
	was := k.live()
	k.Crashed = without(k.Crashed, k.Cleared)
	k.cleared, k.sound = now, now
	if !k.live() {
		k.Stage, k.RecentlySuccessful = 0, false
	}
	t.count(was, k.live())
	return true
}

// MergeCase takes a case as another node knows it; it reports whether it is news.
func (t *Table) MergeCase(now time.Time, c Case) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.of(c.Fingerprint, c.Service)
	news := t.clear(now, k, c.Cleared)
	ends := without(c.Crashed, k.Cleared)
	was := k.live()
	if add(&k.Crashed, ends) {
		news = true
	}
	if len(ends) > 0 && c.Stage > k.Stage {
		k.Stage = c.Stage
		news = true
	}
	if len(ends) > 0 && (c.RecentlySuccessful || k.soundAt(now)) {
		k.RecentlySuccessful = true
	}
	if at := now.Add(-c.Age); news && len(ends) > 0 && at.After(k.last) {
		k.last, k.Route, k.Request = at, c.Route, c.Request
	}
	t.count(was, k.live())
	t.bound()
	return news
}

// soundAt tells whether runs of the request had ended well of late at a time.
func (k *kept) soundAt(at time.Time) bool {
	return !k.sound.IsZero() && at.Sub(k.sound) < soundMemory
}

// told returns the case as it is told to others.
func (k *kept) told(now time.Time) Case {
	c := k.Case
	c.Crashed, c.Cleared = slices.Clone(k.Crashed), slices.Clone(k.Cleared)
	c.Age = now.Sub(k.last)
	return c
}

// QuarantinedCases returns the cases that are or were held back, in order, for a node that has just started and for who asks.
func (t *Table) QuarantinedCases(now time.Time) []Case {
	return t.some(now, func(k *kept) bool { return k.live() && k.severity() >= heldStage })
}

// SuspectCases returns all requests under suspicion, in order.
func (t *Table) SuspectCases(now time.Time) []Case {
	return t.some(now, func(k *kept) bool { return k.live() })
}

func (t *Table) some(now time.Time, wanted func(*kept) bool) []Case {
	if !t.AnySuspects() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var cases []Case
	for _, k := range t.cases {
		if wanted(k) {
			cases = append(cases, k.told(now))
		}
	}
	slices.SortFunc(cases, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return cases
}

// RemoveExpired forgets cases that are over.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rules := t.rules()
	for f, k := range t.cases {
		if k.over(now, rules) {
			t.count(k.live(), false)
			delete(t.cases, f)
		}
	}
}

// over tells whether a case need not be kept any longer.
func (k *kept) over(now time.Time, rules Policy) bool {
	if k.live() {
		return now.Sub(k.last) >= rules.memory(k.severity())
	}
	return now.Sub(k.cleared) >= clearedMemory
}

// bound drops cases where there are too many; t.mu is held.
func (t *Table) bound() {
	over := len(t.cases) - maxCases
	if over <= 0 {
		return
	}
	all := make([]*kept, 0, len(t.cases))
	for _, k := range t.cases {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *kept) int { return cmp.Or(cmp.Compare(a.severity(), b.severity()), a.last.Compare(b.last)) })
	for _, k := range all[:over+maxCases/8] { // some more, so that this is done seldom
		t.count(k.live(), false)
		delete(t.cases, k.Fingerprint)
	}
}
