package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Report is one system's figures in one run of an experiment; a figure that wasn't measured is nil.
type Report struct {
	Experiment   string             `json:"experiment"`
	System       string             `json:"system"`
	Seed         uint64             `json:"seed"`
	Valid        bool               `json:"valid"` // the machine's processors stayed under half busy
	BusyShare    *float64           `json:"busy_share"`
	OfferedRPS   *float64           `json:"offered_rps"`
	CapacityRPS  *float64           `json:"capacity_rps"`
	GoodputRPS   *float64           `json:"goodput_rps"`
	GoodputRatio *float64           `json:"goodput_ratio"`
	ByClass      map[string]float64 `json:"goodput_by_class"` // share of each class's requests that were served whole
	RecoveryS    *float64           `json:"recovery_s"`
	Recovered    *bool              `json:"recovered"` // false: not by the end of the run, and recovery_s is a lower bound

	AddedP50MS *float64 `json:"added_p50_ms"`
	AddedP99MS *float64 `json:"added_p99_ms"`

	MaxRetries *int `json:"max_retries_per_request"`
	Doubles    *int `json:"doubles"`
	FalseNot   *int `json:"false_not_run"`
	Wrong      *int `json:"wrong_answers"`
	Inversions *int `json:"inversions"`
	Cut        *int `json:"cut_requests"`

	NewWorkAfterLeaveS *float64           `json:"new_work_after_leave_s"`
	ConfigInForceS     *float64           `json:"config_in_force_s"`
	ConfigReverts      *int               `json:"config_reverts"`
	ControlBytesPerS   *float64           `json:"control_bytes_per_s"`
	Extra              map[string]float64 `json:"extra,omitempty"`      // figures of one experiment alone
	Series             []float64          `json:"series,omitempty"`     // served share of the requests of each 250 ms
	Unserved           map[string]int     `json:"unserved,omitempty"`   // attempts that weren't served, by outcome and reason
	Violations         []string           `json:"violations,omitempty"` // some of the cases where a promise was broken
}

func ptr[T any](v T) *T { return &v }

// window is a stretch of time in which goodput is counted, by the arrival of requests.
type window struct{ from, to time.Time }

func (w window) has(t time.Time) bool { return !t.Before(w.from) && t.Before(w.to) }

// goodput fills in the figures of a window.
func (r *Report) goodput(g *Graph, demands []Demand, w window) {
	offered, served := 0, 0
	by := map[string][2]int{}
	for _, d := range demands {
		if !w.has(d.At) {
			continue
		}
		offered++
		x := by[d.Class]
		x[0]++
		if d.Served {
			served++
			x[1]++
		}
		by[d.Class] = x
	}
	span := w.to.Sub(w.from).Seconds()
	r.OfferedRPS = ptr(float64(offered) / span)
	r.CapacityRPS = ptr(g.Capacity())
	r.Series = series(demands)
	r.GoodputRPS = ptr(float64(served) / span)
	r.GoodputRatio = ptr(*r.GoodputRPS / min(*r.CapacityRPS, max(*r.OfferedRPS, 1e-9)))
	r.ByClass = map[string]float64{}
	for name, x := range by {
		r.ByClass[name] = float64(x[1]) / float64(x[0])
	}
}

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
		if a.Outcome != wire.NotRun || a.Reason != wire.ReasonLevel {
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

// The recovery rule: goodput is looked at in steps, and is back when it stays at the share for some steps.
const (
	recoveryStep  = 250 * time.Millisecond
	recoverySteps = 4
	recoveryShare = 0.9
)

// recovery fills in the time from the end of the cause until requests are served as before it.
func (r *Report) recovery(demands []Demand, before window, causeEnd, runEnd time.Time) {
	base := servedShare(demands, before)
	good := 0
	for from := causeEnd; from.Add(recoveryStep).Before(runEnd); from = from.Add(recoveryStep) {
		if servedShare(demands, window{from, from.Add(recoveryStep)}) >= recoveryShare*base {
			good++
		} else {
			good = 0
		}
		if good == recoverySteps {
			back := from.Add(-(recoverySteps - 1) * recoveryStep)
			r.RecoveryS = ptr(back.Sub(causeEnd).Seconds())
			r.Recovered = ptr(true)
			return
		}
	}
	r.RecoveryS = ptr(runEnd.Sub(causeEnd).Seconds())
	r.Recovered = ptr(false)
}

// series returns the served share over the whole run, step by step.
func series(demands []Demand) []float64 {
	if len(demands) == 0 {
		return nil
	}
	first, last := demands[0].At, demands[0].At
	for _, d := range demands {
		if d.At.Before(first) {
			first = d.At
		}
		if d.At.After(last) {
			last = d.At
		}
	}
	var out []float64
	for from := first; from.Before(last); from = from.Add(recoveryStep) {
		out = append(out, math.Round(100*servedShare(demands, window{from, from.Add(recoveryStep)}))/100)
	}
	return out
}

func servedShare(demands []Demand, w window) float64 {
	n, ok := 0, 0
	for _, d := range demands {
		if !w.has(d.At) {
			continue
		}
		n++
		if d.Served {
			ok++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(ok) / float64(n)
}
