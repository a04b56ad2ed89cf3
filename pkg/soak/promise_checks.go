package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checks each test one promise on the history of a run and return the violations.
var checks = []func(h *history, calmFrom time.Time) []Finding{
	checkOnceOnly, checkRefusals, checkAnswers, checkLeaving, checkFinalAnswers, checkPlannedWork, checkClosedConnections, checkDesiredState, checkRetryBudget, checkRecovery,
	checkTeams, checkRevokedKeys, checkValidKeys, checkQuota,
	checkRateLimits, checkLeavingByAnswers,
}

// The bounds of the checks.
const (
	// finalAnswerGrace is how long past a request's limit callers wait for the final answer; an answer after half of it counts as late.
	finalAnswerGrace = time.Second
	// disturbanceMargin is how long before a request there must be no disturbance for time bounds to apply.
	disturbanceMargin = 3 * time.Second
	// lossSlack is how long after its last byte was sent a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// applyTime is the time within which a change of the desired state must take effect.
	applyTime = 2 * time.Second
	// retryRatio and retrySlack bound the retries that reach a service: a share of its requests plus a constant.
	retryRatio = 0.2
	retrySlack = 40
	// recoveredShare is the share of requests that must be served from recoveryTime after the last fault.
	recoveredShare = 0.95
	recoveryTime   = 3 * time.Second
	// maxExamples is how many requests a finding names, and how many findings a report shows per promise.
	maxExamples = 3
)

// runsByID returns how often each request was executed, by request ID.
func (h *history) runsByID() map[string]int {
	runs := map[string]int{}
	for _, a := range h.arrivals {
		if a.Ran {
			runs[a.ID]++
		}
	}
	return runs
}

// checkOnceOnly finds once-only requests that were executed more than once.
func checkOnceOnly(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		if a.Once && runs[a.ID] > 1 {
			found = append(found, Finding{"once", fmt.Sprintf("%s ran %d times", a.ID, runs[a.ID])})
		}
	}
	return found
}

// checkRefusals finds once-only requests that were executed although the caller got a refusal.
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

// checkAnswers finds successes whose body isn't the complete answer to that request.
func checkAnswers(h *history, _ time.Time) (found []Finding) {
	for _, a := range h.attempts {
		if a.Status == http.StatusOK && !a.OwnAnswer {
			found = append(found, Finding{"answer", a.ID + " got a success that isn't its own"})
		}
	}
	return found
}

// checkLeaving finds requests that reached a server more than drainTime after its leave was acknowledged.
func checkLeaving(h *history, _ time.Time) (found []Finding) {
	left := map[string]acknowledgedLeave{}
	for _, l := range h.leaves {
		left[l.Instance] = l
	}
	for _, a := range h.arrivals {
		l, ok := left[a.Instance]
		if !ok || l.VM != "" && h.hadOutage(l.VM, a.At.Add(-contactTime), a.At) {
			continue // a node that has just started may not know of the leave yet
		}
		if a.At.Sub(l.At) > drainDuration {
			found = append(found, Finding{"leaving", fmt.Sprintf("%s came %v after %s had left", a.ID, a.At.Sub(l.At), a.Instance)})
		}
	}
	return found
}

// checkFinalAnswers finds requests answered late with no unplanned disturbance near them.
func checkFinalAnswers(h *history, _ time.Time) (found []Finding) {
	for _, a := range h.attempts {
		late := a.Ended.Sub(a.Begun) > a.Limit+finalAnswerGrace/2
		if late && h.undisturbed("", a.Begun.Add(-disturbanceMargin), a.Ended, unplanned) {
			found = append(found, Finding{"final answer", fmt.Sprintf("%s was held for %v", a.ID, a.Ended.Sub(a.Begun))})
		}
	}
	return found
}

func unplanned(d *disturbance) bool { return !d.Planned }

// beyondStore reports whether an unplanned disturbance affects anything but the store.
func beyondStore(d *disturbance) bool { return !d.Planned && !storeOnly[d.Kind] }

