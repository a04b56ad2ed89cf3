package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// promises fills in the figures that must hold at all times.
func (r *Report) promises(g *Graph, attempts []Attempt, runs []Run) {
	most, worst := maxRetries(runs)
	r.MaxRetries = ptr(most)
	if most > g.Retries {
		r.Violations = append(r.Violations, retryStory(worst, attempts, runs))
	}
	n, examples := doubles(runs)
	r.Doubles = ptr(n)
	r.Violations = append(r.Violations, examples...)
	n, examples = falseNotRun(g, attempts, runs)
	r.FalseNot = ptr(n)
	r.Violations = append(r.Violations, examples...)
	wrong := 0
	r.Unserved = map[string]int{}
	for _, a := range attempts {
		if a.Wrong {
			wrong++
		}
		if !a.Served {
			r.Unserved[fmt.Sprintf("%d %s %s", a.Status, a.Outcome, a.Reason)]++
		}
	}
	r.Wrong = ptr(wrong)
	r.Inversions = ptr(inversions(g, attempts))
}

// maxRetries counts, for each request, the arrivals at backend servers beyond the first of the same call
// by the same run (or by the caller), and returns the most.
func maxRetries(runs []Run) (most int, worst string) {
	type callKey struct{ request, parent, place, service string }
	seen := map[callKey]int{}
	per := map[string]int{}
	for _, run := range runs {
		k := callKey{run.Request, run.Parent, run.Place, run.Service}
		if seen[k] > 0 {
			per[run.Request]++
		}
		seen[k]++
	}
	for request, n := range per {
		if n > most {
			most, worst = n, request
		}
	}
	return most, worst
}

// retryStory tells the attempts and runs of a request.
func retryStory(request string, attempts []Attempt, runs []Run) string {
	var tries []Attempt
	for _, a := range attempts {
		if a.Request == request {
			tries = append(tries, a)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s was retried too often: %s", request, storyOf(tries, nil))
	for _, r := range runs {
		if r.Request == request {
			fmt.Fprintf(&b, "%s@%s<%s ", r.ID, r.Arrived.Format(stampForm), r.Parent)
		}
	}
	return b.String()
}

// doubles counts second starts of once-only work of one request at one place of the chain.
func doubles(runs []Run) (n int, examples []string) {
	type workKey struct{ request, service, class, place string }
	seen := map[workKey]Run{}
	for _, run := range runs {
		if !run.OnceOnly || run.Started.IsZero() {
			continue
		}
		k := workKey{run.Request, run.Service, run.Class, run.Place}
		first, again := seen[k]
		if !again {
			seen[k] = run
			continue
		}
		n++
		if len(examples) < maxExamples {
			examples = append(examples, fmt.Sprintf("%s of %s ran as %s at %s under %q and as %s at %s under %q", run.Class, run.Request,
				first.ID, first.Started.Format(stampForm), first.Parent, run.ID, run.Started.Format(stampForm), run.Parent))
		}
	}
	return n, examples
}

// maxExamples bounds the cases that a report shows of each broken promise; stampForm is how it shows times.
const (
	maxExamples = 5
	stampForm   = "05.000"
)

// falseNotRun counts attempts told not-run although the work ran. A once-only refusal speaks of the key: no
// run may have started by the refusal's end, nor one start later out of an attempt that began before it. A
// repeatable refusal speaks of its attempt alone: no run may have started within it, if no other attempt overlapped.
func falseNotRun(g *Graph, attempts []Attempt, runs []Run) (n int, examples []string) {
	starts := map[string][]time.Time{}
	for _, run := range runs {
		if run.Parent == "" && !run.Started.IsZero() {
			starts[run.Request] = append(starts[run.Request], run.Started)
		}
	}
	tries := map[string][]Attempt{}
	for _, a := range attempts {
		tries[a.Request] = append(tries[a.Request], a)
	}
	for _, a := range attempts {
		if a.Outcome != wire.NotRun {
			continue
		}
		denied := ranWithin
		if g.class(a.Class).OnceOnly {
			denied = ranUnder
		}
		if !denied(a, tries[a.Request], starts[a.Request]) {
			continue
		}
		n++
		if len(examples) < maxExamples {
			examples = append(examples, fmt.Sprintf("%s of %s was told not-run (%s) from %s to %s, and ran: %s", a.Class, a.Request, a.Reason,
				a.Start.Format(stampForm), a.End.Format(stampForm), storyOf(tries[a.Request], starts[a.Request])))
		}
	}
	return n, examples
}

// storyOf tells a request's attempts and runs.
func storyOf(tries []Attempt, starts []time.Time) string {
	var b strings.Builder
	for _, a := range tries {
		fmt.Fprintf(&b, "[%s-%s %s %d %s %s] ", a.Start.Format(stampForm), a.End.Format(stampForm), a.Entry, a.Status, a.Outcome, a.Reason)
	}
	for _, s := range starts {
		fmt.Fprintf(&b, "run %s ", s.Format(stampForm))
	}
	return b.String()
}

// ranUnder tells whether once-only work ran that the refusal a denies: a run by its end, or a later run that
// no attempt begun after the refusal explains.
func ranUnder(a Attempt, tries []Attempt, starts []time.Time) bool {
	for _, s := range starts {
		if s.Before(a.End) {
			return true
		}
		explained := slices.ContainsFunc(tries, func(b Attempt) bool {
			return b.Start.After(a.End) && b.Start.Before(s)
		})
		if !explained {
			return true
		}
	}
	return false
}

// ranWithin tells whether repeatable work ran within the refused attempt alone.
func ranWithin(a Attempt, tries []Attempt, starts []time.Time) bool {
	for _, b := range tries {
		if b.Start != a.Start && b.Start.Before(a.End) && a.Start.Before(b.End.Add(time.Second)) {
			return false
		}
	}
	return slices.ContainsFunc(starts, func(s time.Time) bool { return s.After(a.Start) && s.Before(a.End) })
}

// inversionSpan is the time within which a refusal for load and a lower tier's admission count as at once.
const inversionSpan = 20 * time.Millisecond

// inversions counts refusals for load at an entry while, for the same root service, the same entry took in
// requests of a lower tier just before and just after.
func inversions(g *Graph, attempts []Attempt) int {
	type place struct{ entry, root string }
	type admission struct {
		at   time.Time
		tier priority.Tier
	}
	admitted := map[place][]admission{}
	for _, a := range attempts {
		if a.Served {
			c := g.class(a.Class)
			p := place{a.Entry, c.Root}
			admitted[p] = append(admitted[p], admission{a.Start, c.Tier})
		}
	}
	n := 0
	for _, a := range attempts {
		if a.Outcome != wire.NotRun || a.Reason != wire.ReasonBelowLevel {
			continue
		}
		c := g.class(a.Class)
		before, after := false, false
		for _, x := range admitted[place{a.Entry, c.Root}] {
			if x.tier >= c.Tier {
				continue
			}
			d := x.at.Sub(a.Start)
			before = before || (d <= 0 && d > -inversionSpan)
			after = after || (d > 0 && d < inversionSpan)
		}
		if before && after {
			n++
		}
	}
	return n
}
