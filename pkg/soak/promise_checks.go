package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checks judge a run, one promise each.
var checks = []func(h *history, calmFrom time.Time) []Finding{
	checkOnce, checkRefusals, checkAnswers, checkLeaving, checkFinalAnswers, checkPlannedWork, checkState, checkRepeats, checkRecovery,
	checkTeams, checkRevoked, checkSoundKeys, checkQuota,
}

// The bounds of the checks.
const (
	// lateTime is how long after its limit callers wait for the final answer; half of it is late.
	lateTime = time.Second
	// touchTime before a request no disturbance may have been for a bound in time to hold.
	touchTime = 3 * time.Second
	// applyTime is within which a change of the desired state is in force.
	applyTime = 2 * time.Second
	// repeatRatio and repeatSlack bound the repeats that a service sees.
	repeatRatio = 0.2
	repeatSlack = 40
	// servedAgain of the requests are served once all faults are over, after recoverTime.
	servedAgain = 0.95
	recoverTime = 3 * time.Second
	// mostShown is how many requests a finding names.
	mostShown = 3
)

// runsByID counts the runs of each request.
func (h *history) runsByID() map[string]int {
	runs := map[string]int{}
	for _, a := range h.arrivals {
		if a.Ran {
			runs[a.ID]++
		}
	}
	return runs
}

// checkOnce finds once-only work that ran twice.
func checkOnce(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		if a.Once && runs[a.ID] > 1 {
			found = append(found, Finding{"once", fmt.Sprintf("%s ran %d times", a.ID, runs[a.ID])})
		}
	}
	return found
}

// checkRefusals finds once-only requests that were refused and ran.
func checkRefusals(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		if a.Once && isRefusal(a.Status) && runs[a.ID] > 0 {
			found = append(found, Finding{"refusal", fmt.Sprintf("%s got %d and ran", a.ID, a.Status)})
		}
	}
	return found
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswers finds successes that aren't the request's own.
func checkAnswers(h *history, _ time.Time) (found []Finding) {
	for _, a := range h.attempts {
		if a.Status == http.StatusOK && !a.Own {
			found = append(found, Finding{"answer", a.ID + " got a success that isn't its own"})
		}
	}
	return found
}

// checkLeaving finds requests that came to a server long after its leave was acknowledged.
func checkLeaving(h *history, _ time.Time) (found []Finding) {
	left := map[string]time.Time{}
	for _, l := range h.leaves {
		left[l.Instance] = l.At
	}
	for _, a := range h.arrivals {
		if at, ok := left[a.Instance]; ok && a.At.Sub(at) > drainDuration {
			found = append(found, Finding{"leaving", fmt.Sprintf("%s came %v after %s had left", a.ID, a.At.Sub(at), a.Instance)})
		}
	}
	return found
}

// checkFinalAnswers finds requests that were held past their limit though nothing was wrong.
func checkFinalAnswers(h *history, _ time.Time) (found []Finding) {
	for _, a := range h.attempts {
		late := a.Ended.Sub(a.Begun) > a.Limit+lateTime/2
		if late && h.calm("", a.Begun.Add(-touchTime), a.Ended, unplanned) {
			found = append(found, Finding{"final answer", fmt.Sprintf("%s was held for %v", a.ID, a.Ended.Sub(a.Begun))})
		}
	}
	return found
}

func unplanned(d *disturbance) bool { return !d.Planned }

// checkPlannedWork finds requests that were cut or lost while nothing but planned work went on.
func checkPlannedWork(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		cut := a.Status == 0 && runs[a.ID] > 0
		lost := a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout || a.Status == http.StatusInternalServerError
		if (cut || lost) && h.calm("", a.Begun.Add(-touchTime), a.Ended, unplanned) {
			found = append(found, Finding{"planned work", fmt.Sprintf("%s %s ended with %d after %v", a.ID, a.Route, a.Status, a.Ended.Sub(a.Begun))})
		}
	}
	return found
}

// checkState finds requests that were treated by an old desired state, where nothing kept the news away.
func checkState(h *history, _ time.Time) (found []Finding) {
	for i, v := range h.versions {
		until := time.Now()
		if i+1 < len(h.versions) {
			until = h.versions[i+1].At
		}
		for _, a := range h.attempts {
			from := v.At.Add(applyTime)
			if a.Begun.Before(from) || a.Begun.After(until) || !h.calm(a.VM, v.At.Add(-touchTime), a.Ended, unplanned) {
				continue
			}
			if a.Route == v.Added && a.Status == http.StatusNotFound {
				found = append(found, Finding{"desired state", a.ID + " got 404 on a route that had been added"})
			}
			if a.Route == v.Dropped && a.Own {
				found = append(found, Finding{"desired state", a.ID + " was served on a route that had been dropped"})
			}
		}
	}
	return found
}

// checkRepeats finds services that saw more repeats than the budget allows in the whole run.
func checkRepeats(h *history, _ time.Time) (found []Finding) {
	arrivals, first := map[string]int{}, map[string]map[string]bool{}
	for _, a := range h.arrivals {
		arrivals[a.Service]++
		if first[a.Service] == nil {
			first[a.Service] = map[string]bool{}
		}
		first[a.Service][a.ID] = true
	}
	for service, n := range arrivals {
		asked := len(first[service])
		if more := n - asked; float64(more) > repeatRatio*float64(asked)+repeatSlack {
			found = append(found, Finding{"repeats", fmt.Sprintf("%s: %d arrivals for %d requests", service, n, asked)})
		}
	}
	return found
}

// checkRecovery finds that requests aren't served though all faults are over.
func checkRecovery(h *history, calmFrom time.Time) []Finding {
	asked, served := 0, 0
	var examples []string
	for _, a := range h.attempts {
		owed := !a.Key.Gone && a.Key.Team != teamHot
		if a.Probe || !owed || a.Begun.Before(calmFrom.Add(recoverTime)) {
			continue
		}
		asked++
		if a.Own {
			served++
		} else if len(examples) < mostShown {
			examples = append(examples, fmt.Sprintf("%s %d", a.ID, a.Status))
		}
	}
	if asked == 0 || float64(served) < servedAgain*float64(asked) {
		return []Finding{{"recovery", fmt.Sprintf("%d of %d were served, not %v", served, asked, examples)}}
	}
	return nil
}
