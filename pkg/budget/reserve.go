package budget

import (
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// Reserve is what the request that a call belongs to still needs after the call.
type Reserve struct {
	Time  time.Duration
	Calls float64 // calls to come, those of the called servers included
}

// ForCall returns the reserve of a call that the local server has just made, relative to the call's time limit: the least of the
// runs that may have made it, and none if there is no such run. gates returns how many gates one call of a route passes in all.
func (t *Times) ForCall(l *callgraph.Learner, now time.Time, route string, deadline time.Time, gates func(route string) float64) Reserve {
	var least Reserve
	found := false
	l.PossibleCallers(now, route, deadline, func(r *callgraph.Run) {
		if found && least.Time == 0 {
			return
		}
		if rest := t.after(r, deadline, gates); !found || rest.Time < least.Time {
			least, found = rest, true
		}
	})
	if least.Time <= 0 {
		return Reserve{}
	}
	return least
}

// after returns what a run and its callers still need after a call with the time limit, which may be earlier than the run's.
func (t *Times) after(r *callgraph.Run, deadline time.Time, gates func(route string) float64) Reserve {
	var whole, remaining time.Duration
	calls := r.CallsToCome
	r.RemainingCalls(func(route string, n, left float64) {
		usual := float64(t.Call(route))
		whole += time.Duration(n * usual)
		remaining += time.Duration(left * usual)
		if left > 0 {
			calls += left * max(gates(route), 1)
		}
	})
	if run := t.Run(r.Route()); run > 0 && run < whole {
		remaining = time.Duration(float64(remaining) * float64(run) / float64(whole)) // the run makes calls in parallel
	}
	return Reserve{Time: max(remaining+r.Reserve-max(r.Deadline().Sub(deadline), 0), 0), Calls: calls}
}

// Within returns the reserve for a limit that is earlier by d.
func (r Reserve) Within(d time.Duration) Reserve {
	r.Time = max(r.Time-max(d, 0), 0)
	return r
}

// AtMost returns the reserve with its time capped at the time left.
func (r Reserve) AtMost(left time.Duration) Reserve {
	r.Time = max(min(r.Time, left), 0)
	return r
}

// maxCalls bounds the calls to come that are read: more only lead to the shortest wait anyway.
const maxCalls = 10_000

// maxMillis bounds the time that is read, a day: longer ones would overflow.
const maxMillis = 24 * 60 * 60 * 1000

// String returns the time in whole milliseconds, a comma, and the calls to come, rounded up.
func (r Reserve) String() string {
	calls := int64(min(r.Calls, maxCalls))
	if float64(calls) < r.Calls {
		calls++
	}
	return strconv.FormatInt(r.Time.Milliseconds(), 10) + "," + strconv.FormatInt(calls, 10)
}

// Parse reads what String returned; the calls to come may be missing. An unusable value is no reserve.
func Parse(v string) Reserve {
	ms, calls, _ := strings.Cut(v, ",")
	t, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || t <= 0 {
		return Reserve{}
	}
	r := Reserve{Time: time.Duration(min(t, maxMillis)) * time.Millisecond}
	if n, err := strconv.ParseInt(calls, 10, 64); err == nil && n > 0 {
		r.Calls = float64(min(n, maxCalls))
	}
	return r
}