// checkPlannedWork finds requests that were cut or failed with no disturbance but planned work and those of the store near them.
func checkPlannedWork(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		read := runs[a.ID] > 0 || a.Closed && !a.Sent.IsZero() && a.Ended.Sub(a.Sent) > lossSlack
		cut := a.Status == 0 && read
		lost := a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout || a.Status == http.StatusInternalServerError
		if (cut || lost) && h.undisturbed("", a.Begun.Add(-disturbanceMargin), a.Ended, beyondStore) {
			found = append(found, Finding{"planned work", fmt.Sprintf("%s %s ended with %d after %v", a.ID, a.Route, a.Status, a.Ended.Sub(a.Begun))})
		}
	}
	return found
}

// checkClosedConnections finds requests from kept connections that ran and whose connection a node closed without an answer, though its
// process had been running for disturbanceMargin.
func checkClosedConnections(h *history, _ time.Time) (found []Finding) {
	runs := h.runsByID()
	for _, a := range h.attempts {
		if a.Closed && a.Kept && runs[a.ID] > 0 && !h.hadOutage(a.VM, a.Begun.Add(-disturbanceMargin), a.Ended) {
			found = append(found, Finding{"closed connection", fmt.Sprintf("%s %s ran and got no answer after %v", a.ID, a.Route, a.Ended.Sub(a.Begun))})
		}
	}
	return found
}

// checkDesiredState finds requests handled by an outdated desired state at a VM that no unplanned disturbance kept from updates.
func checkDesiredState(h *history, _ time.Time) (found []Finding) {
	for i, v := range h.stateChanges {
		until := time.Now()
		if i+1 < len(h.stateChanges) {
			until = h.stateChanges[i+1].At
		}
		for _, a := range h.attempts {
			from := v.At.Add(applyTime)
			if a.Begun.Before(from) || a.Begun.After(until) || !h.undisturbed(a.VM, v.At.Add(-disturbanceMargin), a.Ended, unplanned) {
				continue
			}
			if a.Route == v.Added && a.Status == http.StatusNotFound {
				found = append(found, Finding{"desired state", a.ID + " got 404 on a route that had been added"})
			}
			if a.Route == v.Dropped && a.OwnAnswer {
				found = append(found, Finding{"desired state", a.ID + " was served on a route that had been dropped"})
			}
		}
	}
	return found
}

// checkRetryBudget finds services that received more retries over the whole run than the budget allows.
func checkRetryBudget(h *history, _ time.Time) (found []Finding) {
	arrivals, first := map[string]int{}, map[string]map[string]bool{}
	for _, a := range h.arrivals {
		arrivals[a.Service]++
		if first[a.Service] == nil {
			first[a.Service] = map[string]bool{}
		}
		first[a.Service][a.ID] = true
	}
	for service, n := range arrivals {
		requests := len(first[service])
		if retries := n - requests; float64(retries) > retryRatio*float64(requests)+retrySlack {
			found = append(found, Finding{"repeats", fmt.Sprintf("%s: %d arrivals for %d requests", service, n, requests)})
		}
	}
	return found
}

// checkRecovery reports when too few requests are served after all faults have ended.
func checkRecovery(h *history, calmFrom time.Time) []Finding {
	requests, served := 0, 0
	var examples []string
	for _, a := range h.attempts {
		mustServe := !a.Key.Removed && a.Key.Team != teamHot
		if a.Probe || !mustServe || a.Begun.Before(calmFrom.Add(recoveryTime)) {
			continue
		}
		requests++
		if a.OwnAnswer {
			served++
		} else if len(examples) < maxExamples {
			examples = append(examples, fmt.Sprintf("%s %d", a.ID, a.Status))
		}
	}
	if requests == 0 || float64(served) < recoveredShare*float64(requests) {
		return []Finding{{"recovery", fmt.Sprintf("%d of %d were served, not %v", served, requests, examples)}}
	}
	return nil
}
